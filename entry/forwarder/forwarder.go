// Package forwarder sends a request to one target and passes its answer on whole.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// copyBytes is the size of the buffers that pass long answers on.
const copyBytes = 32 << 10

// Config sets up a Forwarder.
type Config struct {
	Clock timekeeper.Clock
	// Fresh tells whether the view may be trusted now.
	Fresh func() bool
	// Dialect names the headers; nil means the product's own.
	Dialect *handler.Dialect
}

// Forwarder talks to upstreams.
type Forwarder struct {
	config  Config
	carrier *carrier.Carrier
}

// Sending is one request to one target, with what came of it.
type Sending struct {
	// Outcome is the zero value if the target answered.
	Outcome handler.Outcome
	Result  dispatcher.Result
	// Answer is nil if there is none that may be passed on.
	Answer *carrier.Answer
	// Refused tells that the target said that it did not run the request.
	Refused bool
	// Misdirected tells that another target runs at the address.
	Misdirected bool
	// Unreachable tells that no connection could be made.
	Unreachable bool
	// Load is what the target told of itself; nil if it did not.
	Load *Load
	// Dialed is the time that a new connection took; 0 for a kept one.
	Dialed time.Duration
}

// Load is what a target tells of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// NewForwarder returns a Forwarder.
func NewForwarder(c Config) *Forwarder {
	if c.Dialect == nil {
		own := handler.Own()
		c.Dialect = &own
	}
	f := &Forwarder{config: c}
	f.carrier = carrier.NewCarrier(carrier.Config{Clock: c.Clock, RequestHeader: c.Dialect.Request, Genuine: f.genuine})
	return f
}

// Close drops idle connections.
func (f *Forwarder) Close() {
	f.carrier.Close()
}

// Forward sends the request of an exchange to a target and passes the answer on.
func (f *Forwarder) Forward(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, dispatcher.Result) {
	s := f.Send(ctx, e, t)
	if s.Answer == nil {
		return s.Outcome, s.Result
	}
	return f.Pass(ctx, e, s)
}

// Send sends the request of an exchange to a target and waits for the answer.
func (f *Forwarder) Send(ctx context.Context, e *handler.Exchange, t *parser.Target) *Sending {
	begun := f.config.Clock.Now()
	left := e.Deadline - begun
	if left <= 0 {
		return &Sending{Outcome: handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)}
	}
	// A process or VM that was stopped since the key was checked finds its lease over.
	if !e.Route.Open() && !f.config.Fresh() {
		return &Sending{Outcome: handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r := f.request(e, t, left)
	if !e.Route.Open() {
		r.Before = f.config.Fresh
	}
	answer, failure := f.carrier.Exchange(ctx, t.Address, r)
	if failure != nil {
		return f.failed(ctx, e, failure, left)
	}
	return f.judge(e, answer, f.config.Clock.Now()-begun)
}

// failed judges a request without an answer. Only if nothing was sent is it sure that the
// request did not run.
func (f *Forwarder) failed(ctx context.Context, e *handler.Exchange, n *carrier.Failure, left time.Duration) *Sending {
	s := &Sending{Unreachable: n.Refused, Result: dispatcher.Result{Failed: blames(ctx, e, left)}}
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case n.Stopped:
		s.Outcome, s.Result = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale), dispatcher.Result{}
	case !n.Sent && ctx.Err() != nil && !late:
		s.Outcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonCallerGone)
	case !n.Sent && late:
		s.Outcome = handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	case !n.Sent:
		s.Outcome = handler.Refuse(http.StatusBadGateway, handler.ReasonUpstream)
	case late:
		s.Outcome = handler.MayHaveRun(http.StatusGatewayTimeout, handler.ReasonDeadline)
	case errors.Is(n.Err, carrier.ErrStray):
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched)
	default:
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	}
	return s
}

// judge tells what an answer says of the request and of its target.
func (f *Forwarder) judge(e *handler.Exchange, answer *carrier.Answer, took time.Duration) *Sending {
	d := f.config.Dialect
	s := &Sending{Load: readLoad(answer.Header.Get(d.Load)), Dialed: answer.Dialed}
	switch {
	case d.Expected != "" && answer.Status == http.StatusMisdirectedRequest:
		s.Misdirected, s.Refused = true, true
		s.Outcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom)
	case d.Refused(answer.Status, answer.Header):
		s.Refused, s.Result = true, dispatcher.Result{Failed: true}
		s.Outcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom)
	case !f.genuine(answer.Status, answer.Header):
		s.Result = dispatcher.Result{Failed: true}
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched)
	default:
		s.Answer = answer
		s.Result = dispatcher.Result{
			Latency: max(took-answer.Dialed, time.Microsecond),
			Failed:  answer.Status >= http.StatusInternalServerError,
			Leaving: answer.Closes && e.Route.Repeatable(),
		}
	}
	if s.Answer == nil && answer.Rest != nil {
		_ = answer.Rest.Close() // nobody wants it
	}
	return s
}

// genuine tells whether an answer is the target's own to this request.
func (f *Forwarder) genuine(status int, h http.Header) bool {
	d := f.config.Dialect
	if d.Signature == "" || status >= http.StatusMultipleChoices {
		return true
	}
	return h.Get(d.Signature) != "" && h.Get(d.Request) != ""
}

// Pass hands an answer to the caller. A broken body is never passed off as a whole one.
func (f *Forwarder) Pass(ctx context.Context, e *handler.Exchange, s *Sending) (handler.Outcome, dispatcher.Result) {
	answer := s.Answer
	copyHeader(e.Writer.Header(), answer.Header)
	if f.config.Dialect.Outcome != "" {
		e.Writer.Header().Set(f.config.Dialect.Outcome, string(handler.Done))
	}
	e.Writer.Header().Set(f.config.Dialect.Request, e.ID)
	e.Writer.WriteHeader(answer.Status)
	e.AnswerBegun = true
	if _, err := e.Writer.Write(answer.Body); err != nil {
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonCallerGone), s.Result
	}
	if answer.Rest == nil {
		return handler.Answered(), s.Result
	}
	defer answer.Rest.Close()
	if err := copyBody(e.Writer, answer.Rest); err != nil {
		s.Result.Failed = ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream), s.Result
	}
	return handler.Answered(), s.Result
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

func (f *Forwarder) request(e *handler.Exchange, t *parser.Target, left time.Duration) *carrier.Request {
	d := f.config.Dialect
	r := &carrier.Request{
		Method: e.Request.Method, URI: e.Request.RequestURI, Host: e.Request.Host,
		Header: http.Header{}, Body: e.Body, ID: e.ID, Once: !e.Route.Repeatable(),
	}
	if r.URI == "" || !strings.HasPrefix(r.URI, "/") {
		r.URI = e.Request.URL.RequestURI() // a request target in absolute form
	}
	copyHeader(r.Header, e.Request.Header)
	d.Strip(r.Header)
	for _, name := range []string{"Expect", "Content-Length", "Host"} {
		r.Header.Del(name) // the body is here already, and framed anew
	}
	r.Header.Set(d.Request, e.ID)
	r.Header.Set(d.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if e.Team != nil {
		r.Header.Set(d.Team, e.Team.Name)
	}
	if d.Expected != "" {
		r.Header.Set(d.Expected, t.Name)
	}
	return r
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

// readLoad reads running, waiting and slots, separated by commas; nil if it is malformed.
func readLoad(text string) *Load {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	return &Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}
