package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of a target's load, health and warmth.
const (
	// reportTimeConstant is the time constant with which the reported load of other entries decays
	// to its mean, and meanTimeConstant the one with which that mean decays to 0.
	reportTimeConstant = 400 * time.Millisecond
	meanTimeConstant   = 5 * time.Second
	// meanLoadWeight is the weight of a new report in the mean load.
	meanLoadWeight = 0.25
	// failureWeight is the weight of a new result in the failure rate.
	failureWeight = 0.15
	// ejectionFailureRate is the failure rate at which a target is ejected.
	ejectionFailureRate = 0.4
	// initialEjection doubles with each consecutive ejection, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 8 * time.Second
	// ejectionResetTime is the time since the last ejection after which the next one lasts
	// initialEjection again.
	ejectionResetTime = 20 * time.Second
	// leavingExpiry is how long a target's announcement that it is leaving holds if the platform's
	// list does not say so.
	leavingExpiry = 10 * time.Second
	// lastResortTime is how long a leaving target may still serve if no other target is left. It is less
	// than targets go on serving after they announce it.
	lastResortTime = time.Second
	// maxReturnSpread bounds the random time that is added to the one for which a target turns
	// this entry away.
	maxReturnSpread = time.Second
	// slownessWeight is the weight of a new response in a target's slowness.
	slownessWeight = 0.2
	// slownessTimeConstant is the time constant with which slowness decays to 1 without responses.
	slownessTimeConstant = 5 * time.Second
	// statedTimeConstant is the time constant with which a stated slowness decays to its mean, and
	// statedMeanTimeConstant the one with which that mean decays to 1.
	statedTimeConstant     = 400 * time.Millisecond
	statedMeanTimeConstant = 5 * time.Second
	// statedMeanWeight is the weight of a new statement in the mean.
	statedMeanWeight = 0.1
	// minSlowness and maxSlowness bound the slowness of a target.
	minSlowness = 0.5
	maxSlowness = 20
	// objectWarmTime is how long an object counts as warm on a target after a response.
	objectWarmTime = 15 * time.Second
	// maxTrackedObjects is the number of warm objects tracked per target.
	maxTrackedObjects = 128
	// coldBurst is the number of requests that a cold target may get at once.
	coldBurst = 2
	// coldRateFraction is the fraction of a cold target's rate that is used, so that the target stays
	// below its bound while two entries both consider themselves the one that warms it.
	coldRateFraction = 0.8
)

// target is this entry's state of one target.
type target struct {
	listed *receiver.ListedTarget
	// running counts this entry's requests at the target.
	running int
	// othersLoad is the load from other entries in the target's last report, which came at reportedAt.
	othersLoad float64
	reportedAt time.Duration
	// meanOthersLoad is the moving average of othersLoad. If many entries share a target, each gets
	// its reports rarely, but the load from the others changes slowly.
	meanOthersLoad float64

	failureRate  float64
	ejections    int
	ejectedAt    time.Duration
	ejectedUntil time.Duration
	// probing is set while a request is in flight whose result decides on the readmission.
	probing bool
	// leavingUntil is when the sign that the target is leaving expires that it gave by closing a
	// connection.
	leavingUntil time.Duration
	// leavingSince is when the target first stated that it is leaving, or the platform's list first
	// showed it so; 0 if neither did. What the target stated itself holds until it is gone.
	leavingSince time.Duration
	statedLeave  bool
	// turnedAwayUntil is until when the target wants no requests from this entry. After that, one
	// request at a time tries it until one succeeds.
	turnedAwayUntil time.Duration
	// replaced is set if another target answers at the address.
	replaced bool
	tried    bool

	// slowness is the ratio of the target's processing times to its service's; 1 means equal. Where
	// the target states its own slowness, that part is not counted here.
	slowness          float64
	slownessUpdatedAt time.Duration
	// statedSlowness is what the target stated last about its slowness, at statedAt; 0 if it never did.
	// meanStatedSlowness is its moving average.
	statedSlowness     float64
	meanStatedSlowness float64
	statedAt           time.Duration
	// inquireFrom is from when the target may be asked for its load again.
	inquireFrom time.Duration
	// objects holds the time of the last response for each object.
	objects map[string]time.Duration

	// warmup is what this entry knows of the target's warm-up beside the platform's list.
	warmup *warmup

	coldTokens     float64
	coldRefilledAt time.Duration
}

func newTarget(l *receiver.ListedTarget, w *warmup) *target {
	return &target{listed: l, slowness: 1, objects: map[string]time.Duration{}, coldTokens: coldBurst, warmup: w}
}

// load estimates the number of requests that run or wait at the target.
func (t *target) load(now time.Duration) float64 {
	age := now - t.reportedAt
	return float64(t.running) + t.meanOthersLoad*decay(age, meanTimeConstant) + (t.othersLoad-t.meanOthersLoad)*decay(age, reportTimeConstant)
}

// currentSlowness is the slowness now. It decays, so that a slow target is tried again.
func (t *target) currentSlowness(now time.Duration) float64 {
	return 1 + (t.slowness-1)*decay(now-t.slownessUpdatedAt, slownessTimeConstant)
}

// currentStatedSlowness is the expected value now of the slowness that the target states; 1 if it
// states none. An old statement tells nothing but its mean.
func (t *target) currentStatedSlowness(now time.Duration) float64 {
	if t.statedSlowness == 0 {
		return 1
	}
	age := now - t.statedAt
	mean := 1 + (t.meanStatedSlowness-1)*decay(age, statedMeanTimeConstant)
	return mean + (t.statedSlowness-t.meanStatedSlowness)*decay(age, statedTimeConstant)
}

