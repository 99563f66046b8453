package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of the choice of a target.
const (
	// crossZonePenalty and crossRegionPenalty are added to the expected time of a target in another
	// zone or region, since traffic there is expensive and its targets are needed there.
	crossZonePenalty   = 5 * time.Millisecond
	crossRegionPenalty = 30 * time.Millisecond
	// defaultRoundTrip is assumed to another region before the first measurement.
	defaultRoundTrip = 60 * time.Millisecond
	roundTripWeight  = 0.2
	// coldSlowdown is the factor by which processing takes longer on a cold target.
	coldSlowdown = 2
	// targetsPerObject is the number of healthy targets in an object's order that may serve it.
	// More would make targets evict the objects that they keep warm, until none is warm anywhere.
	targetsPerObject = 2
	// maxLeavingTargets is the number of leaving targets that a poll reports.
	maxLeavingTargets = 64
	// slowThreshold is the slowness from which a target does not count as healthy.
	slowThreshold = 2.5
)

// PickerConfig configures a Picker.
type PickerConfig struct {
	Clock timekeeper.Clock
	// View returns the latest view, by which every pick is made.
	View func() *receiver.View
	// Entry, Zone and Region are this entry's name and location.
	Entry  string
	Zone   string
	Region string
	// Regions is the number of regions of the deployment.
	Regions int
	// ControlReachable reports whether control answered recently. If not, cold targets with a
	// limited rate get no requests.
	ControlReachable func() bool
}

// Picker picks the target with the least expected time until the response: the wait for a slot,
// the processing, which is shorter for objects that the target handled recently, and the network.
// It makes no network calls. It is safe for concurrent use.
type Picker struct {
	config     PickerConfig
	mutex      sync.Mutex
	view       *receiver.View
	services   map[string]*service
	roundTrips map[string]time.Duration
	estimates  map[string]*workEstimate
	// busySlots holds the busy slots by service and homes.
	busySlots map[string]busySlots
	warmups   *warmups
}

// service holds the targets of a service by their names.
type service struct {
	targets map[string]*target
	list    []*target
	// statesSlowness is set once a target of the service stated its slowness.
	statesSlowness bool
}

// PickRequest describes a request that needs a target.
type PickRequest struct {
	Service string
	// WorkKind names the kind of work; requests of one kind take similar times to process.
	WorkKind string
	// Object identifies what the request is about; empty for none.
	Object string
	// Allows reports whether a version may serve the request.
	Allows func(version string) bool
	// Homes are the only regions that may serve the request; empty means all.
	Homes []string
	// Aim is the latency target of the route; 0 if it has none.
	Aim time.Duration
	// MaxQueueWait is the longest time that the request may wait in a target's queue.
	MaxQueueWait time.Duration
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Excluded names the targets that were already tried.
	Excluded []string
	// ColdRate limits the requests per second to a cold target, over all entries; 0 means no limit.
	ColdRate float64
	// StatesWarmup is set if targets state their warm-up when they are asked.
	StatesWarmup bool
}

// Pick is a chosen target.
type Pick struct {
	Target *receiver.ListedTarget
	// Cost is the expected time until the response, penalties included.
	Cost time.Duration
	// Warm is set if the target recently answered for the object.
	Warm bool
	// Load is the target's load and Wait the expected time in its queue, at the time of the pick.
	Load float64
	Wait time.Duration
	// Slowness is what the target stated last about its slowness, and SlownessAge the time since then;
	// both are 0 if it never did.
	Slowness    float64
	SlownessAge time.Duration
	// Cold is set if the target counts as cold, and Silence is the time since its last response; 0 if there
	// was none.
	Cold    bool
	Silence time.Duration
	// Rank is the position of the target in the object's order.
	Rank int
	// CheckNeed states when the target is asked for its warm-up before the request is sent.
	// It has to respond within CheckTimeout.
	CheckNeed    carrier.CheckNeed
	CheckTimeout time.Duration
	// checking is set while the check counts as under way, and stated once the target has answered it.
	checking bool
	stated   bool
	// penalty is the part of Cost that makes other targets preferred; it takes no time.
	penalty    time.Duration
	state      *target
	processing time.Duration
}

