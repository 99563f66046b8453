// Package dispatcher sends each request to a target with a free slot. It serves the mode with roles
// ([roles] assign). One dispatcher per pool, which is a service's version in a region, counts the
// slots in use and grants permits by weighted fair queueing.
package dispatcher

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Limits of the dispatch of one request.
const (
	// maxAttempts is the number of targets that a request may be sent to.
	maxAttempts = 3
	// minNearestWait is the least time to wait in the nearest region before another one is asked.
	minNearestWait = 10 * time.Millisecond
	// retryBudgetCapacity is the number of retries that a service's token bucket holds.
	retryBudgetCapacity = 10
	// maxLinkWait bounds the wait for link capacity, during which a slot is held.
	maxLinkWait = 50 * time.Millisecond
	// headerBytes is the link capacity reserved for the head of a request or a response.
	headerBytes = 512
	// noDispatcherDelay is the delay before the next try if no dispatcher could be asked or a link
	// had no capacity.
	noDispatcherDelay = 20 * time.Millisecond
)

// Config configures a Dispatcher.
type Config struct {
	Clock  timekeeper.Clock
	Scope  tally.Scope
	Region string
	Client *Client
	// Forward sends a request to a target whose permit is held.
	Forward func(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, Result)
	// ReserveLink takes capacity for a number of bytes on the link between two regions, in one
	// direction, and waits for it at most wait; nil means unlimited capacity.
	ReserveLink func(ctx context.Context, w wire.LinkDirection, bytes int, wait time.Duration) bool
}

// Dispatcher is the pipeline step that acquires a permit for a request and forwards it.
type Dispatcher struct {
	config     Config
	mutex      sync.Mutex
	budgets    map[string]*retryBudget
	permitWait tally.Timer
	retries    tally.Counter
	// fullLinks counts the permits released because a link had no capacity.
	fullLinks tally.Counter
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(c Config) *Dispatcher {
	return &Dispatcher{
		config: c, budgets: map[string]*retryBudget{},
		permitWait: c.Scope.Timer("permitWait"), retries: c.Scope.Counter("retries"),
		fullLinks: c.Scope.Counter("fullLinks"),
	}
}

// Step returns the pipeline step.
func (d *Dispatcher) Step() handler.Step {
	return handler.Step{Name: "dispatcher", Handle: d.dispatch}
}

// Acquire handles the Acquire calls of other entries.
func (d *Dispatcher) Acquire(ctx context.Context, r *connect.Request[wire.AcquireRequest]) (*connect.Response[wire.AcquireResponse], error) {
	return connect.NewResponse(d.config.Client.config.Granter.Acquire(ctx, r.Msg)), nil
}

// Report handles the Report calls of other entries.
func (d *Dispatcher) Report(_ context.Context, r *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	return connect.NewResponse(d.config.Client.config.Granter.Report(r.Msg)), nil
}

func (d *Dispatcher) dispatch(ctx context.Context, e *handler.Exchange) handler.Outcome {
	b := d.retryBudget(e.Route.Service.Name)
	b.deposit(e.View.Configuration.Limits.RetryShare)
	selection := e.Selection
	var excluded []string
	last := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	runs, chargedRuns := 0, 1
	for attempt := range maxAttempts {
		held := d.acquire(ctx, e, &selection, excluded)
		if held == nil {
			return d.noPermitOutcome(ctx, e, last, attempt)
		}
		o, retry := d.send(ctx, e, selection, held)
		switch {
		case o.Run != handler.NotRun:
			runs++
		case runs > 0: // an earlier attempt may have run the request
			o = handler.MayHaveRun(http.StatusBadGateway, handler.ReasonUpstream)
		}
		if !retry {
			return o
		}
		if !b.withdraw() {
			return o
		}
		if runs >= chargedRuns && e.ChargeRetry != nil {
			if !e.ChargeRetry(ctx) {
				return o
			}
			chargedRuns++
		}
		d.retries.Inc(1)
		last, excluded = o, append(excluded, held.Target)
		if e.Fallback != nil {
			selection = *e.Fallback
		}
	}
	return last
}

// send forwards a request to the target of a permit. retry is true if the request may be
// sent to another target.
func (d *Dispatcher) send(ctx context.Context, e *handler.Exchange, selection handler.Selection, held *HeldPermit) (o handler.Outcome, retry bool) {
	c, _ := latestConfiguration(e) // the dispatcher grants permits by its latest view
	t := c.Targets[held.Target]
	if t == nil {
		d.config.Client.Release(held, Result{})
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity), true
	}
	result := Result{Failed: true} // stands if Forward panics
	defer func() { d.config.Client.Release(held, result) }()
	o, result = d.config.Forward(ctx, e, t)
	if e.OnAttempt != nil && (result.Failed || result.Latency > 0) {
		e.OnAttempt(selection, result.Latency, result.Failed)
	}
	mayRetry := o.Run == handler.NotRun || (o.Run == handler.Unknown && e.Route.Retryable())
	callerWaiting := ctx.Err() == nil && d.config.Clock.Now() < e.Deadline
	return o, mayRetry && !e.ResponseStarted && callerWaiting && result.Failed
}

// latestConfiguration returns the latest configuration and the request's service in it. A service that is gone is
// returned as the request found it, since its targets may still serve.
func latestConfiguration(e *handler.Exchange) (*parser.Configuration, *parser.Service) {
	c, service := e.LatestView().Configuration, e.Route.Service
	if c == nil {
		return e.View.Configuration, service
	}
	if s := c.Services[service.Name]; s != nil {
		service = s
	}
	return c, service
}

