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

// learn takes in an answer and returns its time against the expected one.
func (w *work) learn(took time.Duration) (ratio float64) {
	step(&w.mean, took)
	near := &w.warm
	if float64(took) > math.Sqrt(float64(w.warm)*float64(w.cold)) {
		near = &w.cold
	}
	ratio = float64(took) / float64(*near)
	step(near, took)
	w.cold = max(w.cold, time.Duration(leastGap*float64(w.warm)))
	return ratio
}

func step(mean *time.Duration, took time.Duration) {
	*mean += time.Duration(workWeight * float64(took-*mean))
}