// NewPicker returns a Picker without targets.
func NewPicker(c PickerConfig) *Picker {
	return &Picker{config: c, services: map[string]*service{}, roundTrips: map[string]time.Duration{}, estimates: map[string]*workEstimate{}, busySlots: map[string]busySlots{}, warmups: newWarmups(c.Clock.Now())}
}

// Pick picks a target and counts the request as running there until Done. It returns nil if no
// target is expected to answer in time; delay is then how long the best target needs until it
// has capacity, or 0 if there is no target at all.
func (p *Picker) Pick(d PickRequest) (pick *Pick, delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.config.View() // under the mutex, so that no older view replaces a newer one
	p.updateView(v)
	now := p.config.Clock.Now()
	best := p.cheapest(now, v, d)
	switch {
	case best == nil:
		return nil, p.timeTurnedAway(now, v, d)
	case best.Cost-best.penalty > d.Remaining:
		return nil, min(maxRetryAfter, max(best.Wait, best.Cost-best.penalty-d.Remaining))
	case best.Wait > d.MaxQueueWait:
		return nil, min(maxRetryAfter, best.Wait)
	}
	best.take(now)
	return best, 0
}

// take counts the request as running at the target.
func (k *Pick) take(now time.Duration) {
	if k.state.isCold(now) {
		k.state.coldTokens--
	}
	k.beginCheck()
	k.state.running++
	k.state.tried = true
	if k.state.ejectedUntil > 0 || k.state.turnedAwayUntil > 0 {
		k.state.probing = true
	}
}

// ExpectedWork returns the processing time of a request whose object is warm.
func (p *Picker) ExpectedWork(d PickRequest) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.estimate(d).expected(true)
}

// NormalizedLatency converts the latency of a response to that of a warm target and a warm object,
// so that versions are comparable although one of them was just started.
func (p *Picker) NormalizedLatency(k *Pick, d PickRequest, took time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	took = max(0, took-p.roundTrip(k.Target))
	if !k.Warm {
		w := p.estimate(d)
		took = time.Duration(float64(took) * float64(w.warm) / float64(w.cold))
	}
	if k.state.isCold(p.config.Clock.Now()) {
		took /= coldSlowdown
	}
	return took
}

// Change is the effect of a result on a target's health.
type Change int

// Values of Change.
const (
	NoChange Change = iota
	Ejected
	Readmitted
	// Leaving means that the target stated for the first time that it is leaving, and TurnedAway that
	// it wants no requests for some time, or for one that can't be used.
	Leaving
	TurnedAway
)

// Done records the result of a picked request and returns its effect on the target.
func (p *Picker) Done(k *Pick, d PickRequest, s *forwarder.SendResult, dialed time.Duration) Change {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, t := p.config.Clock.Now(), k.state
	t.running--
	t.probing = false
	t.recordLoad(now, s.Load)
	p.warmups.recordResult(now, k, s)
	if s.Load != nil && s.Load.Slowness > 0 && p.services[d.Service] != nil {
		p.services[d.Service].statesSlowness = true
	}
	if dialed > 0 {
		p.recordRoundTrip(t.listed.Region, dialed)
	}
	change := p.recordStatements(now, k, s)
	switch {
	case s.Misdirected:
		t.replaced = true
	case s.Result.Failed:
		if t.recordFailure(now, s.Unreachable) && change == NoChange {
			return Ejected
		}
	case s.Result.Latency > 0:
		if p.recordResponse(now, k, d, s) && change == NoChange {
			return Readmitted
		}
	}
	return change
}

