// Package digester turns callers' keys and operators' texts into digests.
package digester

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyBytes is the entropy of a new key.
const keyBytes = 32

// Digest is the SHA-256 of a key; keys themselves are never kept.
type Digest [sha256.Size]byte

// Key returns the digest of a caller's key.
func Key(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Text returns the digest of a text in hexadecimal.
func Text(text string) string {
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:])
}

// NewKey returns a fresh random key in the URL-safe base64 alphabet.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never fails, says crypto/rand
	return base64.RawURLEncoding.EncodeToString(b)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Parse reads a digest in hexadecimal; ok tells whether it has the right form.
func Parse(text string) (d Digest, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
