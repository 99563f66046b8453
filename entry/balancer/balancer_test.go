package balancer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Results of one attempt, for the scripts of these tests.
var (
	answers = func() *forwarder.SendResult { return answered(http.StatusOK) }
	fails   = func() *forwarder.SendResult { return answered(http.StatusInternalServerError) }
	refuses = func() *forwarder.SendResult {
		return &forwarder.SendResult{Refused: true, Outcome: refusal, Result: failure}
	}
	unreachable = func() *forwarder.SendResult {
		return &forwarder.SendResult{Unreachable: true, Outcome: refusal, Result: failure}
	}
	misdirected = func() *forwarder.SendResult {
		return &forwarder.SendResult{Refused: true, Misdirected: true, Outcome: refusal}
	}
	breaks  = func() *forwarder.SendResult { return &forwarder.SendResult{Outcome: unknown, Result: failure} }
	refusal = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	unknown = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	failure = dispatcher.Result{Failed: true}
)

func answered(status int) *forwarder.SendResult {
	return &forwarder.SendResult{
		Response: &carrier.Response{Status: status}, Result: dispatcher.Result{Latency: time.Millisecond, Failed: status >= 500},
	}
}

// newBalancer returns a Balancer whose attempts have the scripted results, and the names of the
// targets that requests were sent to.
func newBalancer(reserve float64, script []func() *forwarder.SendResult) (*Balancer, *receiver.View, *[]string) {
	m := newSimulation(map[string]int{"south": 6})
	sent := &[]string{}
	clock := timekeeper.NewClock()
	budget := NewBudget(BudgetConfig{Share: 0, Reserve: reserve, Clock: clock})
	budget.services["drafts"] = &bucket{tokens: reserve}
	b := NewBalancer(Config{
		Clock: clock, Scope: tally.NoopScope, Meter: NewMeter(clock, "south"), RetryBudget: budget,
		Picker: NewPicker(PickerConfig{
			Clock: clock, View: func() *receiver.View { return m.view }, Entry: "e", Zone: "south1", Region: "south", Regions: 1,
			ControlReachable: func() bool { return true },
		}),
		Send: func(_ context.Context, _ *handler.Exchange, t *parser.Target) *forwarder.SendResult {
			*sent = append(*sent, t.Name)
			return script[min(len(*sent), len(script))-1]()
		},
		WriteResponse: func(_ context.Context, _ *handler.Exchange, s *forwarder.SendResult) (handler.Outcome, dispatcher.Result) {
			o := handler.Answered()
			o.Status = s.Response.Status
			return o, s.Result
		},
	})
	return b, m.view, sent
}

// TestRepeats checks when a request is retried on another target, and the outcome that its caller
// gets.
func TestRepeats(t *testing.T) {
	const idempotent, atMostOnce = parser.ClassIdempotent, parser.ClassAtMostOnce
	type script = []func() *forwarder.SendResult
	cases := []struct {
		name     string
		class    parser.Class
		attempts int
		reserve  float64
		script   script
		sent     int
		run      handler.Run
		status   int
	}{
		{"answered", idempotent, 2, 10, script{answers}, 1, handler.Done, 200},
		{"broken, idempotent", idempotent, 2, 10, script{breaks, answers}, 2, handler.Done, 200},
		{"broken, at most once", atMostOnce, 2, 10, script{breaks, answers}, 1, handler.Unknown, 502},
		{"refused, at most once", atMostOnce, 2, 10, script{refuses, answers}, 2, handler.Done, 200},
		{"refused by all", atMostOnce, 2, 10, script{refuses}, maxSends, handler.NotRun, 503},
		{"unreachable, at most once", atMostOnce, 1, 0, script{unreachable, answers}, 2, handler.Done, 200},
		{"misdirected, at most once", atMostOnce, 1, 10, script{misdirected, answers}, 2, handler.Done, 200},
		{"failed, idempotent", idempotent, 2, 10, script{fails, answers}, 2, handler.Done, 200},
		{"failed twice, idempotent", idempotent, 2, 10, script{fails}, 2, handler.Done, 500},
		{"failed, at most once", atMostOnce, 2, 10, script{fails, answers}, 1, handler.Done, 500},
		{"one attempt", idempotent, 1, 10, script{breaks, answers}, 1, handler.Unknown, 502},
		{"no budget", idempotent, 3, 0, script{breaks, answers}, 1, handler.Unknown, 502},
		{"no budget after a refusal", atMostOnce, 3, 0, script{refuses, answers}, 1, handler.NotRun, 503},
		{"broken, then refused, so it may have run", idempotent, 3, 10, script{breaks, refuses}, maxSends, handler.Unknown, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(c.reserve, c.script)
			s := &parser.Service{Name: "drafts"}
			dialect := handler.DefaultDialect()
			e := &handler.Exchange{
				View: view, Request: httptest.NewRequest(http.MethodGet, "/", nil), Dialect: &dialect, ID: "r", Service: s,
				Route: &parser.Route{Name: "r", Service: s, Class: c.class, Attempts: c.attempts, Timeout: time.Second}, Deadline: b.config.Clock.Now() + time.Second,
			}
			o := b.balance(context.Background(), e)
			is.Equal(len(*sent), c.sent)
			is.Equal(len(slices.Compact(slices.Sorted(slices.Values(*sent)))), c.sent) // no target twice
			is.Equal(o.Run, c.run)
			is.Equal(o.Status, c.status)
			is.Equal(len(e.Trace.Attempts), c.sent)
		})
	}
}

