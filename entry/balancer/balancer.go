// Package balancer sends each request to a target that this entry picks on its own. It serves the
// mode without roles ([roles] assign). The pick depends on the load that targets report with their
// responses, on this entry's requests in flight, and on an order of the targets that is stable for
// each object.
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
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Limits of the attempts of one request.
const (
	// defaultAttempts is the number of targets that may run a request if its route sets none.
	defaultAttempts = 2
	// maxSends is the number of targets that a request may be sent to, refusals included.
	maxSends = 4
	// maxUnreachable is the number of targets that a request finds unreachable before it is handed to
	// another entry.
	maxUnreachable = 2
	// maxWithheld is the number of targets from which a request may be withheld, since they are cold.
	maxWithheld = 4
	// minRetryAfter and maxRetryAfter bound the expected wait from which the Retry-After of a
	// refused request is drawn; it is one to two times that wait. While all targets turn this entry
	// away, it is up to maxRetryAfter longer than until the first takes requests again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
	// ordinaryWaitFraction is the fraction of the aim that a request may wait in a target's queue,
	// unless it has the highest priority.
	ordinaryWaitFraction = 0.6
)

// Config configures a Balancer.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	Picker *Picker
	// Send sends a request to a target and waits for the response; WriteResponse writes a response
	// to the caller.
	Send          func(ctx context.Context, e *handler.Exchange, t *parser.Target) *forwarder.SendResult
	WriteResponse func(ctx context.Context, e *handler.Exchange, s *forwarder.SendResult) (handler.Outcome, dispatcher.Result)
	// Ask asks a target for its load at a path; it returns nil if it gets none. nil means that targets
	// are not asked.
	Ask func(ctx context.Context, t *parser.Target, path string) *forwarder.Load
	// Delegate hands a request that reached no target to another entry. It returns false if none took
	// the request. nil means that there is no other entry.
	Delegate func(ctx context.Context, e *handler.Exchange) (handler.Outcome, bool)
	// Reselect sets the selection of a request's next attempt; nil means that it stays the same.
	Reselect func(e *handler.Exchange)
	// RetryBudget bounds retries on further targets.
	RetryBudget *Budget
	Meter       *Meter
	// Admitter decides on requests of routes with an aim; nil means that a request waits at a target as
	// long as its route's aim and priority allow.
	Admitter *admitter.Admitter
}

// Balancer is the pipeline step that picks a target and sends the request to it.
type Balancer struct {
	config            Config
	retries           tally.Counter
	suppressedRetries tally.Counter
	refused           tally.Counter
	checks            tally.Counter
	withheld          tally.Counter
	admission         *admission
}

// NewBalancer returns a Balancer.
func NewBalancer(c Config) *Balancer {
	return &Balancer{
		config: c, retries: c.Scope.Counter("retries"), suppressedRetries: c.Scope.Counter("retriesSpared"),
		refused: c.Scope.Counter("noRoom"), checks: c.Scope.Counter("warmupChecks"), withheld: c.Scope.Counter("requestsWithheld"),
		admission: newAdmission(c),
	}
}

// Step returns the pipeline step.
func (b *Balancer) Step() handler.Step {
	return handler.Step{Name: "balancer", Handle: b.balance}
}

// retryState tracks the attempts of one request.
type retryState struct {
	request PickRequest
	// runs counts the attempts in which the target may have run the request, and chargedRuns the runs
	// that count towards the team's limit.
	runs        int
	chargedRuns int
	sent        int
	// withheld counts the targets that it was not sent to since they are cold, and paid reports whether the
	// retry budget has paid for the next attempt.
	withheld int
	paid     bool
	// reached counts the attempts that did not find their target unreachable.
	reached int
	// delegated is set once other entries were tried.
	delegated bool
	// failedResponse is a response with an error status, written to the caller if no retry gets a
	// better one.
	failedResponse *forwarder.SendResult
	lastOutcome    handler.Outcome
	// admitted is the request as it was admitted, and busy the fraction of its service's slots in use
	// then; both are set with admission only.
	admitted admitter.Request
	busy     float64
}

func (b *Balancer) balance(ctx context.Context, e *handler.Exchange) handler.Outcome {
	b.config.RetryBudget.Deposit(e.Service.Name)
	w := &retryState{request: b.pickRequest(e), chargedRuns: 1}
	b.config.Meter.Add(e.Service.Name, w.request.Homes, b.config.Picker.ExpectedWork(w.request))
	for w.sent < maxSends && w.withheld < maxWithheld {
		w.request.Remaining = e.Deadline - b.config.Clock.Now()
		if w.sent+w.withheld > 0 && (ctx.Err() != nil || !b.mayRetry(ctx, e, w)) {
			break
		}
		if w.sent > 0 && b.config.Reselect != nil {
			b.config.Reselect(e)
		}
		pick, delay, o := b.pick(ctx, e, w)
		if o.IsFinal() {
			return o
		}
		if pick == nil {
			if o, ok := b.delegate(ctx, e, w, 1); ok {
				return o
			}
			b.handleNoTarget(e, w, delay)
			break
		}
		if o, final := b.send(ctx, e, w, pick); final {
			return o
		}
		if o, ok := b.delegate(ctx, e, w, maxUnreachable); ok {
			return o
		}
	}
	if w.paid {
		b.config.RetryBudget.Return(e.Service.Name)
	}
	if w.failedResponse != nil {
		o, _ := b.config.WriteResponse(ctx, e, w.failedResponse)
		return o
	}
	if b.admission != nil && w.admitted.Aim > 0 && w.lastOutcome.Run == handler.NotRun && e.RetryAfter == 0 {
		b.admission.planReturn(e, w)
	}
	return w.lastOutcome
}

