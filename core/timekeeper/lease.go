package timekeeper

import "time"

// Durations that every process of a deployment must share, so they are no settings.
const (
	// FreshnessLease is how long an entry may serve keyed requests after it asked
	// control for the latest index and was answered.
	FreshnessLease = 3 * time.Second
	// RoleLease is how long an entry may act in its roles after it asked.
	RoleLease = 1500 * time.Millisecond
	// PollHold is how long control holds a poll while nothing changes.
	PollHold = 250 * time.Millisecond
	// DriftMargin is added to a lease by whoever waits for it to run out.
	DriftMargin = 100 * time.Millisecond
	// SlotGrace is how long a slot stays taken past the deadline of a silent holder.
	SlotGrace = 500 * time.Millisecond
	// ShareLease is how long an entry may use its shares of teams' rates after it asked; then
	// it keeps silentPart of each, until SilentLease after it asked.
	ShareLease  = 10 * time.Second
	SilentLease = 2 * time.Minute
	// SilentEnd is the silence after which an entry surely uses nothing that it was granted.
	SilentEnd = SilentLease + DriftMargin
)

// silentPart is the part of its shares that an entry may use past the ShareLease. Control holds
// as much back, so it is small.
const silentPart = 0.25

// KeptPart returns the part of its shares that an entry may use at a time after it asked control.
func KeptPart(age time.Duration) float64 {
	switch {
	case age <= ShareLease:
		return 1
	case age <= SilentLease:
		return silentPart
	}
	return 0
}
