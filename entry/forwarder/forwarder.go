// Package forwarder sends a request to one target and writes its response to the caller. A
// truncated response is never presented as a complete one.
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

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// copyBufferBytes is the size of the buffers that copy long responses.
const copyBufferBytes = 32 << 10

// Config configures a Forwarder.
type Config struct {
	Clock timekeeper.Clock
	// Fresh reports whether keyed requests may be served from the current view.
	Fresh func() bool
	// Dialect holds the names of the headers; nil means the default.
	Dialect *handler.Dialect
	// Record is called after each exchange with whether the target was reached, unless the end of the
	// exchange does not show it; nil means never.
	Record func(t *parser.Target, reached bool)
	Logger logger.Logger
	// Seats count the connections to targets; nil counts nothing.
	Seats *reserver.Seats
	// Scope counts responses that don't count; nil counts nothing.
	Scope tally.Scope
}

// Forwarder sends requests to the targets of upstreams.
type Forwarder struct {
	config  Config
	carrier *carrier.Carrier
	skipped tally.Counter
	invalid tally.Counter
}

// SendResult is the result of sending a request to one target.
type SendResult struct {
	// Outcome is the zero value if Response is set.
	Outcome handler.Outcome
	Result  dispatcher.Result
	// Response is the response; nil if there is none that may be written to the caller.
	Response *carrier.Response
	// Refused reports whether the target stated that it did not run the request.
	Refused bool
	// Misdirected reports whether another target runs at the address.
	Misdirected bool
	// Unreachable reports whether no connection could be established.
	Unreachable bool
	// LeavingTarget names the target if it stated that it is leaving; else it is empty.
	LeavingTarget string
	// TurnedAway is how long the target wants no further requests of this entry; 0 if it did not say
	// so. TurnAwayInvalid reports whether it stated a time that can't be used.
	TurnedAway      time.Duration
	TurnAwayInvalid bool
	// Load is the load that the target reported; nil if it reported none.
	Load *Load
	// Origin describes the connection, and ConnectionLost reports whether it, or a kept one, broke: the
	// target may have restarted.
	Origin         carrier.Origin
	ConnectionLost bool
	// Withheld reports whether the request was not sent since the target is cold, or did not state whether it
	// is.
	Withheld bool
	// Status is the status of the target's response, and Match how it was matched to the request; 0 and
	// the zero value if there was none.
	Status int
	Match  carrier.Match
	// Invalid describes the head of a response that was invalid, so that nothing in it counts; else it is empty.
	Invalid string
}

// Evidence describes the response for the request's log line. It is nil if there was none.
func (s *SendResult) Evidence() *handler.Evidence {
	if s.Status == 0 && s.Invalid == "" {
		return nil
	}
	return &handler.Evidence{Status: s.Status, Invalid: s.Invalid, HasID: s.Match.ID != "", Earlier: s.Match.Earlier, Skipped: s.Match.Skipped}
}

// NewForwarder returns a Forwarder.
func NewForwarder(c Config) *Forwarder {
	if c.Dialect == nil {
		d := handler.DefaultDialect()
		c.Dialect = &d
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	f := &Forwarder{config: c, skipped: c.Scope.Counter("responsesSkipped"), invalid: c.Scope.Counter("responsesInvalid")}
	f.carrier = carrier.NewCarrier(carrier.Config{
		Clock: c.Clock, RequestHeader: c.Dialect.RequestID, IsOwnResponse: f.isOwnResponse, IsRefusal: c.Dialect.Refused,
		Skipped: f.recordSkipped, Seats: c.Seats,
	})
	return f
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.carrier.Close()
}

// Forward sends the request of an exchange to a target and writes the response to the caller.
func (f *Forwarder) Forward(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, dispatcher.Result) {
	s := f.Send(ctx, e, t)
	if s.Response == nil {
		return s.Outcome, s.Result
	}
	return f.WriteResponse(ctx, e, s)
}

// Send sends the request of an exchange to a target and waits for the response.
func (f *Forwarder) Send(ctx context.Context, e *handler.Exchange, t *parser.Target) *SendResult {
	begun := f.config.Clock.Now()
	left := e.Deadline - begun
	if left <= 0 {
		return &SendResult{Outcome: handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)}
	}
	// The lease may have expired if the process or its VM was paused since the key was checked.
	if !e.Route.Open() && !f.config.Fresh() {
		return &SendResult{Outcome: handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)}
	}
	r := f.newRequest(e, t, left)
	if !e.Route.Open() {
		r.BeforeSend = f.config.Fresh
	}
	r.Check = f.newCheck(e, t, r)
	response, failed := f.exchange(ctx, e, t.Address, r, left)
	if failed != nil {
		f.recordFailure(t, failed)
		return failed
	}
	f.record(t, true)
	return f.classifyResponse(e, t, response, f.config.Clock.Now()-begun)
}

