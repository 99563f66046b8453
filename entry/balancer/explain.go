package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Explanation tells where a request would go now. Durations are in nanoseconds in JSON.
type Explanation struct {
	// Object is what the order of the targets is computed for: the request's object, or else its ID.
	Object string `json:"object"`
	// Pick is the name of the target that would be picked; empty if there is none.
	Pick string `json:"pick"`
	// Refusal tells why no target would be picked, and Delay after which time one may be; empty and 0 if one would be.
	Refusal string        `json:"refusal,omitempty"`
	Delay   time.Duration `json:"delay,omitempty"`
	// Remaining and MaxQueueWait are the longest time until the response and in a target's queue.
	Remaining    time.Duration `json:"remaining"`
	MaxQueueWait time.Duration `json:"maxQueueWait"`
	// Admission is the decision of admission; nil if it does not decide on the request.
	Admission *AdmissionExplanation `json:"admission,omitempty"`
	// Targets are all of the service: first those that may serve the request, in the object's order, then those that a
	// rule excludes.
	Targets []TargetExplanation `json:"targets"`
	// best is the name of the target with the least cost.
	best string
}

// AdmissionExplanation tells how admission decides on a request, and on which figures.
type AdmissionExplanation struct {
	// Verdict is admit, hold or refuse, and Cause what limited the request.
	Verdict string         `json:"verdict"`
	Cause   admitter.Cause `json:"cause,omitempty"`
	// Short is set if the service's room is short, and Busy the fraction of its slots in use.
	Short bool    `json:"short"`
	Busy  float64 `json:"busy"`
	// MaxWait is the longest wait at a target with which the request is admitted, Hold how long it is held at most, and
	// Room the time after which it would be admitted.
	MaxWait time.Duration `json:"maxWait"`
	Hold    time.Duration `json:"hold"`
	Room    time.Duration `json:"room"`
	// Standing is how the request's kind and team fared lately.
	Standing admitter.Standing `json:"standing"`
}

// verdictNames are the names of admission's verdicts.
var verdictNames = map[admitter.Verdict]string{admitter.Admit: "admit", admitter.Hold: "hold", admitter.Refuse: "refuse"}

// TargetExplanation describes a target for one request.
type TargetExplanation struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	Version          string `json:"version"`
	Slots            int    `json:"slots"`
	// Load is the estimated number of requests at the target, Running of them this entry's. Reported is set if the target
	// ever reported its load, and ReportAge the time since then.
	Load      float64       `json:"load"`
	Running   int           `json:"running"`
	Reported  bool          `json:"reported"`
	ReportAge time.Duration `json:"reportAge"`
	// Slowness is the expected ratio of the target's processing times to those of its service. StatedSlowness is what the
	// target stated last about it, and SlownessAge the time since then; both are 0 if it never did.
	Slowness       float64       `json:"slowness"`
	StatedSlowness float64       `json:"statedSlowness"`
	SlownessAge    time.Duration `json:"slownessAge"`
	// FailureRate is the recent fraction of failures.
	FailureRate float64 `json:"failureRate"`
	Cold        bool    `json:"cold"`
	Warm        bool    `json:"warm"`
	// Excluded names the rule by which the target can't serve the request; empty if it may.
	Excluded string `json:"excluded,omitempty"`
	// Rank is the target's position in the object's order, from 0. Wait is the expected time in its queue, and Cost that until
	// the response, penalties included. Verdict tells how that compares with the pick. They are set unless a rule excludes
	// the target.
	Rank    int           `json:"rank"`
	Wait    time.Duration `json:"wait"`
	Cost    time.Duration `json:"cost"`
	Verdict string        `json:"verdict,omitempty"`
}

// Verdicts on targets that may serve a request.
const (
	verdictPicked     = "picked"
	verdictBest       = "best, but see the refusal"
	verdictDearer     = "takes longer than the pick"
	verdictNew        = "not considered: the first target in the object's order is new and gets its first request"
	verdictLater      = "not considered: enough healthy targets come before it in the object's order"
	verdictOutOfOrder = "not considered: far back in the object's order"
)

