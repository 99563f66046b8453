// Package admitter decides which requests begin while the targets of a service have too little room for
// all. Its decisions depend only on its arguments, the time among them: it knows no targets, no network
// and no clock.
package admitter

import (
	"sync"
	"time"
)

// Config configures an Admitter.
type Config struct {
	// Short is the fraction of a service's slots in use from which its room counts as short.
	Short float64
	// LeastShare is the ratio of the admitted fraction of a kind of requests, or of a team's, to that of
	// the service, below which the kind or the team no longer gives way to others.
	LeastShare float64
	// HoldShare is the fraction of its aim for which a request may be held.
	HoldShare float64
}

// Admitter decides on requests and keeps how kinds and teams fared. It is safe for concurrent use.
type Admitter struct {
	config   Config
	mutex    sync.Mutex
	services map[string]*service
	// recurrence recognizes refused callers.
	recurrence recurrence
	// timeouts holds the usual timeouts by kind.
	timeouts map[string]*usualTimeout
}

// NewAdmitter returns an Admitter that has not seen any request.
func NewAdmitter(c Config) *Admitter {
	return &Admitter{config: c, services: map[string]*service{}, recurrence: recurrence{}, timeouts: map[string]*usualTimeout{}}
}

// Recognize completes a request that arrives at a time, with Caller, Remaining and Timeout set: it sets Age,
// Returned and Early if this Admitter refused the caller before. It sets only Returned if the caller's timeout
// suggests that another one did.
func (a *Admitter) Recognize(now time.Duration, r *Request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	u := a.timeouts[r.Kind]
	if u == nil {
		if len(a.timeouts) >= maxTracked {
			clear(a.timeouts)
		}
		u = &usualTimeout{}
		a.timeouts[r.Kind] = u
	}
	r.Returned = u.isShort(r.Timeout)
	u.record(r.Timeout)
	if f, ok := a.recurrence.find(r.Caller, now+r.Remaining); ok {
		r.Age, r.Returned, r.Early = now-f.first, true, now < f.backAt
	}
}

// Decide decides on a request. A request that is admitted or refused is to be recorded.
func (a *Admitter) Decide(now time.Duration, r Request, f Forecast) Decision {
	_, d := a.Explain(now, r, f)
	return d
}

// Explain returns the decision on a request, and the standing that it depends on; that is empty while room
// is not short.
func (a *Admitter) Explain(now time.Duration, r Request, f Forecast) (s Standing, d Decision) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.IsShort(f.Busy) {
		s = a.service(r.Service).standing(now, r) // reads every kind of the service
	}
	return s, Evaluate(a.config, s, r, f)
}

// RecordAdmitted records a request that begins, with its expected processing time.
func (a *Admitter) RecordAdmitted(now time.Duration, r Request, processing time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.service(r.Service).recordAdmitted(now, r, processing)
}

// RecordRefused records a refused request and returns its Retry-After.
func (a *Admitter) RecordRefused(now time.Duration, r Request, d Decision) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.service(r.Service).record(now, r, false)
	return a.planReturn(now, r, d.Room)
}

// PlanReturn returns the Retry-After of a request that was admitted and that its targets refused, at a
// fraction of the service's slots in use.
func (a *Admitter) PlanReturn(now time.Duration, r Request, busy float64) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.IsShort(busy) {
		a.recurrence.record(now, r, minRetryAfter)
		return minRetryAfter // other targets have room now
	}
	return a.planReturn(now, r, 0)
}

func (a *Admitter) planReturn(now time.Duration, r Request, room time.Duration) time.Duration {
	s := a.service(r.Service)
	retryAfter := s.returns.place(now, r, room, s.all.admitted.At(now))
	a.recurrence.record(now, r, retryAfter)
	return retryAfter
}

// IsShort reports whether a service's room is short at a fraction of slots in use.
func (a *Admitter) IsShort(busy float64) bool {
	return busy >= a.config.Short
}

func (a *Admitter) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = newService()
		a.services[name] = s
	}
	return s
}
