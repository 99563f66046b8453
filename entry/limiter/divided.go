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
	// rateSpan is the time over which the requests of a team are averaged.
	rateSpan = time.Second
	// longestBorrow is the longest that a request waits for the next token of its team.
	longestBorrow = 100 * time.Millisecond
	// longestShareWait is the longest that a request waits for a first share: two polls.
	longestShareWait = 600 * time.Millisecond
)

// DividedConfig sets up a Divided.
type DividedConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	View   func() *receiver.View
	// Share is the part of a team's rate and burst that this entry may admit, from 0 to 1.
	Share func(team string) float64
	// ShareChanged is closed when shares are newer than at its call; it goes with Borrower.
	ShareChanged func() <-chan struct{}
	// Borrower takes tokens of teams of whose rate this entry has no share; nil means that
	// such requests are refused.
	Borrower *Borrower
	// Overdraft is what all entries together may admit beyond a team's limit.
	Overdraft Overdraft
}

// Overdraft bounds what may be admitted beyond rate and burst in any span of a window. It
// lets an entry with a small share admit a request that comes alone.
type Overdraft struct {
	// Part is a part of what the limit allows in a window.
	Part   float64
	Window time.Duration
	// Tokens is a number of requests beyond that.
	Tokens float64
}

// Divided is the step that admits each team's requests by this entry's share of the team's
// rate and burst. It asks nobody, so it goes on while other processes are out of reach.
type Divided struct {
	config DividedConfig
	mutex  sync.Mutex
	teams  map[string]*dividedBucket
}

// dividedBucket holds the tokens of one team at this entry.
type dividedBucket struct {
	tokens float64
	filled time.Duration
	// share is the part of the team's rate that it was filled by last.
	share float64
	rate  timekeeper.Rate
}

// NewDivided returns a Divided.
func NewDivided(c DividedConfig) *Divided {
	return &Divided{config: c, teams: map[string]*dividedBucket{}}
}

// Step returns the pipeline step.
func (d *Divided) Step() handler.Step {
	return handler.Step{Name: "limiter", Handle: d.limit}
}

// Rates tells how often each limited team asked, in requests per second.
func (d *Divided) Rates() map[string]float64 {
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
		b := d.bucket(t) // it fills up from here on, before the first request
		d.fill(now, t, b)
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
	// Age is the time since the tokens were counted.
	Age time.Duration
}

// Dump describes the teams that are admitted by shares.
func (d *Divided) Dump() any {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now, out := d.config.Clock.Now(), map[string]AllowanceDump{}
	for team, b := range d.teams {
		out[team] = AllowanceDump{Share: d.config.Share(team), Tokens: b.tokens, Age: now - b.filled}
	}
	return out
}

func (d *Divided) limit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Team == nil || e.Team.Unlimited {
		return handler.Outcome{}
	}
	e.Charge = func(ctx context.Context) bool { return !d.admit(ctx, e).Over() }
	return d.admit(ctx, e)
}

// admit spends a token of the exchange's team, or refuses.
func (d *Divided) admit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if d.config.Borrower != nil && d.config.Share(e.Team.Name) == 0 {
		o, divided := d.borrow(ctx, e)
		if !divided {
			return o
		}
		d.awaitShare(ctx, e)
	}
	wait, ok := d.take(e.Team)
	if !ok {
		e.RetryAfter, e.Trace.Share = wait, d.config.Share(e.Team.Name)
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit)
	}
	if wait <= 0 {
		return handler.Outcome{}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return handler.Outcome{}
	case <-ctx.Done():
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonCallerGone)
	}
}

// borrow spends a token that control lends, unless the team's rate is divided.
func (d *Divided) borrow(ctx context.Context, e *handler.Exchange) (o handler.Outcome, divided bool) {
	v := d.config.Borrower.Take(ctx, e.Team, e.Deadline-d.config.Clock.Now())
	e.Trace.Loan = v.String()
	if v.Divided {
		return handler.Outcome{}, true
	}
	d.count(e.Team)
	switch {
	case v.Admitted:
		return handler.Outcome{}, false
	case ctx.Err() != nil:
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonCallerGone), false
	case v.Unreachable:
		e.RetryAfter = v.Wait
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNotAvailable), false
	}
	e.RetryAfter = v.Wait
	return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit), false
}

// awaitShare waits for the first share of a team's rate, which comes soon after an entry's
// start or a change of leader.
func (d *Divided) awaitShare(ctx context.Context, e *handler.Exchange) {
	left := e.Deadline - d.config.Clock.Now()
	timer := time.NewTimer(min(longestShareWait, time.Duration(loanPart*float64(left))))
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

// count notes a request towards a team's demand here.
func (d *Divided) count(t *parser.Team) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.bucket(t).rate.Add(d.config.Clock.Now(), 1)
}

// take spends a token, or one that comes within longestBorrow. The wait is until the token
// is there; without one it is until one may be.
func (d *Divided) take(t *parser.Team) (wait time.Duration, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.config.Clock.Now()
	b := d.bucket(t)
	b.rate.Add(now, 1)
	d.fill(now, t, b)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	rate := t.Rate * b.share
	if rate <= 0 {
		return rateSpan, false
	}
	wait = time.Duration((1 - b.tokens) / rate * float64(time.Second))
	if wait > longestBorrow {
		return wait, false
	}
	b.tokens--
	return wait, true
}

func (d *Divided) bucket(t *parser.Team) *dividedBucket {
	b := d.teams[t.Name]
	if b == nil {
		b = &dividedBucket{filled: d.config.Clock.Now(), rate: timekeeper.Rate{Span: rateSpan}}
		d.teams[t.Name] = b
	}
	return b
}

// room is the most tokens of a team that a share may hold: of the burst and of the overdraft.
func (o Overdraft) room(t *parser.Team, share float64) float64 {
	return share * (t.Burst + o.Part*(t.Burst+t.Rate*o.Window.Seconds()) + o.Tokens)
}

// fill adds what came since the last time. A bucket begins empty, and a share that grows brings
// no tokens for the time before: those that had it until then may have spent theirs.
func (d *Divided) fill(now time.Duration, t *parser.Team, b *dividedBucket) {
	share := d.config.Share(t.Name)
	came := t.Rate * min(b.share, share) * (now - b.filled).Seconds()
	b.tokens = min(d.config.Overdraft.room(t, share), b.tokens+came)
	if b.share == 0 && share > 0 {
		d.config.Logger.Log(logger.AllowanceBegun, logger.F("team", t.Name), logger.F("share", share), logger.F("tokens", b.tokens))
	}
	b.share, b.filled = share, now
}
