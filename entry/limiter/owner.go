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

// Bounds of a call to an owner.
const (
	maxWait = time.Second
	minNap  = time.Millisecond
)

// OwnerConfig sets up an Owner.
type OwnerConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Assert *asserter.Asserter
	View   func() *receiver.View
	// Holds returns the epoch under which this entry holds a role now.
	Holds func(role string) (epoch uint64, ok bool)
}

// Owner holds the buckets of the accounts that this entry owns.
type Owner struct {
	config  OwnerConfig
	mutex   sync.Mutex
	buckets map[string]*owned
}

// owned is the bucket of one account in one epoch.
type owned struct {
	epoch   uint64
	bucket  *Bucket
	answers map[string]givenAnswer
	// reported is the last call of each incarnation whose uses and returns were taken in.
	reported map[string]uint64
	// unsettled holds the entries that may have tokens of an earlier epoch.
	unsettled map[string]bool
	// waiting counts the calls that wait for tokens.
	waiting int
}

// givenAnswer is the last answer to an incarnation, for the same call sent again.
type givenAnswer struct {
	sequence uint64
	granted  float64
	at       time.Duration
}

// NewOwner returns an Owner without buckets.
func NewOwner(c OwnerConfig) *Owner {
	return &Owner{config: c, buckets: map[string]*owned{}}
}

// Grant answers a call for tokens; it waits up to the caller's bound for the least number.
func (o *Owner) Grant(ctx context.Context, r *wire.GrantRequest) *wire.GrantResponse {
	deadline := o.config.Clock.Now() + min(time.Duration(r.GetWaitMilliseconds())*time.Millisecond, maxWait)
	for {
		answer, nap := o.try(r, deadline)
		if answer != nil {
			return answer
		}
		select {
		case <-ctx.Done():
			deadline = 0
		case <-time.After(nap):
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
		out[role] = BucketDump{Epoch: w.epoch, Free: w.bucket.Free(o.config.Clock.Now()), Lent: w.bucket.lent, Waiting: w.waiting}
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

// try answers if it can, and otherwise returns how long to wait before the next try.
func (o *Owner) try(r *wire.GrantRequest, deadline time.Duration) (*wire.GrantResponse, time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := o.config.Clock.Now()
	w := o.owned(r, now)
	if w == nil {
		return &wire.GrantResponse{NotOwner: true}, 0
	}
	caller := callerName(r)
	if last, ok := w.answers[caller]; ok && last.sequence >= r.GetSequence() {
		return o.again(last, r, now), 0
	}
	w.settle(r, now)
	if r.GetSequence() > w.reported[caller] {
		w.reported[caller] = r.GetSequence()
		w.bucket.Report(now, caller, usesOf(r), r.GetReturned())
	}
	need := min(max(r.GetLeast(), 0), r.GetWanted())
	if w.bucket.Free(now) < need && now < deadline {
		w.waiting++
		nap := w.bucket.Until(now, need) * time.Duration(w.waiting)
		return nil, max(minNap, min(nap, deadline-now))
	}
	granted := 0.0
	if w.bucket.Free(now) >= need {
		share := w.bucket.Free(now) / float64(w.waiting+1)
		granted = w.bucket.Grant(now, caller, min(r.GetWanted(), max(need, share)))
	}
	w.answers[caller] = givenAnswer{r.GetSequence(), granted, now}
	return answerOf(granted, PotLifetime), 0
}

// again repeats an answer; its tokens have run for a while.
func (o *Owner) again(last givenAnswer, r *wire.GrantRequest, now time.Duration) *wire.GrantResponse {
	if last.sequence > r.GetSequence() {
		return answerOf(0, 0)
	}
	return answerOf(last.granted, max(0, PotLifetime-(now-last.at)))
}

func (o *Owner) stopWaiting(r *wire.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if w := o.buckets[r.GetAccount()]; w != nil && w.waiting > 0 {
		w.waiting--
	}
}

// owned returns the bucket that a call is for, or nil if this entry may not grant from it.
func (o *Owner) owned(r *wire.GrantRequest, now time.Duration) *owned {
	role := r.GetAccount()
	epoch, ok := o.config.Holds(role)
	limit, known := limitOf(o.config.View().Configuration, role)
	if !ok || !known || epoch != r.GetEpoch() {
		return nil
	}
	w := o.buckets[role]
	if w == nil || w.epoch != epoch {
		w = &owned{epoch: epoch, answers: map[string]givenAnswer{}, reported: map[string]uint64{}}
		w.bucket = o.newBucket(epoch, now, limit)
		w.unsettled = o.unsettled(role)
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
	return NewSuccessor(o.config.Assert, now, l.Rate, l.Burst)
}

// unsettled lists the entries whose earlier tokens a successor has to ask for. The holder
// before can't spend any: its lease has run out.
func (o *Owner) unsettled(role string) map[string]bool {
	v, out := o.config.View(), map[string]bool{}
	for n := range v.Entries {
		out[n] = n != v.Roles[role].GetPrevious()
	}
	return out
}

// settle notes that an entry gave up its earlier tokens, and ends the wait after the last.
func (w *owned) settle(r *wire.GrantRequest, now time.Duration) {
	if !r.GetSettled() || !w.unsettled[r.GetEntry()] {
		return
	}
	w.unsettled[r.GetEntry()] = false
	for _, open := range w.unsettled {
		if open {
			return
		}
	}
	w.bucket.Settle(now)
}

func callerName(r *wire.GrantRequest) string {
	return wire.Incarnation(r.GetEntry(), r.GetIncarnation())
}

func usesOf(r *wire.GrantRequest) []Use {
	var out []Use
	for _, u := range r.GetUses() {
		out = append(out, Use{Tokens: u.GetTokens(), Age: time.Duration(u.GetAgeMilliseconds()) * time.Millisecond})
	}
	return out
}

func answerOf(granted float64, lifetime time.Duration) *wire.GrantResponse {
	return &wire.GrantResponse{Granted: granted, LifetimeMilliseconds: uint32(lifetime / time.Millisecond)}
}
