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
	// it falls back to SilentShare of each.
	ShareLease = 10 * time.Second
)

// SilentShare is the share of a team's rate that an entry may use without word from control.
const SilentShare = 0.02
