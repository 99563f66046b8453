// Package delegator hands requests to other entries while this entry can't reach the targets.
package delegator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Parameters of the choice of another entry.
const (
	// maxDelegates is the number of entries that are tried for one request.
	maxDelegates = 3
	// avoidDuration is how long an entry that was unreachable or isolated is not tried, and how long
	// a service whose targets other entries did not reach either is hardly delegated.
	avoidDuration = time.Second
	// minLiveFraction is the fraction of the entries of an availability zone or a region that must be
	// candidates, so that the few left are not overloaded.
	minLiveFraction = 0.5
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request that no entry took.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 750 * time.Millisecond
)

// Reasons of declining a delegated request, as written in the header Dialect.Delegated.
const (
	declinedIsolated    = "isolated"
	declinedUnreachable = "unreachable"
)

// Config configures a Delegator.
type Config struct {
	Clock timekeeper.Clock
	Scope tally.Scope
	// Self describes this entry.
	Self *wire.EntryMember
	// Isolated reports whether this entry can reach none of its targets.
	Isolated func() bool
	// Send sends a request to the entry at an address and waits for the response; Relay writes the
	// response to the caller.
	Send  func(ctx context.Context, e *handler.Exchange, address string) *forwarder.SendResult
	Relay func(ctx context.Context, e *handler.Exchange, s *forwarder.SendResult) handler.Outcome
	// Leaving records that a target stated to another entry that it is leaving.
	Leaving func(target string)
}

// Delegator is the pipeline step that sends requests to other entries while this one is isolated.
// It is safe for concurrent use.
type Delegator struct {
	config    Config
	mutex     sync.Mutex
	entries   deadlines
	services  deadlines
	delegated tally.Counter
	refused   tally.Counter
}

// deadlines holds the times until which names are avoided.
type deadlines map[string]time.Duration

// NewDelegator returns a Delegator.
func NewDelegator(c Config) *Delegator {
	return &Delegator{
		config: c, entries: deadlines{}, services: deadlines{},
		delegated: c.Scope.Counter("delegated"), refused: c.Scope.Counter("refusedIsolated"),
	}
}

// Step returns the pipeline step. It follows the steps that read the request and precedes those that
// charge its team, which the other entry does.
func (d *Delegator) Step() handler.Step {
	return handler.Step{Name: "delegator", Handle: d.delegate}
}

func (d *Delegator) delegate(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if !d.config.Isolated() {
		return handler.Outcome{}
	}
	if e.Delegated {
		return d.decline(e, declinedIsolated)
	}
	attempts := maxDelegates
	if d.isAvoided(d.services, e.Service.Name) {
		attempts = 1
	}
	if o, ok := d.try(ctx, e, attempts); ok {
		return o
	}
	d.refused.Inc(1)
	e.Writer.Header().Set("Connection", "close") // the caller moves to another entry
	e.RetryAfter = (minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)).Round(time.Millisecond)
	return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonIsolated)
}

// DelegateUnreachable hands on a request for which this entry could reach no target although it does
// not count as isolated. It declines a request that was delegated already. It returns false if no
// other entry took the request.
func (d *Delegator) DelegateUnreachable(ctx context.Context, e *handler.Exchange) (handler.Outcome, bool) {
	switch {
	case e.OnFinish != nil:
		return handler.Outcome{}, false // this entry must finish what an earlier step began
	case e.Delegated:
		return d.decline(e, declinedUnreachable), true
	case d.isAvoided(d.services, e.Service.Name):
		return handler.Outcome{}, false
	}
	return d.try(ctx, e, maxDelegates)
}

// decline refuses a delegated request, so that its sender tries another entry.
func (d *Delegator) decline(e *handler.Exchange, reason string) handler.Outcome {
	d.refused.Inc(1)
	e.Writer.Header().Set(e.Dialect.Delegated, reason)
	return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonIsolated)
}