// recordStatements records what a target stated about itself.
func (p *Picker) recordStatements(now time.Duration, k *Pick, s *forwarder.SendResult) Change {
	t, change := k.state, NoChange
	if s.Result.Leaving {
		t.leavingUntil = now + leavingExpiry
	}
	if s.TurnedAway > 0 {
		t.recordTurnAway(now, s.TurnedAway)
	}
	if s.TurnedAway > 0 || s.TurnAwayInvalid {
		change = TurnedAway
	}
	if s.LeavingTarget != "" && t.recordStatedLeave(now) {
		change = Leaving
	}
	return change
}

// LeavingTargets returns the names of targets that stated that they are leaving and that the platform's
// list does not show so yet, at most maxLeavingTargets.
func (p *Picker) LeavingTargets() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var out []string
	for _, s := range p.services {
		for name, t := range s.targets {
			if t.statedLeave && !t.listed.Leaving && len(out) < maxLeavingTargets {
				out = append(out, name)
			}
		}
	}
	return out
}

// RecordLeaving records that a target stated to another entry that it is leaving.
func (p *Picker) RecordLeaving(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.services {
		if t := s.targets[name]; t != nil {
			t.recordStatedLeave(p.config.Clock.Now())
		}
	}
}

func (p *Picker) recordRoundTrip(region string, d time.Duration) {
	old, ok := p.roundTrips[region]
	if !ok {
		old = d
	}
	p.roundTrips[region] = old + time.Duration(roundTripWeight*float64(d-old))
}

func (p *Picker) recordResponse(now time.Duration, k *Pick, d PickRequest, s *forwarder.SendResult) (readmitted bool) {
	t, w, took := k.state, p.estimate(d), s.Result.Latency
	processing := max(took-p.roundTrip(t.listed)-k.Wait, took/4)
	if s.Load != nil && s.Load.Slowness > 0 {
		processing = time.Duration(float64(processing) / t.statedSlowness)
		if k.Rank == 1 && !k.Warm {
			w.recordSecond(processing)
		}
	}
	readmitted = t.recordSuccess(now, w.ratio(processing, k.Warm))
	if t.currentSlowness(now) < slowThreshold {
		w.record(processing)
	}
	if d.Object != "" {
		t.recordObject(now, d.Object)
	}
	return readmitted
}

func (p *Picker) estimate(d PickRequest) *workEstimate {
	w := p.estimates[d.WorkKind]
	if w == nil {
		w = newWorkEstimate(d.Aim)
		p.estimates[d.WorkKind] = w
	}
	return w
}

// updateView replaces the targets by those of a view and keeps the state of known ones.
func (p *Picker) updateView(v *receiver.View) {
	switch {
	case p.view == nil || len(p.view.Targets) == 0:
		p.warmups.outbreakAt = p.config.Clock.Now() // the list may be older than the start of this entry
	case p.view != v:
		p.doubtReturned(p.view, v)
	}
	if p.view == v || (p.view != nil && sameLists(p.view.Targets, v.Targets)) {
		p.view = v
		return
	}
	p.view = v
	p.pruneWarmups()
	for name, list := range v.Targets {
		s := p.services[name]
		if s == nil {
			s = &service{targets: map[string]*target{}}
			p.services[name] = s
		}
		s.setTargets(p.config.Clock.Now(), list, p.warmups)
	}
	for name, s := range p.services {
		if len(v.Targets[name]) == 0 {
			s.setTargets(p.config.Clock.Now(), nil, p.warmups)
		}
	}
}

func sameLists(a, b map[string][]*receiver.ListedTarget) bool {
	if len(a) != len(b) {
		return false
	}
	for n, list := range a {
		if len(list) != len(b[n]) || !slices.Equal(list, b[n]) {
			return false
		}
	}
	return true
}