// exchange sends a request and waits for the response, for the time that is left. That time also
// bounds the rest of a long response.
func (f *Forwarder) exchange(ctx context.Context, e *handler.Exchange, address string, r *carrier.Request, left time.Duration) (*carrier.Response, *SendResult) {
	ctx, cancel := context.WithTimeout(ctx, left)
	response, failure := f.carrier.Exchange(ctx, address, r)
	if failure != nil {
		defer cancel()
		s := f.classifyFailure(ctx, e, failure, left)
		f.recordInvalid(e, address, s, failure)
		return nil, s
	}
	if response.Remainder == nil {
		cancel()
		return response, nil
	}
	response.Remainder = &boundedBody{ReadCloser: response.Remainder, cancel: cancel}
	return response, nil
}

// boundedBody is the rest of a body whose context must last until it is closed.
type boundedBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and releases its context.
func (b *boundedBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// recordFailure records that a target was not reached, unless the caller or the deadline ended the
// exchange early. A target that answers another request, or sends an invalid head, is reached.
func (f *Forwarder) recordFailure(t *parser.Target, s *SendResult) {
	if s.Result.Failed {
		f.record(t, s.Outcome.Reason == handler.ReasonUnmatched || s.Invalid != "")
	}
}

func (f *Forwarder) record(t *parser.Target, reached bool) {
	if f.config.Record != nil {
		f.config.Record(t, reached)
	}
}

// recordSkipped counts and logs a response that doesn't count for a request.
func (f *Forwarder) recordSkipped(address string, r *carrier.Request, a *carrier.Response) {
	f.skipped.Inc(1)
	f.config.Logger.Log(logger.ResponseSkipped, logger.F("request", r.ID), logger.F("address", address), logger.F("status", a.Status),
		logger.F("responseTo", a.Match.ID), logger.F("earlier", a.Match.Earlier))
}

// recordInvalid adds to the result of an exchange the invalid head that ended it, and counts and logs it.
func (f *Forwarder) recordInvalid(e *handler.Exchange, address string, s *SendResult, n *carrier.Failure) {
	var head *inspector.HeadError
	if !errors.As(n.Err, &head) {
		return
	}
	s.Invalid, s.Match = head.Text, carrier.Match{Earlier: n.Earlier}
	f.invalid.Inc(1)
	f.config.Logger.Log(logger.ResponseInvalid, logger.F("request", e.ID), logger.F("address", address), logger.F("head", head.Text),
		logger.F("earlier", n.Earlier))
}

// classifyFailure returns the result of a request without a response. It is certain that the
// request did not run only if nothing was sent.
func (f *Forwarder) classifyFailure(ctx context.Context, e *handler.Exchange, n *carrier.Failure, left time.Duration) *SendResult {
	s := &SendResult{Unreachable: n.Refused, Result: dispatcher.Result{Failed: isTargetFault(ctx, e, left)}, Origin: n.Origin}
	s.ConnectionLost = (n.Origin.Broken > 0 && !n.Origin.Checked) || ((n.Refused || n.Sent) && ctx.Err() == nil && !isInvalid(n.Err))
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if n.Withheld && ctx.Err() != nil {
		s.Result = dispatcher.Result{} // the check had less time than a target may need
	}
	switch {
	case n.Withheld && ctx.Err() == nil:
		s.Withheld, s.Outcome = true, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
		s.Result.Failed = s.Result.Failed && isLost(n.Err)
		s.ConnectionLost = s.ConnectionLost || s.Result.Failed
	case n.Stopped:
		s.Outcome, s.Result = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale), dispatcher.Result{}
	case !n.Sent && ctx.Err() != nil && !late:
		s.Outcome = handler.Abandoned(ctx, http.StatusServiceUnavailable)
	case !n.Sent && late:
		s.Outcome = handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	case !n.Sent:
		s.Outcome = handler.Refuse(http.StatusBadGateway, handler.ReasonUpstream)
	case late:
		s.Outcome = handler.MayHaveRun(http.StatusGatewayTimeout, handler.ReasonDeadline)
	case handler.IsStopped(ctx):
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonStopping)
	case errors.Is(n.Err, carrier.ErrUnmatched):
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched)
	case errors.As(n.Err, new(*inspector.HeadError)):
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonInvalid)
	default:
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	}
	return s
}

