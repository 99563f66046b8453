// Package carrier sends requests to targets over connections that it keeps alive, and reads their
// responses. It never sends a request twice, and reports whether any of it was sent.
package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/peeker"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Limits and timeouts of connections to targets.
const (
	// dialTimeout covers more than three trips between the farthest regions.
	dialTimeout = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged by the target's system
	// (TCP_USER_TIMEOUT).
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between TCP keep-alive probes while a target handles a request.
	keepAliveInterval = time.Second
	// defaultIdleTimeout is how long an unused connection is kept if the target does not state its
	// idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// reusableFraction is the fraction of the target's idle timeout after which a connection is no
	// longer reused, since the target may close it at any moment. It is half of that for requests that
	// must not be retried.
	reusableFraction = 0.6
	// earlyEndFraction is the fraction of the target's idle timeout before which the end of an unused
	// connection is unexpected.
	earlyEndFraction = 0.9
	// maxHeaderBytes bounds the head of a response.
	maxHeaderBytes = 64 << 10
	// maxBufferedBytes is the size up to which a response is buffered before it is passed on.
	// maxUnverifiedBytes is the same for a response of unknown or larger length, and for one that
	// IsOwnResponse does not accept: a faulty target may send bytes without end.
	maxBufferedBytes   = 1 << 20
	maxUnverifiedBytes = 64 << 10
	// maxUnmatched is how many responses to other requests are skipped before the request's own.
	maxUnmatched = 2
	// concurrentBodyBytes is the size from which a body is sent while the response is awaited, since a
	// target may respond before it has read the whole body.
	concurrentBodyBytes = 2 << 10
	maxIdlePerTarget    = 32
	// headBytes is the first size of the buffer for a head.
	headBytes = 512
	// maxCarried is the number of requests after which a connection is closed, since it remembers their
	// IDs.
	maxCarried = 1024
	// maxInterimResponses is how many interim responses (1xx) are skipped before the final one.
	maxInterimResponses = 8
)

// ErrUnmatched is the error if the target sent only responses to other requests, one that is merged with
// another, or too many interim ones.
var ErrUnmatched = errors.New("the target answered another request")

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

var errEarlyClose = errors.New("the target closed the connection before it answered")

// Config configures a Carrier.
type Config struct {
	Clock timekeeper.Clock
	// RequestHeader is the header in which targets echo a request's ID; empty means that they don't.
	RequestHeader string
	// IsOwnResponse reports from the head of a response whether the target itself made it; nil
	// means that all are.
	IsOwnResponse func(status int, h http.Header) bool
	// IsRefusal reports from the head of a response whether it states that the request has not run; nil
	// means that none does.
	IsRefusal func(status int, h http.Header) bool
	// Seats count the connections; nil counts nothing.
	Seats *reserver.Seats
	// Skipped is called for each response that was read and does not count; nil means never.
	Skipped func(address string, r *Request, a *Response)
}

// Carrier holds the connections to all targets. It sends requests with the same ID on different
// connections, so that the ID in a response tells which of them it answers. It is safe for concurrent use.
type Carrier struct {
	config Config
	dialer net.Dialer
	mutex  sync.Mutex
	idle   map[string][]*connection
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the request target as it stands in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's ID, which the target echoes.
	ID string
	// AtMostOnce means that the request must not be retried, so that only a connection that was in
	// use very recently is reused.
	AtMostOnce bool
	// BeforeSend is called right before the first byte is sent; false stops the request.
	BeforeSend func() bool
	// Check asks the target for its state before the request is sent; nil means never.
	Check *Check
}

// Response is a target's response. Body is complete unless Remainder is set.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder reads the part of the body after Body as it arrives; it must be read to its end or
	// closed.
	Remainder io.ReadCloser
	// Match describes the evidence that the response belongs to the request.
	Match Match
	// CloseAfter means that the target closes the connection after the response.
	CloseAfter bool
	// Origin describes the connection.
	Origin Origin
	// reason is the rest of the status line.
	reason string
}

// Match describes how a response was matched to its request.
type Match struct {
	// ID is the ID in the response; empty if it has none.
	ID string
	// Earlier is the number of requests that the connection carried before.
	Earlier int
	// Skipped is the number of responses that were read before and don't count.
	Skipped int
}

// IsCertain reports whether the response can't be an additional one to an earlier request: it bears an
// ID, which a connection carries once, or no earlier request was sent on its connection.
func (m Match) IsCertain() bool {
	return m.ID != "" || m.Earlier == 0
}

// Failure describes why there is no response.
type Failure struct {
	Err error
	// Sent means that a part of the request may have reached the target.
	Sent bool
	// Stopped means that BeforeSend stopped the request, and Withheld that its Check did.
	Stopped  bool
	Withheld bool
	// Refused means that no connection could be opened.
	Refused bool
	// Earlier is the number of requests that the connection carried before.
	Earlier int
	// Origin describes the connection.
	Origin Origin
}