// TestStoppedRetry guards against a promise that a request has not run, which its caller gets since the
// process stops before a retry is sent, although the first attempt may have run it.
func TestStoppedRetry(t *testing.T) {
	stopped := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStopping)
	cases := []struct {
		name   string
		first  func() *forwarder.SendResult
		run    handler.Run
		status int
	}{
		{"broken", breaks, handler.Unknown, 502},
		{"failed", fails, handler.Done, 500},
		{"refused", refuses, handler.NotRun, 503},
		{"not sent", func() *forwarder.SendResult { return &forwarder.SendResult{Outcome: refusal} }, handler.NotRun, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			b, view, sent := newBalancer(10, []func() *forwarder.SendResult{c.first, func() *forwarder.SendResult {
				cancel(handler.ErrStopping)
				return &forwarder.SendResult{Unreachable: true, Outcome: stopped}
			}})
			o := b.balance(ctx, newExchange(b, view, parser.ClassIdempotent))
			is.Equal(len(*sent), 2)
			is.Equal(o.Run, c.run)
			is.Equal(o.Status, c.status)
		})
	}
}

// TestRepeatsAreCharged checks that a request counts towards its team's limit once per target that
// may have run it, and is not retried without a token.
func TestRepeatsAreCharged(t *testing.T) {
	type script = []func() *forwarder.SendResult
	cases := []struct {
		name   string
		script script
		// tokens are left after admission; charged counts the attempts to take one more.
		tokens, charged, sent int
	}{
		{"answered", script{answers}, 5, 0, 1},
		{"refused by targets", script{refuses, refuses, answers}, 5, 0, 3},
		{"not reached", script{unreachable, answers}, 5, 0, 2},
		{"broken", script{breaks, answers}, 5, 1, 2},
		{"broken twice", script{breaks, breaks, answers}, 5, 2, 3},
		{"broken, then refused", script{breaks, refuses, answers}, 5, 1, 3},
		{"failed", script{fails, answers}, 5, 1, 2},
		{"broken without a token", script{breaks, answers}, 0, 1, 1},
		{"broken twice with one token", script{breaks, breaks, answers}, 1, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(10, c.script)
			s := &parser.Service{Name: "drafts"}
			dialect, charged, left := handler.DefaultDialect(), 0, c.tokens
			e := &handler.Exchange{
				View: view, Request: httptest.NewRequest(http.MethodGet, "/", nil), Dialect: &dialect, ID: "r", Service: s,
				Route:    &parser.Route{Name: "r", Service: s, Class: parser.ClassIdempotent, Attempts: 3, Timeout: time.Second},
				Deadline: b.config.Clock.Now() + time.Second,
				ChargeRetry: func(context.Context) bool {
					charged++
					left--
					return left >= 0
				},
			}
			b.balance(context.Background(), e)
			is.Equal(charged, c.charged)
			is.Equal(len(*sent), c.sent)
		})
	}
}

