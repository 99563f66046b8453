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

// team is this entry's side of one team's limit. One call to the owner runs at a time.
type team struct {
	limiter   *Limiter
	name      string
	wake      chan struct{}
	mutex     sync.Mutex
	allowance Allowance
	waiters   []*waiter
	epoch     uint64
	sequence  uint64
	// settled is set once the owner of this epoch knows that no earlier token is held.
	settled bool
	// pending is a call whose answer is not known; it is sent again as it was.
	pending *call
}

// waiter is a request that waits for a token.
type waiter struct {
	granted chan struct{}
	gone    bool
}

// call is one request to the owner.
type call struct {
	request *wire.GrantRequest
	sent    time.Duration
}

func newTeam(l *Limiter, name string) *team {
	return &team{limiter: l, name: name, wake: make(chan struct{}, 1)}
}

// take spends a token if one is here and nobody waits already.
func (t *team) take() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.limiter.config.Clock.Now()
	t.allowance.Want(now)
	ok := len(t.waiters) == 0 && t.spend(now)
	if !ok || t.allowance.Lacks(now) > 0 {
		t.signal()
	}
	return ok
}

// wait waits for a token for a bounded time and tells whether it got one.
func (t *team) wait(ctx context.Context, bound time.Duration) bool {
	w := &waiter{granted: make(chan struct{})}
	t.mutex.Lock()
	t.waiters = append(t.waiters, w)
	t.mutex.Unlock()
	t.signal()
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w.gone = true
	select {
	case <-w.granted: // it came at the last moment
		return true
	default:
		return false
	}
}

// spend takes a token of the owner that the view names. The lease is looked at first: a
// view that is as new as the lease names every owner that could count on it.
func (t *team) spend(now time.Duration) bool {
	if !t.limiter.config.MaySpend() {
		return false
	}
	t.useEpoch(t.limiter.config.View().Roles[wire.TeamRole(t.name)].GetEpoch())
	return t.allowance.Take(now)
}

func (t *team) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *team) run(ctx context.Context) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
			t.fetch(ctx, false)
		case <-flush.C:
			t.fetch(ctx, true)
		}
	}
}

// fetch calls the owner until nobody waits and enough is held. flush also reports uses.
func (t *team) fetch(ctx context.Context, flush bool) {
	for ctx.Err() == nil {
		role := t.limiter.config.View().Roles[wire.TeamRole(t.name)]
		owner := t.limiter.config.View().Entries[role.GetHolder()]
		t.noteEpoch(role.GetEpoch())
		c := t.next(flush)
		flush = false
		if c == nil {
			return
		}
		if owner == nil || role.GetVacant() {
			t.pause(ctx)
			continue
		}
		answer, err := t.limiter.ask(ctx, owner, c.request)
		if !t.finish(c, answer, err) {
			t.pause(ctx)
		}
	}
}

// noteEpoch gives up what an earlier owner granted, so that the new one need not wait
// until it has run out.
func (t *team) noteEpoch(epoch uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.useEpoch(epoch)
}

// useEpoch never goes back, and never numbers two calls alike: an owner takes a call with
// a lower number for an old one.
func (t *team) useEpoch(epoch uint64) {
	if epoch <= t.epoch {
		return
	}
	t.epoch, t.pending = epoch, nil
	t.settled = epoch <= wire.FirstEpoch
	t.allowance.Reset()
}

// next returns the call that is due, or nil.
func (t *team) next(flush bool) *call {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.pending != nil {
		return t.pending
	}
	now := t.limiter.config.Clock.Now()
	t.dropGone()
	waiting := float64(len(t.waiters))
	wanted := waiting + t.allowance.Lacks(now)
	if t.settled && wanted == 0 && (!flush || !t.allowance.Due(now)) {
		return nil
	}
	t.sequence++
	r := &wire.GrantRequest{
		Team: t.name, Epoch: t.epoch, Sequence: t.sequence,
		Entry: t.limiter.config.Self.GetName(), Incarnation: t.limiter.config.Self.GetIncarnation(),
		Wanted: wanted, Returned: t.allowance.Returns(now), Settled: true,
	}
	for _, u := range t.allowance.Reports(now) {
		r.Uses = append(r.Uses, &wire.Use{Tokens: u.Tokens, AgeMilliseconds: uint32(u.Age / time.Millisecond)})
	}
	if waiting > 0 {
		r.Least, r.WaitMilliseconds = 1, uint32(ownerWait/time.Millisecond)
	}
	t.pending = &call{request: r, sent: now}
	return t.pending
}

// finish takes in the answer to a call and tells whether it moved something.
func (t *team) finish(c *call, answer *wire.GrantResponse, err error) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil || answer.GetNotOwner() {
		return false // sent again as it was, or dropped with the epoch
	}
	if t.pending == c {
		t.pending, t.settled = nil, true
	}
	now := t.limiter.config.Clock.Now()
	lifetime := time.Duration(answer.GetLifetimeMilliseconds()) * time.Millisecond
	t.allowance.Add(now, c.sent, answer.GetGranted(), lifetime)
	t.serve(now)
	return answer.GetGranted() > 0 || c.request.GetWanted() == 0
}

// serve hands tokens to the requests that wait, in their order.
func (t *team) serve(now time.Duration) {
	t.dropGone()
	for len(t.waiters) > 0 && t.spend(now) {
		close(t.waiters[0].granted)
		t.waiters = t.waiters[1:]
	}
}

func (t *team) dropGone() {
	live := t.waiters[:0]
	for _, w := range t.waiters {
		if !w.gone {
			live = append(live, w)
		}
	}
	t.waiters = live
}

func (t *team) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
