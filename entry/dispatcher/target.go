package dispatcher

import "time"

// Parameters of ejection, slow start and target choice.
const (
	// failuresToEject is the number of consecutive failures that eject a target.
	failuresToEject = 3
	// initialEjection doubles with each further ejection, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// loadWeight is the weight of a target's reported load in its score.
	loadWeight = 0.1
	// slowStartWindow is the time over which a cold target gets all its slots.
	slowStartWindow = 10 * time.Second
)

// target is the scheduler's state of one target.
type target struct {
	slots   int
	running int
	latency time.Duration
	// activeSince is when the target began to get work; a cold target gets its slots gradually
	// from then on.
	activeSince         time.Duration
	cold                bool
	consecutiveFailures int
	ejections           int
	// ejectedUntil is when a probe may run; 0 if the target is not ejected.
	ejectedUntil time.Duration
	leaving      bool
	// load is a fraction from 0 to 1 as reported by the target; it lags and may be misleading.
	load          float64
	leavingHintAt time.Duration
}

func newTarget(now time.Duration, cold bool) *target {
	return &target{activeSince: now, cold: cold}
}

// concurrencyLimit returns how many requests may run on the target at the same time.
func (t *target) concurrencyLimit(now time.Duration) int {
	switch {
	case t.leaving:
		return 0
	case t.ejectedUntil != 0 && now < t.ejectedUntil:
		return 0
	case t.ejectedUntil != 0:
		return min(1, t.slots) // a probe
	case !t.cold || now-t.activeSince >= slowStartWindow:
		return t.slots
	}
	fraction := float64(now-t.activeSince) / float64(slowStartWindow)
	return min(t.slots, 1+int(fraction*float64(t.slots)))
}

// score rates a target for the next request; it is lower the sooner a response is expected.
func (t *target) score(defaultLatency time.Duration) float64 {
	latency := t.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return float64(latency) * float64(t.running+1) / float64(t.slots) * (1 + loadWeight*t.load)
}

// recordResult updates the target from the result of a request. mayEject is false if too few
// targets would be left without this one.
func (t *target) recordResult(now time.Duration, r Result, mayEject bool) {
	if r == (Result{}) {
		return // no evidence about the target
	}
	if r.Leaving {
		t.leaving, t.leavingHintAt = true, now
	}
	if r.Failed {
		t.recordFailure(now, mayEject)
		return
	}
	t.consecutiveFailures = 0
	if t.latency == 0 {
		t.latency = r.Latency
	}
	t.latency += time.Duration(latencyWeight * float64(r.Latency-t.latency))
	switch {
	case t.isEjected(now): // the request was sent before the ejection
	case t.ejectedUntil != 0:
		t.ejectedUntil, t.activeSince, t.cold = 0, now, true
	case now-t.activeSince > maxEjection:
		t.ejections = 0
	}
}

func (t *target) recordFailure(now time.Duration, mayEject bool) {
	t.consecutiveFailures++
	probeFailed := t.ejectedUntil != 0 && now >= t.ejectedUntil
	if !probeFailed && (t.consecutiveFailures < failuresToEject || !mayEject || t.isEjected(now)) {
		return
	}
	t.ejections++
	t.ejectedUntil = now + min(initialEjection<<min(t.ejections-1, 5), maxEjection)
}

func (t *target) isEjected(now time.Duration) bool {
	return t.ejectedUntil != 0 && now < t.ejectedUntil
}

// setLeaving records the response to a probe that was sent at asked. If the target announced
// after that time that it is leaving, a response that it is not leaving is ignored.
func (t *target) setLeaving(now time.Duration, leaving bool, asked time.Duration) {
	if !leaving && t.leavingHintAt > asked {
		return
	}
	if t.leaving && !leaving {
		t.activeSince, t.cold = now, true
	}
	t.leaving = leaving
}