// TestStanding checks which targets are eligible for a request.
func TestStanding(t *testing.T) {
	cases := []struct {
		name   string
		change func(v *receiver.View, d *PickRequest)
		// regions are those that serve the request; none means that it is refused.
		regions []string
	}{
		{"all", func(*receiver.View, *PickRequest) {}, []string{"north", "south"}},
		{"homes", func(_ *receiver.View, d *PickRequest) { d.Homes = []string{"north"} }, []string{"north"}},
		{"home without targets", func(_ *receiver.View, d *PickRequest) { d.Homes = []string{"moon"} }, nil},
		{"evacuated zone", func(v *receiver.View, _ *PickRequest) { v.Evacuated = map[string]bool{"south1": true} }, []string{"north"}},
		{"leaving", func(v *receiver.View, _ *PickRequest) {
			for _, l := range v.Targets["drafts"] {
				l.Leaving = l.Region == "south"
			}
		}, []string{"north"}},
		{"another version", func(_ *receiver.View, d *PickRequest) { d.Allows = func(v string) bool { return v == "v2" } }, nil},
		{"new version with a small share", func(v *receiver.View, _ *PickRequest) {
			for _, l := range v.Targets["drafts"] {
				if l.Region == "north" {
					l.Version = "v2"
				}
			}
			v.MoveStates = map[string]receiver.MoveState{"drafts": {Move: &parser.Move{To: "v2"}, Record: &wire.MoveRecord{}}}
		}, []string{"south"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(map[string]int{"south": 3, "north": 3})
			d := PickRequest{Service: "drafts", WorkKind: "w", Allows: func(string) bool { return true }, Remaining: time.Second, MaxQueueWait: time.Second}
			c.change(m.view, &d)
			seen := map[string]bool{}
			for i := range 300 {
				d.Object = string(rune('a' + i%100))
				for _, e := range m.entries {
					if k, _ := e.picker.Pick(d); k != nil {
						seen[k.Target.Region] = true
					}
				}
			}
			var got []string
			for r := range seen {
				got = append(got, r)
			}
			slices.Sort(got)
			is.Equal(got, c.regions)
		})
	}
}

// TestAdmission checks that, while queues are long, the most urgent requests still wait and all
// others are refused at once with a Retry-After. A team's priority overrides its route's.
func TestAdmission(t *testing.T) {
	urgent, ordinary := 0, 2
	cases := []struct {
		name     string
		route    int
		team     *int
		admitted bool
	}{
		{"urgent route", urgent, nil, true},
		{"ordinary route", ordinary, nil, false},
		{"urgent team on an ordinary route", ordinary, &urgent, true},
		{"ordinary team on an urgent route", urgent, &ordinary, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(10, []func() *forwarder.SendResult{answers})
			s := &parser.Service{Name: "drafts"}
			dialect := handler.DefaultDialect()
			e := &handler.Exchange{
				View: view, Request: httptest.NewRequest(http.MethodGet, "/", nil), Dialect: &dialect, ID: "r", Service: s,
				Route:    &parser.Route{Name: "r", Service: s, Class: parser.ClassIdempotent, Priority: c.route, Aim: 300 * time.Millisecond, Timeout: 2 * time.Second},
				Team:     &parser.Team{Name: "t", Priority: c.team},
				Deadline: b.config.Clock.Now() + 2*time.Second,
			}
			// Each target has 14 requests on 6 slots, which is a wait of about 0.7 of the aim.
			d := b.pickRequest(e)
			d.MaxQueueWait, d.Remaining = time.Hour, time.Hour
			for _, l := range view.Targets["drafts"] {
				_, _ = b.config.Picker.Pick(d)
				b.config.Picker.services["drafts"].targets[l.Name].running = 14
				b.config.Picker.services["drafts"].targets[l.Name].tried = true
			}
			o := b.balance(context.Background(), e)
			is.Equal(o.Run == handler.Done, c.admitted)
			is.Equal(len(*sent) == 1, c.admitted)
			is.Equal(e.RetryAfter > 0, !c.admitted)
		})
	}
}

