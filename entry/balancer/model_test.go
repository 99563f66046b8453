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

// model is a small world without a network: callers in regions, entries with a Picker each,
// and targets with slots, a queue and a bounded number of warm objects. Time is simulated.
type model struct {
	now     time.Duration
	events  events
	random  *rand.Rand
	view    *receiver.View
	servers map[string]*server
	entries []*modelEntry
	results []result
}

type modelEntry struct {
	name   string
	region string
	picker *Picker
}

// server is a target as it is, not as entries see it.
type server struct {
	listed  *receiver.Listed
	running int
	queue   []func()
	warm    []string
	// slow multiplies its work; dead ones refuse connections; grey is the part that fails.
	slow float64
	dead bool
	grey float64
}

type result struct {
	at      time.Duration
	region  string
	ran     string
	target  string
	took    time.Duration
	refused bool
	failed  bool
	warm    bool
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

// Work of the model's requests, after the captions of the users' agency.
const (
	modelAim   = 300 * time.Millisecond
	modelCold  = 304 * time.Millisecond
	modelWarm  = 91 * time.Millisecond
	modelKeeps = 73
	modelSlots = 6
	modelTrip  = 70 * time.Millisecond
	modelQueue = 3 * modelSlots
)

// newModel returns a world with targets by region and two entries in each.
func newModel(targets map[string]int) *model {
	return newCrowd(targets, 2)
}

// newCrowd is the same with a number of entries in each region.
func newCrowd(targets map[string]int, entries int) *model {
	m := &model{random: rand.New(rand.NewPCG(20261204, 1)), servers: map[string]*server{}}
	m.view = &receiver.View{Listed: map[string][]*receiver.Listed{}, Entries: map[string]*wire.EntryMember{}}
	for region, n := range targets {
		for i := range n {
			m.addTarget(region, fmt.Sprintf("%s-%d", region, i))
		}
		for i := range entries {
			name := fmt.Sprintf("entry-%s-%d", region, i)
			m.view.Entries[name] = &wire.EntryMember{Name: name, Region: region}
			m.entries = append(m.entries, &modelEntry{name: name, region: region, picker: NewPicker(PickerConfig{
				Clock: timekeeper.Clock{Now: func() time.Duration { return m.now }},
				Entry: name, Zone: region + "1", Region: region, Regions: len(targets), Reachable: func() bool { return true },
			})})
		}
	}
	return m
}

func (m *model) addTarget(region, name string) *server {
	l := &receiver.Listed{Target: &parser.Target{
		Name: name, Service: "drafts", Address: name, Region: region, AvailabilityZone: region + "1", Slots: modelSlots, Version: "v1",
	}}
	v := *m.view
	v.Listed = map[string][]*receiver.Listed{"drafts": append(append([]*receiver.Listed(nil), m.view.Listed["drafts"]...), l)}
	m.view = &v
	s := &server{listed: l, slow: 1}
	m.servers[name] = s
	return s
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now + d, do})
}

// run plays until an end.
func (m *model) run(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// load lets a region's callers ask at a rate for a number of objects, until an end.
func (m *model) load(region string, rate float64, objects int, end time.Duration) {
	var next func()
	next = func() {
		if m.now >= end {
			return
		}
		m.request(region, fmt.Sprintf("%s/%d", region, m.random.IntN(objects)))
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
}

// request sends one request through an entry of the region.
func (m *model) request(region, object string) {
	var near []*modelEntry
	for _, e := range m.entries {
		if e.region == region {
			near = append(near, e)
		}
	}
	e := near[m.random.IntN(len(near))]
	d := Demand{
		Service: "drafts", Work: "drafts", Object: object, Allows: func(string) bool { return true },
		Aim: modelAim, Patience: time.Duration(ordinaryPatience * float64(modelAim)), Left: 1500 * time.Millisecond, ColdRate: 17,
	}
	begun := m.now
	k, _ := e.picker.Pick(m.view, d)
	if k == nil {
		m.results = append(m.results, result{at: begun, region: region, refused: true})
		return
	}
	s := m.servers[k.Target.Name]
	way := time.Duration(0)
	if k.Target.Region != region {
		way = modelTrip
	}
	m.after(way/2, func() {
		m.arrive(s, object, func(warm, ran, failed bool) {
			m.after(way/2, func() {
				out := &forwarder.Sending{
					Result: dispatcher.Result{Latency: m.now - begun, Failed: failed || !ran}, Refused: !ran && !s.dead, Unreachable: s.dead,
					Load: &forwarder.Load{Running: s.running, Waiting: len(s.queue), Slots: modelSlots},
				}
				e.picker.Done(k, d, out, 0)
				m.results = append(m.results, result{
					at: begun, region: region, ran: k.Target.Region, target: k.Target.Name, took: m.now - begun, failed: failed || !ran, warm: warm,
				})
			})
		})
	})
}

// arrive runs a request at a target, now or from its queue.
func (m *model) arrive(s *server, object string, done func(warm, ran, failed bool)) {
	if s.dead || (s.running >= modelSlots && len(s.queue) >= modelQueue) {
		done(false, false, true)
		return
	}
	run := func() {
		s.running++
		warm := s.touch(object)
		work := modelCold
		if warm {
			work = modelWarm
		}
		failed := m.random.Float64() < s.grey
		m.after(time.Duration(float64(work)*s.slow), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			done(warm, true, failed)
		})
	}
	if s.running < modelSlots {
		run()
		return
	}
	s.queue = append(s.queue, run)
}

// touch tells whether an object is warm, and keeps it warm as the most recent one.
func (s *server) touch(object string) bool {
	warm := false
	for i, o := range s.warm {
		if o == object {
			s.warm = append(s.warm[:i], s.warm[i+1:]...)
			warm = true
			break
		}
	}
	s.warm = append(s.warm, object)
	if len(s.warm) > modelKeeps {
		s.warm = s.warm[1:]
	}
	return warm
}

// summary counts the results of a span.
type summary struct {
	count, refused, failed, inAim, warm int
	away                                int
}

func (m *model) summary(from, to time.Duration, region string) summary {
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
		case r.took <= modelAim:
			s.inAim++
		}
		if r.warm {
			s.warm++
		}
		if !r.refused && r.ran != r.region {
			s.away++
		}
	}
	return s
}

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// TestColdStart plays the pattern of a start with everything cold, at a load that fits only
// once objects are warm: targets must not be given more objects than they keep warm.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 8})
	m.load("south", 430, 280, 40*time.Second)
	m.run(40 * time.Second)
	s := m.summary(25*time.Second, 40*time.Second, "")
	t.Logf("%+v", s)
	is.True(part(s.warm, s.count-s.refused) >= 0.9)
	is.True(part(s.inAim, s.count) >= 0.9)
}

