// Package carrier exchanges requests and answers with targets over connections that it
// keeps. It never sends a request twice, and tells whether anything of one was sent.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Bounds of connections to targets.
const (
	// dialTimeout is over three trips between the farthest regions.
	dialTimeout = 250 * time.Millisecond
	// silence is how long sent bytes may stay without a word from the target's system.
	silence = 1500 * time.Millisecond
	// keepAlive is the pause between probes of a target that works on a request.
	keepAlive = time.Second
	// defaultIdle is how long an unused connection is kept where the target does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of the target's idle time after which it is not trusted to be
	// open any more; for requests that must not be repeated the part is half of that.
	idleMargin = 0.6
	// maxHeader bounds the head of an answer in bytes.
	maxHeader = 64 << 10
	// maxBuffered is the size up to which an answer is held before it is passed on, and
	// maxUnknown the same where its end is not known or it is not the target's own: a target
	// in trouble may send bytes without end.
	maxBuffered = 1 << 20
	maxUnknown  = 64 << 10
	// maxStrays is how many answers to other requests are skipped before one's own.
	maxStrays = 2
	// asideBytes is the size from which a body is sent while the answer is awaited, since a
	// target may answer before it has read all.
	asideBytes = 2 << 10
	maxIdle    = 32
	// maxInterim is how many interim answers (1xx) are skipped before the final one.
	maxInterim = 8
)

// ErrStray means that what the target sent belongs to other requests.
var ErrStray = errors.New("the target answered another request")

var errEarlyClose = errors.New("the target closed the connection before it answered")

// Config sets up a Carrier.
type Config struct {
	Clock timekeeper.Clock
	// RequestHeader is the header in which targets echo a request's id.
	RequestHeader string
	// Genuine tells by an answer's head whether it is the target's own; nil means that all are.
	Genuine func(status int, h http.Header) bool
}

// Carrier holds the connections to all targets.
type Carrier struct {
	config Config
	dialer net.Dialer
	mutex  sync.Mutex
	idle   map[string][]*connection
}

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the request target as it stands in the request line.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the target echoes.
	ID string
	// Once tells that the request must not be repeated, so that only a connection that
	// was used very lately is used again.
	Once bool
	// Before is called right before the first byte is sent; false stops the request.
	Before func() bool
}

// Answer is a target's answer. Its body is whole unless Rest is set.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the body behind Body, read as it comes; it must be read to its end or closed.
	Rest io.ReadCloser
	// Closes tells that the target ends the connection behind the answer.
	Closes bool
	// Dialed is the time that a new connection took; 0 for a kept one.
	Dialed time.Duration
}

// Failure says why there is no answer.
type Failure struct {
	Err error
	// Sent tells that something of the request may have reached the target.
	Sent bool
	// Stopped tells that Before stopped the request.
	Stopped bool
	// Refused tells that no connection could be made.
	Refused bool
}

// NewCarrier returns a Carrier without connections.
func NewCarrier(c Config) *Carrier {
	return &Carrier{
		config: c,
		idle:   map[string][]*connection{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
			Control:         limitSilence,
		},
	}
}

// limitSilence lets the system give a connection up whose peer does not confirm bytes.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var err error
	controlled := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
	})
	return errors.Join(controlled, err)
}

// Close drops the kept connections.
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

// Drop closes the kept connections to an address.
func (c *Carrier) Drop(address string) {
	c.mutex.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mutex.Unlock()
	for _, n := range list {
		n.close()
	}
}

// Exchange sends a request to an address and reads the answer. The request ends with the
// context, and with it its connection.
func (c *Carrier) Exchange(ctx context.Context, address string, r *Request) (*Answer, *Failure) {
	n, dialed, err := c.connection(ctx, address, r.Once)
	if err != nil {
		return nil, &Failure{Err: err, Refused: true}
	}
	if r.Before != nil && !r.Before() {
		c.keep(n)
		return nil, &Failure{Err: errors.New("stopped before the first byte"), Stopped: true}
	}
	release := context.AfterFunc(ctx, n.close)
	a, sent, err := n.exchange(r, c.config)
	if err != nil {
		release()
		n.close()
		return nil, &Failure{Err: err, Sent: sent}
	}
	a.Dialed = dialed
	if a.Rest != nil {
		a.Rest = &rest{Reader: a.Rest, finish: func(whole bool) { c.finish(n, release, whole && !a.Closes) }}
		return a, nil
	}
	c.finish(n, release, !a.Closes)
	return a, nil
}

// finish keeps a connection for the next request if it is sound.
func (c *Carrier) finish(n *connection, release func() bool, sound bool) {
	if !release() || !sound || n.reader.Buffered() > 0 || n.sending() {
		n.close()
		return
	}
	c.keep(n)
}

func (c *Carrier) keep(n *connection) {
	n.since, n.used = c.config.Clock.Now(), true
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[n.address]
	for len(list) > 0 && (len(list) >= maxIdle || n.since-list[0].since > list[0].idle) {
		list[0].close()
		list = list[1:]
	}
	c.idle[n.address] = append(list, n)
}

