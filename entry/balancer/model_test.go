package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// simulation simulates, without a network and in virtual time, callers in regions, entries with a
// Picker each, and targets with slots, a queue and a bounded number of warm objects.
type simulation struct {
	now     time.Duration
	events  events
	random  *rand.Rand
	view    *receiver.View
	targets map[string]*simulatedTarget
	entries []*simulatedEntry
	results []result
	// statesSlowness is set if targets state their slowdown in responses.
	statesSlowness bool
	// inquiries is how many targets an entry asks at most for their load before it sends a request.
	inquiries int
}

type simulatedEntry struct {
	name   string
	region string
	picker *Picker
}

// simulatedTarget is the true state of a target, which entries only estimate.
type simulatedTarget struct {
	listed  *receiver.ListedTarget
	running int
	queue   []func()
	warm    []string
	// slowdown multiplies processing times; a target that is down refuses connections; failureRate
	// is the fraction of its requests that fail.
	slowdown    float64
	down        bool
	failureRate float64
}

type result struct {
	at       time.Duration
	region   string
	servedIn string
	target   string
	took     time.Duration
	refused  bool
	failed   bool
	warm     bool
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Parameters of the simulated requests, modelled on the captions of the users' agency.
const (
	simulatedAim         = 300 * time.Millisecond
	simulatedColdTime    = 304 * time.Millisecond
	simulatedWarmTime    = 91 * time.Millisecond
	simulatedWarmObjects = 73
	simulatedSlots       = 6
	simulatedRoundTrip   = 70 * time.Millisecond
	simulatedQueueLength = 3 * simulatedSlots
)

// newSimulation returns a simulation with a number of targets by region and two entries in each.
func newSimulation(targets map[string]int) *simulation {
	return newSimulationWithEntries(targets, 2)
}

// newSimulationWithEntries is newSimulation with a number of entries in each region.
func newSimulationWithEntries(targets map[string]int, entries int) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(20261204, 1)), targets: map[string]*simulatedTarget{}}
	m.view = &receiver.View{Targets: map[string][]*receiver.ListedTarget{}, Entries: map[string]*wire.EntryMember{}}
	for region, n := range targets {
		for i := range n {
			m.addTarget(region, fmt.Sprintf("%s-%d", region, i))
		}
		for i := range entries {
			name := fmt.Sprintf("entry-%s-%d", region, i)
			m.view.Entries[name] = &wire.EntryMember{Name: name, Region: region}
			m.entries = append(m.entries, &simulatedEntry{name: name, region: region, picker: NewPicker(PickerConfig{
				Clock: timekeeper.Clock{Now: func() time.Duration { return m.now }}, View: func() *receiver.View { return m.view },
				Entry: name, Zone: region + "1", Region: region, Regions: len(targets), ControlReachable: func() bool { return true },
			})})
		}
	}
	return m
}

func (m *simulation) addTarget(region, name string) *simulatedTarget {
	l := &receiver.ListedTarget{Target: &parser.Target{
		Name: name, Service: "drafts", Address: name, Region: region, AvailabilityZone: region + "1", Slots: simulatedSlots, Version: "v1",
	}}
	v := *m.view
	v.Targets = map[string][]*receiver.ListedTarget{"drafts": append(append([]*receiver.ListedTarget(nil), m.view.Targets["drafts"]...), l)}
	m.view = &v
	s := &simulatedTarget{listed: l, slowdown: 1}
	m.targets[name] = s
	return s
}

func (m *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now + d, do})
}

