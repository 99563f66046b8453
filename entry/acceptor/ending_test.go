package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/peeker"
)

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (caller, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// TestFinishWhileResponseEnds guards against a response that a reset cuts off: the connection is taken
// for idle and is closed without lingering, since its last response ends while that is checked.
func TestFinishWhileResponseEnds(t *testing.T) {
	is := is.New(t)
	a, _, _ := newServer(t, echo)
	caller, socket := connectedPair(t)
	c := newConnection(a, socket)
	c.inFlight = 1
	_, err := io.WriteString(caller, "unread")
	is.NoErr(err)
	for peeker.Peek(socket) != peeker.HasInput {
		time.Sleep(time.Millisecond)
	}
	c.mutex.Lock()
	var done sync.WaitGroup
	done.Go(c.finish)
	time.Sleep(20 * time.Millisecond)
	done.Go(func() {
		c.mutex.Lock()
		c.closing, c.inFlight = true, 0
		c.mutex.Unlock()
	})
	time.Sleep(20 * time.Millisecond)
	c.mutex.Unlock()
	c.mutex.Lock() // a waiter that has to wait again makes the mutex fair
	time.Sleep(20 * time.Millisecond)
	c.mutex.Unlock()
	_, err = io.ReadAll(caller)
	is.NoErr(err) // not a reset
	_ = caller.Close()
	done.Wait()
}

// slowDeadline is a connection on which a call of SetReadDeadline that removes the deadline waits
// first.
type slowDeadline struct {
	*net.TCPConn
	before func()
}

func (s slowDeadline) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		s.before()
	}
	return s.TCPConn.SetReadDeadline(t)
}

// TestIdleTimeoutWhileResponseEnds guards against a connection that stays open for good: its deadline
// expires and is removed while its last request ends and sets the idle timeout.
func TestIdleTimeoutWhileResponseEnds(t *testing.T) {
	is := is.New(t)
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: waitLimit, IdleTimeout: 200 * time.Millisecond}
	began, release := make(chan struct{}), make(chan struct{})
	a := NewAcceptor(Config{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		echo(w, r)
	})})
	caller, socket := connectedPair(t)
	calls, removing, resume := 0, make(chan struct{}), make(chan struct{})
	c := newConnection(a, slowDeadline{socket, func() {
		if calls++; calls == 2 { // the first is after the head
			close(removing)
			<-resume
		}
	}})
	a.add(c)
	write(t, caller, "/only")
	<-began
	is.NoErr(socket.SetReadDeadline(time.Now()))
	<-removing
	close(release)
	time.Sleep(50 * time.Millisecond) // until the request has ended, or waits for the removal
	close(resume)
	b := bufio.NewReader(caller)
	checkResponse(t, b, http.StatusOK, "GET /only ")
	_ = caller.SetDeadline(time.Now().Add(waitLimit / 2))
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
}

// lateRead is a connection whose failed reads take long, as in a process that gets no processor time.
type lateRead struct {
	*net.TCPConn
	delay time.Duration
}

func (l lateRead) Read(b []byte) (int, error) {
	n, err := l.TCPConn.Read(b)
	if err != nil {
		time.Sleep(l.delay)
	}
	return n, err
}

// TestBodyTimeoutEndsWithBody guards against a connection that is closed as idle right after a response
// that did not announce it, since the timeout of the request's body expires while the response is written.
func TestBodyTimeoutEndsWithBody(t *testing.T) {
	is := is.New(t)
	const timeout = 100 * time.Millisecond
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	a := NewAcceptor(Config{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
		echo(w, r)
		time.Sleep(2 * timeout)
	})})
	caller, socket := connectedPair(t)
	a.add(newConnection(a, lateRead{socket, 4 * timeout}))
	b := bufio.NewReader(caller)
	for _, path := range []string{"/first", "/second"} {
		_, err := io.WriteString(caller, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
		is.NoErr(err)
		checkResponse(t, b, http.StatusOK, "POST "+path+" body")
		time.Sleep(4 * timeout)
	}
}