// expectedSlowness is by how much longer than usual work is expected to take that begins now.
func (t *target) expectedSlowness(now time.Duration) float64 {
	return t.currentSlowness(now) * t.currentStatedSlowness(now)
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

func (t *target) isCold(now time.Duration) bool {
	if t.warmup.statedAt > t.listed.ReceivedAt {
		return now < t.warmup.coldUntil
	}
	return now < max(t.listed.ColdUntil, t.warmup.coldUntil)
}

func (t *target) isEjected(now time.Duration) bool {
	return now < t.ejectedUntil || (t.ejectedUntil > 0 && t.probing)
}

func (t *target) isLeaving(now time.Duration) bool {
	return t.leavingSince > 0 || t.replaced || now < t.leavingUntil
}

// isLastResort reports whether a leaving target may still get requests if no other target is left.
func (t *target) isLastResort(now time.Duration) bool {
	return !t.replaced && (t.leavingSince == 0 || now-t.leavingSince < lastResortTime)
}

// recordStatedLeave records that the target stated that it is leaving. It reports whether that is new.
func (t *target) recordStatedLeave(now time.Duration) bool {
	t.statedLeave = true
	return t.recordLeaving(now)
}

// recordLeaving records that the target is leaving. It reports whether that is new.
func (t *target) recordLeaving(now time.Duration) bool {
	if t.leavingSince > 0 {
		return false
	}
	t.leavingSince = max(now, 1)
	return true
}

// isTurnedAway reports whether the target wants no request now.
func (t *target) isTurnedAway(now time.Duration) bool {
	return now < t.turnedAwayUntil || (t.turnedAwayUntil > 0 && t.probing)
}

// recordTurnAway records that the target wants no requests for some time. Entries return at
// different times, since the target would turn all of them away again at once.
func (t *target) recordTurnAway(now, d time.Duration) {
	spread := time.Duration(rand.Float64() * float64(min(d/2, maxReturnSpread)))
	t.turnedAwayUntil = max(t.turnedAwayUntil, now+d+spread)
}

func (t *target) isWarm(now time.Duration, object string) bool {
	at, ok := t.objects[object]
	return ok && now-at < objectWarmTime
}

// recordObject records that the target answered for an object.
func (t *target) recordObject(now time.Duration, object string) {
	if len(t.objects) >= maxTrackedObjects {
		for o, at := range t.objects {
			if now-at >= objectWarmTime || len(t.objects) >= maxTrackedObjects {
				delete(t.objects, o)
			}
		}
	}
	t.objects[object] = now
}

// hasColdToken reports whether a cold target's rate allows a request now.
func (t *target) hasColdToken(now time.Duration, rate float64) bool {
	t.coldTokens = min(coldBurst, t.coldTokens+coldRateFraction*rate*(now-t.coldRefilledAt).Seconds())
	t.coldRefilledAt = now
	return t.coldTokens >= 1
}

// recordLoad records the load that a target reported with a response.
func (t *target) recordLoad(now time.Duration, l *forwarder.Load) {
	if l == nil {
		return
	}
	t.othersLoad = max(0, float64(l.Running+l.Waiting-t.running))
	if t.reportedAt == 0 {
		t.meanOthersLoad = t.othersLoad
	}
	t.meanOthersLoad = t.meanOthersLoad*decay(now-t.reportedAt, meanTimeConstant) + meanLoadWeight*(t.othersLoad-t.meanOthersLoad*decay(now-t.reportedAt, meanTimeConstant))
	t.reportedAt = now
	t.recordStatedSlowness(now, l.Slowness)
}

// recordStatedSlowness records what a target stated about its slowness; 0 means nothing.
func (t *target) recordStatedSlowness(now time.Duration, stated float64) {
	if stated == 0 {
		return
	}
	stated = min(maxSlowness, max(minSlowness, stated))
	if t.statedSlowness == 0 {
		t.meanStatedSlowness = 1
	}
	t.meanStatedSlowness += statedMeanWeight * (stated - t.meanStatedSlowness)
	t.statedSlowness, t.statedAt = stated, now
}

// recordSuccess records a response that took ratio times the expected time. It reports whether
// the target is readmitted.
func (t *target) recordSuccess(now time.Duration, ratio float64) bool {
	t.failureRate *= 1 - failureWeight
	if now >= t.turnedAwayUntil {
		t.turnedAwayUntil = 0
	}
	current := t.currentSlowness(now)
	t.slowness = min(maxSlowness, max(minSlowness, current+slownessWeight*(ratio-current)))
	t.slownessUpdatedAt = now
	if t.ejectedUntil == 0 || now < t.ejectedUntil {
		return false
	}
	t.ejectedUntil, t.failureRate = 0, 0
	return true
}

// recordFailure records a failure and reports whether it ejects the target.
func (t *target) recordFailure(now time.Duration, unreachable bool) bool {
	t.failureRate += failureWeight * (1 - t.failureRate)
	probeFailed := t.ejectedUntil > 0 && now >= t.ejectedUntil
	if now < t.ejectedUntil || (!unreachable && !probeFailed && t.failureRate < ejectionFailureRate) {
		return false
	}
	if now-t.ejectedAt > ejectionResetTime {
		t.ejections = 0
	}
	t.ejectedAt = now
	t.ejectedUntil = now + min(initialEjection<<min(t.ejections, 5), maxEjection)
	t.ejections++
	return true
}