// isInvalid reports whether a target answered, though not the request.
func isInvalid(err error) bool {
	return errors.Is(err, carrier.ErrUnmatched) || errors.As(err, new(*inspector.HeadError))
}

// classifyResponse returns what a response means for the request and for its target.
func (f *Forwarder) classifyResponse(e *handler.Exchange, t *parser.Target, response *carrier.Response, took time.Duration) *SendResult {
	s := &SendResult{Origin: response.Origin, ConnectionLost: response.Origin.Broken > 0 && !response.Origin.Checked, Status: response.Status, Match: response.Match}
	if f.mayAnswerAnother(response) {
		s.Result = dispatcher.Result{Failed: true}
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched)
	} else {
		f.classifyOwn(s, e, response, took)
		f.readStatements(s, t, response)
	}
	if s.Response == nil && response.Remainder != nil {
		_ = response.Remainder.Close() // the response is not used
	}
	return s
}

// mayAnswerAnother reports whether a refusal is, as a whole or in part, that of an earlier request.
func (f *Forwarder) mayAnswerAnother(response *carrier.Response) bool {
	d := f.config.Dialect
	return d.IsContradictory(response.Status, response.Header) ||
		(d.Refused(response.Status, response.Header) && !response.Match.IsCertain())
}

// classifyOwn sets what the response to a request means for it and for its target.
func (f *Forwarder) classifyOwn(s *SendResult, e *handler.Exchange, response *carrier.Response, took time.Duration) {
	d := f.config.Dialect
	switch {
	case d.ExpectedTarget != "" && response.Status == http.StatusMisdirectedRequest:
		s.Misdirected, s.Refused = true, true
		s.Outcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	case d.Refused(response.Status, response.Header):
		s.Refused, s.Result = true, dispatcher.Result{Failed: true}
		s.Outcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	case !e.Route.Retryable() && d.PromisesNotRun(response.Status):
		// The target ran the request, or does not say so; its status would tell the caller the opposite.
		s.Result = dispatcher.Result{Failed: true}
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	case !f.isOwnResponse(response.Status, response.Header):
		s.Result = dispatcher.Result{Failed: true}
		s.Outcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUnmatched)
	default:
		s.Response = response
		s.Result = dispatcher.Result{
			Latency: max(took-response.Origin.DialTime-response.Origin.CheckTime, time.Microsecond),
			Failed:  response.Status >= http.StatusInternalServerError,
			Leaving: response.CloseAfter && e.Route.Retryable(),
		}
	}
}

// readStatements reads what a target states in a response about itself.
func (f *Forwarder) readStatements(s *SendResult, t *parser.Target, response *carrier.Response) {
	s.Load = ParseLoad(response.Header.Get(f.config.Dialect.Load))
	if s.Misdirected {
		return // another target responded
	}
	if statesLeaving(f.config.Dialect.Leaving, response.Header) {
		s.LeavingTarget, s.Result.Leaving = t.Name, true
	}
	if response.Status == http.StatusServiceUnavailable {
		d, ok := parseRetryAfter(response.Header)
		s.TurnedAway, s.TurnAwayInvalid = d, !ok
	}
}

// isOwnResponse reports whether the target itself made a response. Where the dialect has a
// signature, a successful response must carry it and the request's ID.
func (f *Forwarder) isOwnResponse(status int, h http.Header) bool {
	d := f.config.Dialect
	if d.Signature == "" || status >= http.StatusMultipleChoices {
		return true
	}
	return h.Get(d.Signature) != "" && h.Get(d.RequestID) != ""
}

