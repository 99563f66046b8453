package balancer

import (
	"time"

	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of what an entry knows of the warm-up of targets. The platform's list tells of a restart late, or
// never while no leader can read it.
const (
	// doubtExpiry is how long a target is asked for its warm-up before requests are sent, unless it answers. It is
	// longer than an ejection, after which the target is tried for the first time.
	doubtExpiry = 2*maxEjection + 4*time.Second
	// checkPause is the time for which a target gets no requests that need a check after one that showed nothing.
	checkPause = 250 * time.Millisecond
	// outbreakTrigger is the time within which connections to two targets must break for an outbreak, and
	// outbreakSpan how long an outbreak lasts.
	outbreakTrigger = time.Second
	outbreakSpan    = 4 * time.Second
	// checkAllowance is the time that a target may need to respond to a check, beside the network's, and checkCost
	// what a check adds to the cost of a target.
	checkAllowance = 250 * time.Millisecond
	checkCost      = 100 * time.Millisecond
	// keptSpan is the time after a response for which its connection is likely to be still open.
	keptSpan = 4 * time.Second
	// warmupRetention is how long the warm-up of a target is kept that is no longer listed, since it may start again
	// under its name.
	warmupRetention = time.Minute
)

// warmup is what an entry knows of a target's warm-up beside the platform's list.
type warmup struct {
	// doubtedAt is when this entry last saw that the target may have restarted or become cold, without an
	// answer since; 0 if it did not.
	doubtedAt time.Duration
	// returned is set if the doubt is about an evacuated zone: the target may have become cold without a
	// restart, so that an open connection shows nothing.
	returned bool
	// respondedAt is when the target last responded; 0 if it never did.
	respondedAt time.Duration
	// coldUntil is the end of the warm-up that the target stated at statedAt; both are 0 if it never did.
	coldUntil time.Duration
	statedAt  time.Duration
	// checks is the number of checks under way, and pausedUntil the end of the pause after one that showed nothing.
	checks      int
	pausedUntil time.Duration
	// listedAt is when the target was last listed.
	listedAt time.Duration
}

// isDoubted reports whether the target may be cold though nobody says so.
func (w *warmup) isDoubted(now time.Duration) bool {
	return w.doubtedAt > 0 && now < w.doubtedAt+doubtExpiry
}

// isUnseen reports whether the target has sent nothing since it stated that it is cold. It got no requests, so that this
// entry would not have seen another restart.
func (w *warmup) isUnseen(now time.Duration) bool {
	return w.coldUntil > w.statedAt && w.respondedAt <= w.statedAt && now < w.coldUntil+doubtExpiry
}

// doubt records that the target may be cold.
func (w *warmup) doubt(now time.Duration) {
	w.doubtedAt = max(now, 1)
}

// record records for how long the target stated to stay cold.
func (w *warmup) record(now, left time.Duration) {
	w.doubtedAt, w.returned, w.pausedUntil = 0, false, 0
	w.respondedAt, w.statedAt, w.coldUntil = now, now, now+left
}

// isPaused reports whether requests that need a check must not be sent now.
func (w *warmup) isPaused(now time.Duration) bool {
	return w.checks > 0 || now < w.pausedUntil
}

// warmupKey identifies a target through its restarts.
type warmupKey struct {
	name, address string
}

// warmups holds the warmup of each target, and whether targets seem to restart in numbers. Then an entry can't
// rely on targets that it has no open connection to.
type warmups struct {
	byTarget map[warmupKey]*warmup
	// outbreakAt is when the latest restart in an outbreak was seen. An entry begins in one, since it has seen
	// nothing yet.
	outbreakAt time.Duration
	// lastName is the target whose connections broke last, at lastAt.
	lastName string
	lastAt   time.Duration
}

func newWarmups(now time.Duration) *warmups {
	return &warmups{byTarget: map[warmupKey]*warmup{}, outbreakAt: now}
}

// of returns the warmup of a listed target.
func (s *warmups) of(now time.Duration, l *receiver.ListedTarget) *warmup {
	k := warmupKey{l.Name, l.Address}
	w := s.byTarget[k]
	if w == nil {
		w = &warmup{}
		s.byTarget[k] = w
	}
	w.listedAt = now
	return w
}

// pruneWarmups removes the warmups of targets that have not been listed for a while.
func (p *Picker) pruneWarmups() {
	now := p.config.Clock.Now()
	for _, s := range p.services {
		for _, t := range s.list {
			t.warmup.listedAt = now
		}
	}
	for k, w := range p.warmups.byTarget {
		if now-w.listedAt > warmupRetention {
			delete(p.warmups.byTarget, k)
		}
	}
}

// recordRestart records that a target seems to have restarted.
func (s *warmups) recordRestart(now time.Duration, name string) {
	if name != s.lastName && s.lastName != "" && now-s.lastAt < outbreakTrigger {
		s.outbreakAt = now
	}
	s.lastName, s.lastAt = name, now
}

// recordResult records what the result of a request shows.
func (s *warmups) recordResult(now time.Duration, k *Pick, r *forwarder.SendResult) {
	w := k.state.warmup
	k.endCheck()
	switch {
	case r.Misdirected, r.Withheld && k.stated:
	case r.ConnectionLost:
		w.doubt(now)
		s.recordRestart(now, k.Target.Name)
	case r.Status > 0:
		w.respondedAt = now
	}
	if r.Withheld && !k.stated {
		w.pausedUntil = now + checkPause
	}
}

// checkNeed returns when a target is asked for its warm-up before a request is sent to it.
func (p *Picker) checkNeed(now time.Duration, t *target, d PickRequest) carrier.CheckNeed {
	switch w := t.warmup; {
	case !d.StatesWarmup, d.ColdRate == 0, t.isCold(now):
		return carrier.Never
	case w.isDoubted(now) && w.returned:
		return carrier.Always
	case w.isDoubted(now), w.isUnseen(now):
		return carrier.UnlessOpen
	case now < p.warmups.outbreakAt+outbreakSpan && w.respondedAt <= p.warmups.outbreakAt:
		return carrier.UnlessOpen
	}
	return carrier.IfBroken
}

// checkPenalty returns what a check adds to the cost of a target.
func (p *Picker) checkPenalty(now time.Duration, k *Pick) time.Duration {
	w := k.state.warmup
	if k.CheckNeed == carrier.Always || (k.CheckNeed == carrier.UnlessOpen && (w.respondedAt == 0 || now-w.respondedAt > keptSpan)) {
		return checkCost + p.roundTrip(k.Target)
	}
	return 0
}

// doubtReturned doubts the targets of the zones that are no longer evacuated: they may have become cold while
// this entry sent them nothing.
func (p *Picker) doubtReturned(old, next *receiver.View) {
	for zone := range old.Evacuated {
		if next.Evacuated[zone] {
			continue
		}
		for _, s := range p.services {
			for _, t := range s.list {
				if t.listed.AvailabilityZone == zone {
					t.warmup.doubt(p.config.Clock.Now())
					t.warmup.returned = true
				}
			}
		}
	}
}

// RecordWarmup records the response to a check: for how long the target stays cold, or nothing if it states
// nothing.
func (p *Picker) RecordWarmup(k *Pick, left time.Duration, stated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	k.endCheck()
	k.stated = stated
	if !stated {
		return
	}
	now, w, s := p.config.Clock.Now(), k.state.warmup, p.warmups
	// A target that has not responded since an outbreak began may have restarted in it, which does not prolong it.
	isNew := w.respondedAt > s.outbreakAt || now >= s.outbreakAt+outbreakSpan
	w.record(now, left)
	if left > 0 && isNew {
		s.recordRestart(now, k.Target.Name)
	}
}

// beginCheck counts the check of a request, and endCheck ends that.
func (k *Pick) beginCheck() {
	if k.CheckNeed == carrier.Always {
		k.checking = true
		k.state.warmup.checks++
	}
}

func (k *Pick) endCheck() {
	if k.checking {
		k.checking = false
		k.state.warmup.checks--
	}
}
