package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestMain uses a fixed seed unless one is given; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

// simulation drives a scheduler with random requests and with targets that fail, leave and come
// back.
type simulation struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	scheduler *SlotScheduler
	targets   []*parser.Target
	number    uint64
	held      []*Permit
	waiting   map[PermitID]bool
	leaving   map[string]time.Duration
	granted   int
}

func newSimulation(t *rapid.T) *simulation {
	r := &simulation{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Hour,
		scheduler: NewSlotScheduler(asserter.NewPanicking()), waiting: map[PermitID]bool{}, leaving: map[string]time.Duration{},
	}
	for i := range 1 + r.random.IntN(8) {
		r.targets = append(r.targets, &parser.Target{Name: fmt.Sprint("t", i), Slots: 1 + r.random.IntN(6)})
	}
	r.scheduler.SetTargets(r.now, r.targets)
	return r
}

func (r *simulation) step() {
	r.now += time.Duration(r.random.IntN(20)) * time.Millisecond
	switch r.random.IntN(20) {
	case 0:
		r.scheduler.SetTargets(r.now, r.targets[r.random.IntN(len(r.targets)):])
	case 1:
		r.scheduler.SetTargets(r.now, r.targets)
	case 2, 3:
		r.toggleLeaving(r.targets[r.random.IntN(len(r.targets))].Name)
	case 4:
		r.scheduler.Release(r.now, PermitID{"unknown", r.number}, Result{})
	case 5:
		r.scheduler.Reserve(r.random.IntN(3))
	case 6, 7, 8, 9, 10, 11:
		r.release()
	default:
		r.enqueue()
	}
	r.grant()
}

func (r *simulation) enqueue() {
	r.number++
	d := SlotRequest{
		ID: PermitID{"e", r.number}, Team: fmt.Sprint("team", r.random.IntN(3)), Weight: float64(1 + r.random.IntN(4)),
		MaxHold: time.Duration(10+r.random.IntN(500)) * time.Millisecond, Expires: r.now + time.Duration(r.random.IntN(300))*time.Millisecond,
	}
	if r.scheduler.Enqueue(r.now, d) {
		r.waiting[d.ID] = true
	}
}

func (r *simulation) release() {
	if len(r.held) == 0 {
		return
	}
	i := r.random.IntN(len(r.held))
	p := r.held[i]
	r.held = append(r.held[:i], r.held[i+1:]...)
	r.scheduler.Release(r.now, p.ID, Result{Latency: r.now - p.Granted, Failed: r.random.IntN(4) == 0})
}

// toggleLeaving makes a target leave, or come back if it is leaving.
func (r *simulation) toggleLeaving(name string) {
	if _, leaving := r.leaving[name]; leaving {
		delete(r.leaving, name)
		r.scheduler.SetHealth(r.now, name, Health{ProbedAt: r.now})
		return
	}
	r.leaving[name] = r.now
	r.scheduler.SetHealth(r.now, name, Health{Leaving: true, ProbedAt: r.now})
}

// grant takes every permit that the scheduler grants now and checks it.
func (r *simulation) grant() {
	for p := r.scheduler.Next(r.now); p != nil; p = r.scheduler.Next(r.now) {
		if !r.waiting[p.ID] {
			r.t.Fatalf("permit %v was granted twice or without a request", p.ID)
		}
		delete(r.waiting, p.ID)
		if _, leaving := r.leaving[p.Target]; leaving && r.scheduler.targets[p.Target].leaving {
			r.t.Fatalf("target %s is leaving and got a new permit", p.Target)
		}
		r.granted++
		r.held = append(r.held, p)
	}
	r.checkSlots()
}

// checkSlots checks that no target has more unexpired permits than slots, independently of the
// scheduler's own count.
func (r *simulation) checkSlots() {
	running := map[string]int{}
	unexpired := r.held[:0]
	for _, p := range r.held {
		if p.Expires > r.now {
			running[p.Target]++
			unexpired = append(unexpired, p)
		}
	}
	r.held = unexpired
	for _, t := range r.targets {
		if running[t.Name] > t.Slots {
			r.t.Fatalf("target %s has %d permits for %d slots", t.Name, running[t.Name], t.Slots)
		}
	}
}

