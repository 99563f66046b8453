// Package issuer issues certificates of a private certificate authority, for tests and trials of
// TLS.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Properties of the certificates.
const (
	certificateLifetime = time.Hour
	// backdate tolerates small differences between clocks.
	backdate   = time.Minute
	serialBits = 64
	fileMode   = 0o600
)

// Issuer is a certificate authority.
type Issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files holds the paths of a certificate, its private key and its authority, all in PEM.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// NewIssuer returns an Issuer with a new key and a self-signed certificate.
func NewIssuer() (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "making the authority's key")
	}
	c := newTemplate("authority")
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "signing the authority")
	}
	parsed, err := x509.ParseCertificate(der)
	return &Issuer{certificate: parsed, key: key}, errors.Wrap(err, "reading the authority")
}

// Issue writes a new certificate for a process on loopback, valid for servers and clients, with
// its key and the authority into a folder. It overwrites files that exist there.
func (i *Issuer) Issue(folder string) (Files, error) {
	f := Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, errors.Wrap(err, "making a key")
	}
	c := newTemplate("process")
	c.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, c, i.certificate, &key.PublicKey, i.key)
	if err != nil {
		return f, errors.Wrap(err, "signing a certificate")
	}
	privateKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, errors.Wrap(err, "encoding a key")
	}
	return f, f.write(der, privateKey, i.certificate.Raw)
}

func (f Files) write(certificate, key, authority []byte) error {
	for _, b := range []struct {
		path, blockType string
		der             []byte
	}{
		{f.Certificate, "CERTIFICATE", certificate},
		{f.Key, "EC PRIVATE KEY", key},
		{f.Authority, "CERTIFICATE", authority},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: b.blockType, Bytes: b.der})
		if err := os.WriteFile(b.path, text, fileMode); err != nil {
			return errors.Wrap(err, "writing "+b.path)
		}
	}
	return nil
}

func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // rand.Reader never fails
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(certificateLifetime),
	}
}
