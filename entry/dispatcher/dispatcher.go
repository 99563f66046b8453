// Package dispatcher sends each request to a target with a free slot. One dispatcher for
// each service and region counts the slots; permits are granted by weighted fair queueing.
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

// Bounds of one request's dispatch.
const (
	// maxAttempts is the number of targets that one request may be sent to.
	maxAttempts = 3
	// detourFloor is the least wait at home before another region is asked.
	detourFloor = 10 * time.Millisecond
	// retryReserve is the number of retries that may run ahead of their share.
	retryReserve = 10
	// linkWait bounds the wait for room on a link, while a slot is held.
	linkWait = 50 * time.Millisecond
	// headBytes is the room taken for the head of a request or an answer.
	headBytes = 512
	// emptyPause is the pause while no dispatcher is known.
	emptyPause = 20 * time.Millisecond
)

// Config sets up a Dispatcher.
type Config struct {
	Clock  timekeeper.Clock
	Scope  tally.Scope
	Region string
	Client *Client
	// Forward sends a request to a target, whose permit is held.
	Forward func(ctx context.Context, e *handler.Exchange, t *parser.Target) (handler.Outcome, Result)
	// Reserve takes room for bytes on a way between regions; nil means that there is always room.
	Reserve func(ctx context.Context, w wire.Way, bytes int, wait time.Duration) bool
}

// Dispatcher is the step that finds a target and has the request sent to it.
type Dispatcher struct {
	config  Config
	mutex   sync.Mutex
	budgets map[string]*budget
	waits   tally.Timer
	retries tally.Counter
	// fullLinks counts permits given up for want of room on a link.
	fullLinks tally.Counter
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(c Config) *Dispatcher {
	return &Dispatcher{
		config: c, budgets: map[string]*budget{},
		waits: c.Scope.Timer("permitWait"), retries: c.Scope.Counter("retries"),
		fullLinks: c.Scope.Counter("fullLinks"),
	}
}

// Step returns the pipeline step.
func (d *Dispatcher) Step() handler.Step {
	return handler.Step{Name: "dispatcher", Handle: d.dispatch}
}

// Acquire serves other entries.
func (d *Dispatcher) Acquire(ctx context.Context, r *connect.Request[wire.AcquireRequest]) (*connect.Response[wire.AcquireResponse], error) {
	return connect.NewResponse(d.config.Client.config.Granter.Acquire(ctx, r.Msg)), nil
}

// Report serves other entries.
func (d *Dispatcher) Report(_ context.Context, r *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	return connect.NewResponse(d.config.Client.config.Granter.Report(r.Msg)), nil
}

func (d *Dispatcher) dispatch(ctx context.Context, e *handler.Exchange) handler.Outcome {
	b := d.budget(e.Route.Service.Name)
	b.earn(e.View.Configuration.Limits.RetryShare)
	course := e.Course
	var excluded []string
	last := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom)
	ran, charged := 0, 1
	for attempt := range maxAttempts {
		held := d.acquire(ctx, e, &course, excluded)
		if held == nil {
			return d.noPermit(ctx, e, last, attempt)
		}
		o, again := d.send(ctx, e, course, held)
		if !again {
			return o
		}
		if o.Run != handler.NotRun {
			ran++
		}
		if !b.spend() {
			return o
		}
		if ran >= charged && e.Charge != nil {
			if !e.Charge(ctx) {
				return o
			}
			charged++
		}
		d.retries.Inc(1)
		last, excluded = o, append(excluded, held.Target)
		if e.Fallback != nil {
			course = *e.Fallback
		}
	}
	return last
}

// send forwards on a permit and tells whether another target may be tried.
func (d *Dispatcher) send(ctx context.Context, e *handler.Exchange, course handler.Course, held *Held) (o handler.Outcome, again bool) {
	t := e.View.Configuration.Targets[held.Target]
	if t == nil {
		d.config.Client.Release(held, Result{})
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoRoom), true
	}
	result := Result{Failed: true} // if Forward ends in a panic
	defer func() { d.config.Client.Release(held, result) }()
	o, result = d.config.Forward(ctx, e, t)
	if e.Observe != nil && (result.Failed || result.Latency > 0) {
		e.Observe(course, result.Latency, result.Failed)
	}
	mayRepeat := o.Run == handler.NotRun || (o.Run == handler.Unknown && e.Route.Repeatable())
	alive := ctx.Err() == nil && d.config.Clock.Now() < e.Deadline
	return o, mayRepeat && !e.AnswerBegun && alive && result.Failed
}

