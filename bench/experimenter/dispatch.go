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

// Shape of the dispatch experiment: lamp viewing of Nilebeam's size in one region's delays.
const (
	dispatchTargets = 20
	dispatchTeams   = 8
	dispatchWork    = 20 * time.Millisecond
	dispatchLength  = 60 * time.Second
	// permitTrip is one way between an entry and its dispatcher.
	permitTrip = 500 * time.Microsecond
	// loadLag is the age of the load that targets report.
	loadLag = 500 * time.Millisecond
	// patience is how long a request may wait.
	patience = 500 * time.Millisecond
	faultAt  = 10 * time.Second
)

// dispatchScenario is one way of demand and fault.
type dispatchScenario struct {
	name string
	// load is the demand as a part of all slots.
	load float64
	// flood makes the first team send ten times its fair share, and the others theirs.
	flood bool
	fault func(s *simulator, targets []*simTarget)
	judge bool
}

var dispatchScenarios = []dispatchScenario{
	{name: "steady80", load: 0.8, judge: true},
	{name: "flood", load: 1, flood: true, judge: true},
	{name: "oneSlow", load: 0.7, fault: func(_ *simulator, t []*simTarget) { t[0].slowness = 10 }},
	{name: "oneFails", load: 0.7, fault: func(_ *simulator, t []*simTarget) { t[0].failing = true }},
}

// policy sends one request to a target.
type policy struct {
	name  string
	start func(s *simulator, targets []*simTarget, c *score) func(r simRequest)
}

var policies = []policy{
	{"ideal central queue", idealQueue},
	{"filberthoist", permits},
	{"random", randomChoice},
	{"round robin", roundRobin},
	{"least reported load", leastReported},
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
		slots += slotsOf(i)
	}
	capacity := float64(slots) / dispatchWork.Seconds()
	rates := make([]float64, dispatchTeams)
	for i := range rates {
		rates[i] = capacity * s.load / dispatchTeams
		if s.flood && i == 0 {
			rates[i] *= 10
		}
	}
	requests := drawRequests(rand.New(rand.NewPCG(c.Seed, 0)), rates, dispatchWork, dispatchLength)
	out := tabulator.Result{Name: "dispatch-" + s.name, XLabel: "quantile", YLabel: "milliseconds"}
	scores := map[string]*score{}
	exceeded := map[string]int{}
	for _, p := range policies {
		scores[p.name], exceeded[p.name] = simulate(s, p, requests)
		out.Rows = append(out.Rows,
			tabulator.Compare("p50, p99", p.name, "%v, %v", scores[p.name].quantile(50), scores[p.name].quantile(99)),
			tabulator.Compare("failed, refused, over slots", p.name, "%d, %d, %d of %d",
				scores[p.name].failed, scores[p.name].refused, exceeded[p.name], len(requests)))
		out.Lines = append(out.Lines, quantiles(p.name, scores[p.name]))
	}
	out.Rows = append(out.Rows, tabulator.Judge("slots exceeded by our decisions", "filberthoist", "0",
		exceeded["filberthoist"] == 0, "%d", exceeded["filberthoist"]))
	if !s.judge {
		return out
	}
	if s.flood {
		out.Rows = append(out.Rows, judgeFairness(scores["filberthoist"], rates, capacity))
		return out
	}
	part := float64(scores["filberthoist"].quantile(99)) / float64(scores["ideal central queue"].quantile(99))
	out.Rows = append(out.Rows, tabulator.Judge("p99 against the ideal", "filberthoist", "<= 1.2x", part <= 1.2, "%.2fx", part))
	return out
}

// judgeFairness compares the worst-served team with its max-min fair share.
func judgeFairness(c *score, rates []float64, capacity float64) tabulator.Row {
	worst := 1.0
	for i, n := range c.served {
		fair := min(rates[i], capacity/dispatchTeams) * dispatchLength.Seconds()
		worst = min(worst, float64(n)/fair)
	}
	return tabulator.Judge("worst-served team's share of its fair share", "filberthoist", ">= 95 %",
		worst >= 0.95, "%.1f %%", 100*worst)
}

func quantiles(name string, c *score) tabulator.Line {
	l := tabulator.Line{Name: name}
	for q := 1.0; q < 100; q++ {
		l.Points = append(l.Points, tabulator.Point{X: q, Y: float64(c.quantile(q)) / float64(time.Millisecond)})
	}
	return l
}

