package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// newRetrying returns a dispatcher with two targets, whose attempts have the scripted outcomes, and a
// request that may be retried.
func newRetrying(t *testing.T, script []handler.Outcome) (*Dispatcher, *handler.Exchange) {
	t.Helper()
	targets := map[string]*parser.Target{}
	s := &parser.Service{Name: "lamps", Version: "v1"}
	for _, name := range []string{"t1", "t2"} {
		targets[name] = &parser.Target{Name: name, Service: "lamps", Region: "north", Version: "v1", Slots: 1}
		s.Targets = append(s.Targets, targets[name])
	}
	self := &wire.EntryMember{Name: "entry1", Incarnation: 1}
	view := &receiver.View{
		Configuration: &parser.Configuration{Services: map[string]*parser.Service{"lamps": s}, Targets: targets},
		Entries:       map[string]*wire.EntryMember{"entry1": self},
		Roles:         map[string]*wire.Role{wire.Pool{Service: "lamps", Region: "north", Version: "v1"}.Role(): {Holder: "entry1", Incarnation: 1, Epoch: 1}},
	}
	look := func() *receiver.View { return view }
	clock, group := timekeeper.NewClock(), supervisor.NewGroup(supervisor.Config{})
	t.Cleanup(group.Stop)
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		t.Fatal(err)
	}
	g := NewGranter(GranterConfig{Clock: clock, Assert: asserter.NewPanicking(), View: look, HoldsRole: func(string) (uint64, bool) { return 1, true }})
	sent := 0
	d := NewDispatcher(Config{
		Clock: clock, Scope: tally.NoopScope, Region: "north",
		Client: NewClient(ClientConfig{Clock: clock, Connector: n, Group: group, Self: self, View: look, Granter: g}),
		Forward: func(context.Context, *handler.Exchange, *parser.Target) (handler.Outcome, Result) {
			sent++
			return script[sent-1], Result{Failed: true}
		},
	})
	return d, &handler.Exchange{
		View: view, Route: &parser.Route{Service: s, Class: parser.ClassIdempotent}, Selection: handler.Selection{Version: "v1"}, Deadline: clock.Now() + time.Second,
	}
}

// TestUncertainRetry guards against a promise that a request has not run, which its caller gets since
// the last attempt was refused, although an earlier one may have run it.
func TestUncertainRetry(t *testing.T) {
	unknown := handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	refused := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	cases := []struct {
		name   string
		script []handler.Outcome
		run    handler.Run
	}{
		{"broken, then refused", []handler.Outcome{unknown, refused, refused}, handler.Unknown},
		{"refused, then broken", []handler.Outcome{refused, unknown, refused}, handler.Unknown},
		{"refused", []handler.Outcome{refused, refused, refused}, handler.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, e := newRetrying(t, c.script)
			is.Equal(d.dispatch(t.Context(), e).Run, c.run)
		})
	}
}

// Guards against a request that waited for its permit and is sent to the address that the target had at the
// request's start, which may be another's by now.
func TestSendsToTheLatestAddress(t *testing.T) {
	is := is.New(t)
	d, e := newRetrying(t, []handler.Outcome{handler.Answered()})
	latest := *e.View
	c := *e.View.Configuration
	c.Targets = map[string]*parser.Target{}
	for name, old := range e.View.Configuration.Targets {
		n := *old
		n.Address = "moved"
		c.Targets[name] = &n
	}
	latest.Configuration = &c
	e.CurrentView = func() *receiver.View { return &latest }
	address := ""
	d.config.Forward = func(_ context.Context, _ *handler.Exchange, t *parser.Target) (handler.Outcome, Result) {
		address = t.Address
		return handler.Answered(), Result{}
	}
	is.Equal(d.dispatch(t.Context(), e).Run, handler.Done)
	is.Equal(address, "moved")
}
