// Package timekeeper provides the clock that leases are measured with, and their durations.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since a fixed but unspecified moment. Now is monotonic and includes
// the time while the process is stopped or the VM is suspended.
type Clock struct {
	Now func() time.Duration
}

// NewClock returns the boot-time clock of this VM, CLOCK_BOOTTIME.
func NewClock() Clock {
	return Clock{Now: bootTime}
}

func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("timekeeper: the boot-time clock can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}
