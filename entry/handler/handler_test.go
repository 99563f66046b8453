package handler

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestRefuseRunsNoStep guards against a refusal during a shutdown that promises that the request has
// not run, while a step has seen it.
func TestRefuseRunsNoStep(t *testing.T) {
	is := is.New(t)
	ran, traced := false, Outcome{}
	h := NewHandler(Config{
		Clock: timekeeper.NewClock(), Scope: tally.NoopScope, View: func() *receiver.View { return &receiver.View{} },
		Steps: []Step{{Name: "step", Handle: func(context.Context, *Exchange) Outcome {
			ran = true
			return Outcome{}
		}}},
		Trace: func(_ *Exchange, o Outcome, _ string, _ time.Duration) { traced = o },
	})
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	h.Refuse(w, r)
	is.True(!ran)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "0.01")
	is.Equal(w.Header().Get(OutcomeHeader), string(NotRun)+"; reason="+string(ReasonStopping))
	is.Equal(traced.Reason, ReasonStopping) // the refusal is logged
}

// TestNoOutcomePromisesNothing guards against a promise that a request has not run, which rests on a step that has seen it
// and returned no outcome.
func TestNoOutcomePromisesNothing(t *testing.T) {
	is := is.New(t)
	h := NewHandler(Config{
		Clock: timekeeper.NewClock(), Logger: logger.NewLogger(logger.Config{Writer: io.Discard, Level: "info"}), Scope: tally.NoopScope,
		View:  func() *receiver.View { return &receiver.View{} },
		Steps: []Step{{Name: "step", Handle: func(context.Context, *Exchange) Outcome { return Outcome{} }}},
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body")))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(w.Header().Get(OutcomeHeader), string(Unknown)+"; reason="+string(ReasonNotAvailable))
}
