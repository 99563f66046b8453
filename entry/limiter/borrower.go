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
	// habitSpan is the time over which a team's requests at this entry are averaged. Callers
	// stay on their connections for seconds.
	habitSpan = 5 * time.Second
	// heldSpan is the time whose expected requests this entry wants tokens in hand for.
	heldSpan = time.Second
	// leastHabit is the rate in requests per second below which no token is held.
	leastHabit = 0.05
	// refillInterval is how often tokens in hand are filled up without a request that waits.
	refillInterval = 100 * time.Millisecond
	// askAgain is the longest time in which a team's empty bucket is not asked again, so
	// that a team far over its limit costs few calls.
	askAgain = 100 * time.Millisecond
	// longestLoan is the longest that a request waits for a token: a change of leader.
	longestLoan = time.Second
	// loanPart bounds the same by a part of the time left.
	loanPart = 0.25
	// lenderPause is the pause after a call that failed.
	lenderPause = 25 * time.Millisecond
)

// BorrowerConfig sets up a Borrower.
type BorrowerConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	// Call asks the control leader.
	Call func(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error)
}

// Borrower holds the tokens that control lent this entry, for teams whose rate is too small
// to be divided. Requests that find none wait for one call for all of them together.
type Borrower struct {
	config BorrowerConfig
	mutex  sync.Mutex
	loans  map[string]*loan
	// answered is when control last answered; tokens are given up past the lease.
	answered time.Duration
	wake     chan struct{}
	// failing tells that the last call failed.
	failing bool
	calls   tally.Counter
	waits   tally.Counter
}

// loan is what this entry holds of one team.
type loan struct {
	tokens int
	// rate is the limit that the tokens were lent under.
	rate float64
	// habit is the rate of the team's requests here.
	habit   timekeeper.Rate
	waiters line
	// emptyUntil is the time before which the bucket is not asked again.
	emptyUntil time.Duration
	// dividedUntil is the time before which the team's rate is taken for divided.
	dividedUntil time.Duration
	// sparedUntil is the time before which nothing is asked for beyond what is needed.
	sparedUntil time.Duration
}

// Verdict is what came of a wait for a token.
type Verdict struct {
	Admitted bool
	// Wait is the time after which another try has a chance.
	Wait time.Duration
	// Unreachable tells that control did not answer in time.
	Unreachable bool
	// Divided tells that the team's rate is divided: a share of it comes with the polls.
	Divided bool
}

// String tells the verdict for a request's log line.
func (v Verdict) String() string {
	switch {
	case v.Admitted:
		return "lent"
	case v.Unreachable:
		return "control did not answer"
	case v.Divided:
		return "divided"
	}
	return fmt.Sprintf("none for %v", v.Wait.Round(time.Millisecond))
}

// NewBorrower returns a Borrower without tokens.
func NewBorrower(c BorrowerConfig) *Borrower {
	return &Borrower{
		config: c, loans: map[string]*loan{}, wake: make(chan struct{}, 1),
		calls: c.Scope.Counter("loanCalls"), waits: c.Scope.Counter("loanWaits"),
	}
}

// Run asks control for tokens until the context ends.
func (b *Borrower) Run(ctx context.Context) error {
	return b.run(ctx)
}

// Take spends a token of a team; without one in hand it waits until control has answered, at
// most a part of the time left.
func (b *Borrower) Take(ctx context.Context, t *parser.Team, left time.Duration) Verdict {
	w, v := b.take(t)
	if w == nil {
		return v
	}
	b.waits.Inc(1)
	v, ok := w.await(ctx, &b.mutex, min(longestLoan, time.Duration(loanPart*float64(left))))
	if !ok {
		return Verdict{Wait: longestLoan, Unreachable: true}
	}
	return v
}

