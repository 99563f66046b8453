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

// TestMain fixes the seed unless one is given; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

// run is a ledger with targets that serve, fail, leave and come back.
type run struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Duration
	ledger  *Ledger
	targets []*parser.Target
	number  uint64
	held    []*Permit
	waiting map[PermitID]bool
	leaving map[string]time.Duration
	granted int
}

func newRun(t *rapid.T) *run {
	r := &run{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Hour,
		ledger: NewLedger(asserter.NewPanicking()), waiting: map[PermitID]bool{}, leaving: map[string]time.Duration{},
	}
	for i := range 1 + r.random.IntN(8) {
		r.targets = append(r.targets, &parser.Target{Name: fmt.Sprint("t", i), Slots: 1 + r.random.IntN(6)})
	}
	r.ledger.SetTargets(r.now, r.targets)
	return r
}

func (r *run) step() {
	r.now += time.Duration(r.random.IntN(20)) * time.Millisecond
	switch r.random.IntN(20) {
	case 0:
		r.ledger.SetTargets(r.now, r.targets[r.random.IntN(len(r.targets)):])
	case 1:
		r.ledger.SetTargets(r.now, r.targets)
	case 2, 3:
		r.turn(r.targets[r.random.IntN(len(r.targets))].Name)
	case 4:
		r.ledger.Release(r.now, PermitID{"unknown", r.number}, Result{})
	case 5:
		r.ledger.Reserve(r.random.IntN(3))
	case 6, 7, 8, 9, 10, 11:
		r.release()
	default:
		r.demand()
	}
	r.grant()
}

func (r *run) demand() {
	r.number++
	d := Demand{
		ID: PermitID{"e", r.number}, Team: fmt.Sprint("team", r.random.IntN(3)), Weight: float64(1 + r.random.IntN(4)),
		Run: time.Duration(10+r.random.IntN(500)) * time.Millisecond, Until: r.now + time.Duration(r.random.IntN(300))*time.Millisecond,
	}
	if r.ledger.Enqueue(r.now, d) {
		r.waiting[d.ID] = true
	}
}

func (r *run) release() {
	if len(r.held) == 0 {
		return
	}
	i := r.random.IntN(len(r.held))
	p := r.held[i]
	r.held = append(r.held[:i], r.held[i+1:]...)
	r.ledger.Release(r.now, p.ID, Result{Latency: r.now - p.Granted, Failed: r.random.IntN(4) == 0})
}

// turn makes a target leave or come back.
func (r *run) turn(name string) {
	if _, gone := r.leaving[name]; gone {
		delete(r.leaving, name)
		r.ledger.SetHealth(r.now, name, Health{Asked: r.now})
		return
	}
	r.leaving[name] = r.now
	r.ledger.SetHealth(r.now, name, Health{Leaving: true, Asked: r.now})
}

// grant takes every permit that is to be had and checks it.
func (r *run) grant() {
	for p := r.ledger.Next(r.now); p != nil; p = r.ledger.Next(r.now) {
		if !r.waiting[p.ID] {
			r.t.Fatalf("permit %v was granted twice or never asked for", p.ID)
		}
		delete(r.waiting, p.ID)
		if _, gone := r.leaving[p.Target]; gone && r.ledger.targets[p.Target].leaving {
			r.t.Fatalf("target %s is leaving and got new work", p.Target)
		}
		r.granted++
		r.held = append(r.held, p)
	}
	r.checkSlots()
}

// checkSlots counts the permits that still run against the slots, besides the ledger.
func (r *run) checkSlots() {
	running := map[string]int{}
	kept := r.held[:0]
	for _, p := range r.held {
		if p.Expires > r.now {
			running[p.Target]++
			kept = append(kept, p)
		}
	}
	r.held = kept
	for _, t := range r.targets {
		if running[t.Name] > t.Slots {
			r.t.Fatalf("target %s runs %d of %d slots", t.Name, running[t.Name], t.Slots)
		}
	}
}

// TestSlotsAreKept runs ledgers under random demands, failures and changes.
func TestSlotsAreKept(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRun(t)
		for range 500 {
			r.step()
		}
		total += r.granted
	})
	is := is.New(t)
	is.True(total > 10_000) // the runs grant something
}

// TestFairness lets three teams demand more than there is, one of them ten times more.
func TestFairness(t *testing.T) {
	cases := []struct {
		name    string
		weights []float64
		demand  []int
		want    []float64
	}{
		{"equal weights, one floods", []float64{1, 1, 1}, []int{100, 10, 10}, []float64{1. / 3, 1. / 3, 1. / 3}},
		{"weights count", []float64{2, 1, 1}, []int{10, 10, 10}, []float64{0.5, 0.25, 0.25}},
		{"what one leaves the others share", []float64{1, 1}, []int{100, 0}, []float64{1, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shares := shareSlots(c.weights, c.demand)
			for i, want := range c.want {
				is := is.New(t)
				is.True(shares[i] >= want*0.95) // at least 95 % of the fair share
			}
		})
	}
}