// runUntil processes the events up to a time.
func (m *simulation) runUntil(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// generateLoad sends requests for random objects of a region at a mean rate per second, until a
// time.
func (m *simulation) generateLoad(region string, rate float64, objects int, end time.Duration) {
	var next func()
	next = func() {
		if m.now >= end {
			return
		}
		m.sendRequest(region, fmt.Sprintf("%s/%d", region, m.random.IntN(objects)))
		m.schedule(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.schedule(0, next)
}

// sendRequest sends one request through a random entry of the region.
func (m *simulation) sendRequest(region, object string) {
	var local []*simulatedEntry
	for _, e := range m.entries {
		if e.region == region {
			local = append(local, e)
		}
	}
	e := local[m.random.IntN(len(local))]
	d := PickRequest{
		Service: "drafts", WorkKind: "drafts", Object: object, Allows: func(string) bool { return true },
		Aim: simulatedAim, MaxQueueWait: time.Duration(ordinaryWaitFraction * float64(simulatedAim)), Remaining: 1500 * time.Millisecond, ColdRate: 17,
	}
	begun := m.now
	for range m.inquiries {
		if l := e.picker.Unsure(d); l != nil {
			e.picker.RecordInquiry(l, m.load(m.targets[l.Name]))
		}
	}
	k, _ := e.picker.Pick(d)
	if k == nil {
		m.results = append(m.results, result{at: begun, region: region, refused: true})
		return
	}
	s := m.targets[k.Target.Name]
	roundTrip := time.Duration(0)
	if k.Target.Region != region {
		roundTrip = simulatedRoundTrip
	}
	m.schedule(roundTrip/2, func() {
		m.arrive(s, object, func(warm, ran, failed bool) {
			m.schedule(roundTrip/2, func() {
				out := &forwarder.SendResult{
					Result: dispatcher.Result{Latency: m.now - begun, Failed: failed || !ran}, Refused: !ran && !s.down, Unreachable: s.down,
					Load: m.load(s),
				}
				e.picker.Done(k, d, out, 0)
				m.results = append(m.results, result{
					at: begun, region: region, servedIn: k.Target.Region, target: k.Target.Name, took: m.now - begun, failed: failed || !ran, warm: warm,
				})
			})
		})
	})
}

// arrive runs a request at a target, queues it, or refuses it if the queue is full.
func (m *simulation) arrive(s *simulatedTarget, object string, done func(warm, ran, failed bool)) {
	if s.down || (s.running >= simulatedSlots && len(s.queue) >= simulatedQueueLength) {
		done(false, false, true)
		return
	}
	run := func() {
		s.running++
		warm := s.touch(object)
		work := simulatedColdTime
		if warm {
			work = simulatedWarmTime
		}
		failed := m.random.Float64() < s.failureRate
		m.schedule(time.Duration(float64(work)*s.slowdown), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			done(warm, true, failed)
		})
	}
	if s.running < simulatedSlots {
		run()
		return
	}
	s.queue = append(s.queue, run)
}

// touch reports whether an object is warm, and makes it the most recently used one.
func (s *simulatedTarget) touch(object string) bool {
	warm := false
	for i, o := range s.warm {
		if o == object {
			s.warm = append(s.warm[:i], s.warm[i+1:]...)
			warm = true
			break
		}
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > simulatedWarmObjects {
		s.warm = s.warm[1:]
	}
	return warm
}

// summary counts the results of a period.
type summary struct {
	count, refused, failed, inAim, warm int
	remote                              int
}

func (m *simulation) summary(from, to time.Duration, region string) summary {
	var s summary
	for _, r := range m.results {
		if r.at < from || r.at >= to || (region != "" && r.region != region) {
			continue
		}
		s.count++
		switch {
		case r.refused:
			s.refused++
		case r.failed:
			s.failed++
		case r.took <= simulatedAim:
			s.inAim++
		}
		if r.warm {
			s.warm++
		}
		if !r.refused && r.servedIn != r.region {
			s.remote++
		}
	}
	return s
}

func fraction(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// TestColdStart simulates a start with all objects cold, at a load that the targets can only serve
// once objects are warm. It guards against giving targets more objects than they keep warm.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 8})
	m.generateLoad("south", 430, 280, 40*time.Second)
	m.runUntil(40 * time.Second)
	s := m.summary(25*time.Second, 40*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.warm, s.count-s.refused) >= 0.9)
	is.True(fraction(s.inAim, s.count) >= 0.9)
}

// TestSmallRegion simulates a region with 2 of 20 targets and a third of the requests. The first
// targets of its objects are in other regions from the start, and must stay there.
func TestSmallRegion(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 8, "north": 10, "west": 2})
	for _, region := range []string{"south", "north", "west"} {
		m.generateLoad(region, 160, 122, 20*time.Second)
	}
	m.runUntil(20 * time.Second)
	s := m.summary(8*time.Second, 20*time.Second, "")
	is.True(fraction(s.inAim, s.count) >= 0.9)
	for at := 2 * time.Second; at < 18*time.Second; at += 2 * time.Second {
		before, after := m.summary(at-2*time.Second, at, "west"), m.summary(at, at+2*time.Second, "west")
		change := fraction(after.remote, after.count) - fraction(before.remote, before.count)
		is.True(change < 0.15 && change > -0.15) // no sudden shift between regions
	}
}

// TestSlowHalf simulates half of the targets becoming slow. The others have to take over.
func TestSlowHalf(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 8})
	m.generateLoad("south", 150, 100, 30*time.Second)
	m.runUntil(10 * time.Second)
	for i := range 4 {
		m.targets[fmt.Sprintf("south-%d", i)].slowdown = 6
	}
	m.runUntil(30 * time.Second)
	s := m.summary(18*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.inAim, s.count) >= 0.75)
}