// take returns a verdict, or a wait.
func (b *Borrower) take(t *parser.Team) (*waiter, Verdict) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	l := b.loans[t.Name]
	if l == nil {
		l = &loan{habit: timekeeper.Rate{Span: habitSpan}}
		b.loans[t.Name] = l
	}
	l.habit.Add(now, 1)
	if l.rate != t.Rate || now-b.answered > timekeeper.ShareLease {
		l.rate, l.tokens = t.Rate, 0
	}
	switch {
	case l.tokens > 0 && len(l.waiters) == 0:
		l.tokens--
		return nil, Verdict{Admitted: true}
	case now < l.dividedUntil:
		return nil, Verdict{Divided: true}
	case now < l.emptyUntil:
		return nil, Verdict{Wait: l.emptyUntil - now + time.Duration(float64(time.Second)/max(1, l.rate))}
	}
	w := newWaiter(1)
	l.waiters = append(l.waiters, w)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return w, Verdict{}
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
		for b.ask(ctx) && ctx.Err() == nil { // until nobody waits
		}
	}
}

// ask makes one call if there is reason to, and tells whether somebody waits for another.
func (b *Borrower) ask(ctx context.Context) (again bool) {
	demands := b.demands()
	if len(demands) == 0 {
		return false
	}
	b.calls.Inc(1)
	answer, err := b.config.Call(ctx, demands)
	b.note(err, len(demands))
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(lenderPause): // those who wait have bounds of their own
		}
		return b.waiting()
	}
	b.settle(answer)
	return b.waiting()
}

func (b *Borrower) note(err error, teams int) {
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

// demands lists the teams of which this entry needs tokens or gives some back.
func (b *Borrower) demands() []*wire.TokenDemand {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	var out []*wire.TokenDemand
	for name, l := range b.loans {
		if d := l.demand(now); d != nil {
			d.Team = name
			out = append(out, d)
		}
	}
	return out
}

func (l *loan) demand(now time.Duration) *wire.TokenDemand {
	l.waiters.dropGone()
	d := &wire.TokenDemand{Needed: uint32(len(l.waiters))}
	target := 0
	if habit := l.habit.At(now); habit >= leastHabit {
		target = int(math.Ceil(habit * heldSpan.Seconds()))
	} else {
		d.Returned, l.tokens = uint32(l.tokens), 0
	}
	d.Held = uint32(l.tokens)
	if l.tokens <= target/2 && now >= l.sparedUntil {
		d.Wanted = uint32(target - l.tokens)
	}
	if d.Needed == 0 && d.Returned == 0 && d.Wanted == 0 {
		return nil
	}
	return d
}

// settle hands lent tokens to the requests that wait, in their order; the rest stay in hand.
func (b *Borrower) settle(answer *wire.BorrowResponse) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.config.Clock.Now()
	b.answered = now
	for _, n := range answer.GetLoans() {
		l := b.loans[n.GetTeam()]
		if l == nil {
			continue
		}
		l.tokens += int(n.GetTokens())
		l.waiters.dropGone()
		for l.tokens > 0 && len(l.waiters) > 0 {
			l.tokens--
			l.waiters.next(Verdict{Admitted: true})
		}
		l.sparedUntil = now + askAgain
		wait := time.Duration(n.GetWaitMilliseconds()) * time.Millisecond
		switch {
		case n.GetDivided():
			l.dividedUntil = now + askAgain
		case wait > 0:
			l.emptyUntil = now + min(wait, askAgain)
		default:
			continue
		}
		for len(l.waiters) > 0 {
			l.waiters.next(Verdict{Wait: max(wait, askAgain), Divided: n.GetDivided()})
		}
	}
}

func (b *Borrower) waiting() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.loans {
		l.waiters.dropGone()
		if len(l.waiters) > 0 {
			return true
		}
	}
	return false
}

// LoanDump describes what this entry holds of one team.
type LoanDump struct {
	Tokens  int
	Waiting int
	// Habit is the rate of the team's requests here, per second.
	Habit float64
}

// Dump describes the teams whose tokens are lent.
func (b *Borrower) Dump() any {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now, out := b.config.Clock.Now(), map[string]LoanDump{}
	for team, l := range b.loans {
		out[team] = LoanDump{Tokens: l.tokens, Waiting: len(l.waiters), Habit: l.habit.At(now)}
	}
	return out
}
