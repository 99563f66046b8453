package entry

import (
	"math/rand/v2"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// tracer logs requests at their end: refused, failed and late ones always, a random fraction of
// the others.
type tracer struct {
	logger logger.Logger
	// servedFraction is the fraction of served requests that are logged, from 0 to 1.
	servedFraction float64
}

func (t tracer) trace(e *handler.Exchange, o handler.Outcome, step string, took time.Duration) {
	event := logger.RequestServed
	switch {
	case o.Run == handler.NotRun:
		event = logger.RequestRefused
	case o.Run == handler.Unknown:
		event = logger.RequestFailed
	case exceedsAim(e, took):
		// always logged
	case t.servedFraction == 0 || (t.servedFraction < 1 && rand.Float64() >= t.servedFraction):
		return
	}
	attempts := make([]string, len(e.Trace.Attempts))
	for i, v := range e.Trace.Attempts {
		attempts[i] = v.String()
	}
	fields := []logger.Field{
		logger.F("request", e.ID), logger.F("team", e.TeamName()), logger.F("took", took.Round(100*time.Microsecond)),
		logger.F("index", int(e.View.Index)), logger.F("targets", attempts),
	}
	if e.Route != nil {
		fields = append(fields, logger.F("route", e.Route.Name), logger.F("itemVersion", int(e.Route.Version)),
			logger.F("service", e.Service.Name), logger.F("object", e.Trace.Object), logger.F("left", e.Deadline-e.Start-took))
	}
	if event != logger.RequestServed {
		fields = append(fields, logger.F("step", step), logger.F("reason", string(o.Reason)), logger.F("status", o.Status),
			logger.F("retryAfter", e.RetryAfter))
	}
	if o.Reason == handler.ReasonLimit {
		fields = append(fields, logger.F("share", e.Trace.Share))
	}
	if e.Trace.Returned {
		fields = append(fields, logger.F("returned", true))
	}
	if e.Trace.Cause != "" {
		fields = append(fields, logger.F("cause", e.Trace.Cause))
	}
	if o.Run == handler.NotRun && e.Trace.Loan != "" {
		fields = append(fields, logger.F("loan", e.Trace.Loan))
	}
	t.logger.Log(event, fields...)
}

// exceedsAim reports whether a request took longer than its route's latency target.
func exceedsAim(e *handler.Exchange, took time.Duration) bool {
	return e.Route != nil && e.Route.Aim > 0 && took > e.Route.Aim
}