// pick picks a target for an attempt. The first attempt may need admission, whose refusal is final.
func (b *Balancer) pick(ctx context.Context, e *handler.Exchange, w *retryState) (*Pick, time.Duration, handler.Outcome) {
	w.request.Allows = e.Selection.Allows
	b.inform(ctx, e, w.request)
	if w.sent+w.withheld == 0 && b.admission.decides(e) {
		return b.admission.pick(ctx, e, w)
	}
	k, delay := pickSelected(e, w, b.config.Picker.Pick)
	return k, delay, handler.Outcome{}
}

// pickSelected picks a target of the selection, or else of the fallback.
func pickSelected(e *handler.Exchange, w *retryState, pick func(PickRequest) (*Pick, time.Duration)) (k *Pick, delay time.Duration) {
	w.request.Allows = e.Selection.Allows
	k, delay = pick(w.request)
	if k != nil || e.Fallback == nil {
		return k, delay
	}
	e.Selection, e.Fallback = *e.Fallback, nil
	w.request.Allows = e.Selection.Allows
	return pick(w.request)
}

// delegate hands a request to another entry once it found a number of targets unreachable and reached
// none. It does so once.
func (b *Balancer) delegate(ctx context.Context, e *handler.Exchange, w *retryState, unreachable int) (handler.Outcome, bool) {
	if b.config.Delegate == nil || w.delegated || w.reached+w.withheld > 0 || w.sent < unreachable || ctx.Err() != nil {
		return handler.Outcome{}, false
	}
	w.delegated = true
	return b.config.Delegate(ctx, e)
}

func (b *Balancer) pickRequest(e *handler.Exchange) PickRequest {
	d := PickRequest{
		Service: e.Service.Name, WorkKind: e.Service.Name + " " + e.Route.Name,
		Allows: e.Selection.Allows, Homes: e.AllowedRegions(), ColdRate: e.Service.ColdRate, StatesWarmup: e.Service.HealthPath != "" && e.Dialect != nil && e.Dialect.Warmup != "",
		Aim: e.Route.Aim, MaxQueueWait: maxQueueWait(e),
	}
	d.Object = e.Object()
	if d.Object == "" {
		d.Object = e.ID // spreads requests without an object evenly
	}
	e.Trace.Object = d.Object
	return d
}

// maxQueueWait returns how long a request may wait in a target's queue. Longer queues would make
// every response late, so refusing some requests is better; the most urgent ones may wait longest.
func maxQueueWait(e *handler.Exchange) time.Duration {
	aim := e.Route.Aim
	if aim == 0 {
		aim = e.Route.Timeout
	}
	if priority(e) == 0 {
		return aim
	}
	return time.Duration(ordinaryWaitFraction * float64(aim))
}

// priority returns the rank of a request: its team's, or else its route's.
func priority(e *handler.Exchange) int {
	if e.Team != nil && e.Team.Priority != nil {
		return *e.Team.Priority
	}
	return e.Route.Priority
}

// mayRetry reports whether a request may be sent to another target.
func (b *Balancer) mayRetry(ctx context.Context, e *handler.Exchange, w *retryState) bool {
	attempts := e.Route.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	if w.runs >= attempts || w.request.Remaining <= 0 {
		return false
	}
	if w.reached == 0 || w.paid {
		return true // no target has received the request, or the last attempt did not send it
	}
	if !b.config.RetryBudget.Withdraw(e.Service.Name) {
		b.suppressedRetries.Inc(1)
		return false
	}
	if w.runs >= w.chargedRuns && e.ChargeRetry != nil {
		if !e.ChargeRetry(ctx) {
			b.config.RetryBudget.Return(e.Service.Name)
			b.suppressedRetries.Inc(1)
			return false
		}
		w.chargedRuns++
	}
	b.retries.Inc(1)
	w.paid = true
	return true
}

