package balancer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// TestAdmissionWhileFull checks what callers get while all targets are full: refused before anything is sent, held
// until they leave or the process stops, or served.
func TestAdmissionWhileFull(t *testing.T) {
	stopped := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithCancelCause(ctx)
		time.AfterFunc(20*time.Millisecond, func() { cancel(handler.ErrStopping) })
		return ctx
	}
	left := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithCancel(ctx)
		time.AfterFunc(20*time.Millisecond, cancel)
		return ctx
	}
	stays := func(ctx context.Context) context.Context { return ctx }
	cases := []struct {
		name    string
		load    float64
		hold    float64
		context func(context.Context) context.Context
		run     handler.Run
		reason  handler.Reason
	}{
		{"room", 0, 0.1, stays, handler.Done, ""},
		{"full", 100, 0.1, stays, handler.NotRun, handler.ReasonNoCapacity},
		{"held until the caller leaves", 100, 1000, left, handler.NotRun, handler.ReasonCallerGone},
		{"held until the process stops", 100, 1000, stopped, handler.NotRun, handler.ReasonStopping},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, e, sent := newAdmittingBalancer(c.hold)
			for _, v := range b.config.Picker.services["drafts"].targets {
				v.othersLoad, v.meanOthersLoad, v.reportedAt = c.load, c.load, b.config.Clock.Now()
			}
			o := b.balance(c.context(context.Background()), e)
			is.Equal(o.Run, c.run)
			is.Equal(o.Reason, c.reason)
			is.Equal(len(*sent) > 0, c.run == handler.Done)
			is.Equal(b.admission.queue.Len(), 0)
			is.Equal(e.RetryAfter > 0, c.reason == handler.ReasonNoCapacity)
			is.Equal(e.Trace.Cause != "", c.reason == handler.ReasonNoCapacity)
		})
	}
}

// newAdmittingBalancer returns a Balancer with admission, a request, and the names of the targets that it
// was sent to.
func newAdmittingBalancer(hold float64) (*Balancer, *handler.Exchange, *[]string) {
	b, view, sent := newBalancer(0, []func() *forwarder.SendResult{answers})
	b.config.Admitter = admitter.NewAdmitter(admitter.Config{Short: 0.85, LeastShare: 0.5, HoldShare: hold})
	b.config.Logger = logger.NewLogger(logger.Config{Writer: io.Discard})
	b.admission = newAdmission(b.config)
	b.config.Picker.Forecast(PickRequest{Service: "drafts", Allows: func(string) bool { return true }})
	s, dialect := &parser.Service{Name: "drafts"}, handler.DefaultDialect()
	return b, &handler.Exchange{
		View: view, Request: httptest.NewRequest(http.MethodGet, "/", nil), Dialect: &dialect, ID: "r", Service: s,
		Route: &parser.Route{Name: "r", Service: s, Timeout: time.Minute, Aim: 200 * time.Millisecond},
		Start: b.config.Clock.Now(), Deadline: b.config.Clock.Now() + time.Minute,
	}, sent
}
