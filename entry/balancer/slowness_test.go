package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
)

// statedSlowness returns what a target states about its slowness; 0 if targets state none.
func (m *simulation) statedSlowness(s *simulatedTarget) float64 {
	if !m.statesSlowness {
		return 0
	}
	return s.slowdown
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
