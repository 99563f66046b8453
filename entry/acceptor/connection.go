package acceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filberthoist/filberthoist/core/peeker"
	"github.com/filberthoist/filberthoist/core/reserver"
)

// input reads from a caller. A read whose deadline has passed still returns what has arrived: the
// process may have been late, not the caller.
type input struct {
	net.Conn
}

// Read reads what has arrived, or waits for it until the deadline.
func (n input) Read(b []byte) (int, error) {
	size, err := n.Conn.Read(b)
	if size == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if size = peeker.Receive(n.Conn, b); size > 0 {
			return size, nil
		}
	}
	return size, err
}

// connection is a connection of a caller. One loop reads requests; each request runs on its own
// goroutine and writes its response once the earlier ones are written.
type connection struct {
	acceptor *Acceptor
	socket   net.Conn
	reader   *bufio.Reader
	context  context.Context
	cancel   context.CancelFunc
	// requests is the context of the requests, which ends with context at the latest.
	requests context.Context
	// seat is the connection's seat; nil means that connections are without bound.
	seat         *reserver.Seat
	stopRequests context.CancelCauseFunc

	mutex sync.Mutex
	// inFlight counts requests whose response is not finished.
	inFlight int
	// ending means that no further request is read, and closing that a response announced the end of
	// the connection.
	ending  bool
	closing bool
	// readingBody means that the body of a request is awaited.
	readingBody bool
	// finishing means that no further request is awaited, so that the idle timeout no longer counts.
	finishing bool
	// broken means that no response can be written.
	broken bool
	// idleSince is when the last response was finished, or when the connection was accepted.
	idleSince time.Time
	// endCause tells who ended the connection early; empty until then.
	endCause endCause
	// pipelineSlots holds one element for each request that runs.
	pipelineSlots chan struct{}
	lastExchange  *exchange
	exchangesDone sync.WaitGroup
	// place is the memory reserved for responses that are buffered, and unwritten their size.
	place     *reserver.Place
	unwritten int
	// written is signalled when unwritten shrinks or the connection breaks.
	written *sync.Cond
	// lossCause is the end cause of a connection that lost its seat or its place; nil if it has both.
	lossCause atomic.Pointer[endCause]
}

func newConnection(a *Acceptor, n net.Conn) *connection {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}) // best effort
	}
	c := &connection{acceptor: a, socket: n, reader: bufio.NewReader(input{n}), pipelineSlots: make(chan struct{}, maxPipelined)}
	c.written = sync.NewCond(&c.mutex)
	c.place = a.config.Reserver.Open(c.losePlace)
	c.context, c.cancel = context.WithCancel(a.context)
	c.requests, c.stopRequests = context.WithCancelCause(c.context)
	return c
}

// run reads requests until the connection ends.
func (c *connection) run() {
	defer c.acceptor.remove(c)
	c.setIdleDeadline()
	for c.readRequest() {
	}
	c.finish()
}

// readRequest reads one request and starts it; false ends the reading.
func (c *connection) readRequest() bool {
	if !c.waitForRequest() {
		return false
	}
	limits := c.acceptor.config.Limits()
	_ = c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // fails only when closed
	h := headReader{source: c.reader, maxBytes: limits.HeaderBytes, openPlace: c.openHeadPlace}
	r, status := h.read()
	if status == statusDisconnected {
		h.place.Close()
		return false
	}
	e := c.startExchange()
	if e == nil {
		h.place.Close()
		return false
	}
	e.headPlace = h.place
	_ = c.socket.SetReadDeadline(time.Time{}) // the request has started, so that no idle timeout is set any more
	if status != 0 {
		e.reject(status)
		return false
	}
	e.prepare(r)
	c.setReadingBody(e.body != nil)
	c.exchangesDone.Add(1)
	go e.run()
	if e.body != nil {
		if !e.body.wait() {
			return false
		}
		c.setReadingBody(false)
		c.removeDeadline() // the timeout of the body
	}
	return !r.Close && !c.isEnding()
}

// waitForRequest waits for the first byte of a request. Meanwhile it detects a caller that closes
// the connection, and then cancels the requests that run.
func (c *connection) waitForRequest() bool {
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return !c.isEnding() // what follows the last request is not read
		case errors.Is(err, os.ErrDeadlineExceeded) && c.removeDeadline():
			// a request runs
		case errors.Is(err, os.ErrDeadlineExceeded):
			return false
		default:
			c.recordEnd(callerClosed)
			c.cancel()
			return false
		}
	}
}

// startExchange adds an exchange to the order of responses. It blocks while maxPipelined requests
// run. It returns nil if no further request is read.
func (c *connection) startExchange() *exchange {
	c.pipelineSlots <- struct{}{}
	e := &exchange{connection: c, begun: time.Now(), done: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for c.unwritten > maxUnwrittenBytes && !c.broken {
		c.written.Wait()
	}
	if c.ending {
		<-c.pipelineSlots
		return nil
	}
	c.inFlight++
	if c.lastExchange != nil {
		e.previous = c.lastExchange.done
	}
	c.lastExchange = e
	return e
}

// endExchange records that a request is answered.
func (c *connection) endExchange() {
	c.mutex.Lock()
	c.inFlight--
	idle := c.inFlight == 0
	c.mutex.Unlock()
	<-c.pipelineSlots
	if idle {
		c.setIdleDeadline()
	}
}

// setIdleDeadline starts the idle timeout, unless a request started meanwhile.
func (c *connection) setIdleDeadline() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inFlight > 0 || c.finishing {
		return
	}
	c.idleSince = time.Now()
	end := c.idleSince.Add(c.acceptor.idleTimeout())
	if c.closing {
		end = time.Now()
	}
	_ = c.socket.SetReadDeadline(end) // fails only when closed
}

