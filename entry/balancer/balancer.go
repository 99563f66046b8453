// Package balancer sends each request to a target that this entry chooses by itself: by
// the load that targets tell with their answers, its own requests under way, and a stable
// order of targets for each object.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Bounds of one request's way.
const (
	// defaultAttempts is the number of targets that may run a request whose route does not say.
	defaultAttempts = 2
	// maxSends bounds the targets that a request is sent to, refusals included.
	maxSends = 4
	// leastRetryAfter and mostRetryAfter bound what refused callers are asked to wait.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = time.Second
	// ordinaryPatience is the part of the aim that requests wait that are not most urgent.
	ordinaryPatience = 0.6
)

// Config sets up a Balancer.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	Picker *Picker
	// Send sends a request to a target and waits for the answer; Pass hands one on.
	Send func(ctx context.Context, e *handler.Exchange, t *parser.Target) *forwarder.Sending
	Pass func(ctx context.Context, e *handler.Exchange, s *forwarder.Sending) (handler.Outcome, dispatcher.Result)
	// Repeats is the budget of requests that are sent to a further target.
	Repeats *Budget
	Meter   *Meter
}

// Balancer is the step that finds a target and has the request sent to it.
type Balancer struct {
	config  Config
	retries tally.Counter
	spared  tally.Counter
	refused tally.Counter
}

// NewBalancer returns a Balancer.
func NewBalancer(c Config) *Balancer {
	return &Balancer{
		config: c, retries: c.Scope.Counter("retries"), spared: c.Scope.Counter("retriesSpared"),
		refused: c.Scope.Counter("noRoom"),
	}
}

// Step returns the pipeline step.
func (b *Balancer) Step() handler.Step {
	return handler.Step{Name: "balancer", Handle: b.balance}
}

// way is a request on its way through targets.
type way struct {
	demand Demand
	// ran counts the targets that may have run the request, charged the runs that were counted
	// towards the team's limit.
	ran     int
	charged int
	sent    int
	// arrived counts the targets that the request reached.
	arrived int
	// kept is an answer with a failure, for want of a better one.
	kept *forwarder.Sending
	last handler.Outcome
}

func (b *Balancer) balance(ctx context.Context, e *handler.Exchange) handler.Outcome {
	b.config.Repeats.Earn(e.Service.Name)
	w := &way{demand: b.demand(e), charged: 1}
	b.config.Meter.Count(e.Service.Name, b.config.Picker.Expect(w.demand))
	for w.sent < maxSends {
		w.demand.Left = e.Deadline - b.config.Clock.Now()
		if w.sent > 0 && !b.mayRepeat(ctx, e, w) {
			break
		}
		pick, busy := b.config.Picker.Pick(e.View, w.demand)
		if pick == nil && e.Fallback != nil {
			w.demand.Allows, e.Fallback = e.Fallback.Allows, nil
			continue
		}
		if pick == nil {
			b.noTarget(e, w, busy)
			break
		}
		if o, over := b.send(ctx, e, w, pick); over {
			return o
		}
	}
	if w.kept != nil {
		o, _ := b.config.Pass(ctx, e, w.kept)
		return o
	}
	return w.last
}

func (b *Balancer) demand(e *handler.Exchange) Demand {
	d := Demand{
		Service: e.Service.Name, Work: e.Service.Name + " " + e.Route.Name,
		Allows: e.Course.Allows, Homes: homesOf(e), ColdRate: e.Service.ColdRate,
		Aim: e.Route.Aim, Patience: patience(e),
	}
	d.Object = e.Object()
	if d.Object == "" {
		d.Object = e.ID // spread evenly
	}
	e.Trace.Object = d.Object
	return d
}

// patience returns how long a request may wait in a target's queue. Longer queues would
// make every answer late, so that it is better to serve fewer; the more urgent wait longer.
func patience(e *handler.Exchange) time.Duration {
	aim, rank := e.Route.Aim, e.Route.Priority
	if aim == 0 {
		aim = e.Route.Timeout
	}
	if e.Team != nil && e.Team.Priority != nil {
		rank = *e.Team.Priority
	}
	if rank == 0 {
		return aim
	}
	return time.Duration(ordinaryPatience * float64(aim))
}

// homesOf returns the regions that may serve a request: those of its route and those of
// its team, where both say.
func homesOf(e *handler.Exchange) []string {
	if e.Team == nil || len(e.Team.Homes) == 0 {
		return e.Route.Homes
	}
	if len(e.Route.Homes) == 0 {
		return e.Team.Homes
	}
	out := []string{"-"} // no region, unless both name one
	for _, h := range e.Route.Homes {
		for _, t := range e.Team.Homes {
			if h == t {
				out = append(out, h)
			}
		}
	}
	return out
}