// Origin describes where the connection of a request came from, and what the other kept connections to the
// same address show.
type Origin struct {
	// Dialed is set if the connection is a new one, and DialTime is the time that it took to open it.
	Dialed   bool
	DialTime time.Duration
	// Checked is set if the request's Check was sent, and CheckTime is the time that it took.
	Checked   bool
	CheckTime time.Duration
	// Broken is the number of kept connections that had ended before the target's idle timeout.
	Broken int
	// Open is set if a kept connection was still open.
	Open bool
}

// NewCarrier returns a Carrier without connections.
func NewCarrier(c Config) *Carrier {
	return &Carrier{
		config: c,
		idle:   map[string][]*connection{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
			Control:         setUserTimeout,
		},
	}
}

// setUserTimeout makes the system end a connection whose peer does not acknowledge sent bytes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlled := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.Join(controlled, err)
}

// Close closes the idle connections.
func (c *Carrier) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, list := range c.idle {
		for _, n := range list {
			n.close()
		}
	}
	c.idle = map[string][]*connection{}
}

// CloseIdle closes the idle connections to an address.
func (c *Carrier) CloseIdle(address string) {
	c.mutex.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mutex.Unlock()
	for _, n := range list {
		n.close()
	}
}

// Exchange sends a request to an address and reads the response. When the context ends, the
// exchange fails and its connection is closed.
func (c *Carrier) Exchange(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	if ctx.Err() != nil {
		return nil, &Failure{Err: ctx.Err()} // closing an idle connection would come too late to stop the request
	}
	n, o, err := c.acquire(ctx, address, r)
	if err != nil {
		return nil, &Failure{Err: err, Refused: true, Origin: o}
	}
	if r.Check.isDue(o) {
		begun := c.config.Clock.Now()
		n, err = c.check(ctx, n, r.Check)
		o.Checked, o.CheckTime = true, c.config.Clock.Now()-begun
		if err != nil {
			return nil, &Failure{Err: err, Withheld: true, Origin: o}
		}
	}
	if r.BeforeSend != nil && !r.BeforeSend() {
		n.close() // keeping it would hide how long the target has seen it idle
		return nil, &Failure{Err: errors.New("stopped before the first byte"), Stopped: true}
	}
	stop := context.AfterFunc(ctx, n.close)
	earlier := len(n.carried)
	a, sent, err := n.exchange(r, c.config)
	if err != nil {
		stop()
		n.close()
		return nil, &Failure{Err: err, Sent: sent, Earlier: earlier, Origin: o}
	}
	a.Origin = o
	if a.Remainder != nil {
		a.Remainder = &remainder{Reader: a.Remainder, finish: func(complete bool) { c.recycle(n, stop, complete && !a.CloseAfter) }}
		return a, nil
	}
	c.recycle(n, stop, !a.CloseAfter && !c.config.mayPrecedeAnswer(a))
	return a, nil
}

// mayPrecedeAnswer reports whether a response may be an additional one, behind which the request's own answer follows:
// a refusal that is not certain to answer this request. It would count for the next request.
func (c Config) mayPrecedeAnswer(a *Response) bool {
	return c.IsRefusal != nil && !a.Match.IsCertain() && c.IsRefusal(a.Status, a.Header)
}

// recycle keeps a connection for the next request if it is reusable, and closes it otherwise.
func (c *Carrier) recycle(n *connection, stop func() bool, reusable bool) {
	if !stop() || !reusable || n.reader.Buffered() > 0 || n.isSending() || n.sendError != nil || n.quotes || len(n.carried) >= maxCarried {
		n.close()
		return
	}
	c.putIdle(n)
}

func (c *Carrier) putIdle(n *connection) {
	n.idleSince = c.config.Clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[n.address]
	for len(list) > 0 && (len(list) >= maxIdlePerTarget || n.idleSince-list[0].idleSince > list[0].idleTimeout) {
		list[0].close()
		list = list[1:]
	}
	c.idle[n.address] = append(list, n)
}

// acquire returns an idle connection that is still open and has not carried the request's ID, or a new
// one.
func (c *Carrier) acquire(ctx context.Context, address string, r *Request) (*connection, Origin, error) {
	var o Origin
	if r.Check.needsNew() {
		return c.dial(ctx, address, o)
	}
	for n := c.takeIdle(address, r, &o); n != nil; n = c.takeIdle(address, r, &o) {
		if n.isOpen() {
			o.Open = true
			return n, o, nil
		}
		o.examine(c.config.Clock.Now(), n)
		n.close()
	}
	return c.dial(ctx, address, o)
}