// WriteResponse writes a response to the caller. If its body breaks off, the outcome is Unknown and
// the handler cuts the caller's connection, so that the body is not taken for a complete one.
func (f *Forwarder) WriteResponse(ctx context.Context, e *handler.Exchange, s *SendResult) (handler.Outcome, dispatcher.Result) {
	copyHeader(e.Writer.Header(), s.Response.Header)
	if f.config.Dialect.Outcome != "" {
		e.Writer.Header().Set(f.config.Dialect.Outcome, string(handler.Done))
	}
	e.Writer.Header().Set(f.config.Dialect.RequestID, e.ID)
	e.Writer.Header().Del(f.config.Dialect.Delegated) // only entries may set it
	if e.Delegated && s.LeavingTarget != "" {
		e.Writer.Header().Set(f.config.Dialect.Delegated, s.LeavingTarget) // the other entry must know it, too
	}
	return f.write(ctx, e, s)
}

// write writes the head and the body of a response.
func (f *Forwarder) write(ctx context.Context, e *handler.Exchange, s *SendResult) (handler.Outcome, dispatcher.Result) {
	response := s.Response
	e.Writer.WriteHeader(response.Status)
	e.ResponseStarted = true
	e.ReleaseBody() // no other target is tried any more
	if response.Remainder != nil {
		defer response.Remainder.Close()
	}
	if _, err := e.Writer.Write(response.Body); err != nil {
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonCallerGone), s.Result
	}
	if response.Remainder == nil {
		return handler.Answered(), s.Result
	}
	if err := copyBody(e.Writer, response.Remainder); err != nil {
		s.Result.Failed = ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
		s.ConnectionLost = s.ConnectionLost || ctx.Err() == nil
		return handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream), s.Result
	}
	return handler.Answered(), s.Result
}

// bufferPool holds the buffers of copyBody for reuse.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// copyBody copies a body as it arrives, so that callers receive long responses without delay.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	pooled := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(pooled)
	buffer := *pooled
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

// newRequest returns the request to a target.
func (f *Forwarder) newRequest(e *handler.Exchange, t *parser.Target, left time.Duration) *carrier.Request {
	d := f.config.Dialect
	r := f.copyRequest(e)
	d.Strip(r.Header)
	f.setHeaders(e, r, left)
	if e.Team != nil {
		r.Header.Set(d.Team, e.Team.Name)
	}
	if d.ExpectedTarget != "" {
		r.Header.Set(d.ExpectedTarget, t.Name)
	}
	return r
}

// copyRequest returns the caller's request with the headers that are not of its connection only.
func (f *Forwarder) copyRequest(e *handler.Exchange) *carrier.Request {
	r := &carrier.Request{
		Method: e.Request.Method, URI: e.Request.RequestURI, Host: e.Request.Host,
		Header: http.Header{}, Body: e.Body, ID: e.ID, AtMostOnce: !e.Route.Retryable(),
	}
	if r.URI == "" || !strings.HasPrefix(r.URI, "/") {
		r.URI = e.Request.URL.RequestURI() // the request target is in absolute form
	}
	copyHeader(r.Header, e.Request.Header)
	for _, name := range []string{"Expect", "Content-Length", "Host"} {
		r.Header.Del(name) // the body was read already, and the carrier frames it again
	}
	return r
}

// setHeaders sets the request's ID and the time that is left for it.
func (f *Forwarder) setHeaders(e *handler.Exchange, r *carrier.Request, left time.Duration) {
	r.Header.Set(f.config.Dialect.RequestID, e.ID)
	r.Header.Set(f.config.Dialect.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
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
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}

// isTargetFault reports whether a missing response counts as a failure of the target. It does not
// if the caller disconnected, or if the deadline passed and the request was sent with less than
// half of the route's timeout left, which even a healthy target might have exceeded.
func isTargetFault(ctx context.Context, e *handler.Exchange, left time.Duration) bool {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return left >= e.Route.Timeout/2
	}
	return !errors.Is(ctx.Err(), context.Canceled)
}
