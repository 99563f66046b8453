package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Timing of calls to an owner.
const (
	// callTimeout is the time that a call may take beyond the wait it asks the owner for.
	callTimeout = 300 * time.Millisecond
	// retryPause is the pause after a call that failed or granted nothing, and while there is no
	// owner.
	retryPause = 10 * time.Millisecond
	// flushInterval is how often uses and expiring tokens are reported when no tokens are needed.
	flushInterval = 50 * time.Millisecond
	// ownerWait is how long a call may wait at the owner until tokens are free.
	ownerWait = 200 * time.Millisecond
)

// bucketClient is this entry's client of one owned token bucket, which holds a team's rate or the
// capacity of one direction of a link. It has at most one call to the owner in flight.
type bucketClient struct {
	limiter *GrantLimiter
	// role is the name of the owner's role, which also identifies the bucket.
	role     string
	wake     chan struct{}
	mutex    sync.Mutex
	cache    TokenCache
	waiters  waitQueue
	epoch    uint64
	sequence uint64
	// settled is set once this entry has reported to the owner of this epoch that it holds no
	// tokens of earlier epochs. It is set from the start in the first epoch.
	settled bool
	// pending is the call whose response has not arrived; it is sent again unchanged.
	pending *grantCall
}

// grantCall is one request to the owner and the time when it was built.
type grantCall struct {
	request *wire.GrantRequest
	sent    time.Duration
}

func newBucketClient(l *GrantLimiter, role string) *bucketClient {
	return &bucketClient{limiter: l, role: role, wake: make(chan struct{}, 1)}
}

// tryTake spends n tokens if they are cached and no earlier request waits.
func (a *bucketClient) tryTake(n float64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.limiter.config.Clock.Now()
	a.cache.AddDemand(now, n)
	ok := len(a.waiters) == 0 && a.spend(now, n)
	if !ok || a.cache.PrefetchAmount(now) > 0 {
		a.signal()
	}
	return ok
}

// wait waits for n tokens, at most for the given time, and reports whether it got them.
func (a *bucketClient) wait(ctx context.Context, n float64, bound time.Duration) bool {
	w := newWaiter(n)
	a.mutex.Lock()
	a.waiters = append(a.waiters, w)
	a.mutex.Unlock()
	a.signal()
	v, ok := w.await(ctx, &a.mutex, bound)
	// If the process was stopped after the tokens were assigned, its lease may have expired.
	return ok && v.Admitted && a.limiter.config.MaySpend()
}

// spend takes cached tokens that the owner named in the view has granted. It checks the lease
// before it reads the view: a view at least as new as the lease names every owner that may count
// this entry's earlier tokens as gone.
func (a *bucketClient) spend(now time.Duration, n float64) bool {
	if !a.limiter.config.MaySpend() {
		return false
	}
	a.advanceEpoch(a.limiter.config.View().Roles[a.role].GetEpoch())
	return a.cache.Take(now, n)
}

func (a *bucketClient) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *bucketClient) run(ctx context.Context) error {
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

// fetch calls the owner until no request waits and the cache is filled. With flush it calls even
// if there are only uses to report or tokens to return.
func (a *bucketClient) fetch(ctx context.Context, flush bool) {
	for ctx.Err() == nil {
		role := a.limiter.config.View().Roles[a.role]
		owner := a.limiter.config.View().Entries[role.GetHolder()]
		a.observeEpoch(role.GetEpoch())
		c := a.nextCall(flush)
		flush = false
		if c == nil {
			return
		}
		if owner == nil || role.GetVacant() {
			a.pause(ctx)
			continue
		}
		response, err := a.limiter.callOwner(ctx, owner, c.request)
		if !a.handleResponse(c, response, err) {
			a.pause(ctx)
		}
	}
}

// observeEpoch drops the tokens of an earlier epoch, so that the new owner need not wait for their
// expiry.
func (a *bucketClient) observeEpoch(epoch uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.advanceEpoch(epoch)
}

// advanceEpoch ignores older epochs. It never resets the sequence number, since an owner treats a
// call with a lower number as an old one.
func (a *bucketClient) advanceEpoch(epoch uint64) {
	if epoch <= a.epoch {
		return
	}
	a.epoch, a.pending = epoch, nil
	a.settled = epoch <= wire.FirstEpoch
	a.cache.Reset()
}

// nextCall returns the call to send now, or nil if none is needed.
func (a *bucketClient) nextCall(flush bool) *grantCall {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.pending != nil {
		return a.pending
	}
	now := a.limiter.config.Clock.Now()
	a.waiters.dropAbandoned()
	waiting := 0.0
	for _, w := range a.waiters {
		waiting += w.needed
	}
	wanted := waiting + a.cache.PrefetchAmount(now)
	if a.settled && wanted == 0 && (!flush || !a.cache.ReportDue(now)) {
		return nil
	}
	a.sequence++
	r := &wire.GrantRequest{
		Account: a.role, Epoch: a.epoch, Sequence: a.sequence,
		Entry: a.limiter.config.Self.GetName(), Incarnation: a.limiter.config.Self.GetIncarnation(),
		Wanted: wanted, Returned: a.cache.TakeExpiring(now), Settled: true,
	}
	for _, u := range a.cache.TakeUses(now) {
		r.Uses = append(r.Uses, &wire.Use{Tokens: u.Tokens, AgeMilliseconds: uint32(u.Age / time.Millisecond)})
	}
	if waiting > 0 {
		r.Least, r.WaitMilliseconds = a.waiters[0].needed, uint32(ownerWait/time.Millisecond)
	}
	a.pending = &grantCall{request: r, sent: now}
	return a.pending
}

// handleResponse applies the response to a call and reports whether the call made progress.
func (a *bucketClient) handleResponse(c *grantCall, response *wire.GrantResponse, err error) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err != nil || response.GetNotOwner() {
		return false // the call is sent again unchanged, or dropped when the epoch changes
	}
	if a.pending == c {
		a.pending, a.settled = nil, true
	}
	now := a.limiter.config.Clock.Now()
	lifetime := time.Duration(response.GetLifetimeMilliseconds()) * time.Millisecond
	a.cache.AddGrant(now, c.sent, response.GetGranted(), lifetime)
	a.serveWaiters(now)
	return response.GetGranted() > 0 || c.request.GetWanted() == 0
}

// serveWaiters assigns cached tokens to the waiting requests, first come, first served.
func (a *bucketClient) serveWaiters(now time.Duration) {
	a.waiters.dropAbandoned()
	for len(a.waiters) > 0 && a.spend(now, a.waiters[0].needed) {
		a.waiters.resolveFirst(TakeResult{Admitted: true})
	}
}

func (a *bucketClient) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
