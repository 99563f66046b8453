// Package surveyor reads the platform's list of targets on the leader and numbers its changes for
// entries. The list is not replicated: each leader reads it again.
package surveyor

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Times of the surveyor.
const (
	// listTimeout bounds one reading of the whole list, with all its pages.
	listTimeout = 2 * time.Second
	// minColdChange is the change of the end of a cold phase from which entries are informed.
	minColdChange = 500 * time.Millisecond
	// goneRetention is how long a target that left the list is reported as gone.
	goneRetention = time.Minute
)

// Target is one entry of the platform's list.
type Target struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	Version          string
	Slots            int
	Leaving          bool
	// Born identifies the start of the target, which may start again under its ID; 0 if unknown.
	Born int64
	// ColdFor is how long the target stays cold.
	ColdFor time.Duration
}

// Config configures a Surveyor.
type Config struct {
	Clock     timekeeper.Clock
	Logger    logger.Logger
	Scope     tally.Scope
	Sequencer *sequencer.Sequencer
	// ListTargets reads the whole list. skipped is the number of its entries that could not be
	// used. A nil ListTargets means that the platform has no list.
	ListTargets func(ctx context.Context) (targets []Target, skipped int, err error)
	// Interval is the time between two readings.
	Interval time.Duration
}

// Surveyor holds the list as read in the current leader's term.
type Surveyor struct {
	config  Config
	mutex   sync.Mutex
	term    uint64
	change  uint64
	targets map[string]*knownTarget
	changed chan struct{}
	failing bool
	skipped int
	reads   tally.Counter
	errors  tally.Counter
	skips   tally.Counter
}

// knownTarget is a target with the number of its last change.
type knownTarget struct {
	target    Target
	change    uint64
	coldUntil time.Duration
	// statedLeave is set once an entry reported that the target stated that it is leaving. The list
	// shows it later.
	statedLeave bool
	// gone is when the target was first missing from the list, or 0 while it is listed.
	gone time.Duration
}

// NewSurveyor returns a Surveyor without targets.
func NewSurveyor(c Config) *Surveyor {
	return &Surveyor{
		config: c, targets: map[string]*knownTarget{}, changed: make(chan struct{}),
		reads: c.Scope.Counter("listReads"), errors: c.Scope.Counter("listErrors"), skips: c.Scope.Counter("listSkipped"),
	}
}

// Run reads the list every Interval while this member is the leader, until the context ends.
func (s *Surveyor) Run(ctx context.Context) error {
	return s.run(ctx)
}

// Changed returns a channel that is closed when the list next changes.
func (s *Surveyor) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Since returns what changed after a version, or nil if nothing did. For a version of another term it
// returns the whole list.
func (s *Surveyor) Since(v *wire.ListVersion) *wire.TargetChanges {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isNewer(v) {
		return nil
	}
	whole := v.GetTerm() != s.term
	out := &wire.TargetChanges{Version: &wire.ListVersion{Term: s.term, Change: s.change}, Whole: whole}
	now := s.config.Clock.Now()
	for _, k := range s.targets {
		if (whole && k.gone == 0) || (!whole && k.change > v.GetChange()) {
			out.Targets = append(out.Targets, k.message(now))
		}
	}
	return out
}

// ChangedSince reports whether anything changed after a version.
func (s *Surveyor) ChangedSince(v *wire.ListVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isNewer(v)
}

func (s *Surveyor) isNewer(v *wire.ListVersion) bool {
	return s.change > 0 && (v.GetTerm() != s.term || v.GetChange() < s.change)
}

// RecordLeaving records that targets stated to an entry that they are leaving.
func (s *Surveyor) RecordLeaving(term uint64, ids []string) {
	if len(ids) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.change
	for _, id := range ids {
		k := s.targets[id]
		if term != s.term || k == nil || k.gone != 0 || k.statedLeave {
			continue
		}
		k.statedLeave = true
		if !k.target.Leaving {
			s.change++
			k.target.Leaving, k.change = true, s.change
			s.logTarget(k)
		}
	}
	s.notify(before)
}

// notify wakes those who wait for changes after one.
func (s *Surveyor) notify(before uint64) {
	if s.change != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Version returns the term and the number of the latest change.
func (s *Surveyor) Version() (term, change uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term, s.change
}

// Slots returns the slots of the listed targets that are not leaving, by service and availability
// zone.
func (s *Surveyor) Slots() map[string]map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := map[string]map[string]float64{}
	for _, k := range s.targets {
		if k.gone != 0 || k.target.Leaving {
			continue
		}
		if out[k.target.Service] == nil {
			out[k.target.Service] = map[string]float64{}
		}
		out[k.target.Service][k.target.AvailabilityZone] += float64(k.target.Slots)
	}
	return out
}

