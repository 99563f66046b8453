// Package holder lets one control member at a time perform a duty towards the platform, such as sending
// reports. The member is the leader, and a command in the replicated log gives it the duty under a fence
// that grows with each change of holder.
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

const (
	// callFraction is the fraction of the lease that passes at most from the beginning of a
	// confirmation to the end of the call that it is for. A successor waits for the whole lease.
	callFraction = 0.5
	// confirmFraction is the fraction of the lease that a confirmation may take.
	confirmFraction = 0.25
)

// ErrNotHolder means that this member does not surely hold the duty, or may not act in it yet.
var ErrNotHolder = errors.New("this control member does not hold the duty")

// Config configures a Holder.
type Config struct {
	Clock timekeeper.Clock
	// Duty is the name of the duty.
	Duty string
	// Self is the id of this control member.
	Self uint64
	// Lease is how long a new holder waits before it acts.
	Lease time.Duration
	// Serving reports whether this member is the leader and its state holds all that was acknowledged
	// before.
	Serving func() bool
	// Confirm returns nil once a quorum round that began after the call has shown that this member is the
	// leader.
	Confirm func(ctx context.Context) error
	// Record returns the record of the duty, or nil if nobody has held it yet.
	Record func() *wire.Duty
	// Acquire proposes that this member holds the duty. The proposal may take effect although it failed.
	Acquire func(ctx context.Context) error
}

// Holder tells whether this control member may act in one duty.
type Holder struct {
	config Config
	mutex  sync.Mutex
	// fence is that of the latest tenure of this member, and mayActFrom is when the calls of the holder
	// before have surely ended, on the Clock.
	fence      uint64
	mayActFrom time.Duration
}

// NewHolder returns a Holder for a member that has not acted in the duty since its start.
func NewHolder(c Config) *Holder {
	return &Holder{config: c}
}

// Hold acquires the duty if this member is the leader and another one holds it. It returns the record
// under which this member may act, or ErrNotHolder.
//
// A member that becomes leader again while nobody else has held the duty goes on under its fence at
// once. After a restart it waits, as a new holder does.
func (h *Holder) Hold(ctx context.Context) (*wire.Duty, error) {
	if !h.config.Serving() {
		return nil, ErrNotHolder
	}
	r := h.config.Record()
	if r == nil || r.GetHolder() != h.config.Self {
		if err := h.config.Acquire(ctx); err != nil {
			return nil, errors.Wrap(err, "acquiring a duty")
		}
		r = h.config.Record()
	}
	if r.GetHolder() != h.config.Self {
		return nil, ErrNotHolder
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock.Now()
	if r.GetFence() != h.fence {
		h.fence, h.mayActFrom = r.GetFence(), now+h.config.Lease+timekeeper.DriftMargin
	}
	if now < h.mayActFrom {
		return nil, ErrNotHolder
	}
	return r, nil
}

// Confirm checks, right before a call, that this member still holds the duty under a fence. The call
// must end within the returned time; a later one needs another confirmation.
func (h *Holder) Confirm(ctx context.Context, fence uint64) (time.Duration, error) {
	begun := h.config.Clock.Now()
	limit := fractionOf(h.config.Lease, confirmFraction)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := h.config.Confirm(ctx); err != nil {
		return 0, errors.Wrap(err, "confirming a duty")
	}
	r := h.config.Record()
	// The Clock includes a pause of the process or of its VM, which the timeout above does not.
	took := h.config.Clock.Now() - begun
	if r.GetHolder() != h.config.Self || r.GetFence() != fence || took > limit {
		return 0, ErrNotHolder
	}
	return fractionOf(h.config.Lease, callFraction) - took, nil
}

// MayActIn returns how long a new holder still waits; it is 0 for one that may act.
func (h *Holder) MayActIn() time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(0, h.mayActFrom-h.config.Clock.Now())
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