// noPermitOutcome returns the outcome of a request that got no permit. After the first
// attempt it is the outcome of the attempt before, which may have run the request.
func (d *Dispatcher) noPermitOutcome(ctx context.Context, e *handler.Exchange, last handler.Outcome, attempt int) handler.Outcome {
	switch {
	case attempt > 0:
		return last
	case ctx.Err() != nil:
		return handler.Abandoned(ctx, statusClientClosedRequest)
	case d.config.Clock.Now() >= e.Deadline:
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	return last
}

// statusClientClosedRequest is never sent, since the caller has closed its connection.
const statusClientClosedRequest = 499

// acquire gets a permit for selection. If the selection has no capacity and the request has a
// fallback, it sets selection to the fallback and gets a permit for that.
func (d *Dispatcher) acquire(ctx context.Context, e *handler.Exchange, selection *handler.Selection, excluded []string) *HeldPermit {
	watch := d.permitWait.Start()
	defer watch.Stop()
	if e.Fallback != nil && *selection != *e.Fallback {
		if h := d.tryRegions(ctx, e, *selection, excluded); h != nil {
			return h
		}
		*selection = *e.Fallback
	}
	c, service := latestConfiguration(e)
	regions := regionsByDelay(c, service, *selection, d.homeRegion(*selection))
	if len(regions) > 1 {
		if h := d.tryRegions(ctx, e, *selection, excluded); h != nil {
			return h
		}
	}
	return d.waitInNearest(ctx, e, *selection, regions, excluded)
}

// tryRegions asks the nearest region and waits there as long as the round trip to the next one
// takes, then asks the others without a wait.
func (d *Dispatcher) tryRegions(ctx context.Context, e *handler.Exchange, selection handler.Selection, excluded []string) *HeldPermit {
	c, service := latestConfiguration(e)
	regions := regionsByDelay(c, service, selection, d.homeRegion(selection))
	for i, region := range regions {
		wait := time.Duration(0)
		if i == 0 {
			wait = minNearestWait
		}
		if i == 0 && len(regions) > 1 {
			wait = max(minNearestWait, roundTrip(c, d.homeRegion(selection), regions[1]))
		}
		if h, _ := d.acquireIn(ctx, e, selection, region, wait, excluded); h != nil {
			return h
		}
	}
	return nil
}

// waitInNearest waits for a permit in the nearest region until the deadline, or until its
// dispatcher refuses.
func (d *Dispatcher) waitInNearest(ctx context.Context, e *handler.Exchange, selection handler.Selection, regions, excluded []string) *HeldPermit {
	for len(regions) > 0 && ctx.Err() == nil {
		left := e.Deadline - d.config.Clock.Now()
		if left <= 0 {
			return nil
		}
		h, refused := d.acquireIn(ctx, e, selection, regions[0], left, excluded)
		if h != nil {
			return h
		}
		if refused {
			return nil
		}
		d.pause(ctx)
	}
	return nil
}

// acquireIn gets a permit in a region and capacity on the link to it. refused is true if the
// region's dispatcher refused the permit.
func (d *Dispatcher) acquireIn(ctx context.Context, e *handler.Exchange, selection handler.Selection, region string, wait time.Duration, excluded []string) (h *HeldPermit, refused bool) {
	left := e.Deadline - d.config.Clock.Now()
	role := poolOf(e, selection, region).Role()
	h, refused = d.config.Client.Acquire(ctx, role, e.TeamName(), min(wait, left), left, excluded)
	if h == nil || d.reserveLink(ctx, e, region) {
		return h, refused
	}
	d.fullLinks.Inc(1)
	d.config.Client.Release(h, Result{})
	return nil, false
}

// reserveLink takes link capacity for the request and its response.
func (d *Dispatcher) reserveLink(ctx context.Context, e *handler.Exchange, region string) bool {
	if d.config.ReserveLink == nil || region == d.config.Region {
		return true
	}
	outbound, inbound := wire.LinkDirection{From: d.config.Region, To: region}, wire.LinkDirection{From: region, To: d.config.Region}
	return d.config.ReserveLink(ctx, inbound, headerBytes+e.Route.Service.AnswerBytes, maxLinkWait) &&
		d.config.ReserveLink(ctx, outbound, headerBytes+len(e.Body), maxLinkWait)
}

// homeRegion returns the region from which a selection measures distances: its own region, or else
// the entry's.
func (d *Dispatcher) homeRegion(c handler.Selection) string {
	if c.Region != "" {
		return c.Region
	}
	return d.config.Region
}

func poolOf(e *handler.Exchange, c handler.Selection, region string) wire.Pool {
	return wire.Pool{Service: e.Route.Service.Name, Region: region, Version: c.Version}
}

func (d *Dispatcher) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(noDispatcherDelay):
	}
}

func (d *Dispatcher) retryBudget(service string) *retryBudget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b := d.budgets[service]
	if b == nil {
		b = &retryBudget{tokens: retryBudgetCapacity}
		d.budgets[service] = b
	}
	return b
}

// retryBudget is a token bucket that limits a service's retries to a fraction of its requests. It
// starts full.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func (b *retryBudget) deposit(amount float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(retryBudgetCapacity, b.tokens+amount)
}

func (b *retryBudget) withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func isPoolRole(role string) bool {
	return strings.HasPrefix(role, wire.PoolPrefix)
}
