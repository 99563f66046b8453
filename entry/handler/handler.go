// Package handler runs each request through a pipeline: an ordered list of steps. It holds the
// types that the steps share.
package handler

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Step is one stage of the pipeline. Handle returns the zero Outcome to continue with the next
// step.
type Step struct {
	Name   string
	Handle func(ctx context.Context, e *Exchange) Outcome
}

// Config configures a Handler.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	View   func() *receiver.View
	Steps  []Step
	// Dialect holds the names of the headers; nil means the default.
	Dialect *Dialect
	// Trace is called at the end of each request; nil means that only truncated responses and
	// unknown outcomes are logged.
	Trace func(e *Exchange, o Outcome, step string, took time.Duration)
}

// Handler serves callers' requests.
type Handler struct {
	config  Config
	metrics *requestMetrics
}

// NewHandler returns a Handler that runs requests through the steps in their order.
func NewHandler(c Config) *Handler {
	if c.Dialect == nil {
		d := DefaultDialect()
		c.Dialect = &d
	}
	return &Handler{config: c, metrics: newRequestMetrics(c.Scope)}
}

// ServeHTTP runs one request through the steps and reports its outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &Exchange{
		Writer: w, Request: r, View: h.config.View(), CurrentView: h.config.View, Dialect: h.config.Dialect,
		ID: h.requestID(r), Delegated: r.Header.Get(h.config.Dialect.Delegated) != "", Start: h.config.Clock.Now(),
	}
	defer e.ReleaseBody()
	o, step := h.runSteps(r.Context(), e)
	if e.OnFinish != nil {
		e.OnFinish(o)
	}
	h.record(e, o, step)
	switch {
	case o.Run == Done, o.Relayed:
		return
	case e.ResponseStarted:
		h.config.Logger.Log(logger.RequestCut, logger.F("request", e.ID), logger.F("reason", string(o.Reason)))
		panic(http.ErrAbortHandler) // the server closes the connection, so that the caller sees a truncated response
	}
	h.writeFailure(e, o)
}

// Refuse refuses a request that arrives while the process stops. Other entries can serve it at once.
func (h *Handler) Refuse(w http.ResponseWriter, r *http.Request) {
	e := &Exchange{
		Writer: w, Request: r, View: h.config.View(), Dialect: h.config.Dialect,
		ID: h.requestID(r), Start: h.config.Clock.Now(),
	}
	o := Refuse(http.StatusServiceUnavailable, ReasonStopping)
	h.record(e, o, "")
	h.writeFailure(e, o)
}

// requestID returns the ID that the caller chose if the dialect allows that, the ID of a delegated
// request, or a new ID.
func (h *Handler) requestID(r *http.Request) string {
	if h.config.Dialect.CallerChoosesID || r.Header.Get(h.config.Dialect.Delegated) != "" {
		if id := r.Header.Get(h.config.Dialect.RequestID); id != "" {
			return id
		}
	}
	return newRequestID()
}

func (h *Handler) runSteps(ctx context.Context, e *Exchange) (Outcome, string) {
	for _, s := range h.config.Steps {
		if o := s.Handle(ctx, e); o.IsFinal() {
			return o, s.Name
		}
	}
	return MayHaveRun(http.StatusInternalServerError, ReasonNotAvailable), ""
}

func (h *Handler) writeFailure(e *Exchange, o Outcome) {
	if o.Run == Unknown {
		h.config.Logger.Log(logger.RequestUnknown, logger.F("request", e.ID), logger.F("reason", string(o.Reason)))
	}
	status := o.Status
	if h.config.Dialect.Status != nil {
		status = h.config.Dialect.Status(o)
	}
	header := e.Writer.Header()
	if h.config.Dialect.Outcome != "" {
		header.Set(h.config.Dialect.Outcome, string(o.Run)+"; reason="+string(o.Reason))
	}
	header.Set(h.config.Dialect.RequestID, e.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	if o.Reason == ReasonStopping && e.RetryAfter == 0 {
		e.RetryAfter = stoppingRetryAfter
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set("Retry-After", formatRetryAfter(e.RetryAfter))
	}
	e.Writer.WriteHeader(status)
	// Dialect.StatedRun reads the body.
	_, _ = e.Writer.Write([]byte(string(o.Run) + ": " + string(o.Reason) + "\n")) // fails only if the caller disconnected
}

func (h *Handler) record(e *Exchange, o Outcome, step string) {
	took := h.config.Clock.Now() - e.Start
	h.metrics.record(e, o, step, took)
	if h.config.Trace != nil {
		h.config.Trace(e, o, step, took)
	}
}

// stoppingRetryAfter is the Retry-After of requests that are refused because the process stops.
const stoppingRetryAfter = 10 * time.Millisecond

// defaultRetryAfter is the Retry-After of a refusal for which no step set one.
const defaultRetryAfter = time.Second

// formatRetryAfter formats a duration in seconds, with a decimal fraction if it has one.
func formatRetryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

func newRequestID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}
