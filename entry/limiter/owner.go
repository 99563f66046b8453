package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Bounds on the waits of calls at an owner.
const (
	maxWait       = time.Second
	minRetryPause = time.Millisecond
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Assert *asserter.Asserter
	View   func() *receiver.View
	// HoldsRole returns the epoch in which this entry currently holds a role. ok is false if it does
	// not hold the role.
	HoldsRole func(role string) (epoch uint64, ok bool)
}

// Owner holds the token buckets that this entry owns, in the mode with roles.
type Owner struct {
	config  OwnerConfig
	mutex   sync.Mutex
	buckets map[string]*ownedBucket
}

// ownedBucket is one bucket in one epoch.
type ownedBucket struct {
	epoch     uint64
	bucket    *Bucket
	responses map[string]lastResponse
	// lastReport is the number of the last call from each incarnation whose uses and returned
	// tokens were applied.
	lastReport map[string]uint64
	// unsettled is true for entries that may hold tokens of an earlier epoch.
	unsettled map[string]bool
	// waiting is the number of calls that wait for tokens.
	waiting int
}

// lastResponse is the last response to an incarnation, kept in case the same call is sent again.
type lastResponse struct {
	sequence uint64
	granted  float64
	at       time.Duration
}

// NewOwner returns an Owner without buckets.
func NewOwner(c OwnerConfig) *Owner {
	return &Owner{config: c, buckets: map[string]*ownedBucket{}}
}

// Grant answers a call for tokens. It waits until the least number that the caller accepts is free,
// at most for the time that the caller asks for and for maxWait.
func (o *Owner) Grant(ctx context.Context, r *wire.GrantRequest) *wire.GrantResponse {
	deadline := o.config.Clock.Now() + min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, maxWait)
	for {
		response, pause := o.tryGrant(r, deadline)
		if response != nil {
			return response
		}
		select {
		case <-ctx.Done():
			deadline = 0
		case <-time.After(pause):
		}
		o.stopWaiting(r)
	}
}

// Dump describes the buckets.
func (o *Owner) Dump() any {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	out := map[string]BucketDump{}
	for role, w := range o.buckets {
		out[role] = BucketDump{Epoch: w.epoch, Free: w.bucket.Free(o.config.Clock.Now()), Lent: w.bucket.outstanding, Waiting: w.waiting}
	}
	return out
}

// BucketDump describes one bucket.
type BucketDump struct {
	Epoch   uint64
	Free    float64
	Lent    float64
	Waiting int
}

// tryGrant returns a response, or nil and the pause before the next attempt.
func (o *Owner) tryGrant(r *wire.GrantRequest, deadline time.Duration) (*wire.GrantResponse, time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.config.Clock.Now()
	w := o.bucketFor(r, now)
	if w == nil {
		return &wire.GrantResponse{NotOwner: true}, 0
	}
	caller := callerName(r)
	if last, ok := w.responses[caller]; ok && last.sequence >= r.GetSequence() {
		return o.repeatResponse(last, r, now), 0
	}
	w.markSettled(r, now)
	if r.GetSequence() > w.lastReport[caller] {
		w.lastReport[caller] = r.GetSequence()
		w.bucket.Report(now, caller, usesFrom(r), r.GetReturned())
	}
	need := min(max(r.GetLeast(), 0), r.GetWanted())
	if w.bucket.Free(now) < need && now < deadline {
		w.waiting++
		pause := w.bucket.TimeUntil(now, need) * time.Duration(w.waiting)
		return nil, max(minRetryPause, min(pause, deadline-now))
	}
	granted := 0.0
	if w.bucket.Free(now) >= need {
		share := w.bucket.Free(now) / float64(w.waiting+1)
		granted = w.bucket.Grant(now, caller, min(r.GetWanted(), max(need, share)))
	}
	w.responses[caller] = lastResponse{r.GetSequence(), granted, now}
	return newGrantResponse(granted, GrantLifetime), 0
}

// repeatResponse returns the last response again, with the remaining lifetime of its tokens.
func (o *Owner) repeatResponse(last lastResponse, r *wire.GrantRequest, now time.Duration) *wire.GrantResponse {
	if last.sequence > r.GetSequence() {
		return newGrantResponse(0, 0)
	}
	return newGrantResponse(last.granted, max(0, GrantLifetime-(now-last.at)))
}

func (o *Owner) stopWaiting(r *wire.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if w := o.buckets[r.GetAccount()]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// bucketFor returns the bucket for a call, or nil if this entry may not grant from it.
func (o *Owner) bucketFor(r *wire.GrantRequest, now time.Duration) *ownedBucket {
	role := r.GetAccount()
	epoch, ok := o.config.HoldsRole(role)
	limit, known := limitOf(o.config.View().Configuration, role)
	if !ok || !known || epoch != r.GetEpoch() {
		return nil
	}
	w := o.buckets[role]
	if w == nil || w.epoch != epoch {
		w = &ownedBucket{epoch: epoch, responses: map[string]lastResponse{}, lastReport: map[string]uint64{}}
		w.bucket = o.newBucket(epoch, now, limit)
		w.unsettled = o.unsettledEntries(role)
		o.buckets[role] = w
		o.config.Logger.Log(logger.OwnerStarted, logger.F("account", role), logger.F("epoch", epoch))
	}
	if w.bucket.rate != limit.Rate || w.bucket.burst != limit.Burst {
		w.bucket.SetLimits(now, limit.Rate, limit.Burst)
	}
	return w
}

func (o *Owner) newBucket(epoch uint64, now time.Duration, l Limit) *Bucket {
	if epoch == wire.FirstEpoch {
		return NewBucket(o.config.Assert, now, l.Rate, l.Burst)
	}
	return NewSuccessorBucket(o.config.Assert, now, l.Rate, l.Burst)
}

// unsettledEntries returns, for each entry, whether a successor has to wait until it has dropped
// its earlier tokens. The previous holder can't spend any, since its lease has expired.
func (o *Owner) unsettledEntries(role string) map[string]bool {
	v, out := o.config.View(), map[string]bool{}
	for n := range v.Entries {
		out[n] = n != v.Roles[role].GetPrevious()
	}
	return out
}

// markSettled records that an entry holds no tokens of earlier epochs, and ends the wait for the
// earlier epoch after the last one.
func (w *ownedBucket) markSettled(r *wire.GrantRequest, now time.Duration) {
	if !r.GetSettled() || !w.unsettled[r.GetEntry()] {
		return
	}
	w.unsettled[r.GetEntry()] = false
	for _, open := range w.unsettled {
		if open {
			return
		}
	}
	w.bucket.SettleEarlierEpoch(now)
}

func callerName(r *wire.GrantRequest) string {
	return wire.RunName(r.GetEntry(), r.GetIncarnation())
}

func usesFrom(r *wire.GrantRequest) []Use {
	var out []Use
	for _, u := range r.GetUses() {
		out = append(out, Use{Tokens: u.GetTokens(), Age: time.Duration(u.GetAgeMilliseconds()) * time.Millisecond})
	}
	return out
}

func newGrantResponse(granted float64, lifetime time.Duration) *wire.GrantResponse {
	return &wire.GrantResponse{Granted: granted, LifetimeMilliseconds: uint32(lifetime / time.Millisecond)}
}
