package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// connection is one caller's connection. One loop reads requests; each request runs on a
// goroutine of its own and writes its answer when its turn has come.
type connection struct {
	acceptor *Acceptor
	socket   net.Conn
	reader   *bufio.Reader
	context  context.Context
	cancel   context.CancelFunc

	mutex sync.Mutex
	// running counts requests without a finished answer.
	running int
	// ending tells that no further request is taken.
	ending bool
	// broken tells that nothing more can be answered.
	broken bool
	room   chan struct{}
	last   *exchange
	ended  sync.WaitGroup
}

func newConnection(a *Acceptor, n net.Conn) *connection {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2}) // best effort
	}
	c := &connection{acceptor: a, socket: n, reader: bufio.NewReader(n), room: make(chan struct{}, maxAhead)}
	c.context, c.cancel = context.WithCancel(a.context)
	return c
}

// run reads requests until the connection ends.
func (c *connection) run() {
	defer c.acceptor.forget(c)
	c.touchIdle()
	for c.next() {
	}
	c.finish()
}

// next reads one request and starts it; false ends the reading.
func (c *connection) next() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.acceptor.config.Limits()
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // fails only when closed
	r, status := readHead(c.reader, limits.HeaderBytes)
	if status == statusGone {
		return false
	}
	_ = c.socket.SetReadDeadline(time.Time{}) // fails only when closed
	e := c.begin()
	if status != 0 {
		e.refuse(status)
		return false
	}
	last := r.Close || c.acceptor.draining.Load()
	e.setUp(r, last)
	c.ended.Add(1)
	go e.run()
	if e.body != nil && !e.body.wait() {
		return false
	}
	return !last && !c.isEnding()
}

// awaitRequest waits for the first byte of a request. While it waits it notices a caller
// that leaves, and then cancels what runs.
func (c *connection) awaitRequest() bool {
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil && !c.isEnding():
			return true
		case errors.Is(err, os.ErrDeadlineExceeded) && c.isBusy():
			_ = c.socket.SetReadDeadline(time.Time{}) // a request began meanwhile
		case errors.Is(err, os.ErrDeadlineExceeded), err == nil:
			return false
		default:
			c.cancel()
			return false
		}
	}
}

// begin takes the next place in the order of answers.
func (c *connection) begin() *exchange {
	c.room <- struct{}{}
	e := &exchange{connection: c, done: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running++
	if c.last != nil {
		e.previous = c.last.done
	}
	c.last = e
	return e
}

// end notes that a request is answered.
func (c *connection) end() {
	c.mutex.Lock()
	c.running--
	idle := c.running == 0
	c.mutex.Unlock()
	<-c.room
	if idle {
		c.touchIdle()
	}
}

// touchIdle starts the idle time, unless a request began meanwhile.
func (c *connection) touchIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running > 0 {
		return
	}
	limits := c.acceptor.config.Limits()
	wait := limits.IdleTimeout
	switch {
	case c.acceptor.draining.Load() && c.last == nil:
		wait = limits.HeaderTimeout // a new connection gets its one answer
	case c.acceptor.draining.Load():
		wait = 0
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(wait)) // fails only when closed
}

// endIdle closes the connection if nothing runs on it.
func (c *connection) endIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = true
	if c.running == 0 {
		_ = c.socket.SetReadDeadline(time.Now()) // fails only when closed
	}
}

func (c *connection) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending
}

func (c *connection) isBusy() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running > 0
}

func (c *connection) isBroken() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// stop takes no further request; an answer said so.
func (c *connection) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ending = true
}

// abort cuts the connection.
func (c *connection) abort() {
	c.mutex.Lock()
	c.broken, c.ending = true, true
	c.mutex.Unlock()
	c.cancel()
	_ = c.socket.Close() // it may be closed already
}

// finish waits for the answers under way and closes the connection. A caller that is still
// there is watched meanwhile.
func (c *connection) finish() {
	watched := make(chan struct{})
	go c.loop(watched)
	c.ended.Wait()
	if t, ok := c.socket.(*net.TCPConn); ok && !c.isBroken() {
		_ = t.CloseWrite()                                // the caller may have gone
		_ = t.SetReadDeadline(time.Now().Add(lingerTime)) // fails only when closed
		<-watched
	}
	c.cancel()
	_ = c.socket.Close() // it may be closed already
	<-watched
}

// loop drops what the caller sends behind its last request, until it closes.
func (c *connection) loop(watched chan struct{}) {
	defer close(watched)
	if c.context.Err() != nil {
		return // the caller has left
	}
	_, err := io.Copy(io.Discard, c.reader)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// write sends bytes of an answer whose turn has come.
func (c *connection) write(parts ...[]byte) error {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only when closed
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.socket)
	if err != nil {
		c.abort()
	}
	return err
}
