package handler

import (
	"context"
	"errors"
	"net/http"
)

// ErrStopping is the cause of the end of a request's context if the process stops before the request
// is finished.
var ErrStopping = errors.New("the process stops")

// Run states whether a request ran on an upstream.
type Run string

// Values of Run, as written in the outcome header.
const (
	// Done means that the upstream responded.
	Done Run = "done"
	// NotRun means that the request certainly did not run.
	NotRun Run = "notRun"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
)

// Reason names the cause of a refusal.
type Reason string

// Reasons of refusals, as written in the outcome header.
const (
	ReasonNoRoute      Reason = "noRoute"
	ReasonBadRequest   Reason = "badRequest"
	ReasonKey          Reason = "key"
	ReasonLimit        Reason = "limit"
	ReasonNoCapacity   Reason = "noRoom"
	ReasonStale        Reason = "stale"
	ReasonDeadline     Reason = "deadline"
	ReasonUpstream     Reason = "upstream"
	ReasonTooLarge     Reason = "tooLarge"
	ReasonSlowSender   Reason = "slowSender"
	ReasonBegun        Reason = "begun"
	ReasonCallerGone   Reason = "callerGone"
	ReasonKeyReused    Reason = "idempotencyKeyReused"
	ReasonUnmatched    Reason = "unmatchedAnswer"
	ReasonInvalid      Reason = "invalidAnswer"
	ReasonNotAvailable Reason = "notAvailable"
	ReasonStopping     Reason = "stopping"
	// ReasonIsolated means that this entry reaches no target and no other entry took the request.
	ReasonIsolated Reason = "isolated"
	// ReasonDelegate means that the entry to which the request was delegated refused or failed it.
	ReasonDelegate Reason = "delegate"
)

// Outcome is the result of a step. The zero Outcome continues with the next step.
type Outcome struct {
	Run    Run
	Status int
	Reason Reason
	// Relayed means that the caller has the whole response of another entry, whatever the outcome.
	Relayed bool
}

// Refuse returns an Outcome for a request that did not run.
func Refuse(status int, r Reason) Outcome {
	return Outcome{Run: NotRun, Status: status, Reason: r}
}

// MayHaveRun returns an Outcome for a request that may or may not have run.
func MayHaveRun(status int, r Reason) Outcome {
	return Outcome{Run: Unknown, Status: status, Reason: r}
}

// Answered returns the Outcome of a request whose response was written to the caller.
func Answered() Outcome {
	return Outcome{Run: Done, Status: http.StatusOK}
}

// Abandoned returns the Outcome of a request that did not run before its context ended: because the
// process stops, or else because the caller disconnected.
func Abandoned(ctx context.Context, status int) Outcome {
	if IsStopped(ctx) {
		return Refuse(http.StatusServiceUnavailable, ReasonStopping)
	}
	return Refuse(status, ReasonCallerGone)
}

// IsStopped reports whether a request's context ended because the process stops.
func IsStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopping)
}

// IsFinal reports whether the request ends with this outcome.
func (o Outcome) IsFinal() bool {
	return o.Run != ""
}
