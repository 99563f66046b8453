package balancer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Parameters of the reports on admission.
const (
	// shortLogInterval is the least time between two log lines about a service's room.
	shortLogInterval = 5 * time.Second
	// maxPriorityTag is the first priority that shares a tag with all that follow.
	maxPriorityTag = 10
)

// admission picks targets for the requests that the Admitter admits, and holds or refuses the others.
type admission struct {
	config   Config
	queue    *admitter.Queue
	mutex    sync.Mutex
	counters map[counterKey]tally.Counter
	rooms    map[string]*room
}

// counterKey holds the name and the tags of a counter.
type counterKey struct {
	name     string
	priority int
	cause    admitter.Cause
}

// room is whether a service's room was last logged as short.
type room struct {
	short    bool
	loggedAt time.Duration
}

// newAdmission returns nil if there is no Admitter.
func newAdmission(c Config) *admission {
	if c.Admitter == nil {
		return nil
	}
	return &admission{config: c, queue: admitter.NewQueue(), counters: map[counterKey]tally.Counter{}, rooms: map[string]*room{}}
}

// pick picks a target for the first attempt of a request once it is admitted. It returns no target and
// no outcome if there is no target, and the outcome of a request that is refused.
func (a *admission) pick(ctx context.Context, e *handler.Exchange, w *retryState) (*Pick, time.Duration, handler.Outcome) {
	r, start := a.request(e, w), a.config.Clock.Now()
	age := r.Age
	for {
		now := a.config.Clock.Now()
		r.Age, r.Remaining = age+now-start, e.Deadline-now
		w.request.Remaining = r.Remaining
		var f admitter.Forecast
		var d admitter.Decision
		k, delay := pickSelected(e, w, func(p PickRequest) (*Pick, time.Duration) {
			return a.config.Picker.PickIf(p, func(n admitter.Forecast) bool {
				f, d = n, a.config.Admitter.Decide(now, r, n)
				return !n.Found || d.Verdict == admitter.Admit
			})
		})
		a.logRoom(now, r.Service, f.Busy)
		switch {
		case !f.Found:
			return nil, delay, handler.Outcome{}
		case k != nil:
			w.admitted, w.busy = r, f.Busy
			a.config.Admitter.RecordAdmitted(now, r, f.Processing)
			a.count("admitted", r.Priority, "")
			return k, 0, handler.Outcome{}
		case d.Verdict == admitter.Refuse:
			return nil, 0, a.refuse(now, e, r, d)
		}
		if r.Held == 0 {
			a.count("held", r.Priority, d.Cause)
		}
		if !a.hold(ctx, r, d.Hold) {
			return nil, 0, handler.Abandoned(ctx, http.StatusServiceUnavailable)
		}
		r.Held = max(1, a.config.Clock.Now()-start)
	}
}

// decides reports whether admission decides on a request.
func (a *admission) decides(e *handler.Exchange) bool {
	return a != nil && e.Route.Aim > 0
}

func (a *admission) request(e *handler.Exchange, w *retryState) admitter.Request {
	host, _, _ := net.SplitHostPort(e.Request.RemoteAddr) // empty if the caller has no address
	r := admitter.Request{
		Caller:  admitter.Caller{Host: host, Team: e.TeamName(), Kind: e.Route.Name, Object: e.Object()},
		Service: e.Service.Name, Priority: priority(e), Aim: e.Route.Aim,
		Remaining: e.Deadline - e.Start, OrdinaryWait: w.request.MaxQueueWait,
	}
	if !e.Delegated { // the delegating entry states what is left of the caller's timeout
		r.Timeout = e.CallerTimeout
	}
	a.config.Admitter.Recognize(e.Start, &r)
	e.Trace.Returned = r.Returned
	r.Age += a.config.Clock.Now() - e.Start
	return r
}

// hold waits until the request may be decided on again. It returns false if the caller left or the
// process stops.
func (a *admission) hold(ctx context.Context, r admitter.Request, most time.Duration) bool {
	h := a.queue.Add(r, a.config.Clock.Now()+r.Aim-r.Age)
	defer a.queue.Remove(h)
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-h.Woken:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *admission) refuse(now time.Duration, e *handler.Exchange, r admitter.Request, d admitter.Decision) handler.Outcome {
	a.count("refused", r.Priority, d.Cause)
	e.RetryAfter = a.config.Admitter.RecordRefused(now, r, d).Round(time.Millisecond)
	e.Trace.Attempts = append(e.Trace.Attempts, handler.Attempt{Wait: d.Room, Result: "noRoom"})
	e.Trace.Cause = string(d.Cause)
	return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
}

// planReturn sets the Retry-After of a request that began but that its targets refused.
func (a *admission) planReturn(e *handler.Exchange, w *retryState) {
	now, r := a.config.Clock.Now(), w.admitted
	r.Age += r.Remaining - (e.Deadline - now)
	r.Remaining = e.Deadline - now
	e.RetryAfter = a.config.Admitter.PlanReturn(now, r, w.busy).Round(time.Millisecond)
}

func (a *admission) count(name string, priority int, cause admitter.Cause) {
	n := counterKey{name, min(priority, maxPriorityTag), cause}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c := a.counters[n]
	if c == nil {
		c = a.config.Scope.Tagged(map[string]string{"priority": strconv.Itoa(n.priority), "cause": string(cause)}).Counter("admission_" + name)
		a.counters[n] = c
	}
	c.Inc(1)
}

// logRoom logs that the room of a service becomes short, or that there is enough again.
func (a *admission) logRoom(now time.Duration, service string, busy float64) {
	short := a.config.Admitter.IsShort(busy)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m := a.rooms[service]
	if m == nil {
		m = &room{loggedAt: now - shortLogInterval}
		a.rooms[service] = m
	}
	if m.short == short || now-m.loggedAt < shortLogInterval {
		return
	}
	m.short, m.loggedAt = short, now
	event := logger.RoomEnough
	if short {
		event = logger.RoomShort
	}
	a.config.Logger.Log(event, logger.F("service", service), logger.F("busy", busy), logger.F("held", a.queue.Len()))
}

// AdmissionDump describes admission at an entry.
type AdmissionDump struct {
	Held     int
	Services map[string]admitter.ServiceDump
}

// DumpAdmission returns an AdmissionDump, or nil if there is no Admitter.
func (b *Balancer) DumpAdmission() any {
	if b.admission == nil {
		return nil
	}
	return AdmissionDump{Held: b.admission.queue.Len(), Services: b.config.Admitter.Dump(b.config.Clock.Now())}
}