// noPermit is the outcome of a request that found no slot. An earlier attempt's outcome
// stands, since that one may have run.
func (d *Dispatcher) noPermit(ctx context.Context, e *handler.Exchange, last handler.Outcome, attempt int) handler.Outcome {
	switch {
	case attempt > 0:
		return last
	case ctx.Err() != nil:
		return handler.Refuse(statusCallerGone, handler.ReasonCallerGone)
	case d.config.Clock.Now() >= e.Deadline:
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	return last
}

// statusCallerGone is never seen; the caller closed its connection.
const statusCallerGone = 499

// acquire asks for a permit on the course, and on the fallback if there is no room.
func (d *Dispatcher) acquire(ctx context.Context, e *handler.Exchange, course *handler.Course, excluded []string) *Held {
	watch := d.waits.Start()
	defer watch.Stop()
	if e.Fallback != nil && *course != *e.Fallback {
		if h := d.look(ctx, e, *course, excluded); h != nil {
			return h
		}
		*course = *e.Fallback
	}
	regions := regionsFor(e.View.Configuration, e.Route.Service, *course, d.home(*course))
	if len(regions) > 1 {
		if h := d.look(ctx, e, *course, excluded); h != nil {
			return h
		}
	}
	return d.insist(ctx, e, *course, regions, excluded)
}

// look asks for a permit in the nearest region as long as a detour would take, then in
// the others.
func (d *Dispatcher) look(ctx context.Context, e *handler.Exchange, course handler.Course, excluded []string) *Held {
	c := e.View.Configuration
	regions := regionsFor(c, e.Route.Service, course, d.home(course))
	for i, region := range regions {
		wait := time.Duration(0)
		if i == 0 {
			wait = detourFloor
		}
		if i == 0 && len(regions) > 1 {
			wait = max(detourFloor, detour(c, d.home(course), regions[1]))
		}
		if h, _ := d.ask(ctx, e, course, region, wait, excluded); h != nil {
			return h
		}
	}
	return nil
}

// insist waits in the nearest region until the deadline.
func (d *Dispatcher) insist(ctx context.Context, e *handler.Exchange, course handler.Course, regions, excluded []string) *Held {
	for len(regions) > 0 && ctx.Err() == nil {
		left := e.Deadline - d.config.Clock.Now()
		if left <= 0 {
			return nil
		}
		h, refused := d.ask(ctx, e, course, regions[0], left, excluded)
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

// ask gets a permit of a region, and room on the link to it. refused tells that the
// region's dispatcher said that the request can't be met.
func (d *Dispatcher) ask(ctx context.Context, e *handler.Exchange, course handler.Course, region string, wait time.Duration, excluded []string) (h *Held, refused bool) {
	left := e.Deadline - d.config.Clock.Now()
	role := poolOf(e, course, region).Role()
	h, refused = d.config.Client.Acquire(ctx, role, e.TeamName(), min(wait, left), left, excluded)
	if h == nil || d.reserve(ctx, e, region) {
		return h, refused
	}
	d.fullLinks.Inc(1)
	d.config.Client.Release(h, Result{})
	return nil, false
}

// reserve takes room on the link for the request and its answer.
func (d *Dispatcher) reserve(ctx context.Context, e *handler.Exchange, region string) bool {
	if d.config.Reserve == nil || region == d.config.Region {
		return true
	}
	there, back := wire.Way{From: d.config.Region, To: region}, wire.Way{From: region, To: d.config.Region}
	return d.config.Reserve(ctx, back, headBytes+e.Route.Service.AnswerBytes, linkWait) &&
		d.config.Reserve(ctx, there, headBytes+len(e.Body), linkWait)
}

// home returns the region that a course is served in first.
func (d *Dispatcher) home(c handler.Course) string {
	if c.Region != "" {
		return c.Region
	}
	return d.config.Region
}

func poolOf(e *handler.Exchange, c handler.Course, region string) wire.Pool {
	return wire.Pool{Service: e.Route.Service.Name, Region: region, Version: c.Version}
}

func (d *Dispatcher) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(emptyPause):
	}
}

func (d *Dispatcher) budget(service string) *budget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b := d.budgets[service]
	if b == nil {
		b = &budget{left: retryReserve}
		d.budgets[service] = b
	}
	return b
}

// budget bounds the retries of a service to a share of its requests.
type budget struct {
	mutex sync.Mutex
	left  float64
}

func (b *budget) earn(share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left = min(retryReserve, b.left+share)
}

func (b *budget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func isPool(role string) bool {
	return strings.HasPrefix(role, wire.PoolPrefix)
}
