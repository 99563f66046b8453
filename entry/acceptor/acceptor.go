// Package acceptor serves HTTP/1.1 connections of callers. Pipelined requests run concurrently and
// are answered in order, and a caller that closes its connection is detected while its requests
// run. Requests are parsed by net/http.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/peeker"
)

// Limits and timeouts of connections.
const (
	// maxPipelined is the number of requests of one connection that run at once.
	maxPipelined = 32
	// acceptRetryDelay is the pause after a failed accept, such as for lack of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptDrainTime is how long pending connections are still accepted before the listener closes, and
	// maxAcceptDrainTime is the same while there are more.
	acceptDrainTime    = 20 * time.Millisecond
	maxAcceptDrainTime = 500 * time.Millisecond
	// acceptPollInterval is how often it is checked whether connections are pending.
	acceptPollInterval = time.Millisecond
	// idleHold bounds the idle timeout during a shutdown, which is half of the time left. Requests that
	// are under way to an idle connection are refused rather than cut.
	idleHold = time.Second
	// writeTimeout bounds each write to a caller that reads slowly.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long bytes after the last response are read and discarded. Closing a
	// connection with unread bytes resets it, which can lose the response.
	lingerTimeout = 500 * time.Millisecond
	// loggedHeadBytes is how much of a discarded request is searched for its ID.
	loggedHeadBytes = 1 << 10
	// keepAliveInterval is the time between TCP keep-alive probes of an idle caller.
	keepAliveInterval = 5 * time.Second
)

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Config configures an Acceptor.
type Config struct {
	Handler http.Handler
	// Refuse responds to requests that arrive too late in a shutdown to be served; nil means that
	// Handler does.
	Refuse http.Handler
	// Limits are read for each request.
	Limits func() Limits
	Logger logger.Logger
	// SoftMaxConnections is the number of connections above which each response asks its caller to
	// close, so that file descriptors are left for new callers and for targets; 0 means no limit.
	SoftMaxConnections int
	// RequestHeader is the header with a request's ID, for the log; empty if there is none.
	RequestHeader string
	// Scope counts discarded input and idle connections that this side closes; nil counts nothing.
	Scope tally.Scope
}

// Acceptor serves the connections of one listener.
type Acceptor struct {
	config   Config
	context  context.Context
	cancel   context.CancelFunc
	draining atomic.Bool
	refusing atomic.Bool
	// shutdownEnd is when a shutdown aborts connections; nil if never.
	shutdownEnd     atomic.Pointer[time.Time]
	mutex           sync.Mutex
	listener        net.Listener
	openConnections map[*connection]struct{}
	connectionCount atomic.Int64
	connectionsDone sync.WaitGroup
	discarded       tally.Counter
	idleClosed      tally.Counter
}

// NewAcceptor returns an Acceptor without a listener.
func NewAcceptor(c Config) *Acceptor {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	a := &Acceptor{
		config: c, openConnections: map[*connection]struct{}{},
		discarded: c.Scope.Counter("inputDiscarded"), idleClosed: c.Scope.Counter("idleConnectionsClosed"),
	}
	a.context, a.cancel = context.WithCancel(context.Background())
	return a
}

// Serve accepts connections until the listener closes.
func (a *Acceptor) Serve(l net.Listener) error {
	a.mutex.Lock()
	a.listener = l
	a.connectionsDone.Add(1) // until every connection that was accepted is counted
	a.mutex.Unlock()
	defer a.connectionsDone.Done()
	for {
		n, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			a.config.Logger.Log(logger.AcceptFailed, logger.F("error", err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		a.add(newConnection(a, n))
	}
}

// Drain makes each response announce the end of its connection. Idle connections stay open, since a
// request may be under way on them.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// Shutdown drains, closes the listener and waits until all connections are closed. Further requests
// are refused, and connections that stay idle for up to idleHold are closed. When the context ends,
// Shutdown aborts the connections that are left and returns the context's error.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		a.shutdownEnd.Store(&end)
	}
	a.Drain()
	a.closeListener()
	a.refusing.Store(true)
	for _, c := range a.connections() {
		c.setIdleDeadline()
	}
	done := make(chan struct{})
	go a.loop(done)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	a.cancel()
	for _, c := range a.connections() {
		c.abort(shutdownEnded)
	}
	return ctx.Err()
}

// closeListener closes the listener once no connection waits to be accepted, since those that wait are
// reset.
func (a *Acceptor) closeListener() {
	a.mutex.Lock()
	l := a.listener
	a.mutex.Unlock()
	if l == nil {
		return
	}
	time.Sleep(acceptDrainTime)
	for end := time.Now().Add(maxAcceptDrainTime - acceptDrainTime); peeker.HasPending(l) && time.Now().Before(end); {
		time.Sleep(acceptPollInterval)
	}
	_ = l.Close() // the listener may be closed already
}

func (a *Acceptor) loop(done chan struct{}) {
	a.connectionsDone.Wait()
	close(done)
}

func (a *Acceptor) connections() []*connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	out := make([]*connection, 0, len(a.openConnections))
	for c := range a.openConnections {
		out = append(out, c)
	}
	return out
}

// handler returns the handler for a request that arrives now.
func (a *Acceptor) handler() http.Handler {
	if a.refusing.Load() && a.config.Refuse != nil {
		return a.config.Refuse
	}
	return a.config.Handler
}

// idleTimeout returns how long a connection that becomes idle now may stay so.
func (a *Acceptor) idleTimeout() time.Duration {
	timeout := a.config.Limits().IdleTimeout
	if a.refusing.Load() {
		timeout = min(timeout, idleHold)
		if end := a.shutdownEnd.Load(); end != nil {
			timeout = min(timeout, max(0, time.Until(*end)/2))
		}
	}
	return timeout
}

// exceedsSoftLimit reports whether responses ask callers to close their connections.
func (a *Acceptor) exceedsSoftLimit() bool {
	return a.config.SoftMaxConnections > 0 && a.connectionCount.Load() > int64(a.config.SoftMaxConnections)
}

// logDiscarded logs input that was discarded on a connection whose end no response announced.
// delay is the time from the decision to close it until the input was read.
func (a *Acceptor) logDiscarded(socket net.Conn, head []byte, size int64, delay time.Duration) {
	a.discarded.Inc(1)
	a.config.Logger.Log(logger.InputDiscarded, logger.F("request", findHeader(head, a.config.RequestHeader)),
		logger.F("caller", socket.RemoteAddr().String()), logger.F("bytes", int(size)), logger.F("delay", delay),
		logger.F("draining", a.draining.Load()))
}

// add begins to serve a connection.
func (a *Acceptor) add(c *connection) {
	a.mutex.Lock()
	a.openConnections[c] = struct{}{}
	a.mutex.Unlock()
	a.connectionCount.Add(1)
	a.connectionsDone.Add(1)
	go c.run()
}

func (a *Acceptor) remove(c *connection) {
	a.mutex.Lock()
	delete(a.openConnections, c)
	a.mutex.Unlock()
	a.connectionCount.Add(-1)
	a.connectionsDone.Done()
}
