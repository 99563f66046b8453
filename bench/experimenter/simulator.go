package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// simulator runs events in the order of their virtual time.
type simulator struct {
	now       time.Duration
	events    eventHeap
	scheduled int
}

// event is a function to run at a virtual time. Events of the same time run in the order in
// which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

func (s *simulator) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now + d, s.scheduled, do})
}

func (s *simulator) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simRequest is one request. Its service time is drawn in advance, so that every policy gets
// the same.
type simRequest struct {
	team        int
	arrived     time.Duration
	serviceTime time.Duration
}

// simTarget is a target with slots and its own queue.
type simTarget struct {
	slots    int
	running  int
	queue    []func()
	slowdown float64
	failing  bool
	// overSlots counts requests that arrived while every slot was taken.
	overSlots int
}

// serve runs a request on a slot as soon as one is free, and then calls done.
func (t *simTarget) serve(s *simulator, serviceTime time.Duration, done func(failed bool)) {
	start := func() {
		t.running++
		d := time.Duration(float64(serviceTime) * t.slowdown)
		if t.failing {
			d = time.Millisecond
		}
		s.after(d, func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			done(t.failing)
		})
	}
	if t.running < t.slots {
		start()
		return
	}
	t.overSlots++
	t.queue = append(t.queue, start)
}

// dispatchStats are the results of one policy.
type dispatchStats struct {
	latency      *hdrhistogram.Histogram
	failed       int
	refused      int
	servedByTeam []int
}

func newDispatchStats(teams int) *dispatchStats {
	return &dispatchStats{latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), servedByTeam: make([]int, teams)}
}

func (c *dispatchStats) record(s *simulator, r simRequest, failed bool) {
	if failed {
		c.failed++
		return
	}
	c.servedByTeam[r.team]++
	_ = c.latency.RecordValue(int64((s.now - r.arrived) / time.Microsecond)) // within range
}

func (c *dispatchStats) quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// drawRequests draws Poisson arrivals of all teams, in order of time, with exponentially
// distributed service times.
func drawRequests(random *rand.Rand, rates []float64, meanServiceTime, duration time.Duration) []simRequest {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	var out []simRequest
	for at := 0.0; ; {
		at += random.ExpFloat64() / total
		arrived := time.Duration(at * float64(time.Second))
		if arrived >= duration {
			return out
		}
		pick, team := random.Float64()*total, 0
		for pick -= rates[0]; pick >= 0 && team < len(rates)-1; pick -= rates[team] {
			team++
		}
		serviceTime := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
		out = append(out, simRequest{team: team, arrived: arrived, serviceTime: serviceTime})
	}
}