// TestSmallRegion plays a region with 2 of 20 targets and a third of the requests: its
// objects have their first targets elsewhere from the start, and stay there.
func TestSmallRegion(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 8, "north": 10, "west": 2})
	for _, region := range []string{"south", "north", "west"} {
		m.load(region, 160, 122, 20*time.Second)
	}
	m.run(20 * time.Second)
	s := m.summary(8*time.Second, 20*time.Second, "")
	is.True(part(s.inAim, s.count) >= 0.9)
	for at := 2 * time.Second; at < 18*time.Second; at += 2 * time.Second {
		before, after := m.summary(at-2*time.Second, at, "west"), m.summary(at, at+2*time.Second, "west")
		change := part(after.away, after.count) - part(before.away, before.count)
		is.True(change < 0.15 && change > -0.15) // no jump between regions
	}
}

// TestSlowHalf plays half of the targets turning slow: the others take the work over.
func TestSlowHalf(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 8})
	m.load("south", 150, 100, 30*time.Second)
	m.run(10 * time.Second)
	for i := range 4 {
		m.servers[fmt.Sprintf("south-%d", i)].slow = 6
	}
	m.run(30 * time.Second)
	s := m.summary(18*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(part(s.inAim, s.count) >= 0.75)
}

// TestDeadTargets plays a quarter of the targets refusing connections: few requests are
// spent on finding that out again and again.
func TestDeadTargets(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 8})
	m.load("south", 150, 100, 30*time.Second)
	m.run(10 * time.Second)
	m.servers["south-0"].dead, m.servers["south-1"].dead = true, true
	m.run(30 * time.Second)
	s := m.summary(10*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(part(s.failed, s.count) <= 0.02)
}

// TestGreyTarget plays one target that fails half of its requests: it gets few.
func TestGreyTarget(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 8})
	m.load("south", 150, 100, 30*time.Second)
	m.run(10 * time.Second)
	m.servers["south-0"].grey = 0.5
	m.run(30 * time.Second)
	s := m.summary(12*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(part(s.failed, s.count) <= 0.03) // an even share would be 0.06
}

// TestColdTarget plays a target that comes back cold: over all entries it gets no more
// than its rate, with the overage and the slack that the platform allows.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	m := newModel(map[string]int{"south": 2})
	m.load("south", 120, 60, 20*time.Second)
	m.run(8 * time.Second)
	v := *m.view
	list := append([]*receiver.Listed(nil), v.Listed["drafts"]...)
	cold := *list[0]
	cold.ColdUntil = m.now + 4*time.Second
	list[0] = &cold
	v.Listed = map[string][]*receiver.Listed{"drafts": list}
	m.view = &v
	m.run(20 * time.Second)
	var sent []time.Duration
	for _, r := range m.results {
		if r.target == cold.Name && r.at >= 8*time.Second && r.at < 12*time.Second {
			sent = append(sent, r.at)
		}
	}
	is.True(len(sent) > 10) // it is warmed up
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

// TestManyEntries plays many entries with a thin view each, and objects of which a few are
// asked for often: an entry hears of a target's load only with its own rare answers, and
// must still not send to full queues while an object's second target has room.
func TestManyEntries(t *testing.T) {
	is := is.New(t)
	m := newCrowd(map[string]int{"south": 12}, 27)
	const rate, objects, hot = 640, 400, 12 // of 790 requests/s that fit if all are warm
	var next func()
	next = func() {
		object := m.random.IntN(objects)
		if m.random.IntN(3) == 0 {
			object = m.random.IntN(hot)
		}
		m.request("south", fmt.Sprint("south/", object))
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
	m.run(40 * time.Second)
	s := m.summary(15*time.Second, 40*time.Second, "")
	t.Logf("%+v: %.3f in time, %.3f warm, %.3f refused, %.3f failed", s, part(s.inAim, s.count), part(s.warm, s.count-s.refused),
		part(s.refused, s.count), part(s.failed, s.count))
	is.True(part(s.inAim, s.count) >= 0.9)
}
