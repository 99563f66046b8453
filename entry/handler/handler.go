// Package handler carries each request through an ordered list of steps.
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

// Step handles one stage of a request. It returns the zero Outcome to let the next go on.
type Step struct {
	Name   string
	Handle func(ctx context.Context, e *Exchange) Outcome
}

// Config sets up a Handler.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	View   func() *receiver.View
	Steps  []Step
	// Dialect names the headers; nil means the product's own.
	Dialect *Dialect
	// Trace takes the line of each request; nil means that only failures are logged.
	Trace func(e *Exchange, o Outcome, step string, took time.Duration)
}

// Handler serves callers.
type Handler struct {
	config   Config
	counters *counters
}

// NewHandler returns a Handler that takes requests through the steps in their order.
func NewHandler(c Config) *Handler {
	if c.Dialect == nil {
		own := Own()
		c.Dialect = &own
	}
	return &Handler{config: c, counters: newCounters(c.Scope)}
}

// ServeHTTP takes one request through the steps and states its outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &Exchange{
		Writer: w, Request: r, View: h.config.View(), Dialect: h.config.Dialect,
		ID: h.id(r), Begun: h.config.Clock.Now(),
	}
	o, step := h.handle(r.Context(), e)
	if e.Finish != nil {
		e.Finish(o)
	}
	h.count(e, o, step)
	switch {
	case o.Run == Done:
		return
	case e.AnswerBegun:
		h.config.Logger.Log(logger.RequestCut, logger.F("request", e.ID), logger.F("reason", string(o.Reason)))
		panic(http.ErrAbortHandler) // the server closes the connection, so that the caller sees the cut
	}
	h.refuse(e, o)
}

// id returns the caller's own id of the request, or a new one.
func (h *Handler) id(r *http.Request) string {
	if h.config.Dialect.CallersName {
		if id := r.Header.Get(h.config.Dialect.Request); id != "" {
			return id
		}
	}
	return newID()
}

func (h *Handler) handle(ctx context.Context, e *Exchange) (Outcome, string) {
	for _, s := range h.config.Steps {
		if o := s.Handle(ctx, e); o.Over() {
			return o, s.Name
		}
	}
	return Refuse(http.StatusInternalServerError, ReasonNotAvailable), ""
}

func (h *Handler) refuse(e *Exchange, o Outcome) {
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
	header.Set(h.config.Dialect.Request, e.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfter(e.RetryAfter))
	}
	e.Writer.WriteHeader(status)
	_, _ = e.Writer.Write([]byte(string(o.Run) + ": " + string(o.Reason) + "\n")) // the caller has gone
}

func (h *Handler) count(e *Exchange, o Outcome, step string) {
	took := h.config.Clock.Now() - e.Begun
	h.counters.count(e, o, step, took)
	if h.config.Trace != nil {
		h.config.Trace(e, o, step, took)
	}
}

// defaultRetryAfter is what refused callers are asked to wait where no step knows better.
const defaultRetryAfter = time.Second

// retryAfter writes a time in seconds, with a fraction where it has one.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, says crypto/rand
	return hex.EncodeToString(b[:])
}
