// Package connector provides HTTP clients and servers, with or without mutual TLS, for the
// connections between the system's own processes.
package connector

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/loader"
)

// Bounds of connections between processes. A call that exceeds its timeout closes its
// connection, so that an unresponsive connection is not reused.
const (
	dialTimeout               = 2 * time.Second
	idleTimeout               = 30 * time.Second
	headerTimeout             = 5 * time.Second
	maxHeaderBytes            = 16 << 10
	maxIdleConnectionsPerPeer = 256
)

// Config holds the paths of the certificate files. If all are empty, connections are plain HTTP.
type Config struct {
	Certificate string
	Key         string
	Authority   string
}

// Connector makes clients and servers for the system's own processes.
type Connector struct {
	files    Config
	reloader *certificateReloader
}

// NewConnector returns a Connector with the given certificates, or an error if they cannot be
// read.
func NewConnector(c Config) (*Connector, error) {
	if c == (Config{}) {
		return &Connector{}, nil
	}
	k, err := newCertificateReloader(c)
	if err != nil {
		return nil, err
	}
	return &Connector{files: c, reloader: k}, nil
}

// ReadConfig reads the section [tls] of the settings. Without certificates, it reports each
// listener, given as a map from names to addresses, that is not on loopback, unless
// privateNetwork is set.
func ReadConfig(s *loader.Settings, listeners map[string]string) Config {
	r := s.Section("tls")
	c := Config{
		Certificate: r.Optional("certificate", ""),
		Key:         r.Optional("key", ""),
		Authority:   r.Optional("authority", ""),
	}
	privateNetwork := r.Bool("privateNetwork", false)
	r.Finish()
	if c == (Config{}) {
		if !privateNetwork {
			refusePlainListeners(r, listeners)
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
		MaxIdleConnsPerHost: maxIdleConnectionsPerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	if c.reloader != nil {
		t.TLSClientConfig = c.reloader.clientConfig()
		t.TLSHandshakeTimeout = dialTimeout
	}
	return &http.Client{Transport: inspector.Transport{Next: trimmer{t}}}
}

// URL returns the base URL of the process at an address.
func (c *Connector) URL(address string) string {
	if c.reloader != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Server returns an HTTP server with bounds on headers and idle connections.
func (c *Connector) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           trimResponse(h),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if c.reloader != nil {
		s.TLSConfig = c.reloader.serverConfig()
	}
	return s
}

// Serve runs a server on a listener, with TLS if certificates are set. It returns nil after a
// shutdown.
func (c *Connector) Serve(s *http.Server, l net.Listener) error {
	var err error
	if c.reloader != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// refusePlainListeners adds a problem for each listener that is not on loopback.
func refusePlainListeners(r *loader.Reader, listeners map[string]string) {
	for name, address := range listeners {
		a, err := netip.ParseAddrPort(address)
		if err == nil && !a.Addr().IsLoopback() {
			r.Fail("certificate", "missing; listener %s at %s is not on loopback", name, address)
		}
	}
}
