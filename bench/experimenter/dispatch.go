package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filberthoist/filberthoist/bench/tabulator"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
)

// Parameters of the dispatch experiment: a service of the size of Nilebeam's lamp viewing, with
// the delays within one region.
const (
	dispatchTargets     = 20
	dispatchTeams       = 8
	dispatchServiceTime = 20 * time.Millisecond
	dispatchDuration    = 60 * time.Second
	// permitDelay is the one-way delay between an entry and its dispatcher.
	permitDelay = 500 * time.Microsecond
	// loadReportInterval is the interval at which targets report their load.
	loadReportInterval = 500 * time.Millisecond
	// maxQueueTime is how long a request may wait for a permit.
	maxQueueTime = 500 * time.Millisecond
	faultAt      = 10 * time.Second
)

// dispatchScenario is a load pattern with an optional fault.
type dispatchScenario struct {
	name string
	// load is the demand as a fraction of the capacity of all slots.
	load float64
	// flood makes the first team send ten times its fair share, and the other teams exactly
	// theirs.
	flood     bool
	fault     func(s *simulator, targets []*simTarget)
	hasTarget bool
}

var dispatchScenarios = []dispatchScenario{
	{name: "steady80", load: 0.8, hasTarget: true},
	{name: "flood", load: 1, flood: true, hasTarget: true},
	{name: "oneSlow", load: 0.7, fault: func(_ *simulator, t []*simTarget) { t[0].slowdown = 10 }},
	{name: "oneFails", load: 0.7, fault: func(_ *simulator, t []*simTarget) { t[0].failing = true }},
}

// policy chooses targets for requests. start returns the function that handles one request.
type policy struct {
	name  string
	start func(s *simulator, targets []*simTarget, c *dispatchStats) func(r simRequest)
}

var policies = []policy{
	{"ideal central queue", idealQueue},
	{"filberthoist", permitDispatch},
	{"random", randomChoice},
	{"round robin", roundRobin},
	{"least reported load", leastReportedLoad},
}

func runDispatch(c Config) ([]tabulator.Result, error) {
	var out []tabulator.Result
	for _, s := range dispatchScenarios {
		out = append(out, runDispatchScenario(c, s))
	}
	return out, nil
}

func runDispatchScenario(c Config, s dispatchScenario) tabulator.Result {
	slots := 0
	for i := range dispatchTargets {
		slots += slotsOfTarget(i)
	}
	capacity := float64(slots) / dispatchServiceTime.Seconds()
	rates := make([]float64, dispatchTeams)
	for i := range rates {
		rates[i] = capacity * s.load / dispatchTeams
		if s.flood && i == 0 {
			rates[i] *= 10
		}
	}
	requests := drawRequests(rand.New(rand.NewPCG(c.Seed, 0)), rates, dispatchServiceTime, dispatchDuration)
	out := tabulator.Result{Name: "dispatch-" + s.name, XLabel: "quantile", YLabel: "milliseconds"}
	stats := map[string]*dispatchStats{}
	overSlots := map[string]int{}
	for _, p := range policies {
		stats[p.name], overSlots[p.name] = simulate(s, p, requests)
		out.Rows = append(out.Rows,
			tabulator.InfoRow("p50, p99", p.name, "%v, %v", stats[p.name].quantile(50), stats[p.name].quantile(99)),
			tabulator.InfoRow("failed, refused, over slots", p.name, "%d, %d, %d of %d",
				stats[p.name].failed, stats[p.name].refused, overSlots[p.name], len(requests)))
		out.Series = append(out.Series, quantileSeries(p.name, stats[p.name]))
	}
	out.Rows = append(out.Rows, tabulator.TargetRow("slots exceeded by our decisions", "filberthoist", "0",
		overSlots["filberthoist"] == 0, "%d", overSlots["filberthoist"]))
	if !s.hasTarget {
		return out
	}
	if s.flood {
		out.Rows = append(out.Rows, fairnessRow(stats["filberthoist"], rates, capacity))
		return out
	}
	ratio := float64(stats["filberthoist"].quantile(99)) / float64(stats["ideal central queue"].quantile(99))
	out.Rows = append(out.Rows, tabulator.TargetRow("p99 against the ideal", "filberthoist", "<= 1.2x", ratio <= 1.2, "%.2fx", ratio))
	return out
}

// fairnessRow reports how much of its max-min fair share the worst-served team got.
func fairnessRow(c *dispatchStats, rates []float64, capacity float64) tabulator.Row {
	worst := 1.0
	for i, n := range c.servedByTeam {
		fair := min(rates[i], capacity/dispatchTeams) * dispatchDuration.Seconds()
		worst = min(worst, float64(n)/fair)
	}
	return tabulator.TargetRow("worst-served team's share of its fair share", "filberthoist", ">= 95 %",
		worst >= 0.95, "%.1f %%", 100*worst)
}

func quantileSeries(name string, c *dispatchStats) tabulator.Series {
	l := tabulator.Series{Name: name}
	for q := 1.0; q < 100; q++ {
		l.Points = append(l.Points, tabulator.Point{X: q, Y: float64(c.quantile(q)) / float64(time.Millisecond)})
	}
	return l
}

