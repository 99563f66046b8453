package starter

import (
	"runtime"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// NewReserver returns the budget of memory of a process. It limits the heap too, since garbage takes memory as well.
func NewReserver(n reserver.Limits, l logger.Logger, r *reporter.Reporter) *reserver.Reserver {
	n.LimitHeap()
	out := reserver.NewReserver(reserver.Config{Bytes: n.Budget(), Clock: newSteadyClock(), Collect: runtime.GC, Logger: l, Scope: r.Scope})
	r.Add("memory", out.Dump)
	return out
}

// newSteadyClock returns a clock whose reading takes no system call, unlike that of the boot time.
func newSteadyClock() timekeeper.Clock {
	begun := time.Now()
	return timekeeper.Clock{Now: func() time.Duration { return time.Since(begun) }}
}

// NewSeats returns the seats of the connections of a process's clients.
func NewSeats(n reserver.Limits, l logger.Logger, r *reporter.Reporter) *reserver.Seats {
	out := reserver.NewSeats(reserver.SeatsConfig{Connections: n.Connections(), Total: n.Total(), Clock: newSteadyClock(), Logger: l, Scope: r.Scope})
	r.Add("connections", out.Dump)
	return out
}
