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

// Parameters of the judge.
const (
	// falsePositiveBudget is the probability that a good version is taken back, over all its routes.
	falsePositiveBudget = 1.0 / 200
	// evidenceKinds is the number of kinds of evidence: failures and slowness.
	evidenceKinds = 2
	// minResponses is the number of responses of the new side that a route needs in each step.
	minResponses = 30
	// doubtEvidence is the evidence from which a step waits for more responses.
	doubtEvidence = 10
	// minTakenFraction is the fraction of its share that the new side must have taken before the next step.
	minTakenFraction = 0.5
)

// Window holds what entries reported up to the end of a window.
type Window struct {
	Callers map[wire.EntryRun]distributor.Caller
	// Complete reports whether most entries that may serve requests have reported on the move's current step.
	Complete bool
}

// Judge compares both sides of one move by the responses that entries report to one leader. It has no part in
// what an earlier leader saw.
type Judge struct {
	move   *parser.Move
	routes map[string]*routeJudge
	// change is the change of the move's record that began the current step.
	change uint64
	// windows counts the windows of the current step. Those before the first complete one do not count.
	windows int
	// complete reports whether the last window is complete, and watching whether any was.
	complete bool
	watching bool
	// anchor is the time by which the steps of the record were due at anchoredAt, on the process's Clock.
	anchor     time.Time
	anchoredAt time.Duration
	// limit is the evidence at which the move is taken back outside a trial.
	limit float64
	// lastReports holds the tallies that each caller reported last, by route.
	lastReports map[reportKey]tallyPair
}

// routeJudge holds the evidence of one route.
type routeJudge struct {
	route    *parser.Route
	assessor *assessor.Assessor
	// stepStart holds the tallies at the start of the current step.
	stepStart tallyPair
}

// reportKey identifies what one caller reports of one route.
type reportKey struct {
	caller wire.EntryRun
	route  string
}

// tallyPair holds the tallies of both sides of a move.
type tallyPair struct {
	old assessor.Tally
	new assessor.Tally
}

// NewJudge returns a Judge without evidence for a move that began at the given time.
func NewJudge(m *parser.Move, routes []*parser.Route, begun time.Time) *Judge {
	windows := int(max(0, m.Deadline.Sub(begun)) / WindowLength)
	j := &Judge{
		move: m, routes: map[string]*routeJudge{}, lastReports: map[reportKey]tallyPair{},
	}
	for _, r := range routes {
		j.routes[r.Name] = &routeJudge{route: r, assessor: assessor.NewAssessor(assessor.Config{Windows: windows})}
	}
	j.limit = evidenceKinds * float64(max(1, len(routes))) / falsePositiveBudget
	return j
}

// AddWindow adds the responses that all callers reported since the last call as one window.
func (j *Judge) AddWindow(w Window) {
	if j.watching {
		j.windows++
	}
	j.complete, j.watching = w.Complete, j.watching || w.Complete
	sums := map[string]tallyPair{}
	for name, c := range w.Callers {
		for _, e := range c.Evidence {
			if e.GetCourse() == j.move.Course() {
				j.addReport(name, e, sums)
			}
		}
	}
	for route, p := range sums {
		j.routes[route].assessor.AddWindow(p.old, p.new)
	}
}

// addReport adds to sums the responses that a caller counted since its last report.
func (j *Judge) addReport(caller wire.EntryRun, e *wire.MoveEvidence, sums map[string]tallyPair) {
	for _, r := range e.GetRoutes() {
		if j.routes[r.GetRoute()] == nil {
			continue
		}
		name := reportKey{caller, r.GetRoute()}
		now := tallyPair{wire.FromVersionTally(r.GetOld()), wire.FromVersionTally(r.GetNew())}
		before, known := j.lastReports[name]
		j.lastReports[name] = now
		if !known {
			continue // an earlier leader may have counted these responses
		}
		sum := sums[r.GetRoute()]
		sum.old.Merge(now.old.Minus(before.old))
		sum.new.Merge(now.new.Minus(before.new))
		sums[r.GetRoute()] = sum
	}
}

// StartStep marks the start of a step, from which its windows and responses are counted.
func (j *Judge) StartStep() {
	j.windows = 0
	for _, r := range j.routes {
		v := r.assessor.Verdict()
		r.stepStart = tallyPair{v.Old, v.New}
	}
}

