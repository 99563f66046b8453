// Package surveyor follows the platform's list of targets on the leader and tells entries
// what changed. The list is not replicated: each leader reads it anew.
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

// Times of the survey.
const (
	// listTimeout bounds one reading of the list, all its pages together.
	listTimeout = 2 * time.Second
	// coldJump is the change of the time to warm up that is told to entries.
	coldJump = 500 * time.Millisecond
	// goneSpan is how long a target that left the list is told as gone.
	goneSpan = time.Minute
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
	// ColdFor is how long the target stays cold.
	ColdFor time.Duration
}

// Config sets up a Surveyor.
type Config struct {
	Clock     timekeeper.Clock
	Logger    logger.Logger
	Scope     tally.Scope
	Sequencer *sequencer.Sequencer
	// List reads the whole list and counts the entries that could not be used; nil means
	// that there is none.
	List func(ctx context.Context) (targets []Target, skipped int, err error)
	// Interval is the pause between two readings.
	Interval time.Duration
}

// Surveyor holds the list of this leader's term.
type Surveyor struct {
	config  Config
	mutex   sync.Mutex
	term    uint64
	change  uint64
	targets map[string]*kept
	changed chan struct{}
	failing bool
	skipped int
	reads   tally.Counter
	errors  tally.Counter
	bad     tally.Counter
}

// kept is a target with the number of its last change.
type kept struct {
	target    Target
	change    uint64
	coldUntil time.Duration
	// gone is when the target was first missing from the list; 0 means that it is on it.
	gone time.Duration
}

// NewSurveyor returns a Surveyor that knows no target.
func NewSurveyor(c Config) *Surveyor {
	return &Surveyor{
		config: c, targets: map[string]*kept{}, changed: make(chan struct{}),
		reads: c.Scope.Counter("listReads"), errors: c.Scope.Counter("listErrors"), bad: c.Scope.Counter("listSkipped"),
	}
}

// Run reads the list while this member leads, until the context ends.
func (s *Surveyor) Run(ctx context.Context) error {
	return s.run(ctx)
}

// Changed is closed when there is something newer.
func (s *Surveyor) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Since returns what changed after a version, or nil if nothing did.
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

// ChangedSince tells whether anything changed after a version.
func (s *Surveyor) ChangedSince(v *wire.ListVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isNewer(v)
}

func (s *Surveyor) isNewer(v *wire.ListVersion) bool {
	return s.change > 0 && (v.GetTerm() != s.term || v.GetChange() < s.change)
}

// Version names the latest state of the list.
func (s *Surveyor) Version() (term, change uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term, s.change
}

// Slots returns the slots of the targets that take work, by service and availability zone.
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
	if s.config.List == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	t := time.NewTicker(s.config.Interval)
	defer t.Stop()
	for {
		if v := s.config.Sequencer.View(); v.Serving() {
			s.read(ctx, v.Term)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (s *Surveyor) read(ctx context.Context, term uint64) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	s.reads.Inc(1)
	list, skipped, err := s.config.List(ctx)
	if err != nil {
		s.errors.Inc(1)
		s.noteFailure(err)
		return
	}
	if s.failing {
		s.failing = false
		s.config.Logger.Log(logger.ListReachable, logger.F("targets", len(list)))
	}
	if skipped > 0 {
		s.bad.Inc(int64(skipped))
		if skipped != s.skipped {
			s.config.Logger.Log(logger.ListEntriesSkipped, logger.F("skipped", skipped), logger.F("used", len(list)))
		}
	}
	s.skipped = skipped
	s.take(term, list)
}

func (s *Surveyor) noteFailure(err error) {
	if !s.failing {
		s.config.Logger.Log(logger.ListUnreachable, logger.F("error", err))
	}
	s.failing = true
}

// take compares a reading with what was known and numbers each difference.
func (s *Surveyor) take(term uint64, list []Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, before := s.config.Clock.Now(), s.change
	if term != s.term {
		s.term, s.change, before = term, 0, 0
		s.targets = map[string]*kept{}
	}
	seen := map[string]bool{}
	for _, t := range list {
		seen[t.ID] = true
		s.takeTarget(now, t)
	}
	for id, k := range s.targets {
		switch {
		case seen[id]:
		case k.gone == 0:
			s.change++
			k.gone, k.change = now, s.change
			s.log(k)
		case now-k.gone > goneSpan:
			delete(s.targets, id)
		}
	}
	if s.change != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *Surveyor) takeTarget(now time.Duration, t Target) {
	coldUntil := now + t.ColdFor
	k := s.targets[t.ID]
	if k == nil {
		k = &kept{target: t, coldUntil: coldUntil}
		s.targets[t.ID] = k
	} else if k.same(now, t, coldUntil) {
		return
	}
	s.change++
	k.target, k.coldUntil, k.gone, k.change = t, coldUntil, 0, s.change
	s.log(k)
}

func (s *Surveyor) log(k *kept) {
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

// same tells whether entries know all of a reading already.
func (k *kept) same(now time.Duration, t Target, coldUntil time.Duration) bool {
	old, next := k.target, t
	old.ColdFor, next.ColdFor = 0, 0
	if k.gone != 0 || old != next {
		return false
	}
	wasCold, isCold := k.coldUntil > now, coldUntil > now
	if !wasCold && !isCold {
		return true
	}
	return wasCold == isCold && (coldUntil-k.coldUntil).Abs() < coldJump
}

func (k *kept) message(now time.Duration) *wire.ListedTarget {
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
