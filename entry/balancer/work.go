package balancer

import "time"

// Parameters of the expected work.
const (
	// startWork is assumed before anything was measured.
	startWork = 200 * time.Millisecond
	// startGain is the part of the work that a warm object is assumed to save.
	startGain  = 0.6
	workWeight = 0.1
)

// work is how long requests of one kind take at a target, without waits.
type work struct {
	cold, warm time.Duration
	mean       time.Duration
}

// expect returns the expected time for a warm or a cold object.
func (w *work) expect(warm bool) time.Duration {
	switch {
	case warm && w.warm > 0:
		return w.warm
	case warm && w.cold > 0:
		return time.Duration((1 - startGain) * float64(w.cold))
	case warm:
		return time.Duration((1 - startGain) * float64(startWork))
	case w.cold > 0:
		return w.cold
	case w.warm > 0:
		return time.Duration(float64(w.warm) / (1 - startGain))
	}
	return startWork
}

// average returns the mean over all requests.
func (w *work) average() time.Duration {
	if w.mean > 0 {
		return w.mean
	}
	return w.expect(true)
}

func (w *work) learn(took time.Duration, warm bool) {
	learn(&w.mean, took)
	if warm {
		learn(&w.warm, took)
		return
	}
	learn(&w.cold, took)
}

func learn(mean *time.Duration, took time.Duration) {
	if *mean == 0 {
		*mean = took
	}
	*mean += time.Duration(workWeight * float64(took-*mean))
}