// dial opens a connection.
func (c *Carrier) dial(ctx context.Context, address string, o Origin) (*connection, Origin, error) {
	o.Dialed = true
	begun := c.config.Clock.Now()
	s, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, o, err
	}
	c.config.Seats.AddTarget()
	n := &connection{address: address, seats: c.config.Seats, socket: s, idleTimeout: defaultIdleTimeout}
	n.headLimit = &io.LimitedReader{R: n, N: math.MaxInt64}
	n.reader = bufio.NewReader(n.headLimit)
	o.DialTime = c.config.Clock.Now() - begun
	return n, o, nil
}

// takeIdle removes the newest idle connection that may carry a request and returns it. If it returns nil, it has
// examined the other ones.
func (c *Carrier) takeIdle(address string, r *Request, o *Origin) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list, now := c.idle[address], c.config.Clock.Now()
	id := xxhash.Sum64String(r.ID)
	for i, n := range slices.Backward(list) {
		if n.isReusable(now, r.AtMostOnce) && !slices.Contains(n.carried, id) {
			c.idle[address] = slices.Delete(list, i, i+1)
			return n
		}
	}
	for _, n := range list {
		o.examine(now, n)
	}
	if len(list) > 0 && !list[len(list)-1].isReusable(now, false) {
		delete(c.idle, address)
		for _, old := range list {
			old.close()
		}
	}
	return nil
}

// examine records what a kept connection shows. A target may end it once its idle timeout has passed.
func (o *Origin) examine(now time.Duration, n *connection) {
	switch peeker.Peek(n.socket) {
	case peeker.Quiet:
		o.Open = true
	case peeker.Ended:
		if float64(now-n.idleSince) < earlyEndFraction*float64(n.idleTimeout) {
			o.Broken++
		}
	}
}

// connection is one connection to a target.
type connection struct {
	address string
	socket  net.Conn
	seats   *reserver.Seats
	// once counts the end of the connection.
	once sync.Once
	// headLimit bounds the bytes read for a head.
	headLimit *io.LimitedReader
	reader    *bufio.Reader
	// idleTimeout is how long the target keeps the connection open without a request.
	idleTimeout time.Duration
	// idleSince is when the connection became idle.
	idleSince time.Duration
	// carried holds the digests of the IDs of all requests that the connection carried.
	carried []uint64
	// hasIDs means that a response on the connection bore an ID, so that all of the target's do.
	hasIDs bool
	// quotes means that the last response held a second status line. The target may do so in each, which
	// then could not be told from merged ones, so that the connection is not kept.
	quotes bool
	// bodySent is closed once a body that is sent concurrently is written or has failed; nil if there
	// is none. sendError is the failure, set before.
	bodySent  chan struct{}
	sendError error
}

func (n *connection) close() {
	n.once.Do(n.seats.RemoveTarget)
	_ = n.socket.Close() // the socket may be closed already
}

// isReusable reports whether the connection has been idle for so short a time that it can carry another
// request. That time is shorter for requests that must not be retried.
func (n *connection) isReusable(now time.Duration, once bool) bool {
	limit := time.Duration(float64(n.idleTimeout) * reusableFraction)
	if once {
		limit /= 2
	}
	return now-n.idleSince <= limit
}

// isOpen reports whether the target has neither closed the connection nor sent anything on it.
func (n *connection) isOpen() bool {
	return n.reader.Buffered() == 0 && peeker.Peek(n.socket) == peeker.Quiet
}

// isSending reports whether a body is still being sent. If not, sendError is known.
func (n *connection) isSending() bool {
	if n.bodySent == nil {
		return false
	}
	select {
	case <-n.bodySent:
		return false
	default:
		return true
	}
}

// Read reads from the target. The end of the connection is io.EOF only if the target ended it in order, since it may end a
// body too.
func (n *connection) Read(b []byte) (int, error) {
	if !n.isSending() && n.sendError != nil {
		n.limitReadTime() // anew, since the caller may have paused
	}
	size, err := n.socket.Read(b)
	if err == io.EOF {
		err = n.findEnd()
	}
	return size, err
}

// findEnd returns io.EOF if the target ended the connection in order, or else the error that ended it. The system reports
// that error once; if a write got it, reads end as if in order.
func (n *connection) findEnd() error {
	if n.bodySent == nil {
		return io.EOF
	}
	_ = n.socket.SetWriteDeadline(time.Now()) // fails only when closed; the rest of the request has no effect on the response
	<-n.bodySent
	if n.sendError == nil || isAfterEnd(n.sendError) {
		return io.EOF
	}
	return n.sendError
}

// isAfterEnd reports whether a write failed after the end of the connection had arrived: findEnd stopped it, or a reset
// came behind that end (EPIPE; a reset without an end before it is ECONNRESET).
func isAfterEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}

