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
}

// Handler serves callers.
type Handler struct {
	config  Config
	latency tally.Histogram
}

// NewHandler returns a Handler that takes requests through the steps in their order.
func NewHandler(c Config) *Handler {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &Handler{config: c, latency: c.Scope.Histogram("requestTime", buckets)}
}

// ServeHTTP takes one request through the steps and states its outcome.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &Exchange{
		Writer: w, Request: r, View: h.config.View(),
		ID: newID(), Begun: h.config.Clock.Now(),
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
		panic(http.ErrAbortHandler) // net/http closes the connection, so that the caller sees the cut
	}
	h.refuse(e, o)
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
	header := e.Writer.Header()
	header.Set(OutcomeHeader, string(o.Run)+"; reason="+string(o.Reason))
	header.Set(RequestHeader, e.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	if o.Status == http.StatusTooManyRequests || o.Status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	e.Writer.WriteHeader(o.Status)
	_, _ = e.Writer.Write([]byte(string(o.Run) + ": " + string(o.Reason) + "\n")) // the caller has gone
}

func (h *Handler) count(e *Exchange, o Outcome, step string) {
	route := "none"
	if e.Route != nil {
		route = e.Route.Name
	}
	tags := map[string]string{"route": route, "team": e.TeamName(), "run": string(o.Run), "reason": string(o.Reason), "step": step}
	h.config.Scope.Tagged(tags).Counter("requests").Inc(1)
	h.latency.RecordDuration(h.config.Clock.Now() - e.Begun)
}

// retryAfterSeconds is what refused callers are asked to wait.
const retryAfterSeconds = 1

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, says crypto/rand
	return hex.EncodeToString(b[:])
}