// TestShutdownBeforeBody guards against a body that is rejected as slow since its connection is taken
// for idle between its head and its body.
func TestShutdownBeforeBody(t *testing.T) {
	is := is.New(t)
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	a := NewAcceptor(Config{Limits: func() Limits { return limits }, Handler: http.HandlerFunc(echo)})
	caller, socket := connectedPair(t)
	var c *connection
	s := &afterDeadline{TCPConn: socket, after: func() {
		a.refusing.Store(true)
		c.setIdleDeadline()
	}}
	c = newConnection(a, s)
	a.add(c)
	_, err := io.WriteString(caller, "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
	is.NoErr(err)
	time.Sleep(idleHold + idleHold/10)
	_, err = io.WriteString(caller, "body")
	is.NoErr(err)
	checkResponse(t, bufio.NewReader(caller), http.StatusOK, "POST /body body")
}

// afterDeadline is a connection that calls after once its deadline was first removed.
type afterDeadline struct {
	*net.TCPConn
	after func()
	once  sync.Once
}

func (s *afterDeadline) SetReadDeadline(t time.Time) error {
	err := s.TCPConn.SetReadDeadline(t)
	if t.IsZero() {
		s.once.Do(s.after)
	}
	return err
}

// lateListener accepts one connection and returns it only once the listener is closed, as in a process
// that gets no processor time.
type lateListener struct {
	net.Listener
	socket chan net.Conn
	closed chan struct{}
	resume chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	<-l.resume
	select {
	case c := <-l.socket:
		return c, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// TestShutdownWaitsForAcceptedConnection guards against a process that exits while a connection that
// was accepted as the listener closed holds a request.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	is := is.New(t)
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	a := NewAcceptor(Config{Handler: http.HandlerFunc(echo), Limits: func() Limits { return limits }})
	caller, socket := connectedPair(t)
	l := &lateListener{socket: make(chan net.Conn, 1), closed: make(chan struct{}), resume: make(chan struct{})}
	l.socket <- socket
	write(t, caller, "/accepted")
	served := make(chan error, 1)
	go func() { served <- a.Serve(l) }()
	for !a.isServing() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.Shutdown(ctx) }()
	<-l.closed
	select {
	case <-done:
		t.Fatal("the shutdown ended before the connection was served")
	case <-time.After(100 * time.Millisecond):
	}
	close(l.resume)
	checkResponse(t, bufio.NewReader(caller), http.StatusOK, "GET /accepted ")
	_ = caller.Close()
	is.NoErr(<-done)
	is.NoErr(<-served)
}

func (a *Acceptor) isServing() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.listener != nil
}

// TestShutdownAfterLongResponse guards against a request that gets no response since the connection is
// closed as soon as the response before it ends, which did not announce that.
func TestShutdownAfterLongResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes+1)) // sends the head
		<-release
	})
	a.config.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	write(t, c, "/long")
	r, err := http.ReadResponse(b, nil)
	is.NoErr(err)
	is.True(!r.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.Shutdown(ctx) }()
	time.Sleep(idleHold + idleHold/2)
	close(release)
	n, err := io.Copy(io.Discard, r.Body)
	is.NoErr(err)
	is.Equal(n, int64(maxBufferedBytes+1))
	time.Sleep(10 * time.Millisecond) // the request is under way
	write(t, c, "/next")
	is.True(checkResponse(t, b, http.StatusServiceUnavailable, "").Close)
	_ = c.Close()
	is.NoErr(<-done)
}

// TestShutdownWithLittleTime guards against idle connections that are aborted, so that the process exits
// with an error, since little of the shutdown's time is left after a pause of the process.
func TestShutdownWithLittleTime(t *testing.T) {
	is := is.New(t)
	a, _, b := newServer(t, echo)
	ctx, cancel := context.WithTimeout(context.Background(), idleHold/2)
	defer cancel()
	is.NoErr(a.Shutdown(ctx))
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
}
