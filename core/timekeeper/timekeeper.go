// Package timekeeper gives the time that leases are measured on.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells time elapsed since a fixed, unknown moment. Now never goes back
// and runs on while the process is stopped or the VM is suspended.
type Clock struct {
	Now func() time.Duration
}

// NewClock returns the boot-time clock of this VM.
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
