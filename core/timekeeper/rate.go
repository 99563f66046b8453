package timekeeper

import (
	"math"
	"time"
)

// Rate is an average of counts per second that fades over a span: what was counted a span ago
// has a weight of 1/e. The zero value of all but Span has counted nothing.
type Rate struct {
	Span  time.Duration
	value float64
	at    time.Duration
}

// Add counts n at a moment.
func (r *Rate) Add(now time.Duration, n float64) {
	r.value = r.At(now) + n/r.Span.Seconds()
}

// At returns the rate at a moment, per second.
func (r *Rate) At(now time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-(now - r.at).Seconds() / r.Span.Seconds())
		r.at = now
	}
	return r.value
}
