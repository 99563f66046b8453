package handler

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Headers between callers, entries and upstreams.
const (
	// KeyHeader carries the caller's key; it never reaches an upstream.
	KeyHeader = "Filberthoist-Key"
	// DeadlineHeader carries the milliseconds left for the request.
	DeadlineHeader = "Filberthoist-Deadline"
	// RequestHeader carries the request's id; an upstream may echo it.
	RequestHeader = "Filberthoist-Request"
	// TeamHeader tells the upstream whose request it is.
	TeamHeader = "Filberthoist-Team"
	// OutcomeHeader tells the caller whether the request ran.
	OutcomeHeader = "Filberthoist-Outcome"
	// HeaderPrefix begins every header of the system; callers' own ones are dropped.
	HeaderPrefix = "Filberthoist-"
)

// Exchange is one request on its way through the pipeline.
type Exchange struct {
	Writer  http.ResponseWriter
	Request *http.Request
	// View is the state that the whole request is judged by.
	View *receiver.View
	// ID identifies the request towards the upstream.
	ID string
	// Begun and Deadline are moments on the process's Clock.
	Begun    time.Duration
	Deadline time.Duration
	Route    *parser.Route
	// Service is the one of the route's services that the request goes to.
	Service *parser.Service
	// Course says which targets the request is for.
	Course Course
	// Fallback is taken if the course has no room or an attempt failed; nil means none.
	Fallback *Course
	// Observe is told of every attempt on a target; steps may set it.
	Observe func(c Course, latency time.Duration, failed bool)
	// Team is nil on open routes.
	Team *parser.Team
	// Charge counts the request towards its team's limit once more, before it goes to a further
	// target although one may have run it, and tells whether it may. It may wait for a token.
	// nil means that nothing limits the team.
	Charge func(ctx context.Context) bool
	// Key is the digest-checked key's record; nil on open routes.
	Key *parser.Key
	// Body is the whole body of the request, read before the request is sent on.
	Body []byte
	// Finish is called with the outcome once the request is over; steps may set it.
	Finish func(Outcome)
	// RetryAfter is the time after which a refused request has a chance; 0 means the default.
	RetryAfter time.Duration
	// Dialect names the headers.
	Dialect *Dialect
	// Trace collects what was decided about the request, for its log line.
	Trace Trace
	// AnswerBegun is set once something of an answer went to the caller.
	AnswerBegun bool
}

// Course says which targets may serve a request.
type Course struct {
	// Version is the only one that serves; empty means every one that is not barred.
	Version string
	// Barred lists versions that don't serve, each behind a comma.
	Barred string
	// Region is asked first; empty means the entry's own.
	Region string
	// Without is a region that is not asked.
	Without string
}

// Trace is what was decided about a request.
type Trace struct {
	// Object is the key of the object that the request is about.
	Object string
	// Visits are the targets that it was sent to, in order.
	Visits []Visit
	// Share is the part of its team's rate that this entry might admit, where that decided.
	Share float64
	// Loan tells what came of the try to borrow a token, where tokens are lent.
	Loan string
}

// Visit is one choice of a target with what decided it and what came of it.
type Visit struct {
	Target           string
	AvailabilityZone string
	// Load is the number of requests that ran or waited there, Wait the expected time in the
	// queue, Expected that until the answer.
	Load     float64
	Wait     time.Duration
	Expected time.Duration
	// Rank is the target's place in the object's order; Warm tells that it had lately
	// answered for the object.
	Rank   int
	Warm   bool
	Result string
	Took   time.Duration
}

// String writes a visit for a log line.
func (v Visit) String() string {
	if v.Target == "" {
		return fmt.Sprintf("%s: the best has room in %v", v.Result, v.Wait.Round(time.Millisecond))
	}
	return fmt.Sprintf("%s %s: load %.1f wait %v expected %v rank %d warm %t, %s after %v", v.Target, v.AvailabilityZone,
		v.Load, v.Wait.Round(time.Millisecond), v.Expected.Round(time.Millisecond), v.Rank, v.Warm, v.Result, v.Took.Round(time.Millisecond))
}

// Allows tells whether a version may serve.
func (c Course) Allows(version string) bool {
	if c.Version != "" {
		return version == c.Version
	}
	return !strings.Contains(c.Barred+",", ","+version+",")
}

// Object names what the request is about, where the route's targets answer sooner for an
// object that they handled lately; empty if nothing does.
func (e *Exchange) Object() string {
	if !e.Route.Affinity || e.Dialect == nil || e.Dialect.Affinity == "" {
		return ""
	}
	c, err := e.Request.Cookie(e.Dialect.Affinity)
	if err != nil {
		return ""
	}
	return e.Route.Name + "/" + c.Value
}

// TeamName returns the team's name, or the name that open requests share.
func (e *Exchange) TeamName() string {
	if e.Team == nil {
		return OpenTeam
	}
	return e.Team.Name
}

// OpenTeam is the name that requests of open routes share.
const OpenTeam = "-open"
