package allocator

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// checkSumsToOne checks that fractions are not negative and add up to 1.
func checkSumsToOne(t *testing.T, row map[string]float64) {
	t.Helper()
	sum := 0.0
	for _, p := range row {
		sum += p
		is.New(t).True(p >= 0)
	}
	is.New(t).True(math.Abs(sum-1) < 1e-9)
}

// TestBalance checks the fractions for even, excessive and missing demand.
func TestBalance(t *testing.T) {
	slots := map[string]float64{"south": 48, "north": 60, "west": 12}
	cases := []struct {
		name   string
		demand map[string]float64
		check  func(best map[string]map[string]float64) bool
	}{
		{"a small region keeps a fraction", map[string]float64{"south": 20, "north": 20, "west": 20}, func(b map[string]map[string]float64) bool {
			return b["south"]["south"] == 1 && b["north"]["north"] == 1 && b["west"]["west"] > 0.3 && b["west"]["west"] < 0.4
		}},
		{"excess goes to spare capacity", map[string]float64{"south": 30, "north": 10, "west": 20}, func(b map[string]map[string]float64) bool {
			return b["west"]["north"] > 0.6 && b["west"]["south"] == 0 && b["south"]["north"] > 0
		}},
		{"a region without slots", map[string]float64{"south": 20, "north": 20, "west": 20, "east": 5}, func(b map[string]map[string]float64) bool {
			return b["east"]["east"] == 0
		}},
		{"no demand", map[string]float64{"south": 0, "north": 0, "west": 0}, func(b map[string]map[string]float64) bool { return b["west"]["west"] == 1 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			best := balance(demand{free: c.demand}, slots)
			for _, row := range best {
				checkSumsToOne(t, row)
			}
			is.New(t).True(c.check(best))
		})
	}
}

// TestBoundDemand checks that a region with many requests that only it may serve keeps few others, so
// that its targets are not busier than those of other regions.
func TestBoundDemand(t *testing.T) {
	cases := []struct {
		name  string
		bound map[string]float64
		// home is the highest fraction that the small region may keep.
		home float64
	}{
		{"none", nil, 0.7},
		{"half of its slots", map[string]float64{"west": 5}, 0.35},
		{"all of its slots", map[string]float64{"west": 10}, 0.1},
		{"more than its slots", map[string]float64{"west": 20}, 0},
		{"a region without slots", map[string]float64{"east": 5}, 0.7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel()
			m.play(1, 0, time.Second)
			for range 60 {
				m.playBound(1, 15, c.bound, 500*time.Millisecond)
			}
			is.True(m.part("west", "west") <= c.home+deadBand)
			for _, region := range []string{"south", "north", "west"} {
				row := map[string]float64{}
				for _, p := range m.latest[region].GetParts() {
					row[p.GetRegion()] = p.GetPart()
				}
				checkSumsToOne(t, row)
			}
		})
	}
}

// TestWave simulates a wave of demand in one region. Fractions must change by at most 4 % a second,
// and not at all while no region is strained.
func TestWave(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	slots := map[string]map[string]float64{"drafts": {"south": 48, "north": 60, "west": 12}}
	a := NewAllocator(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Slots: func() map[string]map[string]float64 { return slots }})
	poll := func(region string, load float64) *wire.Allocation {
		return a.Answer(1, &wire.PollRequest{
			Member: &wire.EntryMember{Name: region, Region: region}, Services: []*wire.ServiceDemand{{Service: "drafts", Load: load}},
		})
	}
	home := func(n *wire.Allocation) float64 {
		for _, p := range n.GetParts() {
			if p.GetRegion() == "south" {
				return p.GetPart()
			}
		}
		return -1
	}
	previous, lowest := 1.0, 1.0
	for i := range 80 {
		now += 500 * time.Millisecond
		load := 12.0
		if i > 20 && i < 60 {
			load = 70 // more than the slots of its own region
		}
		poll("north", 15)
		poll("west", 4)
		n := poll("south", load)
		got := home(n)
		is.True(math.Abs(got-previous) <= maxStep+1e-9)
		if i <= 20 {
			is.Equal(got, 1.0)
		}
		previous, lowest = got, min(lowest, got)
	}
	is.True(lowest < 0.9)
}

// model is an Allocator with simulated time and one entry in each region.
type model struct {
	*Allocator
	now   time.Duration
	slots map[string]map[string]float64
	// latest is the allocation that the entry of each region received last.
	latest map[string]*wire.Allocation
	// order is the order in which the regions' entries poll.
	order []string
}

func newModel() *model {
	m := &model{now: time.Hour, order: orders()[0], latest: map[string]*wire.Allocation{}, slots: map[string]map[string]float64{"drafts": {"south": 36, "north": 24, "west": 12}}}
	m.Allocator = NewAllocator(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return m.now }}, Slots: func() map[string]map[string]float64 { return m.slots }})
	return m
}

// play lets every entry poll for a time, with the same demand in each region.
func (m *model) play(term uint64, load float64, d time.Duration) { m.playBound(term, load, nil, d) }

