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
	"github.com/filberthoist/filberthoist/core/reserver"
)

// Limits and timeouts of connections.
const (
	// maxPipelined is the number of requests of one connection that run at once.
	maxPipelined = 32
	// maxUnwrittenBytes is the size of the unsent responses of one connection beyond which no further request of it
	// is started.
	maxUnwrittenBytes = 256 << 10
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
	// stopMargin is the part of a shutdown's time that is left for the responses to requests that are
	// stopped because they still run. It is a quarter of the time if that is shorter.
	stopMargin = 200 * time.Millisecond
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
	// StopCause is the cause of the end of a request's context if the request is stopped at the end of a
	// shutdown; nil means context.Canceled.
	StopCause error
	// Limits are read for each request.
	Limits func() Limits
	Logger logger.Logger
	// SoftMaxConnections is the number of connections above which each response asks its caller to
	// close, so that file descriptors are left for new callers and for targets; 0 means no limit.
	SoftMaxConnections int
	// RequestHeader is the header with a request's ID, for the log; empty if there is none.
	RequestHeader string
	// Reserver has room for heads and responses that callers take slowly; nil means that nothing bounds them.
	Reserver *reserver.Reserver
	// Seats bound the connections; nil means no bound.
	Seats *reserver.Seats
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
	shutdownEnd atomic.Pointer[time.Time]
	mutex       sync.Mutex
	listener    net.Listener
	// closed means that a shutdown began without a listener, so that none is served any more.
	closed          bool
	openConnections map[*connection]struct{}
	connectionCount atomic.Int64
	connectionsDone sync.WaitGroup
	discarded       tally.Counter
	discardedBehind tally.Counter
	idleClosed      tally.Counter
}

// NewAcceptor returns an Acceptor without a listener.
func NewAcceptor(c Config) *Acceptor {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	a := &Acceptor{
		config: c, openConnections: map[*connection]struct{}{},
		discarded: c.Scope.Counter("inputDiscarded"), discardedBehind: c.Scope.Counter("inputBehindEnd"), idleClosed: c.Scope.Counter("idleConnectionsClosed"),
	}
	a.context, a.cancel = context.WithCancel(context.Background())
	return a
}

// Serve accepts connections until the listener closes.
func (a *Acceptor) Serve(l net.Listener) error {
	if !a.begin(l) {
		return l.Close()
	}
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
		c := newConnection(a, n)
		seat, ok := a.config.Seats.Take(c.loseSeat)
		if !ok {
			_ = n.Close() // nothing was read
			continue
		}
		c.seat = seat
		a.add(c)
	}
}

// begin takes over a listener; false means that a shutdown began before.
func (a *Acceptor) begin(l net.Listener) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return false
	}
	a.listener = l
	a.connectionsDone.Add(1) // until every connection that was accepted is counted
	return true
}

// Drain makes each response announce the end of its connection. Idle connections stay open, since a
// request may be under way on them.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
}

// Shutdown drains, closes the listener and waits until all connections are closed. Further requests
// are refused, and connections that stay idle for up to idleHold are closed. Shortly before the
// context's deadline, the contexts of the requests that still run end, so that these are answered. When
// the context ends, Shutdown aborts the connections that are left, and returns the context's error if
// requests ran on them.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		a.shutdownEnd.Store(&end)
		left := time.Until(end)
		defer time.AfterFunc(left-min(stopMargin, left/4), a.stopRequests).Stop()
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
	var err error
	for _, c := range a.connections() {
		if c.isRunning() {
			err = ctx.Err()
		}
		c.abort(shutdownEnded)
	}
	a.cancel()
	return err
}

// stopRequests ends the contexts of all requests and refuses further ones, which nothing would stop.
// Their connections stay open for the responses.
func (a *Acceptor) stopRequests() {
	a.refusing.Store(true)
	for _, c := range a.connections() {
		c.stop(a.config.StopCause)
	}
}

// IsRefusing reports whether a shutdown has begun to refuse requests.
func (a *Acceptor) IsRefusing() bool {
	return a.refusing.Load()
}

// closeListener closes the listener once no connection waits to be accepted, since those that wait are
// reset.
func (a *Acceptor) closeListener() {
	a.mutex.Lock()
	l := a.listener
	a.closed = l == nil
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
	c.seat.Leave()
	c.place.Close()
	a.connectionsDone.Done()
}
