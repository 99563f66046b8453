package timekeeper

import "time"

// Durations that must be the same in all processes of a deployment, and so are not settings.
const (
	// FreshnessLease is how long an entry may serve keyed requests after it sent the last
	// poll that control answered with the latest index.
	FreshnessLease = 3 * time.Second
	// RoleLease is how long an entry may act in its roles after it sent that poll.
	RoleLease = 1500 * time.Millisecond
	// PollHold is how long control delays the response to a poll while nothing changes.
	PollHold = 250 * time.Millisecond
	// DriftMargin is added to a lease by the process that waits for it to expire.
	DriftMargin = 100 * time.Millisecond
	// SlotGrace is how long a slot stays occupied past the deadline of a silent holder.
	SlotGrace = 500 * time.Millisecond
	// ShareLease is how long an entry may use its full shares of teams' rates after it asked
	// control, without roles. Then it keeps silentFraction of each, until SilentLease after it
	// asked.
	ShareLease  = 10 * time.Second
	SilentLease = 2 * time.Minute
	// SilentEnd is the silence after which an entry can no longer use anything that it was
	// granted.
	SilentEnd = SilentLease + DriftMargin
)

// silentFraction is the fraction of its shares that an entry may use past the ShareLease. Control
// withholds the same amount from other entries, so the fraction is small.
const silentFraction = 0.25

// KeptFraction returns the fraction of its shares that an entry may use when its last request to
// control is of the given age.
func KeptFraction(age time.Duration) float64 {
	switch {
	case age <= ShareLease:
		return 1
	case age <= SilentLease:
		return silentFraction
	}
	return 0
}
