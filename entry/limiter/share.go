package limiter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

const (
	// rateSpan is the span over which a team's request rate is averaged.
	rateSpan = time.Second
	// maxTokenWait is the longest wait of a request for its team's next token.
	maxTokenWait = 100 * time.Millisecond
	// maxShareWait is the longest wait of a request for this entry's first share, enough for two
	// polls.
	maxShareWait = 600 * time.Millisecond
)

// ShareLimiterConfig configures a ShareLimiter.
type ShareLimiterConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	View   func() *receiver.View
	// Share returns the fraction of a team's rate and burst that this entry may admit, from 0 to
	// 1.
	Share func(team string) float64
	// ShareChanged returns a channel that is closed when newer shares arrive. It is required with
	// Borrower.
	ShareChanged func() <-chan struct{}
	// Borrower takes tokens for teams of which this entry has no share. If it is nil, their
	// requests are refused.
	Borrower *Borrower
	// Overdraft is what all entries together may admit beyond a team's limit.
	Overdraft Overdraft
}

// Overdraft bounds what may be admitted beyond rate and burst within any window. It lets an entry
// with a small share admit a single request that arrives alone.
type Overdraft struct {
	// Part is a fraction of what the limit allows within a window.
	Part   float64
	Window time.Duration
	// Tokens is a number of requests in addition to Part.
	Tokens float64
}

// ShareLimiter is the pipeline step of the mode without roles. It admits each team's requests by this
// entry's share of the team's rate and burst, and borrows tokens for teams of which it has no
// share. Admission by a share needs no call to another process, so it continues while others are
// unreachable.
type ShareLimiter struct {
	config ShareLimiterConfig
	mutex  sync.Mutex
	teams  map[string]*shareBucket
}

// shareBucket is the token bucket of one team at this entry.
type shareBucket struct {
	tokens     float64
	refilledAt time.Duration
	// share is the fraction of the team's rate at the last refill.
	share float64
	rate  timekeeper.DecayingRate
}

// NewShareLimiter returns a ShareLimiter without tokens.
func NewShareLimiter(c ShareLimiterConfig) *ShareLimiter {
	return &ShareLimiter{config: c, teams: map[string]*shareBucket{}}
}

// Step returns the pipeline step.
func (d *ShareLimiter) Step() handler.Step {
	return handler.Step{Name: "limiter", Handle: d.limit}
}

// RequestRates returns the request rate of each limited team at this entry, per second.
func (d *ShareLimiter) RequestRates() map[string]float64 {
	c := d.config.View().Configuration
	if c == nil {
		return nil
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, out := d.config.Clock.Now(), map[string]float64{}
	for name, t := range c.Teams {
		if t.Unlimited {
			continue
		}
		b := d.bucket(t) // creates the bucket, so that it fills before the team's first request
		d.refill(now, t, b)
		out[name] = b.rate.At(now)
	}
	for name := range d.teams {
		if c.Teams[name] == nil {
			delete(d.teams, name)
		}
	}
	return out
}

// AllowanceDump describes what this entry may admit of one team.
type AllowanceDump struct {
	Share  float64
	Tokens float64
	// Age is the time since Tokens was last updated.
	Age time.Duration
}

// Dump describes the bucket of each team at this entry.
func (d *ShareLimiter) Dump() any {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, out := d.config.Clock.Now(), map[string]AllowanceDump{}
	for team, b := range d.teams {
		out[team] = AllowanceDump{Share: d.config.Share(team), Tokens: b.tokens, Age: now - b.refilledAt}
	}
	return out
}

func (d *ShareLimiter) limit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Team == nil || e.Team.Unlimited {
		return handler.Outcome{}
	}
	e.ChargeRetry = func(ctx context.Context) bool { return !d.admit(ctx, e).IsFinal() }
	return d.admit(ctx, e)
}

// admit spends a token of the exchange's team, or refuses the request.
func (d *ShareLimiter) admit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	t := d.latest(e.Team)
	if t.Unlimited {
		return handler.Outcome{}
	}
	if d.config.Borrower != nil && d.config.Share(t.Name) == 0 {
		o, divided := d.borrow(ctx, e, t)
		if !divided {
			return o
		}
		d.awaitShare(ctx, e)
	}
	wait, ok := d.take(t, min(maxTokenWait, e.Deadline-d.config.Clock.Now()))
	switch {
	case !ok && ctx.Err() != nil:
		return handler.Abandoned(ctx, http.StatusTooManyRequests)
	case !ok:
		e.RetryAfter, e.Trace.Share = wait, d.config.Share(e.Team.Name)
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit)
	case wait <= 0:
		return handler.Outcome{}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return handler.Outcome{}
	case <-ctx.Done():
		return handler.Abandoned(ctx, http.StatusTooManyRequests)
	}
}

