package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/tallier"
)

// TestCounts checks which attempts count as usage: those that a target ran or may have run.
func TestCounts(t *testing.T) {
	notRun := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	unknown := handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	cases := []struct {
		name   string
		result forwarder.SendResult
		team   *parser.Team
		want   uint64
	}{
		{"a response", forwarder.SendResult{Response: &carrier.Response{}}, &parser.Team{Name: "a"}, 1},
		{"a lost response", forwarder.SendResult{Outcome: unknown}, &parser.Team{Name: "a"}, 1},
		{"refused by the target", forwarder.SendResult{Outcome: notRun, Refused: true}, &parser.Team{Name: "a"}, 0},
		{"unreachable", forwarder.SendResult{Outcome: notRun, Unreachable: true}, &parser.Team{Name: "a"}, 0},
		{"no team", forwarder.SendResult{Response: &carrier.Response{}}, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := tallier.NewTallier(tallier.Config{Now: time.Now, Window: time.Hour})
			send := countSends(u, func(context.Context, *handler.Exchange, *parser.Target) *forwarder.SendResult { return &c.result })
			send(t.Context(), &handler.Exchange{Team: c.team}, nil)
			checkCount(t, u, c.want)
			o := c.result.Outcome
			if c.result.Response != nil {
				o = handler.Answered()
			}
			u = tallier.NewTallier(tallier.Config{Now: time.Now, Window: time.Hour})
			forward := countForwards(u, func(context.Context, *handler.Exchange, *parser.Target) (handler.Outcome, dispatcher.Result) {
				return o, dispatcher.Result{}
			})
			forward(t.Context(), &handler.Exchange{Team: c.team}, nil)
			checkCount(t, u, c.want)
		})
	}
}

func checkCount(t *testing.T, u *tallier.Tallier, want uint64) {
	t.Helper()
	u.Confirm(nil, &wire.UsageReceipt{Term: 1})
	n := uint64(0)
	for _, w := range u.Report().GetWindows() {
		n += w.GetCounts()["a"]
	}
	is.New(t).Equal(n, want)
}
