package connector

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is the least time between two checks for changed certificate files.
const reloadInterval = time.Second

// certificateReloader holds the certificates and reloads them when a handshake finds that their
// files have changed.
type certificateReloader struct {
	files     Config
	mutex     sync.Mutex
	lastCheck time.Time
	modified  time.Time
	pair      *tls.Certificate
	roots     *x509.CertPool
}

func newCertificateReloader(c Config) (*certificateReloader, error) {
	k := &certificateReloader{files: c}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *certificateReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := k.certificates()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"http/1.1"},
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := k.certificates()
			return pair, nil
		},
	}
}

// clientConfig returns a configuration that verifies servers against the authority that is
// current at the handshake.
func (k *certificateReloader) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.certificates()
			return pair, nil
		},
		// VerifyConnection replaces the default verification, which has a fixed set of roots.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

// verify checks the certificate of a server as crypto/tls does, with the current authority as root.
func (k *certificateReloader) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the server presented no certificate")
	}
	_, roots := k.certificates()
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       s.ServerName,
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// certificates returns the key pair and the roots, reloaded if their files have changed. Files
// that cannot be read leave those in use.
func (k *certificateReloader) certificates() (*tls.Certificate, *x509.CertPool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.lastCheck) >= reloadInterval {
		k.lastCheck = time.Now()
		_ = k.read() // on failure, the certificates in use are kept
	}
	return k.pair, k.roots
}

// read loads the files if any has changed since the last successful read.
func (k *certificateReloader) read() error {
	modified, err := latestModTime(k.files)
	if err != nil {
		return err
	}
	if modified.Equal(k.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return errors.Wrap(err, "reading the certificate")
	}
	authority, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return errors.Wrap(err, "reading the authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errors.Errorf("%s holds no certificate", k.files.Authority)
	}
	k.pair, k.roots, k.modified = &pair, roots, modified
	return nil
}

// latestModTime returns the latest modification time of the three files.
func latestModTime(c Config) (time.Time, error) {
	var latest time.Time
	for _, f := range []string{c.Certificate, c.Key, c.Authority} {
		i, err := os.Stat(f)
		if err != nil {
			return latest, errors.Wrap(err, "checking the certificate files")
		}
		if i.ModTime().After(latest) {
			latest = i.ModTime()
		}
	}
	return latest, nil
}
