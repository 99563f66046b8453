package balancer

import (
	"math"
	"time"
)

// Parameters of the estimates of processing times.
const (
	// defaultAim is the aim assumed for routes without one.
	defaultAim = 300 * time.Millisecond
	// initialWarmFactor and initialColdFactor are the initial processing times for warm and cold
	// objects, as multiples of the aim.
	initialWarmFactor = 0.45
	initialColdFactor = 1.5
	sampleWeight      = 0.1
	// minColdWarmRatio is the least ratio of the cold to the warm time.
	minColdWarmRatio = 1.3
)

// workEstimate estimates how long requests of one kind take at a target, queueing excluded: one
// time for objects that are warm there and one for all others. A response counts for the nearer
// one.
type workEstimate struct {
	warm, cold time.Duration
	mean       time.Duration
}

func newWorkEstimate(aim time.Duration) *workEstimate {
	if aim <= 0 {
		aim = defaultAim
	}
	w := &workEstimate{warm: time.Duration(initialWarmFactor * float64(aim)), cold: time.Duration(initialColdFactor * float64(aim))}
	w.mean = w.warm
	return w
}

// expected returns the expected time for a warm or a cold object.
func (w *workEstimate) expected(warm bool) time.Duration {
	if warm {
		return w.warm
	}
	return w.cold
}

// ratio returns the ratio of a response's time to the expected one. warm is set if the target
// recently answered for the object.
func (w *workEstimate) ratio(took time.Duration, warm bool) float64 {
	if warm {
		return float64(took) / float64(w.warm)
	}
	return float64(took) / float64(*w.nearestMean(took))
}

// record updates the estimate from a response of a target that is not slow.
func (w *workEstimate) record(took time.Duration) {
	updateMean(&w.mean, took)
	updateMean(w.nearestMean(took), took)
	w.cold = max(w.cold, time.Duration(minColdWarmRatio*float64(w.warm)))
}

func (w *workEstimate) nearestMean(took time.Duration) *time.Duration {
	if float64(took) > math.Sqrt(float64(w.warm)*float64(w.cold)) {
		return &w.cold
	}
	return &w.warm
}

func updateMean(mean *time.Duration, took time.Duration) {
	*mean += time.Duration(sampleWeight * float64(took-*mean))
}
