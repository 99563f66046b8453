package starter

import (
	"context"
	"os"
	"time"

	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/supervisor"
)

// Place is the name of a process and its location.
type Place struct {
	Name             string
	Region           string
	AvailabilityZone string
}

// ReadPlace reads the section [member] of the settings.
func ReadPlace(s *loader.Settings) Place {
	r := s.Section("member")
	defer r.Finish()
	return Place{
		Name:             r.Required("name"),
		Region:           r.Required("region"),
		AvailabilityZone: r.Required("availabilityZone"),
	}
}

// ReadLogLevel reads the section [log] of the settings.
func ReadLogLevel(s *loader.Settings) string {
	r := s.Section("log")
	defer r.Finish()
	return r.Choice("level", "info", "debug", "info", "warn", "error")
}

// flushTimeout bounds the write of queued log lines at shutdown, in case the reader of the log
// is stuck.
const flushTimeout = 500 * time.Millisecond

// NewQueue returns the queue of a process's log, which is written to standard output. The queue
// closes when the process stops.
func NewQueue(l fx.Lifecycle) *logger.Queue {
	q := logger.NewQueue(os.Stdout)
	l.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		q.Close(ctx)
	}))
	return q
}

// NewLogger returns a logger for the process with the given name.
func NewLogger(name, level string, q *logger.Queue) logger.Logger {
	return logger.NewLogger(logger.Config{Queue: q, Process: name, Level: level})
}

// NewReporter returns the reporter of a process; it closes when the process stops.
func NewReporter(process, name string, l fx.Lifecycle) *reporter.Reporter {
	r := reporter.NewReporter(reporter.Config{Process: process, Name: name})
	l.Append(fx.StopHook(r.Close))
	return r
}

// NewGroup returns the group of a process's background loops. If one fails, the process exits
// with status 1.
func NewGroup(l logger.Logger, s fx.Shutdowner) *supervisor.Group {
	return supervisor.NewGroup(supervisor.Config{
		Logger: l,
		Failed: func(error) { _ = s.Shutdown(fx.ExitCode(1)) },
	})
}
