package connector

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is how often a handshake may look for new certificate files.
const reloadInterval = time.Second

// certificateKeeper holds the certificates and reads them again when their files change.
type certificateKeeper struct {
	files   Config
	mutex   sync.Mutex
	checked time.Time
	changed time.Time
	pair    *tls.Certificate
	pool    *x509.CertPool
}

func newCertificateKeeper(c Config) (*certificateKeeper, error) {
	k := &certificateKeeper{files: c}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *certificateKeeper) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"http/1.1"},
				Certificates: []tls.Certificate{*pair},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
	}
}

// clientConfig verifies the server against the authority as it is at the handshake.
func (k *certificateKeeper) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
		// VerifyConnection below replaces the check against a fixed pool.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

func (k *certificateKeeper) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the server shows no certificate")
	}
	_, pool := k.current()
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       s.ServerName,
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// current returns the certificates; files that can't be read leave the ones in use.
func (k *certificateKeeper) current() (*tls.Certificate, *x509.CertPool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.checked) >= reloadInterval {
		k.checked = time.Now()
		_ = k.read() // the certificates in use stay
	}
	return k.pair, k.pool
}

func (k *certificateKeeper) read() error {
	changed, err := latestChange(k.files)
	if err != nil {
		return err
	}
	if changed.Equal(k.changed) {
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
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Errorf("%s holds no certificate", k.files.Authority)
	}
	k.pair, k.pool, k.changed = &pair, pool, changed
	return nil
}

func latestChange(c Config) (time.Time, error) {
	var latest time.Time
	for _, f := range []string{c.Certificate, c.Key, c.Authority} {
		i, err := os.Stat(f)
		if err != nil {
			return latest, errors.Wrap(err, "looking for certificates")
		}
		if i.ModTime().After(latest) {
			latest = i.ModTime()
		}
	}
	return latest, nil
}
