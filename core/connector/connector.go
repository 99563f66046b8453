// Package connector sets up the connections between the system's own processes.
package connector

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/loader"
)

// Bounds of connections between processes. A call that outlives its own timeout
// closes its connection, so that a silent one is not used again.
const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	connectionsToPeer = 256
)

// Config names the certificate files; all empty means plain connections.
type Config struct {
	Certificate string
	Key         string
	Authority   string
}

// Connector makes clients and servers for the system's own processes.
type Connector struct {
	files  Config
	keeper *certificateKeeper
}

// NewConnector reads the certificates and returns a Connector.
func NewConnector(c Config) (*Connector, error) {
	if c == (Config{}) {
		return &Connector{}, nil
	}
	k, err := newCertificateKeeper(c)
	if err != nil {
		return nil, err
	}
	return &Connector{files: c, keeper: k}, nil
}

// ReadConfig reads the section [tls] and refuses plain listeners beyond loopback.
func ReadConfig(s *loader.Settings, listeners map[string]string) Config {
	r := s.Section("tls")
	c := Config{
		Certificate: r.Optional("certificate", ""),
		Key:         r.Optional("key", ""),
		Authority:   r.Optional("authority", ""),
	}
	private := r.Bool("privateNetwork", false)
	r.Finish()
	if c == (Config{}) {
		if !private {
			refusePlain(r, listeners)
		}
		return c
	}
	for key, v := range map[string]string{"certificate": c.Certificate, "key": c.Key, "authority": c.Authority} {
		if v == "" {
			r.Fail(key, "missing; the section needs certificate, key and authority")
		}
	}
	return c
}

// Client returns an HTTP client for calls to other processes.
func (c *Connector) Client() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: connectionsToPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if c.keeper != nil {
		t.TLSClientConfig = c.keeper.clientConfig()
		t.TLSHandshakeTimeout = dialTimeout
	}
	return &http.Client{Transport: t}
}

// URL returns the base address of a process for a client of this Connector.
func (c *Connector) URL(address string) string {
	if c.keeper != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Server returns an HTTP server with bounded headers and idle time.
func (c *Connector) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if c.keeper != nil {
		s.TLSConfig = c.keeper.serverConfig()
	}
	return s
}

// Serve runs a server on a listener, with TLS if certificates are set.
func (c *Connector) Serve(s *http.Server, l net.Listener) error {
	var err error
	if c.keeper != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func refusePlain(r *loader.Reader, listeners map[string]string) {
	for name, address := range listeners {
		a, err := netip.ParseAddrPort(address)
		if err == nil && !a.Addr().IsLoopback() {
			r.Fail("certificate", "missing; listener %s at %s is not on loopback", name, address)
		}
	}
}
