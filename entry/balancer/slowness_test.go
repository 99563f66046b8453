package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
)

// load returns what a target states about its load.
func (m *simulation) load(s *simulatedTarget) *forwarder.Load {
	l := &forwarder.Load{Running: s.running, Waiting: len(s.queue), Slots: simulatedSlots}
	if m.statesSlowness {
		l.Slowness = s.slowdown
	}
	return l
}

// varySlowness slows a random fraction of the targets down, others each time, until a time.
func (m *simulation) varySlowness(fraction, slowdown float64, every, end time.Duration) {
	var next func()
	next = func() {
		for _, l := range m.view.Targets["drafts"] {
			m.targets[l.Name].slowdown = 1
			if m.random.Float64() < fraction {
				m.targets[l.Name].slowdown = slowdown
			}
		}
		if m.now < end {
			m.schedule(every, next)
		}
	}
	m.schedule(0, next)
}

// TestNoise simulates targets on shared machines, of which others are slow each moment. Where they
// state it, few requests may go to one that is slow.
func TestNoise(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 12})
	m.statesSlowness = true
	m.varySlowness(0.15, 2.5, 600*time.Millisecond, 40*time.Second)
	m.generateLoad("south", 400, 300, 40*time.Second)
	m.runUntil(40 * time.Second)
	s := m.summary(10*time.Second, 40*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.inAim, s.count) >= 0.98)
}

// TestNoiseWithManyEntries simulates the same with more entries, which get reports too rarely, and more
// requests. An entry asks the target that it would pick, so that a queue or a slow moment sends the request
// to the object's second target. Without inquiries, 88 % of the requests stay within the aim.
func TestNoiseWithManyEntries(t *testing.T) {
	is := is.New(t)
	m := newSimulationWithEntries(map[string]int{"south": 12}, 12)
	m.statesSlowness, m.inquiries = true, maxInquiries
	m.varySlowness(0.15, 2.5, 600*time.Millisecond, 30*time.Second)
	m.generateLoad("south", 640, 300, 30*time.Second)
	m.runUntil(30 * time.Second)
	s := m.summary(10*time.Second, 30*time.Second, "")
	t.Logf("%+v", s)
	is.True(fraction(s.inAim, s.count) >= 0.95)
}

// TestUnsure checks which targets are asked.
func TestUnsure(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *statements, k *target)
		want   bool
	}{
		{"an old report", func(*statements, *target) {}, true},
		{"a new report", func(s *statements, k *target) { k.recordLoad(s.now, &forwarder.Load{Slots: 3, Slowness: 1}) }, false},
		{"a service that states no slowness", func(s *statements, _ *target) { s.entry.picker.services["drafts"].statesSlowness = false }, false},
		{"another region", func(s *statements, _ *target) { s.entry.picker.config.Region = "north" }, false},
		{"a cold target", func(s *statements, k *target) { k.listed.ColdUntil = s.now + time.Second }, false},
		{"no answer lately", func(s *statements, k *target) { s.entry.picker.RecordInquiry(k.listed, nil) }, false},
		{"no answer long ago", func(s *statements, k *target) {
			s.entry.picker.RecordInquiry(k.listed, nil)
			s.now += inquiryPause
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStatements(1)
			s.send(&forwarder.SendResult{Result: dispatcher.Result{Latency: time.Millisecond}, Load: &forwarder.Load{Slots: 3, Slowness: 1}})
			s.now += maxReportAge
			c.change(s, s.state("south-0"))
			is.New(t).Equal(s.entry.picker.Unsure(s.request()) != nil, c.want)
		})
	}
}

// TestStatedSlownessAges checks that a statement counts fully at once, then less with its age, and that
// only the mean of several lasts.
func TestStatedSlownessAges(t *testing.T) {
	cases := []struct {
		name       string
		statements []float64
		age        time.Duration
		low, high  float64
	}{
		{"nothing stated", []float64{0}, 0, 1, 1},
		{"now", []float64{2.5}, 0, 2.5, 2.5},
		{"a moment ago", []float64{2.5}, statedTimeConstant, 1.5, 1.8},
		{"long ago", []float64{2.5}, time.Minute, 1, 1.001},
		{"usual again", []float64{2.5, 1}, 0, 1, 1},
		{"mostly slow", []float64{2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, 5 * statedTimeConstant, 1.4, 1.7},
		{"one that can't be", []float64{1e9}, 0, maxSlowness, maxSlowness},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStatements(1)
			s.send(served())
			k := s.state("south-0")
			for _, n := range c.statements {
				k.recordLoad(s.now, &forwarder.Load{Slots: 3, Slowness: n})
			}
			got := k.currentStatedSlowness(s.now + c.age)
			is.True(got >= c.low && got <= c.high)
		})
	}
}

// TestStatedSlownessCountsOnce checks that neither a target's learnt slowness nor the estimate of work
// contains what the target states itself.
func TestStatedSlownessCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newStatements(1)
	usual := s.entry.picker.ExpectedWork(s.request())
	for range 50 {
		s.send(&forwarder.SendResult{
			Result: dispatcher.Result{Latency: 2 * usual}, Load: &forwarder.Load{Running: 1, Slots: simulatedSlots, Slowness: 2},
		})
		s.now += 50 * time.Millisecond
	}
	is.True(s.state("south-0").currentSlowness(s.now) < 1.05)
	is.True(s.entry.picker.ExpectedWork(s.request()) <= usual*105/100)
}
