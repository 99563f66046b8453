// Package digester computes digests of callers' keys and operators' texts, and generates keys.
package digester

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

// Digest is the SHA-256 digest of a key. Keys themselves are never stored.
type Digest [sha256.Size]byte

// Key returns the digest of a caller's key.
func Key(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Text returns the SHA-256 digest of a text in hexadecimal.
func Text(text string) string {
	return Bytes([]byte(text))
}

// Bytes returns the SHA-256 digest of bytes in hexadecimal.
func Bytes(b []byte) string {
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:])
}

// NewKey returns a random key in unpadded URL-safe base64.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return base64.RawURLEncoding.EncodeToString(b)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Parse parses a digest in hexadecimal; ok is false if it is malformed or of another length.
func Parse(text string) (d Digest, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
