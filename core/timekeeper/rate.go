package timekeeper

import (
	"math"
	"time"
)

// DecayingRate is an exponentially decaying average of counts per second: a count that is one
// TimeConstant old has a weight of 1/e. A DecayingRate with only TimeConstant set is ready to use.
type DecayingRate struct {
	TimeConstant time.Duration
	value        float64
	updated      time.Duration
}

// Add adds a count of n at the time now.
func (r *DecayingRate) Add(now time.Duration, n float64) {
	r.value = r.At(now) + n/r.TimeConstant.Seconds()
}

// At returns the rate per second at the time now. A time before that of an earlier call is taken
// as the latest one.
func (r *DecayingRate) At(now time.Duration) float64 {
	if now > r.updated {
		r.value *= math.Exp(-(now - r.updated).Seconds() / r.TimeConstant.Seconds())
		r.updated = now
	}
	return r.value
}
