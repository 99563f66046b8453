package balancer

import (
	"math"
	"time"

	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of what is known of a target.
const (
	// reportLife is the time in which what a target told of others' requests gives way to the
	// mean of what it told before, and meanLife the time in which that loses most of its weight.
	reportLife = 400 * time.Millisecond
	meanLife   = 5 * time.Second
	// meanWeight is the part of a new report in the mean.
	meanWeight = 0.25
	// failureWeight is the part of a new result in the failure rate.
	failureWeight = 0.15
	// failureLimit is the failure rate at which a target is ejected.
	failureLimit = 0.4
	// firstEjection doubles with each ejection in a row, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 8 * time.Second
	// pardonSpan is the time without an ejection after which the next is a first one again.
	pardonSpan = 20 * time.Second
	// leavingSpan is how long a target that said that it leaves is believed without the list.
	leavingSpan = 10 * time.Second
	// slownessWeight is the part of a new answer in a target's slowness.
	slownessWeight = 0.2
	// slownessLife is the time in which slowness loses most of its weight without answers.
	slownessLife = 5 * time.Second
	// leastSlowness and mostSlowness bound how far a target differs from its service.
	leastSlowness = 0.5
	mostSlowness  = 20
	// warmSpan is how long an object is taken for warm on a target after an answer.
	warmSpan = 15 * time.Second
	// keptObjects is how many objects of a target are remembered.
	keptObjects = 128
	// coldBurst is how many requests a cold target gets at once.
	coldBurst = 2
	// coldPart is the part of a cold target's rate that is used, so that two entries that
	// both believe to warm it for a moment stay below its bound.
	coldPart = 0.8
)

// target is what this entry knows of one target.
type target struct {
	listed *receiver.Listed
	// running counts this entry's requests at the target.
	running int
	// others is the load beyond this entry's requests as the target told at the moment told.
	others float64
	told   time.Duration
	// mean is the mean of others over the last reports. Where many entries share a target,
	// each hears of it seldom, but what the others send there changes slowly.
	mean float64

	failures     float64
	ejections    int
	ejectedAt    time.Duration
	ejectedUntil time.Duration
	// probing tells that a request is under way that decides on the readmission.
	probing bool
	// leavingUntil is how long the target's own word that it leaves holds.
	leavingUntil time.Duration
	// gone tells that another target answers at the address.
	gone  bool
	tried bool

	// slowness is the time of its answers against its service's, 1 for like.
	slowness  float64
	slowSince time.Duration
	objects   map[string]time.Duration

	coldTokens float64
	coldFilled time.Duration
}

func newTarget(l *receiver.Listed) *target {
	return &target{listed: l, slowness: 1, objects: map[string]time.Duration{}, coldTokens: coldBurst}
}

// load is the number of requests that run or wait at the target, as far as known.
func (t *target) load(now time.Duration) float64 {
	age := now - t.told
	return float64(t.running) + t.mean*decay(age, meanLife) + (t.others-t.mean)*decay(age, reportLife)
}

// pace is the target's slowness now; old observations fade, so that it is tried again.
func (t *target) pace(now time.Duration) float64 {
	return 1 + (t.slowness-1)*decay(now-t.slowSince, slownessLife)
}

func decay(age, life time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(life))
}

func (t *target) isCold(now time.Duration) bool {
	return now < t.listed.ColdUntil
}

func (t *target) isEjected(now time.Duration) bool {
	return now < t.ejectedUntil || (t.ejectedUntil > 0 && t.probing)
}

func (t *target) isLeaving(now time.Duration) bool {
	return t.listed.Leaving || t.gone || now < t.leavingUntil
}

func (t *target) isWarm(now time.Duration, object string) bool {
	at, ok := t.objects[object]
	return ok && now-at < warmSpan
}

// remember notes that the target handled an object.
func (t *target) remember(now time.Duration, object string) {
	if len(t.objects) >= keptObjects {
		for o, at := range t.objects {
			if now-at >= warmSpan || len(t.objects) >= keptObjects {
				delete(t.objects, o)
			}
		}
	}
	t.objects[object] = now
}

// hasCold tells whether a cold target's rate allows a request now.
func (t *target) hasCold(now time.Duration, rate float64) bool {
	t.coldTokens = min(coldBurst, t.coldTokens+coldPart*rate*(now-t.coldFilled).Seconds())
	t.coldFilled = now
	return t.coldTokens >= 1
}

// learnLoad takes in what the target told; before is this entry's load when it answered.
func (t *target) learnLoad(now time.Duration, l *forwarder.Load) {
	if l == nil {
		return
	}
	t.others = max(0, float64(l.Running+l.Waiting-t.running))
	if t.told == 0 {
		t.mean = t.others
	}
	t.mean = t.mean*decay(now-t.told, meanLife) + meanWeight*(t.others-t.mean*decay(now-t.told, meanLife))
	t.told = now
}

// succeed takes in an answer that took as long as expected, times ratio; it tells whether
// the target is readmitted.
func (t *target) succeed(now time.Duration, ratio float64) bool {
	t.failures *= 1 - failureWeight
	slow := t.pace(now)
	t.slowness = min(mostSlowness, max(leastSlowness, slow+slownessWeight*(ratio-slow)))
	t.slowSince = now
	if t.ejectedUntil == 0 || now < t.ejectedUntil {
		return false
	}
	t.ejectedUntil, t.failures = 0, 0
	return true
}

// fail takes in a failure; it tells whether the target is ejected now.
func (t *target) fail(now time.Duration, unreachable bool) bool {
	t.failures += failureWeight * (1 - t.failures)
	again := t.ejectedUntil > 0 && now >= t.ejectedUntil
	if now < t.ejectedUntil || (!unreachable && !again && t.failures < failureLimit) {
		return false
	}
	if now-t.ejectedAt > pardonSpan {
		t.ejections = 0
	}
	t.ejectedAt = now
	t.ejectedUntil = now + min(firstEjection<<min(t.ejections, 5), longestEjection)
	t.ejections++
	return true
}
