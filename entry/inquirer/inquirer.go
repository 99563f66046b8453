// Package inquirer asks targets for their load.
package inquirer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/entry/forwarder"
)

// Limits of an inquiry.
const (
	// timeout bounds an inquiry, for which a caller's request waits.
	timeout = 15 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout      = 6 * time.Second
	maxIdlePerTarget = 2
	// maxHeadBytes and maxBodyBytes bound a response.
	maxHeadBytes = 8 << 10
	maxBodyBytes = 4 << 10
)

// Config configures an Inquirer.
type Config struct {
	// Header is the response header that carries the load, and ExpectedTarget the request header that
	// names the intended target; the latter is optional.
	Header         string
	ExpectedTarget string
	// Seats count the connections; nil counts nothing.
	Seats *reserver.Seats
	Scope tally.Scope
}

// Inquirer asks targets for their load. It is safe for concurrent use.
type Inquirer struct {
	config Config
	client *http.Client
	asked  tally.Counter
	failed tally.Counter
}

// NewInquirer returns an Inquirer without connections.
func NewInquirer(c Config) *Inquirer {
	i := &Inquirer{config: c, asked: c.Scope.Counter("loadInquiries"), failed: c.Scope.Counter("loadInquiriesFailed")}
	i.client = &http.Client{Timeout: timeout, Transport: inspector.Transport{Next: &http.Transport{
		DialContext:         i.dial,
		MaxIdleConnsPerHost: maxIdlePerTarget, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true,
	}}}
	return i
}

// dial opens a connection to a target, which counts among those that the process may hold.
func (i *Inquirer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	n, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	i.config.Seats.AddTarget()
	return &countedConnection{Conn: n, seats: i.config.Seats}, nil
}

// countedConnection is a connection that counts until it is closed.
type countedConnection struct {
	net.Conn
	seats *reserver.Seats
	once  sync.Once
}

// Close closes the connection.
func (c *countedConnection) Close() error {
	c.once.Do(c.seats.RemoveTarget)
	return c.Conn.Close()
}

// Close closes idle connections.
func (i *Inquirer) Close() {
	i.client.CloseIdleConnections()
}

// Ask returns the load that a target states in the response of its health path. It returns nil if the
// target does not state it in time or does not consider itself healthy.
func (i *Inquirer) Ask(ctx context.Context, t *parser.Target, path string) *forwarder.Load {
	i.asked.Inc(1)
	l := i.ask(ctx, t, path)
	if l == nil {
		i.failed.Inc(1)
	}
	return l
}

func (i *Inquirer) ask(ctx context.Context, t *parser.Target, path string) *forwarder.Load {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+path, nil)
	if err != nil {
		return nil
	}
	if i.config.ExpectedTarget != "" {
		r.Header.Set(i.config.ExpectedTarget, t.Name)
	}
	response, err := i.client.Do(r)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)) // else the connection is not kept
	if response.StatusCode != http.StatusOK {
		return nil
	}
	return forwarder.ParseLoad(response.Header.Get(i.config.Header))
}