// connection returns a kept connection that is surely open, or a new one.
func (c *Carrier) connection(ctx context.Context, address string, once bool) (*connection, time.Duration, error) {
	for n := c.take(address, once); n != nil; n = c.take(address, once) {
		if n.open() {
			return n, 0, nil
		}
		n.close()
	}
	begun := c.config.Clock.Now()
	s, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, 0, err
	}
	limit := &io.LimitedReader{R: s, N: math.MaxInt64}
	n := &connection{address: address, socket: s, limit: limit, reader: bufio.NewReader(limit), idle: defaultIdle}
	return n, c.config.Clock.Now() - begun, nil
}

func (c *Carrier) take(address string, once bool) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	n := list[len(list)-1]
	trusted := time.Duration(float64(n.idle) * idleMargin)
	if once {
		trusted /= 2
	}
	if c.config.Clock.Now()-n.since > trusted {
		if once {
			return nil // others may still use it
		}
		delete(c.idle, address)
		for _, old := range list {
			old.close()
		}
		return nil
	}
	c.idle[address] = list[:len(list)-1]
	return n
}

// connection is one connection to a target.
type connection struct {
	address string
	socket  net.Conn
	// limit bounds what a head may take.
	limit  *io.LimitedReader
	reader *bufio.Reader
	// idle is how long the target keeps the connection open without a request.
	idle time.Duration
	// since is when the connection was last used.
	since time.Duration
	// used tells that the connection carried a request before.
	used bool
	// aside is closed once a body that is sent beside the reading is out.
	aside chan struct{}
}

func (n *connection) close() {
	_ = n.socket.Close() // it may be closed already
}

// open tells whether the target has neither closed the connection nor sent anything on it.
func (n *connection) open() bool {
	if n.reader.Buffered() > 0 {
		return false
	}
	s, ok := n.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// sending tells whether a body is still on its way out.
func (n *connection) sending() bool {
	if n.aside == nil {
		return false
	}
	select {
	case <-n.aside:
		return false
	default:
		return true
	}
}

func (n *connection) exchange(r *Request, c Config) (a *Answer, sent bool, err error) {
	head := r.head()
	n.aside = nil
	if len(r.Body) < asideBytes {
		_, err = n.socket.Write(append(head, r.Body...))
		if err != nil {
			return nil, true, err
		}
	} else {
		n.aside = make(chan struct{})
		go n.run(head, r.Body)
	}
	for range maxStrays + 1 {
		a, err = n.read(r, c)
		if err != nil {
			return nil, true, err
		}
		if id := a.Header.Get(c.RequestHeader); c.RequestHeader == "" || id == r.ID || id == "" {
			return a, true, nil
		}
		if !n.used || a.Closes || a.Rest != nil {
			break // only a used connection can hold answers to earlier requests
		}
	}
	return nil, true, ErrStray
}

// run sends a long request while its answer is awaited.
func (n *connection) run(head, body []byte) {
	defer close(n.aside)
	buffers := net.Buffers{head, body}
	if _, err := buffers.WriteTo(n.socket); err != nil {
		n.reset() // the reading sees the same, after an answer that came first
	}
}

// reset lets a failed sending end the reading, unless an answer is there already.
func (n *connection) reset() {
	_ = n.socket.SetReadDeadline(time.Now().Add(silence)) // fails only when closed
}

// read reads one final answer.
func (n *connection) read(r *Request, c Config) (*Answer, error) {
	for range maxInterim + 1 {
		n.limit.N = maxHeader
		answer, err := http.ReadResponse(n.reader, &http.Request{Method: r.Method})
		n.limit.N = math.MaxInt64
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			err = errEarlyClose
		}
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return n.body(answer, c.held(answer))
		}
	}
	return nil, ErrStray
}

// held is the size up to which an answer is held before it is passed on.
func (c Config) held(answer *http.Response) int64 {
	sized := answer.ContentLength >= 0 && answer.ContentLength < maxBuffered
	if sized && (c.Genuine == nil || c.Genuine(answer.StatusCode, answer.Header)) {
		return maxBuffered
	}
	return maxUnknown
}

func (n *connection) body(answer *http.Response, held int64) (*Answer, error) {
	a := &Answer{Status: answer.StatusCode, Header: answer.Header, Closes: answer.Close}
	n.idle = idleTime(answer.Header)
	var b bytes.Buffer
	if answer.ContentLength > 0 && answer.ContentLength <= held {
		b.Grow(int(answer.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(io.LimitReader(answer.Body, held))
	if err != nil {
		return nil, err
	}
	a.Body = b.Bytes()
	if int64(b.Len()) == held {
		a.Rest = answer.Body
		return a, nil
	}
	return a, answer.Body.Close()
}

// idleTime returns how long a target keeps a connection without a request.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s >= 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return defaultIdle
}

// head returns the request line and the header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // a buffer takes every write
	b.WriteString("\r\n")
	return b.Bytes()
}

// rest is the part of a body that is passed on as it comes.
type rest struct {
	io.Reader
	finish func(whole bool)
	done   bool
}

// Read reads on; the end of the body frees the connection.
func (r *rest) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

// Close gives up what was not read.
func (r *rest) Close() error {
	r.end(false)
	return nil
}

func (r *rest) end(whole bool) {
	if !r.done {
		r.done = true
		r.finish(whole)
	}
}
