package admitter

import "time"

// Parameters of recognizing callers that come back.
const (
	// deadlineTolerance is how far the deadlines of two attempts of one caller may be apart.
	deadlineTolerance = 15 * time.Millisecond
	// patientFraction is the fraction of its time left that a caller waits at most before it comes back.
	patientFraction = 1.0 / 3
	// maxRefusals bounds the number of refusals that are kept.
	maxRefusals = 16384
)

// Caller identifies who sends a request, and for what.
type Caller struct {
	Host   string
	Team   string
	Kind   string
	Object string
}

// refusal is the latest refusal of a caller.
type refusal struct {
	// first is the time of the caller's first attempt, and deadline the end of its last one.
	first    time.Duration
	deadline time.Duration
	// backAt is the earliest time at which the caller was to come back.
	backAt time.Duration
}

// recurrence recognizes requests that came back: they come from the same caller, for the same, and have
// the same deadline.
type recurrence map[Caller]refusal

// find returns the refusal of a request that arrives; ok is false if there was none.
func (c recurrence) find(n Caller, deadline time.Duration) (f refusal, ok bool) {
	f, ok = c[n]
	return f, ok && (deadline-f.deadline).Abs() <= deadlineTolerance
}

// record records a refusal at a time. The request had arrived at another.
func (c recurrence) record(now time.Duration, r Request, retryAfter time.Duration) {
	if len(c) >= maxRefusals {
		c.drop(now)
	}
	patience := time.Duration(patientFraction * float64(r.Remaining))
	c[r.Caller] = refusal{first: now - r.Age, deadline: now + r.Remaining, backAt: now + min(retryAfter, patience) - deadlineTolerance}
}

// drop removes the refusals whose deadline passed, or all if none did.
func (c recurrence) drop(now time.Duration) {
	for n, f := range c {
		if f.deadline < now {
			delete(c, n)
		}
	}
	if len(c) >= maxRefusals {
		clear(c)
	}
}