// TestSlotsAreKept checks that ledgers never exceed the slots of a target or grant a permit
// twice, under random requests, failures and changes of the targets.
func TestSlotsAreKept(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(t)
		for range 500 {
			r.step()
		}
		total += r.granted
	})
	is := is.New(t)
	is.True(total > 10_000) // the simulations do grant permits
}

// TestFairness checks that teams that request more slots than there are get them in proportion
// to their weights, even if one of them requests ten times as many as the others.
func TestFairness(t *testing.T) {
	cases := []struct {
		name     string
		weights  []float64
		requests []int
		want     []float64
	}{
		{"equal weights, one team with ten times the requests", []float64{1, 1, 1}, []int{100, 10, 10}, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"slots in proportion to weights", []float64{2, 1, 1}, []int{10, 10, 10}, []float64{0.5, 0.25, 0.25}},
		{"idle team's slots go to the other", []float64{1, 1}, []int{100, 0}, []float64{1, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shares := measureShares(c.weights, c.requests)
			for i, want := range c.want {
				is := is.New(t)
				is.True(shares[i] >= want*0.95) // at least 95 % of the fair share
			}
		})
	}
}

// measureShares runs 4 slots with requests of 10 ms for 10 s and returns each team's fraction
// of the permits.
func measureShares(weights []float64, requests []int) []float64 {
	l := NewSlotScheduler(asserter.NewPanicking())
	now, number := time.Hour, uint64(0)
	l.SetTargets(now, []*parser.Target{{Name: "t", Slots: 4}})
	counts, total := make([]float64, len(weights)), 0.0
	team := map[PermitID]int{}
	var held []*Permit
	for range 1000 {
		now += 10 * time.Millisecond
		for _, p := range held {
			l.Release(now, p.ID, Result{Latency: 10 * time.Millisecond})
		}
		held = held[:0]
		for i, w := range weights {
			for range requests[i] {
				number++
				d := SlotRequest{ID: PermitID{"e", number}, Team: fmt.Sprint(i), Weight: w, MaxHold: time.Second, Expires: now + 200*time.Millisecond}
				team[d.ID] = i
				l.Enqueue(now, d)
			}
		}
		for p := l.Next(now); p != nil; p = l.Next(now) {
			counts[team[p.ID]]++
			total++
			held = append(held, p)
		}
	}
	for i := range counts {
		counts[i] /= total
	}
	return counts
}

func TestTarget(t *testing.T) {
	const start = time.Hour
	fail, good := Result{Failed: true, Latency: time.Millisecond}, Result{Latency: time.Millisecond}
	cases := []struct {
		name string
		do   func(g *target)
		at   time.Duration
		want int
	}{
		{"healthy", func(*target) {}, start, 8},
		{"ejected after consecutive failures", func(g *target) { recordResults(g, start, fail, fail, fail) }, start, 0},
		{"not ejected after failures that are not consecutive", func(g *target) { recordResults(g, start, fail, fail, good, fail) }, start, 8},
		{"probed by one request after an ejection", func(g *target) { recordResults(g, start, fail, fail, fail) }, start + initialEjection, 1},
		{"slow start after a successful probe", func(g *target) {
			recordResults(g, start, fail, fail, fail)
			recordResults(g, start+initialEjection, good)
		}, start + initialEjection + slowStartWindow/2, 5},
		{"longer ejection after a failed probe", func(g *target) {
			recordResults(g, start, fail, fail, fail)
			recordResults(g, start+initialEjection, fail)
		}, start + 2*initialEjection, 0},
		{"cancelled probe changes nothing", func(g *target) {
			recordResults(g, start, fail, fail, fail)
			recordResults(g, start+initialEjection, Result{})
		}, start + initialEjection + slowStartWindow, 1},
		{"leaving", func(g *target) { g.setLeaving(start, true, start) }, start, 0},
		{"announcement after the probe was sent", func(g *target) {
			recordResults(g, start, Result{Leaving: true})
			g.setLeaving(start, false, start-1)
		}, start, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTarget(start, false)
			g.slots = 8
			c.do(g)
			is.Equal(g.concurrencyLimit(c.at), c.want)
		})
	}
}

func recordResults(g *target, now time.Duration, results ...Result) {
	for _, r := range results {
		g.recordResult(now, r, true)
	}
}

