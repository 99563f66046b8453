package entry

import (
	"context"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/tallier"
)

const (
	// handOverTimeout bounds the wait at a stop for control to have the last counts. It covers a poll
	// that is held and the one after it.
	handOverTimeout  = time.Second
	handOverInterval = 20 * time.Millisecond
)

func newTallier(s Settings) *tallier.Tallier {
	return tallier.NewTallier(tallier.Config{Now: time.Now, Window: s.UsageWindow})
}

// sendFunc sends a request to a target and waits for the response.
type sendFunc func(ctx context.Context, e *handler.Exchange, t *parser.Target) *forwarder.SendResult

// countSends returns send, and counts the requests of teams that targets may have begun to run.
func countSends(u *tallier.Tallier, send sendFunc) sendFunc {
	if !u.Enabled() {
		return send
	}
	return func(ctx context.Context, e *handler.Exchange, t *parser.Target) *forwarder.SendResult {
		if e.Team == nil {
			return send(ctx, e, t)
		}
		window := u.Begin(e.Team.Name)
		s := send(ctx, e, t)
		if s.Response == nil && s.Outcome.Run == handler.NotRun {
			u.Cancel(e.Team.Name, window)
		}
		return s
	}
}

// forwardFunc sends a request to a target and writes the response to the caller.
type forwardFunc func(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, dispatcher.Result)

// countForwards is countSends for the mode with roles.
func countForwards(u *tallier.Tallier, forward forwardFunc) forwardFunc {
	if !u.Enabled() {
		return forward
	}
	return func(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, dispatcher.Result) {
		if e.Team == nil {
			return forward(ctx, e, t)
		}
		window := u.Begin(e.Team.Name)
		o, r := forward(ctx, e, t)
		if o.Run == handler.NotRun {
			u.Cancel(e.Team.Name, window)
		}
		return o, r
	}
}

// handOverUsage waits until control has the counts of this entry, for at most handOverTimeout and not
// past end.
func handOverUsage(u *tallier.Tallier, end time.Time) {
	for limit := time.Now().Add(handOverTimeout); !u.HandedOver() && time.Now().Before(limit) && time.Now().Before(end); {
		time.Sleep(handOverInterval)
	}
}
