package timekeeper

import (
	"math"
	"time"
)

// Rate is an exponentially decaying average of counts per second with the time constant Span: a
// count that is one Span old has a weight of 1/e. A Rate with only Span set is ready to use.
type Rate struct {
	Span    time.Duration
	value   float64
	updated time.Duration
}

// Add adds a count of n at the time now.
func (r *Rate) Add(now time.Duration, n float64) {
	r.value = r.At(now) + n/r.Span.Seconds()
}

// At returns the rate per second at the time now. A time before that of an earlier call is taken
// as the latest one.
func (r *Rate) At(now time.Duration) float64 {
	if now > r.updated {
		r.value *= math.Exp(-(now - r.updated).Seconds() / r.Span.Seconds())
		r.updated = now
	}
	return r.value
}
