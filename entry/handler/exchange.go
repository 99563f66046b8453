package handler

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Headers between callers, entries and upstreams.
const (
	// KeyHeader carries the caller's key. It is never forwarded to an upstream.
	KeyHeader = "Filberthoist-Key"
	// DeadlineHeader carries the time left for the request in milliseconds.
	DeadlineHeader = "Filberthoist-Deadline"
	// RequestHeader carries the request's ID; an upstream may echo it.
	RequestHeader = "Filberthoist-Request"
	// TeamHeader names the caller's team to the upstream.
	TeamHeader = "Filberthoist-Team"
	// OutcomeHeader states to the caller whether the request ran.
	OutcomeHeader = "Filberthoist-Outcome"
	// DelegatedHeader marks a request that one entry delegates to another.
	DelegatedHeader = "Filberthoist-Delegated"
	// IdempotencyKeyHeader carries the key that the caller chose for a request and its resends.
	IdempotencyKeyHeader = "Idempotency-Key"
	// HeaderPrefix is the prefix of every header of the system. Headers with it are removed from
	// callers' requests.
	HeaderPrefix = "Filberthoist-"
)

// Exchange holds the state of one request in the pipeline.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// View is the snapshot from which the request's route, team and limits follow.
	View *receiver.View
	// CurrentView returns the latest snapshot; nil means View. See LatestView.
	CurrentView func() *receiver.View
	// ID identifies the request towards the upstream.
	ID string
	// Start and Deadline are times of the process's Clock.
	Start    time.Duration
	Deadline time.Duration
	// CallerTimeout is how long the caller waits from Start; 0 if it did not say.
	CallerTimeout time.Duration
	Route         *parser.Route
	// Service is the one of the route's services that was chosen for the request.
	Service *parser.Service
	// Selection restricts the targets that may serve the request.
	Selection Selection
	// Fallback replaces Selection if no target of it has capacity or an attempt failed; nil means
	// none.
	Fallback *Selection
	// Check describes how the target of the next attempt is asked for its warm-up before the request is sent.
	Check TargetCheck
	// OnAttempt is called with the results of attempts on targets; steps may set it.
	OnAttempt func(c Selection, latency time.Duration, failed bool)
	// Team is nil on open routes.
	Team *parser.Team
	// ChargeRetry counts the request towards its team's limit once more, before a retry of a request
	// that a target may have run. It may wait for a token, and reports whether the retry is
	// admitted. nil means that nothing limits the team.
	ChargeRetry func(ctx context.Context) bool
	// Key is the configured key whose digest matches the caller's; nil on open routes.
	Key *parser.Key
	// CallerKey is the key that the caller sent, for another entry to which the request is delegated.
	CallerKey string
	// Delegated is set if another entry delegated the request to this one.
	Delegated bool
	// Body is the whole body of the request, read before the request is forwarded.
	Body []byte
	// BodyPlace is the memory reserved for Body; nil means none.
	BodyPlace *reserver.Place
	// OnFinish is called with the outcome at the end of the request; steps may set it.
	OnFinish func(Outcome)
	// RetryAfter is the value of the Retry-After header of a refusal; 0 means the default.
	RetryAfter time.Duration
	// Dialect names the headers.
	Dialect *Dialect
	// Trace collects the decisions about the request for its log line.
	Trace Trace
	// ResponseStarted is set once the head of a response was written to the caller.
	ResponseStarted bool
}

// ReleaseBody gives up the body, once nobody needs it any more.
func (e *Exchange) ReleaseBody() {
	e.Body = nil
	e.BodyPlace.Close()
}

// TargetCheck describes how a target is asked for its warm-up.
type TargetCheck struct {
	Need    carrier.CheckNeed
	Timeout time.Duration
	// Record takes for how long the target stays cold; stated is false if its response does not tell.
	Record func(left time.Duration, stated bool)
}

// Selection restricts the targets that may serve a request.
type Selection struct {
	// Version is the only version that may serve; empty means all that are not excluded.
	Version string
	// ExcludedVersions lists the versions that may not serve, each preceded by a comma.
	ExcludedVersions string
	// Region is the preferred region; empty means the entry's own.
	Region string
	// ExcludedRegion is an excluded region; empty means none.
	ExcludedRegion string
}

// Trace holds the decisions about a request.
type Trace struct {
	// Object is the key of the object that the request is about.
	Object string
	// Attempts are the attempts on targets, in order.
	Attempts []Attempt
	// Share is the fraction of the team's rate that this entry may admit, set if the request was
	// refused because of it.
	Share float64
	// Returned is set if the caller is known to have been refused before.
	Returned bool
	// Cause is why admission refused the request; empty if it did not.
	Cause string
	// Loan is the result of borrowing a token, in the mode where control lends tokens.
	Loan string
}