func slotsOf(i int) int {
	return 4 + i%3
}

// simulate runs one policy on the requests.
func simulate(sc dispatchScenario, p policy, requests []simRequest) (*score, int) {
	s, c := &simulator{}, newScore(dispatchTeams)
	var targets []*simTarget
	for i := range dispatchTargets {
		targets = append(targets, &simTarget{slots: slotsOf(i), slowness: 1})
	}
	send := p.start(s, targets, c)
	for _, r := range requests {
		s.after(r.arrived-s.now, func() { send(r) })
	}
	if sc.fault != nil {
		s.after(faultAt, func() { sc.fault(s, targets) })
	}
	s.runUntil(dispatchLength + time.Minute)
	exceeded := 0
	for _, t := range targets {
		exceeded += t.exceeded
	}
	return c, exceeded
}

// idealQueue knows every free slot at once and serves in the order of arrival.
func idealQueue(s *simulator, targets []*simTarget, c *score) func(simRequest) {
	var queue []simRequest
	var pump func()
	pump = func() {
		for _, t := range targets {
			for len(queue) > 0 && t.running < t.slots && !t.failing && t.slowness == 1 {
				r := queue[0]
				queue = queue[1:]
				t.serve(s, r.work, func(failed bool) {
					c.add(s, r, failed)
					pump()
				})
			}
		}
	}
	return func(r simRequest) {
		queue = append(queue, r)
		pump()
	}
}

// permits runs the product's ledger, a trip away from the entries.
func permits(s *simulator, targets []*simTarget, c *score) func(simRequest) {
	l := dispatcher.NewLedger(asserter.NewPanicking())
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
	var pump func()
	pump = func() {
		for p := l.Next(s.now); p != nil; p = l.Next(s.now) {
			r := waiting[p.ID]
			delete(waiting, p.ID)
			s.after(permitTrip, func() {
				begun := s.now
				byName[p.Target].serve(s, r.work, func(failed bool) {
					c.add(s, r, failed)
					latency := s.now - begun
					s.after(permitTrip, func() {
						l.Release(s.now, p.ID, dispatcher.Result{Latency: latency, Failed: failed})
						pump()
					})
				})
			})
		}
	}
	return func(r simRequest) {
		number++
		id := dispatcher.PermitID{Holder: "entry", Number: number}
		s.after(permitTrip, func() {
			d := dispatcher.Demand{ID: id, Team: fmt.Sprint(r.team), Weight: 1, Run: time.Minute, Until: s.now + patience}
			if !l.Enqueue(s.now, d) {
				c.refused++
				return
			}
			waiting[id] = r
			s.after(patience, func() {
				if _, still := waiting[id]; still {
					delete(waiting, id)
					l.Cancel(id)
					c.refused++
				}
			})
			pump()
		})
	}
}

func randomChoice(s *simulator, targets []*simTarget, c *score) func(simRequest) {
	random := rand.New(rand.NewPCG(1, 1))
	return func(r simRequest) {
		targets[random.IntN(len(targets))].serve(s, r.work, func(failed bool) { c.add(s, r, failed) })
	}
}

func roundRobin(s *simulator, targets []*simTarget, c *score) func(simRequest) {
	next := 0
	return func(r simRequest) {
		next++
		targets[next%len(targets)].serve(s, r.work, func(failed bool) { c.add(s, r, failed) })
	}
}

// leastReported sends to the target whose report, which lags, shows the least load.
func leastReported(s *simulator, targets []*simTarget, c *score) func(simRequest) {
	reported := make([]float64, len(targets))
	var report func()
	report = func() {
		for i, t := range targets {
			reported[i] = float64(t.running+len(t.queue)) / float64(t.slots)
		}
		if s.now < dispatchLength {
			s.after(loadLag, report)
		}
	}
	report()
	random := rand.New(rand.NewPCG(1, 1))
	return func(r simRequest) {
		// Of two at random, so that not all go to one between reports.
		i, j := random.IntN(len(targets)), random.IntN(len(targets))
		if reported[j] < reported[i] {
			i = j
		}
		targets[i].serve(s, r.work, func(failed bool) { c.add(s, r, failed) })
	}
}
