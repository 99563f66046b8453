package admitter

import "time"

// Parameters of the decision.
const (
	// ordinaryPatience is the fraction of its slack that a request may wait at a target, unless no more
	// urgent kind asks for the service.
	ordinaryPatience = 0.6
	// leastWorkFactor bounds how much of its patience a request loses because of its work.
	leastWorkFactor = 0.5
	// priorityMargin is how much more often a kind of requests may be admitted than a more urgent one.
	priorityMargin = 0.03
	// surgeRatio is the ratio of a team's share of a service to its usual one from which the team's
	// requests give way to others.
	surgeRatio = 2
	// returnedShare is the share of a service's admitted requests up to which requests that came back
	// after a refusal go before others. Without a bound, a lasting overload would leave room for late
	// responses only.
	returnedShare = 0.2
)

// Request describes a request that asks for admission.
type Request struct {
	// Caller names, among others, the kind of request, such as its route. Requests of one kind do
	// similar work.
	Caller
	Service string
	// Priority is the rank of the request; 0 goes first.
	Priority int
	// Aim is the latency target, counted from the caller's first attempt, and Age the time since then.
	Aim time.Duration
	Age time.Duration
	// Remaining is the time left until the deadline, and Held how long the request was held already.
	Remaining time.Duration
	Held      time.Duration
	// OrdinaryWait is the longest wait at a target while room is not short.
	OrdinaryWait time.Duration
	// Timeout is what the caller stated as its timeout; 0 if it did not.
	Timeout time.Duration
	// Returned is set if the caller seems to have been refused before, and Early if it came back sooner than
	// it was asked to.
	Returned bool
	Early    bool
}

// Forecast describes what would happen to a request that is sent to its best target now.
type Forecast struct {
	// Found is false if no target takes requests.
	Found bool
	// Wait is the expected time in the target's queue, Processing that in one of its slots, and RoundTrip
	// that on the network.
	Wait       time.Duration
	Processing time.Duration
	RoundTrip  time.Duration
	// Warm is set if the target recently answered for the request's object.
	Warm bool
	// Busy is the fraction, from 0 to 1, of the slots in use on the targets that may serve the request.
	Busy float64
}

// Standing is how a request's kind and team fared lately at its service.
type Standing struct {
	// Admitted is the fraction of the kind's requests that were admitted, ServiceAdmitted that of all
	// requests for the service, and TeamAdmitted that of the team's.
	Admitted        float64
	ServiceAdmitted float64
	TeamAdmitted    float64
	// HasUrgent is set if more urgent kinds ask for the service, and UrgentAdmitted is the least
	// fraction of their requests that were admitted. HasLessUrgent is set if less urgent kinds ask for it.
	HasUrgent      bool
	HasLessUrgent  bool
	UrgentAdmitted float64
	// Surge is the ratio of the team's share of the service's requests to its usual share.
	Surge float64
	// RelativeWork is the ratio of the kind's work to the mean of the service's requests.
	RelativeWork float64
	// Returned is the share of the admitted requests that had come back after a refusal.
	Returned float64
}

// Verdict is the result of a decision.
type Verdict int

// Values of Verdict.
const (
	Admit Verdict = iota
	// Hold means that the request may be admitted if it is decided on again within Decision.Hold.
	Hold
	Refuse
)

// Cause names what limited a request.
type Cause string

// Values of Cause.
const (
	// None means that nothing limited the request.
	None Cause = ""
	// Deadline means that the response could not come before the deadline.
	Deadline Cause = "deadline"
	// Aim means that the response would come after the latency target, or that the wait for it is too long.
	Aim Cause = "aim"
	// Priority means that more urgent requests for the service are refused more often.
	Priority Cause = "priority"
	// Share means that the team asks for much more of the service than usual, or that the caller came
	// back without waiting.
	Share Cause = "share"
	// Work means that the wait would suit a request with less work.
	Work Cause = "work"
)

// Decision is what happens to a request.
type Decision struct {
	Verdict Verdict
	Cause   Cause
	// MaxWait is the longest wait at a target with which the request is admitted.
	MaxWait time.Duration
	// Hold is the time within which a held request is decided on again.
	Hold time.Duration
	// Room is the time after which a refused request would be admitted if the load stayed the same.
	Room time.Duration
}

// Evaluate decides on a request. It has no state: equal arguments give equal decisions.
func Evaluate(c Config, s Standing, r Request, f Forecast) Decision {
	expected := f.Wait + f.Processing + f.RoundTrip
	if expected > r.Remaining {
		return Decision{Verdict: Refuse, Cause: Deadline, Room: max(f.Wait, expected-r.Remaining)}
	}
	if f.Busy < c.Short {
		return decideByWait(c, r, f, r.OrdinaryWait, Aim)
	}
	starved := s.Admitted < c.LeastShare*s.ServiceAdmitted || s.TeamAdmitted < c.LeastShare*s.ServiceAdmitted
	waited := r.Returned && s.Returned < returnedShare
	switch {
	case starved:
		return Decision{MaxWait: r.Remaining}
	case r.Early, s.Surge >= surgeRatio:
		return Decision{Verdict: Refuse, Cause: Share, Room: max(f.Wait, f.Processing)}
	case s.HasUrgent && s.Admitted > s.UrgentAdmitted+priorityMargin && !waited:
		return Decision{Verdict: Refuse, Cause: Priority, Room: max(f.Wait, f.Processing)}
	}
	slack := max(0, r.Aim-r.Age-f.Processing-f.RoundTrip)
	if s.HasUrgent {
		slack = time.Duration(ordinaryPatience * float64(slack))
	}
	bound, cause := slack, Aim
	if s.RelativeWork > 1 {
		bound = time.Duration(max(leastWorkFactor, 1/s.RelativeWork) * float64(slack))
	}
	if waited || (s.HasLessUrgent && !s.HasUrgent) {
		bound = max(bound, r.OrdinaryWait)
	}
	if f.Wait > bound && f.Wait <= slack {
		cause = Work
	}
	return decideByWait(c, r, f, bound, cause)
}

// decideByWait admits a request whose wait at the target is within a bound. It holds one that may soon
// be, for a small part of its aim.
func decideByWait(c Config, r Request, f Forecast, bound time.Duration, cause Cause) Decision {
	excess, hold := f.Wait-bound, time.Duration(c.HoldShare*float64(r.Aim))-r.Held
	switch {
	case excess <= 0:
		return Decision{MaxWait: bound}
	case excess <= hold:
		return Decision{Verdict: Hold, Cause: cause, MaxWait: bound, Hold: hold}
	}
	return Decision{Verdict: Refuse, Cause: cause, MaxWait: bound, Room: excess}
}
