package balancer

import (
	"math"
	"time"
)

// Parameters of the expected work.
const (
	// startAim is the aim that is assumed where a route states none.
	startAim = 300 * time.Millisecond
	// startWarm and startCold are the parts of the aim that warm and cold objects are
	// assumed to take before anything was measured.
	startWarm  = 0.45
	startCold  = 1.5
	workWeight = 0.1
	// leastGap is the least ratio of the cold to the warm time.
	leastGap = 1.3
)

// work is how long requests of one kind take at a target, without waits: a time for objects
// that are warm there and one for all others. An answer counts for the nearer of the two.
type work struct {
	warm, cold time.Duration
	mean       time.Duration
}

func newWork(aim time.Duration) *work {
	if aim <= 0 {
		aim = startAim
	}
	w := &work{warm: time.Duration(startWarm * float64(aim)), cold: time.Duration(startCold * float64(aim))}
	w.mean = w.warm
	return w
}

// expect returns the expected time for a warm or a cold object.
func (w *work) expect(warm bool) time.Duration {
	if warm {
		return w.warm
	}
	return w.cold
}

// compare returns the time of an answer against the expected one; warm tells that the
// object was surely warm.
func (w *work) compare(took time.Duration, warm bool) float64 {
	if warm {
		return float64(took) / float64(w.warm)
	}
	return float64(took) / float64(*w.nearest(took))
}

// learn takes in an answer of a target that is as fast as others.
func (w *work) learn(took time.Duration) {
	step(&w.mean, took)
	step(w.nearest(took), took)
	w.cold = max(w.cold, time.Duration(leastGap*float64(w.warm)))
}

func (w *work) nearest(took time.Duration) *time.Duration {
	if float64(took) > math.Sqrt(float64(w.warm)*float64(w.cold)) {
		return &w.cold
	}
	return &w.warm
}

func step(mean *time.Duration, took time.Duration) {
	*mean += time.Duration(workWeight * float64(took-*mean))
}