// send makes one attempt. final is true if no other attempt may follow.
func (b *Balancer) send(ctx context.Context, e *handler.Exchange, w *retryState, k *Pick) (o handler.Outcome, final bool) {
	s := &forwarder.SendResult{Result: dispatcher.Result{Failed: true}} // stands if Send panics
	defer func() {
		b.logChange(k, s, b.config.Picker.Done(k, w.request, s, s.Origin.DialTime))
		if b.admission != nil {
			b.admission.queue.Wake(w.request.Service)
		}
	}()
	e.Check = handler.TargetCheck{Need: k.CheckNeed, Timeout: k.CheckTimeout, Record: func(left time.Duration, stated bool) { b.recordWarmup(k, left, stated) }}
	begun := b.config.Clock.Now()
	s = b.config.Send(ctx, e, k.Target.Target)
	w.record(s)
	if s.Withheld {
		b.withheld.Inc(1)
	}
	w.request.Excluded = append(w.request.Excluded, k.Target.Name)
	e.Trace.Attempts = append(e.Trace.Attempts, newAttempt(k, s, b.config.Clock.Now()-begun))
	if e.OnAttempt != nil && (s.Result.Failed || s.Result.Latency > 0) && !s.Refused && !s.Withheld {
		e.OnAttempt(handler.Selection{Version: k.Target.Version}, b.config.Picker.NormalizedLatency(k, w.request, s.Result.Latency), s.Result.Failed)
	}
	if s.Response != nil || s.Outcome.Run != handler.NotRun {
		w.runs++
	}
	if s.Response != nil {
		return b.handleResponse(ctx, e, w, s)
	}
	w.lastOutcome = s.Outcome
	w.keepUncertain(s)
	retry := s.Outcome.Run == handler.NotRun || (s.Outcome.Run == handler.Unknown && e.Route.Retryable())
	return s.Outcome, !retry
}

// recordWarmup records what a target answered when it was asked for its warm-up.
func (b *Balancer) recordWarmup(k *Pick, left time.Duration, stated bool) {
	b.checks.Inc(1)
	b.config.Picker.RecordWarmup(k, left, stated)
	if left > 0 {
		b.config.Logger.Log(logger.TargetCold, logger.F("target", k.Target.Name), logger.F("service", k.Target.Service), logger.F("left", left))
	}
}

// record counts an attempt.
func (w *retryState) record(s *forwarder.SendResult) {
	if s.Withheld {
		w.withheld++
		return
	}
	w.paid = false
	w.sent++
	if !s.Unreachable {
		w.reached++
	}
}

// logChange logs the ejection or readmission of a target.
func (b *Balancer) logChange(k *Pick, s *forwarder.SendResult, c Change) {
	event := logger.TargetEjected
	switch c {
	case NoChange:
		return
	case Readmitted:
		event = logger.TargetReadmitted
	case Leaving:
		event = logger.TargetLeaving
	case TurnedAway:
		event = logger.TargetTurnsAway
	}
	b.config.Logger.Log(event, logger.F("target", k.Target.Name), logger.F("service", k.Target.Service),
		logger.F("unreachable", s.Unreachable), logger.F("turnedAway", s.TurnedAway), logger.F("invalid", s.TurnAwayInvalid))
}

// keepUncertain sets the outcome of a request that an attempt may have run to "may have run",
// which the latest refusal does not change.
func (w *retryState) keepUncertain(s *forwarder.SendResult) {
	if w.runs > 0 && s.Outcome.Run == handler.NotRun {
		w.lastOutcome = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
	}
}

// handleResponse writes a response to the caller, or keeps one with an error status for a retry.
func (b *Balancer) handleResponse(ctx context.Context, e *handler.Exchange, w *retryState, s *forwarder.SendResult) (handler.Outcome, bool) {
	failed := s.Response.Status >= http.StatusInternalServerError
	if failed && e.Route.Retryable() && s.Response.Remainder == nil && ctx.Err() == nil {
		w.failedResponse = s
		return handler.Outcome{}, false
	}
	o, _ := b.config.WriteResponse(ctx, e, s)
	return o, true
}

// handleNoTarget sets the outcome of a request that no target is expected to answer in time.
func (b *Balancer) handleNoTarget(e *handler.Exchange, w *retryState, delay time.Duration) {
	b.refused.Inc(1)
	e.Trace.Attempts = append(e.Trace.Attempts, handler.Attempt{Wait: delay, Result: "noTarget"})
	if w.runs > 0 {
		return
	}
	wait := max(minRetryAfter, delay)
	e.RetryAfter = (wait + rand.N(min(wait, maxRetryAfter))).Round(time.Millisecond)
	w.lastOutcome = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
}

// newAttempt describes a pick and its result, for the request's log line.
func newAttempt(k *Pick, s *forwarder.SendResult, took time.Duration) handler.Attempt {
	v := handler.Attempt{
		Target: k.Target.Name, AvailabilityZone: k.Target.AvailabilityZone, Load: k.Load, Wait: k.Wait, Expected: k.Cost,
		Slowness: k.Slowness, SlownessAge: k.SlownessAge, Rank: k.Rank, Warm: k.Warm, Duration: took, Result: "answered",
		Cold: k.Cold, Silence: k.Silence, Dialed: s.Origin.Dialed, ConnectionLost: s.ConnectionLost,
	}
	switch {
	case s.Withheld:
		v.Result = "withheld"
	case s.Misdirected:
		v.Result = "misdirected"
	case s.Refused:
		v.Result = "refused"
	case s.Unreachable:
		v.Result = "unreachable"
	case s.Response == nil:
		v.Result = string(s.Outcome.Reason)
	}
	if s.Response == nil {
		v.Evidence = s.Evidence()
	}
	return v
}
