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

// Place tells who and where a process is.
type Place struct {
	Name             string
	Region           string
	AvailabilityZone string
}

// ReadPlace reads the section [member].
func ReadPlace(s *loader.Settings) Place {
	r := s.Section("member")
	defer r.Finish()
	return Place{
		Name:             r.Required("name"),
		Region:           r.Required("region"),
		AvailabilityZone: r.Required("availabilityZone"),
	}
}

// ReadLogLevel reads the section [log].
func ReadLogLevel(s *loader.Settings) string {
	r := s.Section("log")
	defer r.Finish()
	return r.Choice("level", "info", "debug", "info", "warn", "error")
}

// flushTimeout bounds the wait for the reader of the log at the end of a process.
const flushTimeout = 500 * time.Millisecond

// NewQueue returns the queue of a process's log, which goes to standard output.
func NewQueue(l fx.Lifecycle) *logger.Queue {
	q := logger.NewQueue(os.Stdout)
	l.Append(fx.StopHook(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, flushTimeout)
		defer cancel()
		q.Close(ctx)
	}))
	return q
}

// NewLogger returns the logger of a process.
func NewLogger(name, level string, q *logger.Queue) logger.Logger {
	return logger.NewLogger(logger.Config{Queue: q, Process: name, Level: level})
}

// NewReporter returns the reporter of a process; it closes when the process stops.
func NewReporter(process, name string, l fx.Lifecycle) *reporter.Reporter {
	r := reporter.NewReporter(reporter.Config{Process: process, Name: name})
	l.Append(fx.StopHook(r.Close))
	return r
}

// NewGroup returns the group of a process's loops. If one fails, the process stops.
func NewGroup(l logger.Logger, s fx.Shutdowner) *supervisor.Group {
	return supervisor.NewGroup(supervisor.Config{
		Logger: l,
		Failed: func(error) { _ = s.Shutdown(fx.ExitCode(1)) },
	})
}