// exchange sends a request and reads the response with its ID. Until one has an ID, the target may
// not echo them, and a response with none counts.
func (n *connection) exchange(r *Request, c Config) (a *Response, sent bool, err error) {
	head, match := r.head(), Match{Earlier: len(n.carried)}
	n.carried = append(n.carried, xxhash.Sum64String(r.ID))
	n.bodySent, n.sendError = nil, nil
	if len(r.Body) < concurrentBodyBytes {
		_, err = n.socket.Write(append(head, r.Body...))
		if err != nil {
			return nil, true, err
		}
	} else {
		n.bodySent = make(chan struct{})
		go n.run(head, r.Body)
	}
	for range maxUnmatched + 1 {
		a, err = n.readResponse(r, c)
		if err != nil {
			return nil, true, err
		}
		match.ID = a.Header.Get(c.RequestHeader)
		a.Match = match
		n.hasIDs = n.hasIDs || match.ID != ""
		n.quotes = a.holdsSecondStatusLine()
		isMerged := n.quotes && match.Earlier > 0
		if !isMerged && (c.RequestHeader == "" || match.ID == r.ID || !n.hasIDs) {
			return a, true, nil
		}
		if c.Skipped != nil {
			c.Skipped(n.address, r, a)
		}
		match.Skipped++
		if isMerged || match.Earlier == 0 || a.CloseAfter || a.Remainder != nil {
			break // no other response can follow
		}
	}
	return nil, true, ErrUnmatched
}

// holdsSecondStatusLine reports whether the head holds a status line in its reason phrase or a field, as if it were
// merged from an additional response that breaks off and the one behind it.
func (a *Response) holdsSecondStatusLine() bool {
	if statusLine.MatchString(a.reason) {
		return true
	}
	for _, values := range a.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// run sends a long request while its response is awaited.
func (n *connection) run(head, body []byte) {
	defer close(n.bodySent)
	buffers := net.Buffers{head, body}
	if _, n.sendError = buffers.WriteTo(n.socket); n.sendError != nil {
		n.limitReadTime() // the read fails too, unless a response arrived first
	}
}

// limitReadTime ends the read after a failed send, unless a response has arrived already. What has arrived can be read.
func (n *connection) limitReadTime() {
	_ = n.socket.SetReadDeadline(time.Now().Add(userTimeout)) // fails only when closed
}

// readResponse reads one final response.
func (n *connection) readResponse(r *Request, c Config) (*Response, error) {
	for range maxInterimResponses + 1 {
		n.headLimit.N = maxHeaderBytes
		response, err := inspector.ReadResponse(n.reader, r.Method)
		n.headLimit.N = math.MaxInt64
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			err = errEarlyClose
		}
		if err != nil {
			return nil, err
		}
		if inspector.IsFinal(response.StatusCode) {
			return n.readBody(response, c.bufferLimit(response))
		}
	}
	return nil, ErrUnmatched
}

// bufferLimit returns the size up to which a response is buffered before it is passed on.
func (c Config) bufferLimit(response *http.Response) int64 {
	sized := response.ContentLength >= 0 && response.ContentLength < maxBufferedBytes
	if sized && (c.IsOwnResponse == nil || c.IsOwnResponse(response.StatusCode, response.Header)) {
		return maxBufferedBytes
	}
	return maxUnverifiedBytes
}

// readBody reads the body up to limit; Remainder is set if there may be more.
func (n *connection) readBody(response *http.Response, limit int64) (*Response, error) {
	a := &Response{Status: response.StatusCode, Header: response.Header, CloseAfter: response.Close, reason: response.Status}
	n.idleTimeout = keepAliveTimeout(response.Header)
	var b bytes.Buffer
	if response.ContentLength > 0 && response.ContentLength <= limit {
		b.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, err
	}
	a.Body = b.Bytes()
	if int64(b.Len()) == limit {
		a.Remainder = response.Body
		return a, nil
	}
	return a, response.Body.Close()
}

// keepAliveTimeout returns how long a target keeps a connection open without a request.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}

// head returns the request line and the header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	size := headBytes
	if len(r.Body) < concurrentBodyBytes {
		size += len(r.Body) // the body is appended
	}
	b.Grow(size)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // a buffer accepts every write
	b.WriteString("\r\n")
	return b.Bytes()
}

// remainder is the part of a body that is passed on as it arrives.
type remainder struct {
	io.Reader
	finish func(complete bool)
	done   bool
}

// Read reads the next part; the end of the body releases the connection.
func (r *remainder) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

// Close discards what was not read, and the connection with it.
func (r *remainder) Close() error {
	r.end(false)
	return nil
}

func (r *remainder) end(complete bool) {
	if !r.done {
		r.done = true
		r.finish(complete)
	}
}
