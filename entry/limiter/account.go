package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Times of the calls to an owner.
const (
	// callTimeout bounds a call beyond the wait that it asks for.
	callTimeout = 300 * time.Millisecond
	// retryPause is the pause after a call that brought nothing.
	retryPause = 10 * time.Millisecond
	// flushInterval is how often uses and unspent tokens are reported without demand.
	flushInterval = 50 * time.Millisecond
	// ownerWait is how long one call waits at the owner for tokens.
	ownerWait = 200 * time.Millisecond
)

// account is this entry's side of one account: a team's rate, or the room on a link. One
// call to the owner runs at a time.
type account struct {
	limiter *Limiter
	// role names the role of the account's owner.
	role      string
	wake      chan struct{}
	mutex     sync.Mutex
	allowance Allowance
	waiters   line
	epoch     uint64
	sequence  uint64
	// settled is set once the owner of this epoch knows that no earlier token is held.
	settled bool
	// pending is a call whose answer is not known; it is sent again as it was.
	pending *call
}

// call is one request to the owner.
type call struct {
	request *wire.GrantRequest
	sent    time.Duration
}

func newAccount(l *Limiter, role string) *account {
	return &account{limiter: l, role: role, wake: make(chan struct{}, 1)}
}

// take spends n tokens if they are here and nobody waits already.
func (a *account) take(n float64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.limiter.config.Clock.Now()
	a.allowance.Want(now, n)
	ok := len(a.waiters) == 0 && a.spend(now, n)
	if !ok || a.allowance.Lacks(now) > 0 {
		a.signal()
	}
	return ok
}

// wait waits for n tokens for a bounded time and tells whether it got them.
func (a *account) wait(ctx context.Context, n float64, bound time.Duration) bool {
	w := newWaiter(n)
	a.mutex.Lock()
	a.waiters = append(a.waiters, w)
	a.mutex.Unlock()
	a.signal()
	v, ok := w.await(ctx, &a.mutex, bound)
	// A process that was stopped since then finds its lease over.
	return ok && v.Admitted && a.limiter.config.MaySpend()
}

// spend takes tokens of the owner that the view names. The lease is looked at first: a
// view that is as new as the lease names every owner that could count on it.
func (a *account) spend(now time.Duration, n float64) bool {
	if !a.limiter.config.MaySpend() {
		return false
	}
	a.useEpoch(a.limiter.config.View().Roles[a.role].GetEpoch())
	return a.allowance.Take(now, n)
}

func (a *account) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *account) run(ctx context.Context) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
			a.fetch(ctx, false)
		case <-flush.C:
			a.fetch(ctx, true)
		}
	}
}

// fetch calls the owner until nobody waits and enough is held. flush also reports uses.
func (a *account) fetch(ctx context.Context, flush bool) {
	for ctx.Err() == nil {
		role := a.limiter.config.View().Roles[a.role]
		owner := a.limiter.config.View().Entries[role.GetHolder()]
		a.noteEpoch(role.GetEpoch())
		c := a.next(flush)
		flush = false
		if c == nil {
			return
		}
		if owner == nil || role.GetVacant() {
			a.pause(ctx)
			continue
		}
		answer, err := a.limiter.ask(ctx, owner, c.request)
		if !a.finish(c, answer, err) {
			a.pause(ctx)
		}
	}
}

// noteEpoch gives up what an earlier owner granted, so that the new one need not wait
// until it has run out.
func (a *account) noteEpoch(epoch uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.useEpoch(epoch)
}

// useEpoch never goes back, and never numbers two calls alike: an owner takes a call with
// a lower number for an old one.
func (a *account) useEpoch(epoch uint64) {
	if epoch <= a.epoch {
		return
	}
	a.epoch, a.pending = epoch, nil
	a.settled = epoch <= wire.FirstEpoch
	a.allowance.Reset()
}

// next returns the call that is due, or nil.
func (a *account) next(flush bool) *call {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.pending != nil {
		return a.pending
	}
	now := a.limiter.config.Clock.Now()
	a.waiters.dropGone()
	waiting := 0.0
	for _, w := range a.waiters {
		waiting += w.need
	}
	wanted := waiting + a.allowance.Lacks(now)
	if a.settled && wanted == 0 && (!flush || !a.allowance.Due(now)) {
		return nil
	}
	a.sequence++
	r := &wire.GrantRequest{
		Account: a.role, Epoch: a.epoch, Sequence: a.sequence,
		Entry: a.limiter.config.Self.GetName(), Incarnation: a.limiter.config.Self.GetIncarnation(),
		Wanted: wanted, Returned: a.allowance.Returns(now), Settled: true,
	}
	for _, u := range a.allowance.Reports(now) {
		r.Uses = append(r.Uses, &wire.Use{Tokens: u.Tokens, AgeMilliseconds: uint32(u.Age / time.Millisecond)})
	}
	if waiting > 0 {
		r.Least, r.WaitMilliseconds = a.waiters[0].need, uint32(ownerWait/time.Millisecond)
	}
	a.pending = &call{request: r, sent: now}
	return a.pending
}

// finish takes in the answer to a call and tells whether it moved something.
func (a *account) finish(c *call, answer *wire.GrantResponse, err error) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil || answer.GetNotOwner() {
		return false // sent again as it was, or dropped with the epoch
	}
	if a.pending == c {
		a.pending, a.settled = nil, true
	}
	now := a.limiter.config.Clock.Now()
	lifetime := time.Duration(answer.GetLifetimeMilliseconds()) * time.Millisecond
	a.allowance.Add(now, c.sent, answer.GetGranted(), lifetime)
	a.serve(now)
	return answer.GetGranted() > 0 || c.request.GetWanted() == 0
}

// serve hands tokens to the requests that wait, in their order.
func (a *account) serve(now time.Duration) {
	a.waiters.dropGone()
	for len(a.waiters) > 0 && a.spend(now, a.waiters[0].need) {
		a.waiters.next(Verdict{Admitted: true})
	}
}

func (a *account) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
