// Package forwarder sends a request to one target and passes its answer on whole.
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Bounds of connections to upstreams.
const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection counts as alive.
	idleTimeout      = time.Second
	idlePerTarget    = 64
	maxAnswerHeaders = 64 << 10
	copyBytes        = 32 << 10
)

// Config sets up a Forwarder.
type Config struct {
	Clock timekeeper.Clock
	// Fresh tells whether the view may be trusted now.
	Fresh func() bool
}

// Forwarder talks to upstreams. Requests that may run at most once each get a connection
// of their own, which the transport can't send twice on.
type Forwarder struct {
	config Config
	// open and keyed reuse connections; single opens one for each request.
	open   *http.Transport
	keyed  *http.Transport
	single *http.Transport
}

// errStale ends a request whose key may have been withdrawn before its first byte left.
var errStale = errors.New("the freshness lease ran out")

// NewForwarder returns a Forwarder.
func NewForwarder(c Config) *Forwarder {
	always := func() bool { return true }
	return &Forwarder{
		config: c,
		open:   newTransport(false, always),
		keyed:  newTransport(false, c.Fresh),
		single: newTransport(true, c.Fresh),
	}
}

// Close drops idle connections.
func (f *Forwarder) Close() {
	for _, t := range []*http.Transport{f.open, f.keyed, f.single} {
		t.CloseIdleConnections()
	}
}

// Forward sends the request of an exchange to a target and passes the answer on.
func (f *Forwarder) Forward(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, dispatcher.Result) {
	begun := f.config.Clock.Now()
	left := e.Deadline - begun
	if left <= 0 {
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline), dispatcher.Result{}
	}
	// A process or VM that was stopped since the key was checked finds its lease over.
	if !e.Route.Open() && !f.config.Fresh() {
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale), dispatcher.Result{}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s := &sending{}
	answer, err := f.transport(e.Route).RoundTrip(newRequest(context.WithValue(ctx, sendingKey{}, s), e, t, left))
	if err != nil {
		return f.failed(ctx, e, s, err), dispatcher.Result{Failed: blames(ctx, e, left)}
	}
	defer answer.Body.Close()
	return f.pass(ctx, e, answer, begun)
}

func (f *Forwarder) transport(r *parser.Route) *http.Transport {
	switch {
	case r.Open():
		return f.open
	case r.Repeatable():
		return f.keyed
	}
	return f.single
}

// failed judges a request without an answer. Only if no byte left on a connection of its
// own is it sure that the request did not run.
func (f *Forwarder) failed(ctx context.Context, e *handler.Exchange, s *sending, err error) handler.Outcome {
	sent := s.bytes.Load() > 0 || (e.Route.Repeatable() && !isDial(err))
	switch {
	case errors.Is(err, errStale) && s.bytes.Load() == 0:
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)
	case !sent && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	case !sent:
		return handler.Refuse(http.StatusBadGateway, handler.ReasonUpstream)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return handler.MayHaveRun(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
}

// pass hands an answer to the caller. A broken body is never passed off as a whole one.
func (f *Forwarder) pass(ctx context.Context, e *handler.Exchange, answer *http.Response, begun time.Duration) (handler.Outcome, dispatcher.Result) {
	if id := answer.Header.Get(handler.RequestHeader); id != "" && id != e.ID {
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched), dispatcher.Result{Failed: true}
	}
	if refused(answer) {
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom), dispatcher.Result{Failed: true}
	}
	copyHeader(e.Writer.Header(), answer.Header)
	e.Writer.Header().Set(handler.OutcomeHeader, string(handler.Done))
	e.Writer.Header().Set(handler.RequestHeader, e.ID)
	e.Writer.WriteHeader(answer.StatusCode)
	e.AnswerBegun = true
	result := dispatcher.Result{
		Latency: max(f.config.Clock.Now()-begun, time.Microsecond),
		Failed:  answer.StatusCode >= http.StatusInternalServerError,
		Leaving: answer.Close && e.Route.Repeatable(),
	}
	if err := copyBody(e.Writer, answer.Body); err != nil {
		result.Failed = ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream), result
	}
	return handler.Answered(), result
}

// refused tells whether an upstream says that it did not run the request.
func refused(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable &&
		strings.HasPrefix(r.Header.Get(handler.OutcomeHeader), string(handler.NotRun))
}

// buffers keeps the buffers of answers between requests.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// copyBody passes a body on as it comes, so that long answers begin at once.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	kept := buffers.Get().(*[]byte)
	defer buffers.Put(kept)
	buffer := *kept
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func newRequest(ctx context.Context, e *handler.Exchange, t *parser.Target, left time.Duration) *http.Request {
	u := *e.Request.URL
	u.Scheme, u.Host = "http", t.Address
	r := &http.Request{
		Method: e.Request.Method, URL: &u, Host: e.Request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, ContentLength: int64(len(e.Body)),
	}
	// GetBody stays unset, so that the transport has nothing to send a second time.
	if len(e.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(e.Body))
	}
	copyHeader(r.Header, e.Request.Header)
	authenticator.Strip(r.Header)
	r.Header.Del("Expect") // the body is here already
	r.Header.Set(handler.RequestHeader, e.ID)
	r.Header.Set(handler.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	if e.Team != nil {
		r.Header.Set(handler.TeamHeader, e.Team.Name)
	}
	return r.WithContext(ctx)
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// blames tells whether a missing answer speaks against the target: not if the caller went
// away, nor if the request came so late that no target could have answered in time.
func blames(ctx context.Context, e *handler.Exchange, left time.Duration) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return left >= e.Route.Timeout/2
	}
	return !errors.Is(ctx.Err(), context.Canceled)
}

func isDial(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// sending counts the writes on the connection of a request's own.
type sending struct {
	bytes atomic.Int64
}

type sendingKey struct{}

// guardedConnection checks the lease before every write, and notes that one happened.
type guardedConnection struct {
	net.Conn
	fresh   func() bool
	sending *sending
}

// Write notes before it writes, since a failed write may have sent something.
func (c guardedConnection) Write(b []byte) (int, error) {
	if !c.fresh() {
		return 0, errStale
	}
	if c.sending != nil {
		c.sending.bytes.Add(1)
	}
	return c.Conn.Write(b)
}

// newTransport returns a transport whose connections write only while fresh. A single
// one uses each connection once.
func newTransport(single bool, fresh func() bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaders,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			g := guardedConnection{Conn: c, fresh: fresh}
			if single {
				g.sending, _ = ctx.Value(sendingKey{}).(*sending)
			}
			return g, nil
		},
	}
}
