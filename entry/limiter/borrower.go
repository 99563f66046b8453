package limiter

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of borrowing.
const (
	// requestRateSpan is the span over which a team's request rate at this entry is averaged.
	// Callers stay on their connections for seconds.
	requestRateSpan = 5 * time.Second
	// advanceSpan is the span of expected requests for which tokens are borrowed in advance.
	advanceSpan = time.Second
	// minAdvanceRate is the rate in requests per second below which nothing is borrowed in
	// advance.
	minAdvanceRate = 0.05
	// refillInterval is how often tokens are borrowed in advance while no request waits.
	refillInterval = 100 * time.Millisecond
	// lazyPause is how long tokens are borrowed in advance one by one, and returned, only with a call
	// that has another cause.
	lazyPause = time.Second
	// maxAdvancePause is the longest pause before tokens are wanted in advance again of which control
	// had none to spare. The pause doubles with each such answer.
	maxAdvancePause = 4 * time.Second
	// askBackoff is the longest pause before a team's empty bucket is asked again. It bounds the
	// number of calls for a team far over its limit.
	askBackoff = 100 * time.Millisecond
	// maxLoanWait is the longest wait of a request for a token. It covers a change of leader.
	maxLoanWait = time.Second
	// maxWaitFraction bounds waits to a fraction of the time left until the request's deadline.
	maxWaitFraction = 0.25
	// lenderRetryPause is the pause after a failed call.
	lenderRetryPause = 25 * time.Millisecond
)

// BorrowerConfig configures a Borrower.
type BorrowerConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	// Call sends the demands to the control leader.
	Call func(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error)
}

// Borrower holds the tokens that control has lent to this entry, for teams whose rate is too small
// to divide into shares. Requests that find no token wait for one call that serves all of them. It
// belongs to the mode without roles.
type Borrower struct {
	config BorrowerConfig
	mutex  sync.Mutex
	loans  map[string]*loan
	// answeredAt is when control last answered; tokens are dropped once the lease since then
	// expires.
	answeredAt time.Duration
	wake       chan struct{}
	// failing is set while the last call has failed.
	failing bool
	calls   tally.Counter
	waits   tally.Counter
}

// loan holds the lent tokens and the waiting requests of one team.
type loan struct {
	tokens int
	// rate is the team's limit in tokens per second under which the tokens were lent.
	rate float64
	// requestRate is the averaged rate of the team's requests at this entry.
	requestRate timekeeper.DecayingRate
	waiters     waitQueue
	// emptyUntil is the time until which the bucket counts as empty and is not asked again.
	emptyUntil time.Duration
	// dividedUntil is the time until which the team's rate counts as divided.
	dividedUntil time.Duration
	// noAdvanceUntil is the time until which no tokens are borrowed in advance, and advancePause the
	// pause that led to it.
	noAdvanceUntil time.Duration
	advancePause   time.Duration
	// asked is the number of tokens that the last call asked for.
	asked int
	// lazySince is when there was first something to say to control that is not urgent; 0 if there is
	// nothing.
	lazySince time.Duration
}

// TakeResult is the outcome of an attempt to take a token.
type TakeResult struct {
	Admitted bool
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
	// Unreachable is set if control did not answer in time.
	Unreachable bool
	// Divided is set if the team's rate is divided; this entry's share of it comes with the polls.
	Divided bool
}

// String describes the result for a request's log line.
func (v TakeResult) String() string {
	switch {
	case v.Admitted:
		return "lent"
	case v.Unreachable:
		return "control did not answer"
	case v.Divided:
		return "divided"
	}
	return fmt.Sprintf("none for %v", v.RetryAfter.Round(time.Millisecond))
}

// NewBorrower returns a Borrower without tokens.
func NewBorrower(c BorrowerConfig) *Borrower {
	return &Borrower{
		config: c, loans: map[string]*loan{}, wake: make(chan struct{}, 1),
		calls: c.Scope.Counter("loanCalls"), waits: c.Scope.Counter("loanWaits"),
	}
}

// Run borrows tokens from control until the context ends.
func (b *Borrower) Run(ctx context.Context) error {
	return b.run(ctx)
}

// Take spends a token of a team. If none is held, it waits for control's response, at most for
// maxLoanWait and for a fraction of left, the time until the request's deadline.
func (b *Borrower) Take(ctx context.Context, t *parser.Team, left time.Duration) TakeResult {
	w, v := b.tryTake(t)
	if w == nil {
		return v
	}
	b.waits.Inc(1)
	v, ok := w.await(ctx, &b.mutex, min(maxLoanWait, time.Duration(maxWaitFraction*float64(left))))
	if !ok {
		return TakeResult{RetryAfter: maxLoanWait, Unreachable: true}
	}
	return v
}

// tryTake returns a result, or a waiter if control has to be asked first.
func (b *Borrower) tryTake(t *parser.Team) (*waiter, TakeResult) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	l := b.loans[t.Name]
	if l == nil {
		l = &loan{requestRate: timekeeper.DecayingRate{TimeConstant: requestRateSpan}}
		b.loans[t.Name] = l
	}
	l.requestRate.Add(now, 1)
	if l.rate != t.Rate || now-b.answeredAt > timekeeper.ShareLease {
		l.rate, l.tokens = t.Rate, 0
	}
	switch {
	case l.tokens > 0 && len(l.waiters) == 0:
		l.tokens--
		return nil, TakeResult{Admitted: true}
	case now < l.dividedUntil:
		return nil, TakeResult{Divided: true}
	case now < l.emptyUntil:
		return nil, TakeResult{RetryAfter: l.emptyUntil - now + time.Duration(float64(time.Second)/max(1, l.rate))}
	}
	w := newWaiter(1)
	l.waiters = append(l.waiters, w)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return w, TakeResult{}
}

