package handler

import (
	"net/http"
	"slices"
	"strings"
)

// Dialect names what callers, entries and upstreams tell each other in headers. The zero
// value of an optional name means that the dialect lacks it.
type Dialect struct {
	// Key carries the caller's key; it never reaches an upstream.
	Key string
	// Deadline carries the milliseconds left for the request.
	Deadline string
	// Request carries the request's id.
	Request string
	// CallersName tells that the caller gives the request's id.
	CallersName bool
	// Team tells the upstream whose request it is.
	Team string
	// Outcome tells the caller whether the request ran; optional.
	Outcome string
	// Affinity is the cookie that names the object that a request is about; optional.
	Affinity string
	// Expected names the target that a request is meant for; another one answers 421 and does
	// not run it; optional.
	Expected string
	// NotRun is a header by which an upstream says that it did not run a request; NotRunValue
	// is how its value begins.
	NotRun      string
	NotRunValue string
	// Signature is on every answer that an upstream made itself; an answer with success that
	// lacks it is none; optional.
	Signature string
	// Load carries the requests that run and wait at an upstream, and its slots; optional.
	Load string
	// Prefix begins further headers that callers may not send through; optional.
	Prefix string
	// Status returns the status of a refusal in place of the outcome's; nil means the
	// outcome's own.
	Status func(Outcome) int
}

// Own is the product's own dialect.
func Own() Dialect {
	return Dialect{
		Key: KeyHeader, Deadline: DeadlineHeader, Request: RequestHeader, Team: TeamHeader, Outcome: OutcomeHeader,
		NotRun: OutcomeHeader, NotRunValue: string(NotRun), Prefix: HeaderPrefix,
	}
}

// Strip removes every header of the system from a caller's headers or trailers.
func (d Dialect) Strip(h http.Header) {
	for name := range h {
		n := http.CanonicalHeaderKey(name)
		if (d.Prefix != "" && strings.HasPrefix(n, d.Prefix)) || slices.Contains([]string{d.Key, d.Team, d.Expected, d.Deadline, d.Request}, n) {
			delete(h, name)
		}
	}
}

// Refused tells whether an upstream says that it did not run the request.
func (d Dialect) Refused(status int, h http.Header) bool {
	switch {
	case d.Expected != "" && status == http.StatusMisdirectedRequest:
		return true
	case d.Signature != "" && h.Get(d.Signature) != "":
		return false
	case d.NotRunValue == "":
		return h.Get(d.NotRun) != ""
	}
	return status == http.StatusServiceUnavailable && strings.HasPrefix(h.Get(d.NotRun), d.NotRunValue)
}