// borrow spends a token lent by control. divided is true if the team's rate is divided instead.
func (d *ShareLimiter) borrow(ctx context.Context, e *handler.Exchange, t *parser.Team) (o handler.Outcome, divided bool) {
	v := d.config.Borrower.Take(ctx, t, e.Deadline-d.config.Clock.Now())
	e.Trace.Loan = v.String()
	if v.Divided {
		return handler.Outcome{}, true
	}
	d.countRequest(t)
	switch {
	case v.Admitted:
		return handler.Outcome{}, false
	case ctx.Err() != nil:
		return handler.Abandoned(ctx, http.StatusTooManyRequests), false
	case v.Unreachable:
		e.RetryAfter = v.RetryAfter
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNotAvailable), false
	}
	e.RetryAfter = v.RetryAfter
	return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit), false
}

// awaitShare waits for the first share of a team's rate, which arrives soon after this entry
// starts or the leader changes.
func (d *ShareLimiter) awaitShare(ctx context.Context, e *handler.Exchange) {
	left := e.Deadline - d.config.Clock.Now()
	timer := time.NewTimer(min(maxShareWait, time.Duration(maxWaitFraction*float64(left))))
	defer timer.Stop()
	for {
		changed := d.config.ShareChanged()
		if d.config.Share(e.Team.Name) > 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// countRequest adds a request to the team's request rate at this entry.
func (d *ShareLimiter) countRequest(t *parser.Team) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.bucket(t).rate.Add(d.config.Clock.Now(), 1)
}

// take spends a token, or reserves one that arrives within longest. The returned wait is the time
// until that token arrives, or without ok the time after which another attempt may succeed.
func (d *ShareLimiter) take(t *parser.Team, longest time.Duration) (wait time.Duration, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	t = d.latest(t) // under the mutex, so that no older rate fills the bucket
	now := d.config.Clock.Now()
	b := d.bucket(t)
	b.rate.Add(now, 1)
	d.refill(now, t, b)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	rate := t.Rate * b.share
	if rate <= 0 {
		return rateSpan, false
	}
	wait = time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if wait > longest {
		return wait, false
	}
	b.tokens--
	return wait, true
}

// latest returns the team of the latest configuration. A request that waited may have an older one.
func (d *ShareLimiter) latest(t *parser.Team) *parser.Team {
	if c := d.config.View().Configuration; c != nil && c.Teams[t.Name] != nil {
		return c.Teams[t.Name]
	}
	return t
}

func (d *ShareLimiter) bucket(t *parser.Team) *shareBucket {
	b := d.teams[t.Name]
	if b == nil {
		b = &shareBucket{refilledAt: d.config.Clock.Now(), rate: timekeeper.DecayingRate{TimeConstant: rateSpan}}
		d.teams[t.Name] = b
	}
	return b
}

// capacity returns the most tokens of a team that an entry with this share may save up, overdraft
// included.
func (o Overdraft) capacity(t *parser.Team, share float64) float64 {
	return share * (t.Burst + o.Part*(t.Burst+t.Rate*o.Window.Seconds()) + o.Tokens)
}

// tokensAt returns the tokens of a bucket after a refill with a share.
func (o Overdraft) tokensAt(now time.Duration, t *parser.Team, share float64, b *shareBucket) float64 {
	added := t.Rate * min(b.share, share) * (now - b.refilledAt).Seconds()
	return min(o.capacity(t, share), b.tokens+added)
}

// refill adds the tokens since the last refill. A bucket starts empty, and growth of a share adds
// no tokens for the past, since the entries that held that part of the rate may have spent them.
func (d *ShareLimiter) refill(now time.Duration, t *parser.Team, b *shareBucket) {
	share := d.config.Share(t.Name)
	b.tokens = d.config.Overdraft.tokensAt(now, t, share, b)
	if b.share == 0 && share > 0 {
		d.config.Logger.Log(logger.AllowanceBegun, logger.F("team", t.Name), logger.F("share", share), logger.F("tokens", b.tokens))
	}
	b.share, b.refilledAt = share, now
}