func (b *Borrower) run(ctx context.Context) error {
	t := time.NewTicker(refillInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		case <-t.C:
		}
		for b.callLender(ctx) && ctx.Err() == nil { // until no request waits
		}
	}
}

// callLender calls control if any team needs it, and reports whether requests still wait.
func (b *Borrower) callLender(ctx context.Context) (again bool) {
	demands := b.demands()
	if len(demands) == 0 {
		return false
	}
	b.calls.Inc(1)
	answer, err := b.config.Call(ctx, demands)
	b.logAvailability(err, len(demands))
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(lenderRetryPause): // waiting requests have their own timeouts
		}
		return b.hasWaiters()
	}
	b.applyLoans(answer)
	return b.hasWaiters()
}

func (b *Borrower) logAvailability(err error, teams int) {
	failing := err != nil
	if failing == b.failing {
		return
	}
	b.failing = failing
	if failing {
		b.config.Logger.Log(logger.TokensUnavailable, logger.F("error", err), logger.F("teams", teams))
		return
	}
	b.config.Logger.Log(logger.TokensAvailable, logger.F("teams", teams))
}

// demands lists the teams for which this entry needs tokens or returns some.
func (b *Borrower) demands() []*wire.TokenDemand {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now, due := b.config.Clock.Now(), false
	var out []*wire.TokenDemand
	for name, l := range b.loans {
		if d, urgent := l.demand(now); d != nil {
			d.Team = name
			out, due = append(out, d), due || urgent
		}
	}
	if !due {
		return nil
	}
	for _, d := range out {
		b.loans[d.GetTeam()].recordDemand(d)
	}
	return out
}

// demand returns what to ask control for, or nil for nothing, and whether it is due now. What is not
// due goes along with what is.
func (l *loan) demand(now time.Duration) (d *wire.TokenDemand, due bool) {
	l.waiters.dropAbandoned()
	d = &wire.TokenDemand{Needed: uint32(len(l.waiters)), Held: uint32(l.tokens)}
	target := 0
	if rate := l.requestRate.At(now); rate >= minAdvanceRate {
		target = int(math.Ceil(rate * advanceSpan.Seconds()))
	} else {
		d.Returned, d.Held = uint32(l.tokens), 0
	}
	if l.tokens <= target/2 && now >= l.noAdvanceUntil {
		d.Wanted = uint32(target - l.tokens)
	}
	if d.Needed == 0 && d.Returned == 0 && d.Wanted == 0 {
		l.lazySince = 0
		return nil, false
	}
	if l.lazySince == 0 {
		l.lazySince = now
	}
	return d, d.Needed > 0 || (d.Wanted > 0 && target > 1) || now-l.lazySince >= lazyPause
}

// recordDemand records that control is asked.
func (l *loan) recordDemand(d *wire.TokenDemand) {
	l.tokens, l.asked, l.lazySince = l.tokens-int(d.GetReturned()), int(d.GetNeeded()+d.GetWanted()), 0
}

// recordAnswer records how many tokens control lent, and when to want some in advance again.
func (l *loan) recordAnswer(now time.Duration, tokens int) {
	if tokens < l.asked {
		l.advancePause = min(max(2*l.advancePause, askBackoff), maxAdvancePause)
	} else {
		l.advancePause = askBackoff
	}
	l.noAdvanceUntil, l.asked = now+l.advancePause, 0
}

// applyLoans gives lent tokens to the waiting requests, first come, first served, and keeps the
// rest.
func (b *Borrower) applyLoans(answer *wire.BorrowResponse) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	b.answeredAt = now
	for _, n := range answer.GetLoans() {
		l := b.loans[n.GetTeam()]
		if l == nil {
			continue
		}
		l.tokens += int(n.GetTokens())
		l.recordAnswer(now, int(n.GetTokens()))
		l.waiters.dropAbandoned()
		for l.tokens > 0 && len(l.waiters) > 0 {
			l.tokens--
			l.waiters.resolveFirst(TakeResult{Admitted: true})
		}
		wait := time.Duration(n.GetWaitMilliseconds()) * time.Millisecond
		switch {
		case n.GetDivided():
			l.dividedUntil = now + askBackoff
		case wait > 0:
			l.emptyUntil = now + min(wait, askBackoff)
		default:
			continue
		}
		for len(l.waiters) > 0 {
			l.waiters.resolveFirst(TakeResult{RetryAfter: max(wait, askBackoff), Divided: n.GetDivided()})
		}
	}
}

func (b *Borrower) hasWaiters() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.loans {
		l.waiters.dropAbandoned()
		if len(l.waiters) > 0 {
			return true
		}
	}
	return false
}

// LoanDump describes the loan of one team.
type LoanDump struct {
	Tokens  int
	Waiting int
	// Habit is the averaged rate of the team's requests at this entry, per second.
	Habit float64
}

// Dump describes the loans of all teams that borrow.
func (b *Borrower) Dump() any {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now, out := b.config.Clock.Now(), map[string]LoanDump{}
	for team, l := range b.loans {
		out[team] = LoanDump{Tokens: l.tokens, Waiting: len(l.waiters), Habit: l.requestRate.At(now)}
	}
	return out
}
