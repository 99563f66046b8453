// Package acceptor serves HTTP/1.1 connections of callers. Requests that a caller sends
// ahead run side by side and are answered in their order, and a caller that closes its
// connection is noticed while its requests run. Parsing is net/http's.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
)

// Bounds of connections.
const (
	// maxAhead is the number of requests of one connection that run at once.
	maxAhead = 32
	// acceptRetry is the pause after a refused accept, such as for want of descriptors.
	acceptRetry = 10 * time.Millisecond
	// acceptLast is how long waiting connections are still taken before the listener closes.
	acceptLast = 20 * time.Millisecond
	// writeTimeout bounds the time that a caller takes to read an answer.
	writeTimeout = 10 * time.Second
	// lingerTime is how long bytes behind the last answer are read and dropped, so that the
	// answer is not lost to a reset.
	lingerTime = 500 * time.Millisecond
	// keepAlive is the pause between probes of a silent caller.
	keepAlive = 5 * time.Second
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Config sets up an Acceptor.
type Config struct {
	Handler http.Handler
	// Limits are read for each request.
	Limits func() Limits
	Logger logger.Logger
	// Crowd is the number of connections above which each answer asks its caller to close, so
	// that descriptors are left for new callers and for targets; 0 means no such number.
	Crowd int
}

// Acceptor serves the connections of one listener.
type Acceptor struct {
	config   Config
	context  context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
	count    atomic.Int64
	ended    sync.WaitGroup
}

// NewAcceptor returns an Acceptor that serves nothing yet.
func NewAcceptor(c Config) *Acceptor {
	a := &Acceptor{config: c, open: map[*connection]struct{}{}}
	a.context, a.cancel = context.WithCancel(context.Background())
	return a
}

// Serve accepts connections until the listener closes.
func (a *Acceptor) Serve(l net.Listener) error {
	a.mutex.Lock()
	a.listener = l
	a.mutex.Unlock()
	for {
		n, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			a.config.Logger.Log(logger.AcceptFailed, logger.F("error", err))
			time.Sleep(acceptRetry)
			continue
		}
		c := newConnection(a, n)
		a.mutex.Lock()
		a.open[c] = struct{}{}
		a.mutex.Unlock()
		a.count.Add(1)
		a.ended.Add(1)
		go c.run()
	}
}

// Drain ends each connection with the answers that are due on it, and idle ones at once.
// New connections get one answer each.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
	for _, c := range a.connections() {
		c.endIdle()
	}
}

// Shutdown takes no more connections and waits for the open ones, until the context ends;
// then it cuts what is left.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.Drain()
	a.closeListener()
	done := make(chan struct{})
	go a.loop(done)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	a.cancel()
	for _, c := range a.connections() {
		c.abort()
	}
	return ctx.Err()
}

// closeListener takes the connections that wait to be accepted, and no more; closing resets
// those that are not taken.
func (a *Acceptor) closeListener() {
	a.mutex.Lock()
	l := a.listener
	a.mutex.Unlock()
	if l == nil {
		return
	}
	if t, ok := l.(*net.TCPListener); ok {
		_ = t.SetDeadline(time.Now().Add(acceptLast)) // it may be closed already
		time.Sleep(acceptLast)
	}
	_ = l.Close() // it may be closed already
}

func (a *Acceptor) loop(done chan struct{}) {
	a.ended.Wait()
	close(done)
}

func (a *Acceptor) connections() []*connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	out := make([]*connection, 0, len(a.open))
	for c := range a.open {
		out = append(out, c)
	}
	return out
}

// isCrowded tells whether connections are to end with their next answers.
func (a *Acceptor) isCrowded() bool {
	return a.config.Crowd > 0 && a.count.Load() > int64(a.config.Crowd)
}

func (a *Acceptor) forget(c *connection) {
	a.mutex.Lock()
	delete(a.open, c)
	a.mutex.Unlock()
	a.count.Add(-1)
	a.ended.Done()
}
