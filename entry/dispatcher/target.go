package dispatcher

import "time"

// Parameters of a target's treatment.
const (
	// failuresToEject is the number of failures in a row after which a target is ejected.
	failuresToEject = 3
	// firstEjection doubles with each ejection up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// loadWeight is the part that a target's own report has in the choice.
	loadWeight = 0.1
	// slowStart is the time over which a cold target is given its slots.
	slowStart = 10 * time.Second
)

// target is what a ledger knows of one target.
type target struct {
	slots   int
	running int
	latency time.Duration
	// warmSince is when it began to take work; cold targets get their slots by and by.
	warmSince time.Duration
	cold      bool
	failures  int
	ejections int
	// ejectedUntil is when the next probe may run; zero means not ejected.
	ejectedUntil time.Duration
	leaving      bool
	// load is what the target said of itself, from 0 to 1; it lags and may mislead.
	load   float64
	hinted time.Duration
}

func newTarget(now time.Duration, cold bool) *target {
	return &target{warmSince: now, cold: cold}
}

// allowed returns how many requests may run at once now.
func (t *target) allowed(now time.Duration) int {
	switch {
	case t.leaving:
		return 0
	case t.ejectedUntil != 0 && now < t.ejectedUntil:
		return 0
	case t.ejectedUntil != 0:
		return min(1, t.slots) // one probe
	case !t.cold || now-t.warmSince >= slowStart:
		return t.slots
	}
	part := float64(now-t.warmSince) / float64(slowStart)
	return min(t.slots, 1+int(part*float64(t.slots)))
}

// score is lower the sooner an answer is expected.
func (t *target) score(usual time.Duration) float64 {
	latency := t.latency
	if latency == 0 {
		latency = usual
	}
	return float64(latency) * float64(t.running+1) / float64(t.slots) * (1 + loadWeight*t.load)
}

// learn takes in a result; mayEject tells whether the pool can do without the target.
func (t *target) learn(now time.Duration, r Result, mayEject bool) {
	if r == (Result{}) {
		return // nothing was sent
	}
	if r.Leaving {
		t.leaving, t.hinted = true, now
	}
	if r.Failed {
		t.fail(now, mayEject)
		return
	}
	t.failures = 0
	if t.latency == 0 {
		t.latency = r.Latency
	}
	t.latency += time.Duration(latencyWeight * float64(r.Latency-t.latency))
	switch {
	case t.ejected(now): // it began before the ejection
	case t.ejectedUntil != 0:
		t.ejectedUntil, t.warmSince, t.cold = 0, now, true
	case now-t.warmSince > longestEjection:
		t.ejections = 0
	}
}

func (t *target) fail(now time.Duration, mayEject bool) {
	t.failures++
	again := t.ejectedUntil != 0 && now >= t.ejectedUntil
	if !again && (t.failures < failuresToEject || !mayEject || t.ejected(now)) {
		return
	}
	t.ejections++
	t.ejectedUntil = now + min(firstEjection<<min(t.ejections-1, 5), longestEjection)
}

func (t *target) ejected(now time.Duration) bool {
	return t.ejectedUntil != 0 && now < t.ejectedUntil
}

// setLeaving takes in what the target said when asked. A later hint outweighs it.
func (t *target) setLeaving(now time.Duration, leaving bool, asked time.Duration) {
	if !leaving && t.hinted > asked {
		return
	}
	if t.leaving && !leaving {
		t.warmSince, t.cold = now, true
	}
	t.leaving = leaving
}