// shareSlots runs 4 slots of 10 ms for 10 s and returns each team's part of the grants.
func shareSlots(weights []float64, demand []int) []float64 {
	l := NewLedger(asserter.NewPanicking())
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
			for range demand[i] {
				number++
				d := Demand{ID: PermitID{"e", number}, Team: fmt.Sprint(i), Weight: w, Run: time.Second, Until: now + 200*time.Millisecond}
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
		{"ejected after failures in a row", func(g *target) { learn(g, start, fail, fail, fail) }, start, 0},
		{"not ejected after scattered ones", func(g *target) { learn(g, start, fail, fail, good, fail) }, start, 8},
		{"probed by one request", func(g *target) { learn(g, start, fail, fail, fail) }, start + firstEjection, 1},
		{"back slowly after a probe", func(g *target) {
			learn(g, start, fail, fail, fail)
			learn(g, start+firstEjection, good)
		}, start + firstEjection + slowStart/2, 5},
		{"a failed probe ejects for longer", func(g *target) {
			learn(g, start, fail, fail, fail)
			learn(g, start+firstEjection, fail)
		}, start + 2*firstEjection, 0},
		{"a probe that was given up says nothing", func(g *target) {
			learn(g, start, fail, fail, fail)
			learn(g, start+firstEjection, Result{})
		}, start + firstEjection + slowStart, 1},
		{"leaving", func(g *target) { g.setLeaving(start, true, start) }, start, 0},
		{"a hint outweighs an older answer", func(g *target) {
			learn(g, start, Result{Leaving: true})
			g.setLeaving(start, false, start-1)
		}, start, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTarget(start, false)
			g.slots = 8
			c.do(g)
			is.Equal(g.allowed(c.at), c.want)
		})
	}
}

func learn(g *target, now time.Duration, results ...Result) {
	for _, r := range results {
		g.learn(now, r, true)
	}
}

// TestCrossedMessages: a release that overtakes its demand must not leave a slot taken.
func TestCrossedMessages(t *testing.T) {
	is := is.New(t)
	l := NewLedger(asserter.NewPanicking())
	l.SetTargets(0, []*parser.Target{{Name: "t", Slots: 1}})
	id := PermitID{"e", 1}
	l.Release(time.Second, id, Result{})
	is.True(!l.Enqueue(time.Second, Demand{ID: id, Weight: 1, Run: time.Hour, Until: time.Hour}))
	is.Equal(l.Room(time.Second), 1)
}

func BenchmarkGrantAndRelease(b *testing.B) {
	l := NewLedger(asserter.NewPanicking())
	var list []*parser.Target
	for i := range 20 {
		list = append(list, &parser.Target{Name: fmt.Sprintf("t%02d", i), Slots: 5})
	}
	l.SetTargets(0, list)
	now := time.Hour
	for i := uint64(0); b.Loop(); i++ {
		now += 100 * time.Microsecond
		id := PermitID{"e", i}
		l.Enqueue(now, Demand{ID: id, Team: "a", Weight: 1, Run: time.Second, Until: now + time.Second})
		l.Next(now)
		l.Release(now, id, Result{Latency: time.Millisecond})
	}
}

// TestReleasesDuringAReport: releases that come while a report is under way go out next,
// without the pause that follows a failure.
func TestReleasesDuringAReport(t *testing.T) {
	is := is.New(t)
	p := &clientPool{wake: make(chan struct{}, 1), toldEpoch: 1}
	p.unsent = []*wire.Release{{Permit: 1}, {Permit: 2}}
	p.sent(1, 1)
	is.Equal(len(p.unsent), 1)
	is.Equal(len(p.wake), 1)
	<-p.wake
	p.sent(1, 1)
	is.Equal(len(p.wake), 0)
}

// TestNoDispatcher: a holder whose lease ran out for a moment is no refusal; the request
// waits for it.
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
	look := func() *receiver.View { return view }
	clock, group := timekeeper.NewClock(), supervisor.NewGroup(supervisor.Config{})
	defer group.Stop()
	var asked atomic.Int64
	g := NewGranter(GranterConfig{
		Clock: clock, Assert: asserter.NewPanicking(), View: look,
		Holds: func(string) (uint64, bool) { return 1, asked.Add(1) > 3 }, // lapsed at first
	})
	n, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	client := NewClient(ClientConfig{Clock: clock, Connector: n, Group: group, Self: self, View: look, Granter: g})
	d := NewDispatcher(Config{
		Clock: clock, Scope: tally.NoopScope, Region: "north", Client: client,
		Forward: func(context.Context, *handler.Exchange, *parser.Target) (handler.Outcome, Result) {
			return handler.Answered(), Result{Latency: time.Millisecond}
		},
	})
	e := &handler.Exchange{View: view, Route: &parser.Route{Service: s}, Course: handler.Course{Version: "v1"}, Deadline: clock.Now() + time.Minute}
	is.Equal(d.dispatch(t.Context(), e).Run, handler.Done)
}
