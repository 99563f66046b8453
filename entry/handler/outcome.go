package handler

import "net/http"

// Run tells whether a request ran on an upstream.
type Run string

// Values of Run, as they stand in the outcome header.
const (
	// Done means that the upstream answered.
	Done Run = "done"
	// NotRun means that the request surely did not run.
	NotRun Run = "notRun"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
)

// Reason names the cause of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonNoRoute      Reason = "noRoute"
	ReasonBadRequest   Reason = "badRequest"
	ReasonKey          Reason = "key"
	ReasonLimit        Reason = "limit"
	ReasonNoRoom       Reason = "noRoom"
	ReasonStale        Reason = "stale"
	ReasonDeadline     Reason = "deadline"
	ReasonUpstream     Reason = "upstream"
	ReasonTooLarge     Reason = "tooLarge"
	ReasonSlowSender   Reason = "slowSender"
	ReasonBegun        Reason = "begun"
	ReasonCallerGone   Reason = "callerGone"
	ReasonKeyReused    Reason = "idempotencyKeyReused"
	ReasonUnmatched    Reason = "unmatchedAnswer"
	ReasonNotAvailable Reason = "notAvailable"
)

// Outcome is what a step decides. The zero Outcome lets the next step go on.
type Outcome struct {
	Run    Run
	Status int
	Reason Reason
}

// Refuse returns an Outcome for a request that did not run.
func Refuse(status int, r Reason) Outcome {
	return Outcome{Run: NotRun, Status: status, Reason: r}
}

// MayHaveRun returns an Outcome for a request of which nobody knows whether it ran.
func MayHaveRun(status int, r Reason) Outcome {
	return Outcome{Run: Unknown, Status: status, Reason: r}
}

// Answered is the Outcome of a request whose answer was passed on.
func Answered() Outcome {
	return Outcome{Run: Done, Status: http.StatusOK}
}

// Over tells whether the request ends here.
func (o Outcome) Over() bool {
	return o.Run != ""
}
