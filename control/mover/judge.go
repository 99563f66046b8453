package mover

import (
	"maps"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/core/assessor"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the judgement.
const (
	// falseBudget is the probability that a good version is taken back, over all its routes.
	falseBudget = 1.0 / 200
	// kinds are the kinds of evidence: failures and slowness.
	kinds = 2
	// enough is the number of answers of the new side that a route's step needs.
	enough = 30
	// doubtful is the evidence at which a step waits for more.
	doubtful = 10
	// takenPart is the part of its share that the new side must have taken to go on.
	takenPart = 0.5
)

// Judge collects the evidence of one move.
type Judge struct {
	move   *parser.Move
	routes map[string]*routeJudge
	limit  float64
	// seen is what each caller had told when its evidence was last taken in.
	seen map[seenName]pair
}

// routeJudge is the evidence of one route, and what of it came in the present step.
type routeJudge struct {
	route     *parser.Route
	assessor  *assessor.Assessor
	stepBegan pair
}

type seenName struct {
	caller wire.Caller
	route  string
}

// pair holds both sides of a move.
type pair struct {
	old assessor.Tally
	new assessor.Tally
}

// NewJudge returns a Judge of a move that has no evidence yet.
func NewJudge(m *parser.Move, routes []*parser.Route, begun time.Time) *Judge {
	windows := int(max(0, m.Deadline.Sub(begun)) / WindowLength)
	j := &Judge{
		move: m, routes: map[string]*routeJudge{}, seen: map[seenName]pair{},
	}
	for _, r := range routes {
		j.routes[r.Name] = &routeJudge{route: r, assessor: assessor.NewAssessor(assessor.Config{Windows: windows})}
	}
	j.limit = kinds * float64(max(1, len(routes))) / falseBudget
	return j
}

// Window takes in what every caller saw since the last window, as one.
func (j *Judge) Window(callers map[wire.Caller]distributor.Caller) {
	sums := map[string]pair{}
	for name, c := range callers {
		for _, e := range c.Evidence {
			if e.GetCourse() == j.move.Course() {
				j.collect(name, e, sums)
			}
		}
	}
	for route, p := range sums {
		j.routes[route].assessor.Window(p.old, p.new)
	}
}

func (j *Judge) collect(caller wire.Caller, e *wire.MoveEvidence, sums map[string]pair) {
	for _, r := range e.GetRoutes() {
		if j.routes[r.GetRoute()] == nil {
			continue
		}
		name := seenName{caller, r.GetRoute()}
		now := pair{wire.FromVersionTally(r.GetOld()), wire.FromVersionTally(r.GetNew())}
		before, known := j.seen[name]
		j.seen[name] = now
		if !known {
			continue // it may have been judged by an earlier leader
		}
		sum := sums[r.GetRoute()]
		sum.old.Merge(now.old.Minus(before.old))
		sum.new.Merge(now.new.Minus(before.new))
		sums[r.GetRoute()] = sum
	}
}

// Stepped begins the evidence of the next step.
func (j *Judge) Stepped() {
	for _, r := range j.routes {
		v := r.assessor.Verdict()
		r.stepBegan = pair{v.Old, v.New}
	}
}

// worst returns the route with the most evidence against the new side.
func (j *Judge) worst() (route string, v assessor.Verdict) {
	for _, n := range j.names() {
		w := j.routes[n].assessor.Verdict()
		if route == "" || j.against(w) > j.against(v) {
			route, v = n, w
		}
	}
	return route, v
}

// against is the evidence that counts; another region is slower for its distance alone.
func (j *Judge) against(v assessor.Verdict) float64 {
	if j.move.Regional() {
		return v.Failures
	}
	return v.Evidence()
}

// failsTrial tells whether a route's answers of this step alone, taken together, speak
// against the new side. The evidence by windows must hold at every look and so needs more
// answers than one trial has.
func (j *Judge) failsTrial() bool {
	for _, n := range j.names() {
		if step := j.routes[n].step(); assessor.Deviation(step.old, step.new) >= trialDeviation {
			return true
		}
	}
	return false
}

// lacking returns a route that has traffic but too few answers of the new side in this
// step to go on, or "". Routes that have no share yet need none.
func (j *Judge) lacking(s Stage) string {
	for _, n := range j.names() {
		r := j.routes[n]
		step := r.step()
		if s.shareOf(r.route) > 0 && step.old.Count+step.new.Count > 0 && step.new.Count < enough {
			return n
		}
	}
	return ""
}

// untaken tells whether the new side took clearly less than its share in this step, of the
// requests that run at most once or of the others.
func (j *Judge) untaken(s Stage) bool {
	due, took := map[bool]float64{}, map[bool]float64{}
	for _, r := range j.routes {
		step, class := r.step(), r.route.Repeatable()
		due[class] += s.shareOf(r.route) * float64(step.old.Count+step.new.Count)
		took[class] += float64(step.new.Count)
	}
	for class, d := range due {
		if d >= enough && took[class] < takenPart*d {
			return true
		}
	}
	return false
}

func (j *Judge) names() []string {
	return slices.Sorted(maps.Keys(j.routes))
}

func (r *routeJudge) step() pair {
	v := r.assessor.Verdict()
	return pair{v.Old.Minus(r.stepBegan.old), v.New.Minus(r.stepBegan.new)}
}

func (s Stage) shareOf(r *parser.Route) float64 {
	if r.Repeatable() {
		return s.Share
	}
	return s.OnceShare
}
