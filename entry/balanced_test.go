package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/delegator"
	"github.com/filberthoist/filberthoist/entry/detector"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/splitter"
)

// newBalancedPipeline returns the pipeline of an entry without roles, with a number of targets at
// one address.
func newBalancedPipeline(t testing.TB, upstream string, targets int, trace func(*handler.Exchange, handler.Outcome, string, time.Duration)) http.Handler {
	t.Helper()
	return balancedEntry{upstream: upstream, targets: targets, trace: trace}.newPipeline(t)
}

// balancedEntry describes an entry without roles.
type balancedEntry struct {
	// upstream is the address of its targets.
	upstream string
	targets  int
	// peers are the callers' addresses of other live entries.
	peers []string
	trace func(*handler.Exchange, handler.Outcome, string, time.Duration)
}

func (b balancedEntry) newView(t testing.TB) *receiver.View {
	t.Helper()
	v := newView(t, b.upstream)
	v.Targets = map[string][]*receiver.ListedTarget{}
	for i := range b.targets {
		v.Targets["lamps"] = append(v.Targets["lamps"], &receiver.ListedTarget{Target: &parser.Target{
			Name: string(rune('a'+i%26)) + string(rune('a'+i/26)), Service: "lamps", Address: b.upstream, Region: "north", AvailabilityZone: "north1", Slots: 6, Version: "v1",
		}})
	}
	for i, a := range b.peers {
		name := "peer" + strconv.Itoa(i)
		v.Entries[name] = &wire.EntryMember{Name: name, Region: "north", Address: a}
	}
	return v
}

func (b balancedEntry) newPipeline(t testing.TB) http.Handler {
	t.Helper()
	view, clock := b.newView(t), timekeeper.NewClock()
	fresh := func() bool { return true }
	currentView := func() *receiver.View { return view }
	n := detector.NewDetector(detector.Config{Clock: clock, Scope: tally.NoopScope, Targets: func() []*parser.Target { return listTargets(view) }})
	group := supervisor.NewGroup(supervisor.Config{})
	group.Go("detector", n.Run)
	t.Cleanup(group.Stop)
	f := forwarder.NewForwarder(forwarder.Config{Clock: clock, Fresh: fresh, Record: n.Record})
	t.Cleanup(f.Close)
	g := delegator.NewDelegator(delegator.Config{
		Clock: clock, Scope: tally.NoopScope, Self: view.Entries["entry1"], Isolated: n.IsIsolated, Send: f.Delegate, Relay: f.Relay,
	})
	p := balancer.NewPicker(balancer.PickerConfig{Clock: clock, View: currentView, Entry: "entry1", Zone: "north1", Region: "north", Regions: 1, ControlReachable: fresh})
	s := balancer.NewBalancer(balancer.Config{
		Clock: clock, Scope: tally.NoopScope, Picker: p, Send: f.Send, WriteResponse: f.WriteResponse, Delegate: g.DelegateUnreachable,
		RetryBudget: balancer.NewBudget(balancer.BudgetConfig{Share: 0.1, Reserve: 10, Clock: clock}), Meter: balancer.NewMeter(clock, "south"),
	})
	d := limiter.NewShareLimiter(limiter.ShareLimiterConfig{Clock: clock, View: currentView, Share: func(string) float64 { return 1 }})
	k := classifier.NewClassifier(classifier.Config{Clock: clock})
	a := authenticator.NewAuthenticator(authenticator.Config{Fresh: fresh})
	return handler.NewHandler(handler.Config{
		Clock: clock, Scope: tally.NoopScope, View: currentView, Trace: b.trace,
		Steps: []handler.Step{k.Step(), a.Step(), k.BodyStep(), g.Step(), d.Step(), splitter.NewSplitter().Step(), s.Step()},
	})
}

// newView returns a view with the tests' configuration.
func newView(t testing.TB, upstream string) *receiver.View {
	t.Helper()
	c, problems := parser.Parse(testConfiguration(upstream))
	if c == nil {
		t.Fatal(problems)
	}
	return &receiver.View{Configuration: c, Entries: map[string]*wire.EntryMember{"entry1": {Name: "entry1", Region: "north"}}}
}

// BenchmarkBalanced measures a request at an entry without roles, excluding the caller's
// connection: with 20 and 320 targets, and with a tenth and all of the requests logged.
func BenchmarkBalanced(b *testing.B) {
	upstream := newUpstream(b)
	queue := logger.NewQueue(io.Discard)
	defer queue.Close(context.Background())
	logged := tracer{logger: logger.NewLogger(logger.Config{Queue: queue, Process: "entry1", Level: "info"}), servedFraction: 1}
	sampled := tracer{logger: logged.logger, servedFraction: 0.1}
	for _, c := range []struct {
		name    string
		targets int
		trace   func(*handler.Exchange, handler.Outcome, string, time.Duration)
	}{
		{"20 targets", 20, nil},
		{"320 targets", 320, nil},
		{"20 targets, a tenth logged", 20, sampled.trace},
		{"20 targets, all logged", 20, logged.trace},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := newBalancedPipeline(b, upstream, c.targets, c.trace)
			b.ReportAllocs()
			for b.Loop() {
				q := httptest.NewRequest(http.MethodGet, "/lamps/7", nil)
				q.Header.Set(handler.KeyHeader, testKey)
				w := httptest.NewRecorder()
				h.ServeHTTP(w, q)
				if w.Code != http.StatusOK {
					b.Fatal(w.Header().Get(handler.OutcomeHeader))
				}
			}
		})
	}
}