// removeDeadline makes reads wait for input while a request runs; false means that none does. The
// idle timeout of a request that ends meanwhile stays.
func (c *connection) removeDeadline() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.inFlight == 0 {
		return false
	}
	_ = c.socket.SetReadDeadline(time.Time{}) // fails only when closed
	return true
}

func (c *connection) setReadingBody(v bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readingBody = v
}

// stop ends the contexts of the requests, and the wait for the rest of a body.
func (c *connection) stop(cause error) {
	c.stopRequests(cause)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readingBody && !c.finishing {
		_ = c.socket.SetReadDeadline(time.Now()) // fails only when closed
	}
}

func (c *connection) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ending
}

// isIdle reports whether no request runs and no response announced the end of the connection.
func (c *connection) isIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inFlight == 0 && !c.closing
}

// isRunning reports whether a request has no finished response.
func (c *connection) isRunning() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.inFlight > 0
}

func (c *connection) idleTime() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.idleSince)
}

func (c *connection) isBroken() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// announceEnd reports whether the response of an exchange can announce the end of the connection, after
// which no request is read. If a later request has started, the response to the last one does. Once
// requests are refused, no more of them are read before that.
func (c *connection) announceEnd(e *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = c.lastExchange == e
	c.ending = c.ending || c.closing || c.acceptor.refusing.Load()
	return c.closing
}

// recordEnd records who ended the connection early. The first cause counts.
func (c *connection) recordEnd(e endCause) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if lost := c.lossCause.Load(); lost != nil {
		e = *lost
	}
	if c.endCause == "" {
		c.endCause = e
	}
}

func (c *connection) earlyEnd() endCause {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.endCause
}

// abort closes the connection at once and cancels its requests.
func (c *connection) abort(e endCause) {
	c.recordEnd(e)
	c.mutex.Lock()
	c.broken, c.ending, c.closing = true, true, true
	c.written.Broadcast()
	c.mutex.Unlock()
	c.cancel()
	_ = c.socket.Close() // the socket may be closed already
}

// finish waits for the running requests and closes the connection. Meanwhile it detects a caller
// that closes the connection.
func (c *connection) finish() {
	if c.isIdle() {
		c.closeUnread()
		return
	}
	c.stopIdleTimeout()
	readerDone := make(chan struct{})
	go c.loop(readerDone)
	c.exchangesDone.Wait()
	if t, ok := c.socket.(*net.TCPConn); ok && !c.isBroken() {
		_ = t.CloseWrite()                                   // the caller may have disconnected
		_ = t.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only when closed
		<-readerDone
	}
	c.cancel()
	_ = c.socket.Close() // the socket may be closed already
	<-readerDone
}

// setReset makes a close of the connection reset it, or no longer. It is set while the end of the connection would end a
// body that is not sent as a whole.
func (c *connection) setReset(v bool) {
	t, ok := c.socket.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1 // the default
	if v {
		seconds = 0
	}
	_ = t.SetLinger(seconds) // fails only when closed
}

// stopIdleTimeout makes reads wait for input until finish sets a deadline. The deadline of a request
// or of the idle timeout would end the lingering close at once.
func (c *connection) stopIdleTimeout() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.finishing = true
	_ = c.socket.SetReadDeadline(time.Time{}) // fails only when closed
}

// closeUnread closes an idle connection. A request that is under way is not read, and the reset tells
// its caller at once.
func (c *connection) closeUnread() {
	if c.earlyEnd() == "" {
		c.acceptor.recordIdleClosed(c)
	}
	c.cancel()
	_ = c.socket.Close() // the socket may be closed already
}

// loop discards what the caller sends after its last request, until the caller closes the
// connection.
func (c *connection) loop(readerDone chan struct{}) {
	defer close(readerDone)
	if c.context.Err() != nil {
		return // the caller has disconnected
	}
	begun, head := time.Now(), make([]byte, loggedHeadBytes)
	n, err := c.reader.Read(head)
	delay, discarded := time.Since(begun), int64(n)
	if err == nil {
		var more int64
		more, err = io.Copy(io.Discard, c.reader)
		discarded += more
	}
	if discarded > 0 {
		c.acceptor.logDiscarded(c, head[:n], discarded, delay)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordEnd(callerClosed)
		c.cancel()
	}
}

// loseSeat closes the connection, whose seat another one gets.
func (c *connection) loseSeat() {
	c.lose(seatLost)
}

// losePlace closes the connection, whose memory others get.
func (c *connection) losePlace() {
	c.lose(memoryLost)
}

// lose closes the connection without a lock, so that it can be called at any point.
func (c *connection) lose(e endCause) {
	c.lossCause.Store(&e)
	_ = c.socket.Close() // the socket may be closed already
}

// openHeadPlace returns a place for a large head. The connection is closed if it is lost.
func (c *connection) openHeadPlace() *reserver.Place {
	return c.acceptor.config.Reserver.Open(c.losePlace)
}

// reserve changes the size of the buffered responses, and reports whether there is memory for them.
func (c *connection) reserve(bytes int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.place.Reserve(copiesHeld*(c.unwritten+bytes)) && bytes > 0 {
		return false
	}
	c.unwritten += bytes
	c.written.Broadcast()
	return true
}

// holdsResponses reports whether memory is reserved for buffered responses.
func (c *connection) holdsResponses() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unwritten > 0
}

// write sends a part of the response whose turn it is. A failure aborts the connection.
func (c *connection) write(parts ...[]byte) error {
	if c.holdsResponses() {
		c.place.Begin()
		defer c.place.End()
	}
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only when closed
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.socket)
	if err != nil {
		c.abort(writeFailed)
	}
	return err
}
