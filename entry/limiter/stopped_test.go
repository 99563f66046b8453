package limiter

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestStoppedWaits guards against callers that are told that their team's limit is reached, since the
// process stops while their requests wait for tokens.
func TestStoppedWaits(t *testing.T) {
	clock := timekeeper.NewClock()
	team := &parser.Team{Name: "lamps", Rate: 200, Burst: 200}
	view := &receiver.View{Configuration: &parser.Configuration{
		Teams: map[string]*parser.Team{"lamps": team}, Limits: parser.Limits{LimitWait: time.Minute},
	}}
	look := func() *receiver.View { return view }
	divided := func(_ context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
		return &wire.BorrowResponse{Loans: []*wire.TokenLoan{{Team: demands[0].GetTeam(), Divided: true}}}, nil
	}
	steps := map[string]func(t *testing.T) handler.Step{
		"for a share": func(t *testing.T) handler.Step {
			b := NewBorrower(BorrowerConfig{Clock: clock, Scope: tally.NoopScope, Call: divided})
			go func() { _ = b.Run(t.Context()) }() // ends with the context
			return NewShareLimiter(ShareLimiterConfig{
				Clock: clock, Borrower: b, View: look, Share: func(string) float64 { return 0 }, ShareChanged: func() <-chan struct{} { return nil },
			}).Step()
		},
		"for a grant": func(t *testing.T) handler.Step {
			g := supervisor.NewGroup(supervisor.Config{})
			t.Cleanup(g.Stop)
			n, err := connector.NewConnector(connector.Config{})
			if err != nil {
				t.Fatal(err)
			}
			return NewGrantLimiter(GrantLimiterConfig{
				Clock: clock, Scope: tally.NoopScope, Connector: n, Group: g, Self: &wire.EntryMember{Name: "entry1", Incarnation: 1},
				View: look, MaySpend: func() bool { return true },
			}).Step()
		},
	}
	for name, newStep := range steps {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			defer time.AfterFunc(50*time.Millisecond, func() { cancel(handler.ErrStopping) }).Stop()
			o := newStep(t).Handle(ctx, &handler.Exchange{View: view, Team: team, Deadline: clock.Now() + time.Minute})
			is.Equal(o.Run, handler.NotRun)
			is.Equal(o.Status, http.StatusServiceUnavailable)
			is.Equal(o.Reason, handler.ReasonStopping)
		})
	}
}