// TestFirstCandidates compares firstCandidates with sorting the whole list.
func TestFirstCandidates(t *testing.T) {
	is := is.New(t)
	g := rand.New(rand.NewPCG(20261204, 7))
	for n := range 40 {
		list := make([]candidate, n)
		for i := range list {
			list[i].score = float64(g.IntN(20)) // with duplicates
		}
		got := firstCandidates(list)
		sorted := slices.SortedStableFunc(slices.Values(list), func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		is.Equal(len(got), min(n, maxCandidates))
		for i := range got {
			is.Equal(got[i].score, sorted[i].score)
		}
	}
}

// TestDelegation checks that a request that reached no target is handed to another entry, once, and
// never if a target may have run it.
func TestDelegation(t *testing.T) {
	type script = []func() *forwarder.SendResult
	cases := []struct {
		name      string
		script    script
		taken     bool
		sent      int
		delegated int
		status    int
	}{
		{"answered", script{answers}, true, 1, 0, 200},
		{"one unreachable", script{unreachable, answers}, true, 2, 0, 200},
		{"two unreachable", script{unreachable}, true, maxUnreachable, 1, 201},
		{"two unreachable, none took it", script{unreachable, unreachable, answers}, false, 3, 1, 200},
		{"all unreachable, none took it", script{unreachable}, false, maxSends, 1, 503},
		{"refused, then unreachable", script{refuses, unreachable}, true, maxSends, 0, 503},
		{"broken, then unreachable", script{breaks, unreachable}, true, 1, 0, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(10, c.script)
			delegated := 0
			b.config.Delegate = func(context.Context, *handler.Exchange) (handler.Outcome, bool) {
				delegated++
				return handler.Outcome{Run: handler.Done, Status: http.StatusCreated}, c.taken
			}
			o := b.balance(context.Background(), newExchange(b, view, parser.ClassAtMostOnce))
			is.Equal(o.Status, c.status)
			is.Equal(len(*sent), c.sent)
			is.Equal(delegated, c.delegated)
		})
	}
	t.Run("a single target", func(t *testing.T) {
		is := is.New(t)
		b, view, sent := newBalancer(10, script{unreachable})
		view.Targets["drafts"] = view.Targets["drafts"][:1]
		b.config.Delegate = func(context.Context, *handler.Exchange) (handler.Outcome, bool) { return handler.Answered(), true }
		is.Equal(b.balance(context.Background(), newExchange(b, view, parser.ClassAtMostOnce)).Run, handler.Done)
		is.Equal(len(*sent), 1)
	})
}

// newExchange returns a request for the tests' service, a second before its deadline.
func newExchange(b *Balancer, v *receiver.View, c parser.Class) *handler.Exchange {
	s, dialect := &parser.Service{Name: "drafts"}, handler.DefaultDialect()
	return &handler.Exchange{
		View: v, Request: httptest.NewRequest(http.MethodGet, "/", nil), Dialect: &dialect, ID: "r", Service: s,
		Route: &parser.Route{Name: "r", Service: s, Class: c, Timeout: time.Second}, Deadline: b.config.Clock.Now() + time.Second,
	}
}

// TestFallbackIsOneRetry guards against a retry that is paid twice, and so is not sent, since the new side of a move has no
// further target.
func TestFallbackIsOneRetry(t *testing.T) {
	is := is.New(t)
	b, view, sent := newBalancer(1, []func() *forwarder.SendResult{breaks, answers})
	newSide := *view.Targets["drafts"][0].Target
	newSide.Version = "v2"
	view.Targets["drafts"][0].Target = &newSide
	e := newExchange(b, view, parser.ClassIdempotent)
	e.Selection, e.Fallback = handler.Selection{Version: "v2"}, &handler.Selection{Version: "v1"}
	is.Equal(b.balance(context.Background(), e), handler.Outcome{Run: handler.Done, Status: 200})
	is.Equal(len(*sent), 2)
}