// try sends a request to other entries until one takes it. It returns false if none did, so that the
// request has not run.
func (d *Delegator) try(ctx context.Context, e *handler.Exchange, attempts int) (o handler.Outcome, taken bool) {
	var tried []string
	for range attempts {
		m := d.pick(e, tried)
		if m == nil {
			return handler.Outcome{}, false
		}
		tried = append(tried, m.GetName())
		begun := d.config.Clock.Now()
		s := d.config.Send(ctx, e, m.GetAddress())
		reason := declineReason(e, s)
		e.Trace.Attempts = append(e.Trace.Attempts, newAttempt(m, s, reason, d.config.Clock.Now()-begun))
		switch {
		case reason == declinedUnreachable:
			d.avoid(d.services, e.Service.Name)
		case reason != "", s.Unreachable && s.Outcome.Reason == handler.ReasonUpstream:
			d.avoid(d.entries, m.GetName())
		case s.Response != nil:
			d.delegated.Inc(1)
			if s.LeavingTarget != "" {
				d.config.Leaving(s.LeavingTarget)
			}
			return d.config.Relay(ctx, e, s), true
		default:
			return s.Outcome, true
		}
	}
	return handler.Outcome{}, false
}

// declineReason returns the reason for which an entry declined a request, or "" if it took it. Only the known
// reasons count, since entries of earlier versions pass on what a target wrote into the header.
func declineReason(e *handler.Exchange, s *forwarder.SendResult) string {
	if s.Response == nil || s.Response.Status != http.StatusServiceUnavailable {
		return ""
	}
	run := e.Dialect.StatedRun(s.Response.Status, s.Response.Header, s.Response.Body)
	// The response to HEAD has no body that could state the outcome.
	hasNoBody := run == handler.Unknown && e.Dialect.Outcome == "" && e.Request.Method == http.MethodHead
	if run != handler.NotRun && !hasNoBody {
		return ""
	}
	switch reason := s.Response.Header.Get(e.Dialect.Delegated); reason {
	case declinedIsolated, declinedUnreachable:
		return reason
	}
	return ""
}

func newAttempt(m *wire.EntryMember, s *forwarder.SendResult, declined string, took time.Duration) handler.Attempt {
	v := handler.Attempt{Target: m.GetName(), AvailabilityZone: m.GetAvailabilityZone(), Duration: took, Result: "delegated"}
	switch {
	case declined != "":
		v.Result = "declined"
	case s.Unreachable:
		v.Result = "unreachable"
	case s.Response == nil:
		v.Result = string(s.Outcome.Reason)
	}
	if declined != "" || s.Invalid != "" {
		v.Evidence = s.Evidence()
	}
	return v
}

// pick returns a random one of the nearest candidates that were not tried, or nil if there is none.
func (d *Delegator) pick(e *handler.Exchange, tried []string) *wire.EntryMember {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, self, homes := d.config.Clock.Now(), d.config.Self, e.AllowedRegions()
	var zone, region, all group
	for _, m := range e.LatestView().Entries {
		if len(homes) > 0 && !slices.Contains(homes, m.GetRegion()) {
			continue
		}
		candidate := m.GetState() == wire.EntryState_ENTRY_STATE_LIVE && m.GetName() != self.GetName() &&
			now >= d.entries[m.GetName()] && !slices.Contains(tried, m.GetName())
		all.add(m, candidate)
		if m.GetRegion() == self.GetRegion() {
			region.add(m, candidate)
		}
		if m.GetAvailabilityZone() == self.GetAvailabilityZone() {
			zone.add(m, candidate)
		}
	}
	list := all.candidates
	switch {
	case zone.suffices():
		list = zone.candidates
	case region.suffices():
		list = region.candidates
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

// group holds the entries of an availability zone, a region or the deployment.
type group struct {
	candidates []*wire.EntryMember
	members    int
}

func (g *group) add(m *wire.EntryMember, candidate bool) {
	g.members++
	if candidate {
		g.candidates = append(g.candidates, m)
	}
}

// suffices reports whether the candidates can take the requests of the other members.
func (g *group) suffices() bool {
	return len(g.candidates) > 0 && float64(len(g.candidates)) >= minLiveFraction*float64(g.members)
}

func (d *Delegator) isAvoided(l deadlines, name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.config.Clock.Now() < l[name]
}

func (d *Delegator) avoid(l deadlines, name string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.config.Clock.Now()
	for n, until := range l {
		if until <= now {
			delete(l, n)
		}
	}
	l[name] = now + avoidDuration
}