func (s *Surveyor) run(ctx context.Context) error {
	if s.config.ListTargets == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	t := time.NewTicker(s.config.Interval)
	defer t.Stop()
	for {
		if v := s.config.Sequencer.View(); v.Serving() {
			s.readList(ctx, v.Term)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// readList reads the list once and logs when reading starts to fail, recovers, or skips entries.
func (s *Surveyor) readList(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.reads.Inc(1)
	list, skipped, err := s.config.ListTargets(ctx)
	if err != nil {
		s.errors.Inc(1)
		s.logFailure(err)
		return
	}
	if s.failing {
		s.failing = false
		s.config.Logger.Log(logger.ListReachable, logger.F("targets", len(list)))
	}
	if skipped > 0 {
		s.skips.Inc(int64(skipped))
		if skipped != s.skipped {
			s.config.Logger.Log(logger.ListEntriesSkipped, logger.F("skipped", skipped), logger.F("used", len(list)))
		}
	}
	s.skipped = skipped
	s.update(term, list)
}

func (s *Surveyor) logFailure(err error) {
	if !s.failing {
		s.config.Logger.Log(logger.ListUnreachable, logger.F("error", err))
	}
	s.failing = true
}

// update compares a reading with the known targets and numbers each change.
func (s *Surveyor) update(term uint64, list []Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, before := s.config.Clock.Now(), s.change
	if term != s.term {
		s.term, s.change, before = term, 0, 0
		s.targets = map[string]*knownTarget{}
	}
	seen := map[string]bool{}
	for _, t := range list {
		seen[t.ID] = true
		s.updateTarget(now, t)
	}
	for id, k := range s.targets {
		switch {
		case seen[id]:
		case k.gone == 0:
			s.recordGone(now, k)
		case now-k.gone > goneRetention:
			delete(s.targets, id)
		}
	}
	s.notify(before)
}

// updateTarget records a listed target as a change, unless entries need not be sent it.
func (s *Surveyor) updateTarget(now time.Duration, t Target) {
	coldUntil := now + t.ColdFor
	k := s.targets[t.ID]
	t.Leaving = t.Leaving || (k != nil && k.statedLeave)
	if k == nil {
		k = &knownTarget{target: t, coldUntil: coldUntil}
		s.targets[t.ID] = k
	} else if k.gone == 0 && k.target.Born != 0 && t.Born != 0 && k.target.Born != t.Born {
		// Entries drop what they know of the earlier start. The next reading adds the new one.
		s.recordGone(now, k)
		return
	} else if k.matches(now, t, coldUntil) {
		return
	}
	s.change++
	k.target, k.coldUntil, k.gone, k.change = t, coldUntil, 0, s.change
	s.logTarget(k)
}

func (s *Surveyor) recordGone(now time.Duration, k *knownTarget) {
	s.change++
	k.gone, k.change, k.statedLeave = now, s.change, false
	s.logTarget(k)
}

func (s *Surveyor) logTarget(k *knownTarget) {
	state := "ready"
	if k.gone != 0 {
		state = "gone"
	} else if k.target.Leaving {
		state = "leaving"
	}
	t := k.target
	s.config.Logger.Log(logger.TargetListed, logger.F("target", t.ID), logger.F("service", t.Service), logger.F("address", t.Address),
		logger.F("state", state), logger.F("version", t.Version), logger.F("cold", t.ColdFor), logger.F("change", k.change))
}

// matches reports whether a reading of a target has nothing that entries need to be sent.
func (k *knownTarget) matches(now time.Duration, t Target, coldUntil time.Duration) bool {
	old, next := k.target, t
	old.ColdFor, next.ColdFor = 0, 0
	if k.gone != 0 || old != next {
		return false
	}
	wasCold, isCold := k.coldUntil > now, coldUntil > now
	if !wasCold && !isCold {
		return true
	}
	return wasCold == isCold && (coldUntil-k.coldUntil).Abs() < minColdChange
}

// message encodes a target. The time for which it stays cold is counted from now.
func (k *knownTarget) message(now time.Duration) *wire.ListedTarget {
	t := k.target
	out := &wire.ListedTarget{
		Id: t.ID, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Version: t.Version, Slots: uint32(t.Slots),
		ColdMilliseconds: uint32(max(0, k.coldUntil-now) / time.Millisecond),
	}
	switch {
	case k.gone != 0:
		out.State = wire.TargetState_TARGET_STATE_GONE
	case t.Leaving:
		out.State = wire.TargetState_TARGET_STATE_LEAVING
	}
	return out
}
