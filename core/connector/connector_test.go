package connector

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/loader"
)

func TestTLS(t *testing.T) {
	t.Run("same authority connects", func(t *testing.T) {
		is := is.New(t)
		files := writeCertificates(t, t.TempDir(), newAuthority(t))
		is.NoErr(call(t, files, files))
	})
	t.Run("other authority is refused", func(t *testing.T) {
		is := is.New(t)
		ours := writeCertificates(t, t.TempDir(), newAuthority(t))
		theirs := writeCertificates(t, t.TempDir(), newAuthority(t))
		is.True(call(t, ours, theirs) != nil)
	})
	t.Run("plain client is refused", func(t *testing.T) {
		is := is.New(t)
		files := writeCertificates(t, t.TempDir(), newAuthority(t))
		is.True(call(t, files, Config{}) != nil)
	})
	t.Run("new files are taken without restart", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		files := writeCertificates(t, folder, newAuthority(t))
		c, err := NewConnector(files)
		is.NoErr(err)
		before, _ := c.keeper.current()
		writeCertificates(t, folder, newAuthority(t))
		later := time.Now().Add(time.Minute)
		is.NoErr(os.Chtimes(files.Certificate, later, later))
		c.keeper.checked = time.Time{}
		after, _ := c.keeper.current()
		is.True(string(before.Certificate[0]) != string(after.Certificate[0]))
	})
}

func TestReadConfig(t *testing.T) {
	cases := []struct {
		name, text, address string
		good                bool
	}{
		{"plain on loopback", "", "127.0.0.1:7000", true},
		{"plain elsewhere", "", "10.0.0.1:7000", false},
		{"half the files", "[tls]\nkey = k\n", "10.0.0.1:7000", false},
		{"all files", "[tls]\nkey = k\ncertificate = c\nauthority = a\n", "10.0.0.1:7000", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := loader.Parse([]byte(c.text))
			ReadConfig(s, map[string]string{"peer": c.address})
			is.Equal(s.Err() == nil, c.good)
		})
	}
}

func call(t *testing.T, server, client Config) error {
	t.Helper()
	is := is.New(t)
	c, err := NewConnector(server)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := c.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.ErrorLog = nil
	go func() { _ = c.Serve(s, l) }()
	defer s.Close()
	d, err := NewConnector(client)
	is.NoErr(err)
	r, err := d.Client().Get(d.URL(l.Addr().String()))
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	return nil
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{parsed, key}
}

func writeCertificates(t *testing.T, folder string, a authority) Config {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	secret, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := Config{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", secret)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
