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
	// firstWarmProbability, secondWarmProbability and otherWarmProbability are the assumed
	// probabilities that an object is warm on the first, second and any further target of its
	// order, if the target has not answered for the object recently. Where the second one is
	// learnt, it stays between the first two.
	firstWarmProbability  = 0.9
	secondWarmProbability = 0.3
	otherWarmProbability  = 0.05
	// knownWarmProbability is the probability on a target that recently answered for the object.
	knownWarmProbability = 0.95
	// secondWarmWeight is the weight of a response in the learnt probability.
	secondWarmWeight = 0.05
	// minColdWarmRatio is the least ratio of the cold to the warm time.
	minColdWarmRatio = 1.3
)

// workEstimate estimates how long requests of one kind take at a target, queueing excluded: one
// time for objects that are warm there and one for all others. A response counts for the nearer
// one.
type workEstimate struct {
	warm, cold time.Duration
	mean       time.Duration
	// secondWarm is the probability that an object is warm on the second target of its order.
	secondWarm float64
}

func newWorkEstimate(aim time.Duration) *workEstimate {
	if aim <= 0 {
		aim = defaultAim
	}
	w := &workEstimate{warm: time.Duration(initialWarmFactor * float64(aim)), cold: time.Duration(initialColdFactor * float64(aim)), secondWarm: secondWarmProbability}
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

// recordSecond records the time at the second target of an object's order. Where requests often go
// there, since the first target is busy or slow, they find most objects warm.
func (w *workEstimate) recordSecond(took time.Duration) {
	warm := 0.0
	if w.nearestMean(took) == &w.warm {
		warm = 1
	}
	w.secondWarm = min(firstWarmProbability, max(secondWarmProbability, w.secondWarm+secondWarmWeight*(warm-w.secondWarm)))
}

// warmProbability returns the probability that an object is warm on a target of its order that has not
// answered for it recently.
func (w *workEstimate) warmProbability(rank int) float64 {
	switch rank {
	case 0:
		return firstWarmProbability
	case 1:
		return w.secondWarm
	}
	return otherWarmProbability
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