func (s *service) setTargets(now time.Duration, list []*receiver.ListedTarget, w *warmups) {
	next := make(map[string]*target, len(list))
	s.list = s.list[:0:0]
	for _, l := range list {
		t := s.targets[l.Name]
		if n := w.of(now, l); t == nil || t.listed.Address != l.Address {
			t = newTarget(l, n)
		}
		if t.listed.Leaving && !l.Leaving && !t.statedLeave {
			t.leavingSince = 0 // the platform says otherwise
		}
		t.listed = l
		if l.Leaving {
			t.recordLeaving(now)
		}
		next[l.Name] = t
		s.list = append(s.list, t)
	}
	s.targets = next
}

// cheapest returns the target with the least cost.
func (p *Picker) cheapest(now time.Duration, v *receiver.View, d PickRequest) *Pick {
	list := firstCandidates(p.candidates(now, v, d))
	var best *Pick
	healthy := 0
	for i, c := range list {
		if healthy == targetsPerObject {
			break
		}
		if c.target.currentSlowness(now) < slowThreshold {
			healthy++
		}
		k := p.evaluate(now, c.target, i, d)
		if i == 0 && !c.target.tried {
			return k // a new target gets its first request whatever the cost
		}
		if best == nil || k.Cost < best.Cost {
			best = k
		}
	}
	return best
}

// timeTurnedAway returns the least time until a target that turns this entry away takes requests
// again, or 0 if there is none.
func (p *Picker) timeTurnedAway(now time.Duration, v *receiver.View, d PickRequest) time.Duration {
	least := time.Duration(0)
	if s := p.services[d.Service]; s != nil {
		for _, t := range s.list {
			left := t.turnedAwayUntil - now
			if left > 0 && !t.isLeaving(now) && p.isEligible(v, d, t) && (least == 0 || left < least) {
				least = left
			}
		}
	}
	return least
}

// AcceptsProbes reports whether a target may get requests that are not a caller's.
func (p *Picker) AcceptsProbes(t *parser.Target) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.services[t.Service]
	if s == nil || s.targets[t.Name] == nil {
		return true
	}
	now, k := p.config.Clock.Now(), s.targets[t.Name]
	return !k.isTurnedAway(now) && !k.isLeaving(now)
}

// evaluate returns the Pick of a candidate, with its expected cost.
func (p *Picker) evaluate(now time.Duration, t *target, rank int, d PickRequest) *Pick {
	w := p.estimate(d)
	probability := w.warmProbability(rank)
	warm := t.isWarm(now, d.Object)
	if warm {
		probability = knownWarmProbability
	}
	processing := probability*float64(w.expected(true)) + (1-probability)*float64(w.expected(false))
	if t.isCold(now) {
		processing *= coldSlowdown
	}
	processing *= t.expectedSlowness(now)
	k := &Pick{Target: t.listed, Warm: warm, Load: t.load(now), Rank: rank, state: t, processing: time.Duration(processing)}
	k.Cold = t.isCold(now)
	if t.warmup.respondedAt > 0 {
		k.Silence = now - t.warmup.respondedAt
	}
	k.CheckNeed = p.checkNeed(now, t, d)
	k.CheckTimeout, k.penalty = checkAllowance+p.roundTrip(t.listed), p.checkPenalty(now, k)
	if t.statedSlowness > 0 {
		k.Slowness, k.SlownessAge = t.statedSlowness, now-t.statedAt
	}
	slots := max(1, t.listed.Slots)
	if queue := k.Load + 1 - float64(slots); queue > 0 {
		k.Wait = time.Duration(queue / float64(slots) * float64(w.mean) * t.expectedSlowness(now))
	}
	k.Cost = k.Wait + k.processing + p.roundTrip(t.listed) + k.penalty
	switch {
	case t.listed.Region != p.config.Region:
		k.Cost += crossRegionPenalty
	case t.listed.AvailabilityZone != p.config.Zone:
		k.Cost += crossZonePenalty
	}
	return k
}

func (p *Picker) roundTrip(l *receiver.ListedTarget) time.Duration {
	if d, ok := p.roundTrips[l.Region]; ok {
		return d
	}
	if l.Region == p.config.Region {
		return 0
	}
	return defaultRoundTrip
}
