package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// simulator runs events in the order of their virtual time.
type simulator struct {
	now    time.Duration
	events eventHeap
	number int
}

// event is something to be done at a moment; equal moments keep their order.
type event struct {
	at     time.Duration
	number int
	do     func()
}

func (s *simulator) after(d time.Duration, do func()) {
	s.number++
	heap.Push(&s.events, event{s.now + d, s.number, do})
}

func (s *simulator) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
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

// simRequest is one request; its work is drawn before, so that every policy gets the same.
type simRequest struct {
	team    int
	arrived time.Duration
	work    time.Duration
}

// simTarget is an upstream with slots and a queue of its own.
type simTarget struct {
	slots    int
	running  int
	queue    []func()
	slowness float64
	failing  bool
	// exceeded counts requests that came while every slot was taken.
	exceeded int
}

// serve runs work on a slot, or once one is free; done is told whether it failed.
func (t *simTarget) serve(s *simulator, work time.Duration, done func(failed bool)) {
	start := func() {
		t.running++
		d := time.Duration(float64(work) * t.slowness)
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
	t.exceeded++
	t.queue = append(t.queue, start)
}

// score is what a policy came to.
type score struct {
	latency *hdrhistogram.Histogram
	failed  int
	refused int
	served  []int
}

func newScore(teams int) *score {
	return &score{latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), served: make([]int, teams)}
}

func (c *score) add(s *simulator, r simRequest, failed bool) {
	if failed {
		c.failed++
		return
	}
	c.served[r.team]++
	_ = c.latency.RecordValue(int64((s.now - r.arrived) / time.Microsecond)) // within range
}

func (c *score) quantile(q float64) time.Duration {
	return time.Duration(c.latency.ValueAtQuantile(q)) * time.Microsecond
}

// drawRequests returns Poisson arrivals of every team, in order, with exponential work.
func drawRequests(random *rand.Rand, rates []float64, mean, length time.Duration) []simRequest {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	var out []simRequest
	for at := 0.0; ; {
		at += random.ExpFloat64() / total
		arrived := time.Duration(at * float64(time.Second))
		if arrived >= length {
			return out
		}
		pick, team := random.Float64()*total, 0
		for pick -= rates[0]; pick >= 0 && team < len(rates)-1; pick -= rates[team] {
			team++
		}
		work := time.Duration(random.ExpFloat64() * float64(mean))
		out = append(out, simRequest{team: team, arrived: arrived, work: work})
	}
}