// Attempt describes one choice of a target: the values that led to it and the result. If no target
// was available, Target is empty and Wait the time until the best one has capacity.
type Attempt struct {
	Target           string
	AvailabilityZone string
	// Load is the number of requests that ran or waited at the target, Wait the expected time in
	// its queue, and Expected the expected time until the response.
	Load     float64
	Wait     time.Duration
	Expected time.Duration
	// Slowness is what the target last stated about its slowness, and SlownessAge the time since then;
	// both are 0 if it never did.
	Slowness    float64
	SlownessAge time.Duration
	// Rank is the target's position in the object's preference order. Warm reports whether it
	// answered for the object recently.
	Rank int
	Warm bool
	// Cold is set if the target counted as one that has not yet warmed up, and Silence is the time since its
	// last response to this entry; 0 if there was none.
	Cold    bool
	Silence time.Duration
	// Dialed is set if the connection was a new one, and ConnectionLost if it, or a kept one, broke.
	Dialed         bool
	ConnectionLost bool
	Result         string
	Duration       time.Duration
	// Evidence is the response by which the request was refused, or its outcome is unknown; nil if there
	// was none or the request was answered.
	Evidence *Evidence
}

// Evidence describes a response: its status and how it was matched to the request.
type Evidence struct {
	Status int
	// Invalid describes a head that no response may have; empty if the head is valid.
	Invalid string
	// HasID reports whether the response bore the request's ID.
	HasID bool
	// Earlier is the number of requests that the connection had carried before, and Skipped the number of
	// responses that were skipped before.
	Earlier int
	Skipped int
}

// String formats an attempt for a log line.
func (v Attempt) String() string {
	if v.Target == "" {
		return fmt.Sprintf("%s: the best has room in %v", v.Result, v.Wait.Round(time.Millisecond))
	}
	text := fmt.Sprintf("%s %s: load %.1f wait %v expected %v rank %d warm %t, %s after %v", v.Target, v.AvailabilityZone,
		v.Load, v.Wait.Round(time.Millisecond), v.Expected.Round(time.Millisecond), v.Rank, v.Warm, v.Result, v.Duration.Round(time.Millisecond))
	if v.Cold {
		text += " cold"
	}
	if v.Silence > 0 {
		text += fmt.Sprintf(" silent %v", v.Silence.Round(time.Millisecond))
	}
	if v.Dialed {
		text += " dialed"
	}
	if v.ConnectionLost {
		text += " connection lost"
	}
	if v.Slowness > 0 {
		text += fmt.Sprintf(" slowness %.2f since %v", v.Slowness, v.SlownessAge.Round(time.Millisecond))
	}
	switch e := v.Evidence; {
	case e == nil:
	case e.Invalid != "":
		text += fmt.Sprintf(" by head %s earlier %d", e.Invalid, e.Earlier)
	default:
		text += fmt.Sprintf(" by status %d id %t earlier %d skipped %d", e.Status, e.HasID, e.Earlier, e.Skipped)
	}
	return text
}

// Allows reports whether a version may serve.
func (c Selection) Allows(version string) bool {
	if c.Version != "" {
		return version == c.Version
	}
	return !strings.Contains(c.ExcludedVersions+",", ","+version+",")
}

// LatestView returns the snapshot by which to decide where the request goes. It may be newer than View, since
// requests wait: for their body, for tokens, for the response of an earlier attempt.
func (e *Exchange) LatestView() *receiver.View {
	if e.CurrentView == nil {
		return e.View
	}
	return e.CurrentView()
}

// Object returns the key of the object that the request is about, on routes whose targets
// answer faster for objects that they handled recently. It is empty on other routes and if the
// request names no object.
func (e *Exchange) Object() string {
	if !e.Route.Affinity || e.Dialect == nil || e.Dialect.AffinityCookie == "" {
		return ""
	}
	c, err := e.Request.Cookie(e.Dialect.AffinityCookie)
	if err != nil {
		return ""
	}
	return e.Route.Name + "/" + c.Value
}

// AllowedRegions returns the regions that may serve the request: the homes of its route or its
// team, or those in both if both have homes. It is empty if all may.
func (e *Exchange) AllowedRegions() []string {
	if e.Team == nil || len(e.Team.Homes) == 0 {
		return e.Route.Homes
	}
	if len(e.Route.Homes) == 0 {
		return e.Team.Homes
	}
	out := []string{"-"} // matches no region, since an empty list would allow all
	for _, h := range e.Route.Homes {
		if slices.Contains(e.Team.Homes, h) {
			out = append(out, h)
		}
	}
	return out
}

// TeamName returns the team's name, or OpenTeam if there is none.
func (e *Exchange) TeamName() string {
	if e.Team == nil {
		return OpenTeam
	}
	return e.Team.Name
}

// OpenTeam stands for the team of requests without one, such as those of open routes.
const OpenTeam = "-open"