// playBound is play with further demand, which only the given regions may serve.
func (m *model) playBound(term uint64, load float64, bound map[string]float64, d time.Duration) {
	for end := m.now + d; m.now < end; m.now += 250 * time.Millisecond {
		for _, region := range m.order {
			if load == 0 {
				m.poll(term, region)
				continue
			}
			s := &wire.ServiceDemand{Service: "drafts", Load: load, Bound: map[string]float64{}}
			for to, b := range bound {
				s.Bound[to] = b / float64(len(m.slots["drafts"]))
				s.Load += s.Bound[to]
			}
			m.poll(term, region, s)
		}
	}
}

// poll lets the entry of a region poll once.
func (m *model) poll(term uint64, region string, demands ...*wire.ServiceDemand) {
	r := &wire.PollRequest{Member: &wire.EntryMember{Name: region, Region: region}, Allocation: m.latest[region].GetNumber(), Services: demands}
	if a := m.Answer(term, r); a != nil {
		m.latest[region] = a
	}
}

// orders returns all orders in which the regions of the model can poll.
func orders() [][]string {
	return [][]string{
		{"south", "north", "west"}, {"south", "west", "north"}, {"north", "south", "west"},
		{"north", "west", "south"}, {"west", "south", "north"}, {"west", "north", "south"},
	}
}

func (m *model) part(region, to string) float64 {
	for _, p := range m.latest[region].GetParts() {
		if p.GetRegion() == to {
			return p.GetPart()
		}
	}
	return -1
}

// TestFirstAllocation checks that entries have the allocation before the first requests, and that
// these don't change it.
func TestFirstAllocation(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.play(1, 0, time.Second)
	before := m.part("west", "west")
	is.True(before > 0.5 && before < 0.6)
	m.play(1, 20, 5*time.Second)
	is.True(math.Abs(m.part("west", "west")-before) < deadBand)
	t.Run("targets that join before", func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.play(1, 0, time.Second)
		m.slots["drafts"] = map[string]float64{"south": 36, "north": 24, "west": 36}
		m.play(1, 0, time.Second)
		is.Equal(m.part("west", "west"), 1.0)
	})
	t.Run("targets that join as demand begins", func(t *testing.T) {
		for _, order := range orders() {
			is := is.New(t)
			m := newModel()
			m.order = order
			m.play(1, 0, time.Second)
			m.slots["drafts"] = map[string]float64{"south": 36, "north": 24, "west": 36}
			m.play(1, 20, 5*time.Second)
			is.Equal(m.part("west", "west"), 1.0)
		}
	})
}

// TestDemandCountsOnceAllEntriesReport guards against fractions that change because the first reports
// of demand, which come from a part of the entries, look like a strained region.
func TestDemandCountsOnceAllEntriesReport(t *testing.T) {
	cases := []struct {
		name string
		// gap is the time between the first reports of two regions.
		gap time.Duration
		// idle is how long another service has demand before.
		idle time.Duration
		// pause is how long demand ends after it was known.
		pause time.Duration
	}{
		{"reports in one step", 0, 0, 0},
		{"reports in different steps", 500 * time.Millisecond, 0, 0},
		{"a service with later demand", 500 * time.Millisecond, 10 * time.Second, 0},
		{"demand that comes again", 500 * time.Millisecond, 0, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, order := range orders() {
				m := newModel()
				m.order = order
				m.play(1, 0, time.Second)
				before := m.part("west", "west")
				for end := m.now + c.idle; m.now < end; m.now += 250 * time.Millisecond {
					m.poll(1, "south", &wire.ServiceDemand{Service: "bills", Load: 20})
				}
				checkStaggered(t, m, before, c.gap)
				if c.pause > 0 {
					m.play(1, 0, c.pause)
					checkStaggered(t, m, before, c.gap)
				}
			}
		})
	}
}

// checkStaggered lets the same demand begin in all regions, one after the other, and checks that the
// fractions stay, since no region is strained by all of it.
func checkStaggered(t *testing.T, m *model, want float64, gap time.Duration) {
	t.Helper()
	for begun := m.now; m.now < begun+8*time.Second; m.now += 250 * time.Millisecond {
		for i, region := range m.order {
			load := 0.0
			if m.now-begun >= time.Duration(i)*gap {
				load = 20
			}
			m.poll(1, region, &wire.ServiceDemand{Service: "drafts", Load: load})
		}
		is.New(t).Equal(m.part("west", "west"), want)
	}
}

// TestAllocationOfNextLeader checks that a new leader allocates by the demand that entries report
// rather than by even demand, and nothing until it knows it, in whichever order the entries poll.
func TestAllocationOfNextLeader(t *testing.T) {
	for _, order := range orders() {
		t.Run(strings.Join(order, " "), func(t *testing.T) {
			is := is.New(t)
			m := newModel()
			m.order = order
			m.play(1, 0, time.Second)
			m.slots["drafts"] = map[string]float64{"south": 36, "north": 24, "west": 24}
			m.play(1, 20, 20*time.Second)
			before, number := m.part("west", "west"), m.latest["west"].GetNumber()
			m.play(2, 20, time.Second)
			is.Equal(m.latest["west"].GetNumber(), number)
			m.play(2, 20, 5*time.Second)
			is.True(m.latest["west"].GetNumber() != number)
			is.True(math.Abs(m.part("west", "west")-before) < 0.1)
		})
	}
}