// TestDeadTargets simulates a quarter of the targets refusing connections. Few requests may be lost
// on repeated probes of them.
func TestDeadTargets(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 8})
	m.generateLoad("south", 150, 100, 30*time.Second)
	m.runUntil(10 * time.Second)
	m.targets["south-0"].down, m.targets["south-1"].down = true, true
	m.runUntil(30 * time.Second)
	s := m.summary(10*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.failed, s.count) <= 0.02)
}

// TestGreyTarget simulates a target that fails half of its requests. It must get few of them.
func TestGreyTarget(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 8})
	m.generateLoad("south", 150, 100, 30*time.Second)
	m.runUntil(10 * time.Second)
	m.targets["south-0"].failureRate = 0.5
	m.runUntil(30 * time.Second)
	s := m.summary(12*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.failed, s.count) <= 0.03) // an even distribution would give 0.06
}

// TestColdTarget simulates a target that returns cold. Over all entries it must get no more than
// its rate, with the overage and the slack that the platform allows.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 2})
	m.generateLoad("south", 120, 60, 20*time.Second)
	m.runUntil(8 * time.Second)
	v := *m.view
	list := append([]*receiver.ListedTarget(nil), v.Targets["drafts"]...)
	cold := *list[0]
	cold.ColdUntil = m.now + 4*time.Second
	list[0] = &cold
	v.Targets = map[string][]*receiver.ListedTarget{"drafts": list}
	m.view = &v
	m.runUntil(20 * time.Second)
	var sent []time.Duration
	for _, r := range m.results {
		if r.target == cold.Name && r.at >= 8*time.Second && r.at < 12*time.Second {
			sent = append(sent, r.at)
		}
	}
	is.True(len(sent) > 10) // it does get requests
	for i, at := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later < at+time.Second {
				n++
			}
		}
		is.True(float64(n) <= 17*1.5+5)
	}
}

// TestWarmingEntry checks that one entry sends requests to a cold target, and that another one does
// once it is isolated or leaves: in the target's region as long as one is live there.
func TestWarmingEntry(t *testing.T) {
	const isolated, leaving = wire.EntryState_ENTRY_STATE_ISOLATED, wire.EntryState_ENTRY_STATE_LEAVING
	for _, state := range []wire.EntryState{isolated, leaving} {
		t.Run(wire.StateName(state), func(t *testing.T) {
			is := is.New(t)
			m := newSimulationWithEntries(map[string]int{"south": 1, "north": 1}, 3)
			l := m.view.Targets["drafts"][0]
			seen := map[string]bool{}
			for i := range 6 {
				name := m.warmingEntry(t, l)
				is.True(!seen[name])
				is.Equal(m.view.Entries[name].GetRegion() == l.Region, i < 3)
				seen[name] = true
				m.view.Entries[name].State = state
			}
			for _, e := range m.entries {
				is.True(!e.picker.warmsTarget(m.view, l)) // none is live
			}
			m.view.Entries["entry-north-1"].State = wire.EntryState_ENTRY_STATE_LIVE
			is.Equal(m.warmingEntry(t, l), "entry-north-1")
		})
	}
}

// warmingEntry returns the only entry that sends requests to a target while it is cold.
func (m *simulation) warmingEntry(t *testing.T, l *receiver.ListedTarget) string {
	t.Helper()
	var out []string
	for _, e := range m.entries {
		if e.picker.warmsTarget(m.view, l) {
			out = append(out, e.name)
		}
	}
	is.New(t).Equal(len(out), 1)
	return out[0]
}

// TestManyEntries simulates many entries with few requests each, and a few objects that are asked
// for often. An entry gets a target's load only with its own rare responses, and must still not
// send to full queues while an object's second target has capacity.
func TestManyEntries(t *testing.T) {
	is := is.New(t)
	m := newSimulationWithEntries(map[string]int{"south": 12}, 27)
	const rate, objects, hot = 640, 400, 12 // 790 requests/s would fit if all objects were warm
	var next func()
	next = func() {
		object := m.random.IntN(objects)
		if m.random.IntN(3) == 0 {
			object = m.random.IntN(hot)
		}
		m.sendRequest("south", fmt.Sprint("south/", object))
		m.schedule(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.schedule(0, next)
	m.runUntil(40 * time.Second)
	s := m.summary(15*time.Second, 40*time.Second, "")
	t.Logf("%+v: %.3f in time, %.3f warm, %.3f refused, %.3f failed", s, fraction(s.inAim, s.count), fraction(s.warm, s.count-s.refused),
		fraction(s.refused, s.count), fraction(s.failed, s.count))
	is.True(fraction(s.inAim, s.count) >= 0.9)
}