// TestReleaseBeforeRequest guards against a leaked slot: a release can overtake the request for
// its permit, which must then not be queued.
func TestReleaseBeforeRequest(t *testing.T) {
	is := is.New(t)
	l := NewSlotScheduler(asserter.NewPanicking())
	l.SetTargets(0, []*parser.Target{{Name: "t", Slots: 1}})
	id := PermitID{"e", 1}
	l.Release(time.Second, id, Result{})
	is.True(!l.Enqueue(time.Second, SlotRequest{ID: id, Weight: 1, MaxHold: time.Hour, Expires: time.Hour}))
	is.Equal(l.FreeSlots(time.Second), 1)
}

func BenchmarkGrantAndRelease(b *testing.B) {
	l := NewSlotScheduler(asserter.NewPanicking())
	var list []*parser.Target
	for i := range 20 {
		list = append(list, &parser.Target{Name: fmt.Sprintf("t%02d", i), Slots: 5})
	}
	l.SetTargets(0, list)
	now := time.Hour
	for i := uint64(0); b.Loop(); i++ {
		now += 100 * time.Microsecond
		id := PermitID{"e", i}
		l.Enqueue(now, SlotRequest{ID: id, Team: "a", Weight: 1, MaxHold: time.Second, Expires: now + time.Second})
		l.Next(now)
		l.Release(now, id, Result{Latency: time.Millisecond})
	}
}

// TestReleasesDuringReport checks that releases which arrive during a report are sent next,
// without the delay that follows a failed report.
func TestReleasesDuringReport(t *testing.T) {
	is := is.New(t)
	p := &clientPool{wake: make(chan struct{}, 1), reportedEpoch: 1}
	p.pendingReleases = []*wire.Release{{Permit: 1}, {Permit: 2}}
	p.acknowledge(1, 1)
	is.Equal(len(p.pendingReleases), 1)
	is.Equal(len(p.wake), 1)
	<-p.wake
	p.acknowledge(1, 1)
	is.Equal(len(p.wake), 0)
}

// TestNoDispatcher guards against a refusal while a dispatcher's lease has lapsed for a moment:
// the request waits for the dispatcher instead.
func TestNoDispatcher(t *testing.T) {
	is := is.New(t)
	s := &parser.Service{Name: "lamps", Version: "v1"}
	target := &parser.Target{Name: "t", Service: "lamps", Region: "north", Version: "v1", Slots: 1}
	s.Targets = []*parser.Target{target}
	pool := wire.Pool{Service: "lamps", Region: "north", Version: "v1"}.Role()
	self := &wire.EntryMember{Name: "entry1", Incarnation: 1}
	view := &receiver.View{
		Configuration: &parser.Configuration{Services: map[string]*parser.Service{"lamps": s}, Targets: map[string]*parser.Target{"t": target}},
		Entries:       map[string]*wire.EntryMember{"entry1": self},
		Roles:         map[string]*wire.Role{pool: {Holder: "entry1", Incarnation: 1, Epoch: 1}},
	}
	currentView := func() *receiver.View { return view }
	clock, group := timekeeper.NewClock(), supervisor.NewGroup(supervisor.Config{})
	defer group.Stop()
	var asked atomic.Int64
	g := NewGranter(GranterConfig{
		Clock: clock, Assert: asserter.NewPanicking(), View: currentView,
		HoldsRole: func(string) (uint64, bool) { return 1, asked.Add(1) > 3 }, // the first three checks find a lapsed lease
	})
	n, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	client := NewClient(ClientConfig{Clock: clock, Connector: n, Group: group, Self: self, View: currentView, Granter: g})
	d := NewDispatcher(Config{
		Clock: clock, Scope: tally.NoopScope, Region: "north", Client: client,
		Forward: func(context.Context, *handler.Exchange, *parser.Target) (handler.Outcome, Result) {
			return handler.Answered(), Result{Latency: time.Millisecond}
		},
	})
	e := &handler.Exchange{View: view, Route: &parser.Route{Service: s}, Selection: handler.Selection{Version: "v1"}, Deadline: clock.Now() + time.Minute}
	is.Equal(d.dispatch(t.Context(), e).Run, handler.Done)
}