func slotsOfTarget(i int) int {
	return 4 + i%3
}

// simulate runs one policy on the requests. It returns the policy's results and the number of
// requests that targets received while every slot was taken.
func simulate(sc dispatchScenario, p policy, requests []simRequest) (*dispatchStats, int) {
	s, c := &simulator{}, newDispatchStats(dispatchTeams)
	var targets []*simTarget
	for i := range dispatchTargets {
		targets = append(targets, &simTarget{slots: slotsOfTarget(i), slowdown: 1})
	}
	send := p.start(s, targets, c)
	for _, r := range requests {
		s.after(r.arrived-s.now, func() { send(r) })
	}
	if sc.fault != nil {
		s.after(faultAt, func() { sc.fault(s, targets) })
	}
	s.runUntil(dispatchDuration + time.Minute)
	overSlots := 0
	for _, t := range targets {
		overSlots += t.overSlots
	}
	return c, overSlots
}

// idealQueue is a central FIFO queue that sees free slots without delay and avoids slow and
// failing targets.
func idealQueue(s *simulator, targets []*simTarget, c *dispatchStats) func(simRequest) {
	var queue []simRequest
	var serveNext func()
	serveNext = func() {
		for _, t := range targets {
			for len(queue) > 0 && t.running < t.slots && !t.failing && t.slowdown == 1 {
				r := queue[0]
				queue = queue[1:]
				t.serve(s, r.serviceTime, func(failed bool) {
					c.record(s, r, failed)
					serveNext()
				})
			}
		}
	}
	return func(r simRequest) {
		queue = append(queue, r)
		serveNext()
	}
}

// permitDispatch runs the product's dispatcher at a delay of permitDelay from the entries.
func permitDispatch(s *simulator, targets []*simTarget, c *dispatchStats) func(simRequest) {
	l := dispatcher.NewSlotScheduler(asserter.NewPanicking())
	byName := map[string]*simTarget{}
	var list []*parser.Target
	for i, t := range targets {
		name := fmt.Sprintf("target%02d", i)
		byName[name] = t
		list = append(list, &parser.Target{Name: name, Slots: t.slots})
	}
	l.SetTargets(0, list)
	waiting := map[dispatcher.PermitID]simRequest{}
	number := uint64(0)
	var grantNext func()
	grantNext = func() {
		for p := l.Next(s.now); p != nil; p = l.Next(s.now) {
			r := waiting[p.ID]
			delete(waiting, p.ID)
			s.after(permitDelay, func() {
				start := s.now
				byName[p.Target].serve(s, r.serviceTime, func(failed bool) {
					c.record(s, r, failed)
					latency := s.now - start
					s.after(permitDelay, func() {
						l.Release(s.now, p.ID, dispatcher.Result{Latency: latency, Failed: failed})
						grantNext()
					})
				})
			})
		}
	}
	return func(r simRequest) {
		number++
		id := dispatcher.PermitID{Holder: "entry", Number: number}
		s.after(permitDelay, func() {
			d := dispatcher.SlotRequest{ID: id, Team: fmt.Sprint(r.team), Weight: 1, MaxHold: time.Minute, Expires: s.now + maxQueueTime}
			if !l.Enqueue(s.now, d) {
				c.refused++
				return
			}
			waiting[id] = r
			s.after(maxQueueTime, func() {
				if _, still := waiting[id]; still {
					delete(waiting, id)
					l.Cancel(id)
					c.refused++
				}
			})
			grantNext()
		})
	}
}

func randomChoice(s *simulator, targets []*simTarget, c *dispatchStats) func(simRequest) {
	random := rand.New(rand.NewPCG(1, 1))
	return func(r simRequest) {
		targets[random.IntN(len(targets))].serve(s, r.serviceTime, func(failed bool) { c.record(s, r, failed) })
	}
}

func roundRobin(s *simulator, targets []*simTarget, c *dispatchStats) func(simRequest) {
	next := 0
	return func(r simRequest) {
		next++
		targets[next%len(targets)].serve(s, r.serviceTime, func(failed bool) { c.record(s, r, failed) })
	}
}

// leastReportedLoad sends a request to the less loaded of two random targets, according to
// their last reports.
func leastReportedLoad(s *simulator, targets []*simTarget, c *dispatchStats) func(simRequest) {
	reported := make([]float64, len(targets))
	var report func()
	report = func() {
		for i, t := range targets {
			reported[i] = float64(t.running+len(t.queue)) / float64(t.slots)
		}
		if s.now < dispatchDuration {
			s.after(loadReportInterval, report)
		}
	}
	report()
	random := rand.New(rand.NewPCG(1, 1))
	return func(r simRequest) {
		// Of two random targets, so that not all requests go to the same target between
		// reports.
		i, j := random.IntN(len(targets)), random.IntN(len(targets))
		if reported[j] < reported[i] {
			i = j
		}
		targets[i].serve(s, r.serviceTime, func(failed bool) { c.record(s, r, failed) })
	}
}
