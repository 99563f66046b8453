package admitter

import "time"

// Parameters of when refused callers may come back.
const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 25 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// returningShare is the rate of callers that come back, as a share of the rate of admitted requests.
	returningShare = 0.25
	// maxReturnStep bounds the time between two callers that come back.
	maxReturnStep = 100 * time.Millisecond
)

// returns holds the time of the latest return that was planned, by priority.
type returns map[int]time.Duration

// place returns the Retry-After of a refused request: not before there is room, behind the returns of
// callers that are as urgent or more, and at a distance from the one before. A caller that would no longer have the
// time for its request comes as late as it can.
func (t returns) place(now time.Duration, r Request, room time.Duration, admitted float64) time.Duration {
	step := maxReturnStep
	if admitted > 0 {
		step = min(step, time.Duration(float64(time.Second)/(returningShare*admitted)))
	}
	at := now + max(minRetryAfter, room)
	for priority, planned := range t {
		if priority <= r.Priority {
			at = max(at, planned+step)
		}
	}
	latest := now + min(maxRetryAfter, max(minRetryAfter, r.Remaining/2))
	if at > latest {
		return latest - now
	}
	t[r.Priority] = at
	return at - now
}