// mayRepeat tells whether a request may go to a further target.
func (b *Balancer) mayRepeat(ctx context.Context, e *handler.Exchange, w *way) bool {
	attempts := e.Route.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	if w.ran >= attempts || w.demand.Left <= 0 {
		return false
	}
	if w.arrived == 0 {
		return true // no target has heard of the request
	}
	if !b.config.Repeats.Spend(e.Service.Name) {
		b.spared.Inc(1)
		return false
	}
	if w.ran >= w.charged && e.Charge != nil {
		if !e.Charge(ctx) {
			b.config.Repeats.Return(e.Service.Name)
			b.spared.Inc(1)
			return false
		}
		w.charged++
	}
	b.retries.Inc(1)
	return true
}

// send sends to one target; over tells that the request ends with this.
func (b *Balancer) send(ctx context.Context, e *handler.Exchange, w *way, k *Pick) (o handler.Outcome, over bool) {
	s := &forwarder.Sending{Result: dispatcher.Result{Failed: true}} // if Send ends in a panic
	defer func() {
		b.note(k, s, b.config.Picker.Done(k, w.demand, s, s.Dialed))
	}()
	begun := b.config.Clock.Now()
	s = b.config.Send(ctx, e, k.Target.Target)
	w.sent++
	if !s.Unreachable {
		w.arrived++
	}
	w.demand.Excluded = append(w.demand.Excluded, k.Target.Name)
	e.Trace.Visits = append(e.Trace.Visits, visit(k, s, b.config.Clock.Now()-begun))
	if e.Observe != nil && (s.Result.Failed || s.Result.Latency > 0) && !s.Refused {
		e.Observe(handler.Course{Version: k.Target.Version}, b.config.Picker.Normal(k, w.demand, s.Result.Latency), s.Result.Failed)
	}
	if !s.Refused && !s.Unreachable {
		w.ran++
	}
	if s.Answer != nil {
		return b.answered(ctx, e, w, s)
	}
	w.last = s.Outcome
	again := s.Outcome.Run == handler.NotRun || (s.Outcome.Run == handler.Unknown && e.Route.Repeatable())
	return s.Outcome, !again || ctx.Err() != nil || w.keepsPromise(s)
}

// note logs what a result changed about a target.
func (b *Balancer) note(k *Pick, s *forwarder.Sending, c Change) {
	event := logger.TargetEjected
	switch c {
	case NoChange:
		return
	case Readmitted:
		event = logger.TargetReadmitted
	}
	b.config.Logger.Log(event, logger.F("target", k.Target.Name), logger.F("service", k.Target.Service),
		logger.F("unreachable", s.Unreachable))
}

// keepsPromise notes the outcome of a request that may have run before: a later refusal
// does not make that undone.
func (w *way) keepsPromise(s *forwarder.Sending) bool {
	if w.ran > 0 && s.Outcome.Run == handler.NotRun {
		w.last = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	}
	return false
}

// answered passes an answer on, or keeps a failure for another try.
func (b *Balancer) answered(ctx context.Context, e *handler.Exchange, w *way, s *forwarder.Sending) (handler.Outcome, bool) {
	failed := s.Answer.Status >= http.StatusInternalServerError
	if failed && e.Route.Repeatable() && s.Answer.Rest == nil && ctx.Err() == nil {
		w.kept = s
		return handler.Outcome{}, false
	}
	o, _ := b.config.Pass(ctx, e, s)
	return o, true
}

// noTarget is the outcome of a request for which no target would answer in time.
func (b *Balancer) noTarget(e *handler.Exchange, w *way, busy time.Duration) {
	b.refused.Inc(1)
	e.Trace.Visits = append(e.Trace.Visits, handler.Visit{Wait: busy, Result: "noTarget"})
	if w.ran > 0 {
		return
	}
	wait := min(mostRetryAfter, max(leastRetryAfter, busy))
	e.RetryAfter = (wait + time.Duration(rand.Int64N(int64(wait)))).Round(time.Millisecond)
	w.last = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom)
}

// visit tells a choice and what came of it, for the request's log line.
func visit(k *Pick, s *forwarder.Sending, took time.Duration) handler.Visit {
	v := handler.Visit{
		Target: k.Target.Name, AvailabilityZone: k.Target.AvailabilityZone, Load: k.Load, Wait: k.Wait, Expected: k.Cost,
		Rank: k.Rank, Warm: k.Warm, Took: took, Result: "answered",
	}
	switch {
	case s.Misdirected:
		v.Result = "misdirected"
	case s.Refused:
		v.Result = "refused"
	case s.Unreachable:
		v.Result = "unreachable"
	case s.Answer == nil:
		v.Result = string(s.Outcome.Reason)
	}
	return v
}