// follow starts a step if a record is of another step than the current one. The step of a record may have begun
// without the knowledge of the leader that proposed it.
func (j *Judge) follow(r *wire.MoveRecord) {
	if r.GetChange() != j.change {
		j.change = r.GetChange()
		j.StartStep()
	}
}

// timeOf returns the time by which the steps of a record are due: the time of day when this leader first followed the move,
// and from then on what has elapsed, since the time of day may jump. It is never before the record's own times, which may be of
// another leader whose clock is ahead.
func (j *Judge) timeOf(r *wire.MoveRecord, now time.Time, elapsed time.Duration) time.Time {
	if j.anchor.IsZero() {
		j.anchor, j.anchoredAt = now, elapsed
	}
	t, stepped := j.anchor.Add(elapsed-j.anchoredAt), time.UnixMilli(r.GetSteppedUnixMilliseconds())
	if t.Before(stepped) {
		t, j.anchor, j.anchoredAt = stepped, stepped, elapsed
	}
	return t
}

// lackOfReports returns why this leader must not leave a step that has to be held for a time, or "". Neither the
// times of the record nor the lack of responses tell what happened while nobody judged them.
func (j *Judge) lackOfReports(hold time.Duration) string {
	if time.Duration(j.windows)*WindowLength < hold {
		return "this leader has not watched the step long enough"
	}
	if !j.complete {
		return "too few entries report"
	}
	return ""
}

// worstRoute returns the route with the most evidence against the new side.
func (j *Judge) worstRoute() (route string, v assessor.Verdict) {
	for _, n := range j.routeNames() {
		w := j.routes[n].assessor.Verdict()
		if route == "" || j.relevantEvidence(w) > j.relevantEvidence(v) {
			route, v = n, w
		}
	}
	return route, v
}

// relevantEvidence returns the evidence that counts for this move. Between regions slowness
// does not count, since distance alone makes the other region slower.
func (j *Judge) relevantEvidence(v assessor.Verdict) float64 {
	if j.move.Regional() {
		return v.Failures
	}
	return v.Evidence()
}

// failsTrial reports whether the responses of this step alone, tested once as a whole, show
// that the new side is worse on some route. The evidence by windows must hold however often
// it is checked, and so needs more responses than one trial has.
func (j *Judge) failsTrial() bool {
	for _, n := range j.routeNames() {
		if step := j.routes[n].stepTallies(); assessor.Deviation(step.old, step.new) >= maxTrialDeviation {
			return true
		}
	}
	return false
}

// routeLackingResponses returns a route that has traffic but fewer than minResponses responses of
// the new side in this step, or "". Routes whose share is still 0 need none.
func (j *Judge) routeLackingResponses(s Step) string {
	for _, n := range j.routeNames() {
		r := j.routes[n]
		step := r.stepTallies()
		if s.shareOf(r.route) > 0 && step.old.Count+step.new.Count > 0 && step.new.Count < minResponses {
			return n
		}
	}
	return ""
}

// takesTooLittle reports whether the new side took less than minTakenFraction of its share in
// this step, of the requests that run at most once or of the others. Where the share amounts
// to fewer than minResponses requests, nothing is concluded.
func (j *Judge) takesTooLittle(s Step) bool {
	due, took := map[bool]float64{}, map[bool]float64{}
	for _, r := range j.routes {
		step, class := r.stepTallies(), r.route.Retryable()
		due[class] += s.shareOf(r.route) * float64(step.old.Count+step.new.Count)
		took[class] += float64(step.new.Count)
	}
	for class, d := range due {
		if d >= minResponses && took[class] < minTakenFraction*d {
			return true
		}
	}
	return false
}

func (j *Judge) routeNames() []string {
	return slices.Sorted(maps.Keys(j.routes))
}

// stepTallies returns the responses of the current step.
func (r *routeJudge) stepTallies() tallyPair {
	v := r.assessor.Verdict()
	return tallyPair{v.Old.Minus(r.stepStart.old), v.New.Minus(r.stepStart.new)}
}

// shareOf returns the share of a route in a step.
func (s Step) shareOf(r *parser.Route) float64 {
	if r.Retryable() {
		return s.Share
	}
	return s.OnceShare
}