// Explain tells where the request of an exchange would go now, with the given selection. It changes no state and sends
// nothing.
func (b *Balancer) Explain(e *handler.Exchange, c handler.Selection) *Explanation {
	d := b.pickRequest(e)
	d.Allows = c.Allows
	d.Remaining = e.Deadline - b.config.Clock.Now()
	x, f := b.config.Picker.explain(d)
	if b.admission.decides(e) {
		b.admission.explain(x, e, d, f)
	}
	return x
}

// explain sets the decision of admission, which replaces the rules of Pick.
func (a *admission) explain(x *Explanation, e *handler.Exchange, d PickRequest, f admitter.Forecast) {
	if !f.Found {
		return
	}
	now, r := a.config.Clock.Now(), a.request(e, &retryState{request: d})
	r.Remaining = d.Remaining
	s, n := a.config.Admitter.Explain(now, r, f)
	x.Admission = &AdmissionExplanation{
		Verdict: verdictNames[n.Verdict], Cause: n.Cause, Short: a.config.Admitter.IsShort(f.Busy), Busy: f.Busy,
		MaxWait: n.MaxWait, Hold: n.Hold, Room: n.Room, Standing: s,
	}
	x.Pick, x.Refusal, x.Delay = "", "", n.Room
	switch n.Verdict {
	case admitter.Admit:
		x.Pick, x.Delay = x.best, 0
	case admitter.Hold:
		x.Refusal = fmt.Sprintf("admission holds it for at most %v because of the %s", n.Hold, n.Cause)
	case admitter.Refuse:
		x.Refusal = fmt.Sprintf("admission refuses it because of the %s", n.Cause)
	}
	x.setVerdicts()
}

// Explain tells which target Pick would return now.
func (p *Picker) Explain(d PickRequest) *Explanation {
	x, _ := p.explain(d)
	return x
}

// explain returns the explanation and the forecast for a request.
func (p *Picker) explain(d PickRequest) (*Explanation, admitter.Forecast) {
	q, v := p.snapshot(d)
	q.updateView(v)
	out := &Explanation{Object: d.Object, Remaining: d.Remaining, MaxQueueWait: d.MaxQueueWait}
	now := q.config.Clock.Now()
	list := q.candidates(now, v, d)
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	best := q.cheapest(now, v, d)
	considered := len(firstCandidates(list))
	serving := map[*target]bool{}
	for rank, c := range list {
		serving[c.target] = true
		out.Targets = append(out.Targets, q.explainCandidate(now, c.target, rank, considered, best, d))
	}
	if s := q.services[d.Service]; s != nil {
		for _, t := range s.list {
			if !serving[t] {
				x := q.describe(now, t)
				x.Excluded = q.exclusion(now, v, d, t)
				out.Targets = append(out.Targets, x)
			}
		}
	}
	f := q.forecast(now, v, d, best)
	pick, delay := q.Pick(d) // of the snapshot
	if best != nil {
		out.best = best.Target.Name
	}
	switch {
	case pick != nil:
		out.Pick = pick.Target.Name
	case best == nil:
		out.Refusal, out.Delay = "no target may serve the request", delay
	case best.Cost > d.Remaining:
		out.Refusal, out.Delay = fmt.Sprintf("the best target needs %v, which is more than the time left", best.Cost), delay
	default:
		out.Refusal, out.Delay = fmt.Sprintf("the best target has a queue of %v, which is more than requests of this kind wait", best.Wait), delay
	}
	out.setVerdicts()
	return out, f
}

// snapshot returns a Picker with a copy of the state on which the pick for a request depends, and the latest view.
func (p *Picker) snapshot(d PickRequest) (*Picker, *receiver.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.config.View()
	q := NewPicker(p.config)
	q.config.View = func() *receiver.View { return v }
	q.view, q.roundTrips, q.busySlots = p.view, maps.Clone(p.roundTrips), maps.Clone(p.busySlots)
	if w := p.estimates[d.WorkKind]; w != nil {
		c := *w
		q.estimates[d.WorkKind] = &c
	}
	if s := p.services[d.Service]; s != nil {
		q.services[d.Service] = s.copyFor(d.Object)
	}
	return q, v
}

