package handler

import (
	"net/http"
	"slices"
	"strings"
)

// Dialect holds the names of the headers between callers, entries and upstreams. An optional
// header that is empty is not used.
type Dialect struct {
	// Key carries the caller's key. It is never forwarded to an upstream.
	Key string
	// Deadline carries the time left for the request in milliseconds.
	Deadline string
	// RequestID carries the request's ID.
	RequestID string
	// CallerChoosesID reports whether the caller may choose the request's ID.
	CallerChoosesID bool
	// Team names the caller's team to the upstream.
	Team string
	// Outcome states to the caller whether the request ran; optional.
	Outcome string
	// AffinityCookie is the cookie that identifies the object that a request is about; optional.
	AffinityCookie string
	// ExpectedTarget names the intended target of a request; another target answers 421 and does not
	// run it; optional.
	ExpectedTarget string
	// NotRun is the response header by which an upstream states that it did not run a request.
	// NotRunValue is the prefix that its value must have, with status 503; if it is empty, any
	// value and status count.
	NotRun      string
	NotRunValue string
	// NotRunStatuses are the statuses that guarantee to a caller that its request never runs; empty if
	// only Outcome does.
	NotRunStatuses []int
	// Signature is set on every response that an upstream made itself. A successful response
	// without it is not accepted as one; optional.
	Signature string
	// Delegated marks a request that another entry delegated to this one, and a response by which
	// this one declines it. It is never forwarded to an upstream.
	Delegated string
	// IdempotencyKey carries the key that the caller chose for a request and its resends; optional.
	IdempotencyKey string
	// Load carries the numbers of running and waiting requests and of slots of a target; optional.
	Load string
	// Warmup is the header of health responses by which a target states for how many milliseconds it stays
	// cold; optional. Such targets echo RequestID.
	Warmup string
	// Leaving is the response header by which a target states, with the value 1, that it is leaving;
	// optional.
	Leaving string
	// Prefix is the prefix of further headers that are removed from callers' requests; optional.
	Prefix string
	// Status maps the outcome of a request without a response to its HTTP status; nil means
	// Outcome.Status.
	Status func(Outcome) int
}

// maxRunBytes is more than the length of each value of Run.
const maxRunBytes = 16

// DefaultDialect returns the default dialect.
func DefaultDialect() Dialect {
	return Dialect{
		Key: KeyHeader, Deadline: DeadlineHeader, RequestID: RequestHeader, Team: TeamHeader, Outcome: OutcomeHeader, Delegated: DelegatedHeader,
		NotRun: OutcomeHeader, NotRunValue: string(NotRun), Prefix: HeaderPrefix, IdempotencyKey: IdempotencyKeyHeader,
	}
}

// Strip removes the headers that only the system may set from a caller's headers or trailers.
func (d Dialect) Strip(h http.Header) {
	for name := range h {
		n := http.CanonicalHeaderKey(name)
		if (d.Prefix != "" && strings.HasPrefix(n, d.Prefix)) || slices.Contains([]string{d.Key, d.Team, d.ExpectedTarget, d.Deadline, d.RequestID, d.Delegated}, n) {
			delete(h, name)
		}
	}
}

// StatedRun returns what the response of another entry states about the request: in its header Outcome or, where the
// dialect has none, in the body that Handler writes. A status alone states nothing, since it may be that of a target that
// ran the request.
func (d Dialect) StatedRun(status int, h http.Header, body []byte) Run {
	stated, _, _ := strings.Cut(h.Get(d.Outcome), ";")
	switch {
	case d.Signature != "" && h.Get(d.Signature) != "":
		return Done
	case d.Outcome == "" && status >= http.StatusMultipleChoices:
		stated, _, _ = strings.Cut(string(body[:min(len(body), maxRunBytes)]), ":")
	}
	switch run := Run(stated); {
	case run == Done, run == NotRun, run == Unknown:
		return run
	case status < http.StatusMultipleChoices:
		return Done
	}
	return Unknown
}

// PromisesNotRun reports whether a status guarantees to a caller that its request never runs.
func (d Dialect) PromisesNotRun(status int) bool {
	return slices.Contains(d.NotRunStatuses, status)
}

// Refused reports whether a response states that the upstream did not run the request.
func (d Dialect) Refused(status int, h http.Header) bool {
	return d.statesNotRun(status, h) && !d.isSigned(h)
}

// IsContradictory reports whether a response states that the upstream did not run the request, but bears the
// signature of one that it made. Its head may consist of parts of two responses.
func (d Dialect) IsContradictory(status int, h http.Header) bool {
	return d.statesNotRun(status, h) && d.isSigned(h)
}

func (d Dialect) isSigned(h http.Header) bool {
	return d.Signature != "" && h.Get(d.Signature) != ""
}

func (d Dialect) statesNotRun(status int, h http.Header) bool {
	switch {
	case d.ExpectedTarget != "" && status == http.StatusMisdirectedRequest:
		return true
	case d.NotRunValue == "":
		return h.Get(d.NotRun) != ""
	}
	return status == http.StatusServiceUnavailable && strings.HasPrefix(h.Get(d.NotRun), d.NotRunValue)
}
