package admitter

import "time"

// Parameters of the usual timeout of a kind of requests.
const (
	// shortFraction is the fraction of the usual timeout below which a timeout is short.
	shortFraction = 0.8
	// usualWeight and shortWeight are the weights of usual and of short timeouts in the mean. Short ones count
	// too, since callers may change their timeout.
	usualWeight = 0.05
	shortWeight = 0.005
)

// usualTimeout is the mean timeout that callers state in their first attempt. Those that come back state
// what is left of it.
type usualTimeout struct {
	mean time.Duration
}

func (u *usualTimeout) isShort(timeout time.Duration) bool {
	return timeout > 0 && float64(timeout) < shortFraction*float64(u.mean)
}

func (u *usualTimeout) record(timeout time.Duration) {
	weight := usualWeight
	switch {
	case timeout <= 0:
		return
	case u.mean == 0:
		u.mean = timeout
	case u.isShort(timeout):
		weight = shortWeight
	}
	u.mean += time.Duration(weight * float64(timeout-u.mean))
}