// copyFor returns a copy of a service whose targets know one object only.
func (s *service) copyFor(object string) *service {
	out := *s
	out.targets, out.list = make(map[string]*target, len(s.list)), make([]*target, len(s.list))
	for i, t := range s.list {
		c := *t
		c.objects = map[string]time.Duration{}
		if at, ok := t.objects[object]; ok {
			c.objects[object] = at
		}
		out.list[i], out.targets[c.listed.Name] = &c, &c
	}
	return &out
}

func (p *Picker) describe(now time.Duration, t *target) TargetExplanation {
	l := t.listed
	x := TargetExplanation{
		Name: l.Name, Region: l.Region, AvailabilityZone: l.AvailabilityZone, Version: l.Version, Slots: l.Slots,
		Load: t.load(now), Running: t.running, Slowness: t.expectedSlowness(now), FailureRate: t.failureRate, Cold: t.isCold(now), Rank: -1,
	}
	if t.statedSlowness > 0 {
		x.StatedSlowness, x.SlownessAge = t.statedSlowness, now-t.statedAt
	}
	if t.reportedAt > 0 {
		x.Reported, x.ReportAge = true, now-t.reportedAt
	}
	return x
}

func (p *Picker) explainCandidate(now time.Duration, t *target, rank, considered int, best *Pick, d PickRequest) TargetExplanation {
	k, x := p.evaluate(now, t, rank, d), p.describe(now, t)
	x.Rank, x.Warm, x.Wait, x.Cost = rank, k.Warm, k.Wait, k.Cost
	switch {
	case rank >= considered:
		x.Verdict = verdictOutOfOrder
	case best != nil && best.Rank == 0 && !best.state.tried:
		x.Verdict = verdictNew
	case best != nil && k.Cost < best.Cost:
		x.Verdict = verdictLater
	default:
		x.Verdict = verdictDearer
	}
	return x
}

// setVerdicts sets the verdict on the best target.
func (x *Explanation) setVerdicts() {
	for i := range x.Targets {
		t := &x.Targets[i]
		switch {
		case t.Excluded != "":
		case t.Name != x.best:
		case x.Pick == "":
			t.Verdict = verdictBest
		default:
			t.Verdict = verdictPicked
		}
	}
}

// exclusion returns the rule by which a target that is no candidate can't serve a request.
func (p *Picker) exclusion(now time.Duration, v *receiver.View, d PickRequest, t *target) string {
	l := t.listed
	switch {
	case v.Evacuated[l.AvailabilityZone]:
		return "its availability zone is evacuated"
	case !d.Allows(l.Version):
		return "its version takes no such requests"
	case !p.isEligible(v, d, t):
		return "its region is not among the homes"
	case t.replaced:
		return "another target answers at its address"
	case t.isLeaving(now):
		return "it is leaving"
	case t.isTurnedAway(now):
		return fmt.Sprintf("it turns this entry away for another %v", max(0, t.turnedAwayUntil-now).Round(time.Millisecond))
	case t.isCold(now) && d.ColdRate > 0 && !p.warmsTarget(v, l):
		return "it is cold, and another entry warms it"
	case t.isCold(now) && d.ColdRate > 0 && !t.hasColdToken(now, d.ColdRate):
		return "it is cold, and its rate is used up"
	case t.warmup.isPaused(now) && p.checkNeed(now, t, d) >= carrier.UnlessOpen:
		return "it may be cold, and has not answered yet whether it is"
	case t.isEjected(now):
		return fmt.Sprintf("it is ejected after failures for another %v", max(0, t.ejectedUntil-now).Round(time.Millisecond))
	}
	return "it is kept back while the move to its version is at its start"
}
