// Package mover carries out the moves of the text: it raises the share of the new side by a
// schedule that meets the deadline, compares the new side with the old one, and takes a move
// back once the evidence shows that the new side is worse.
package mover

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Intervals and timeouts of the mover.
const (
	// WindowLength is the length of one window of evidence.
	WindowLength = 500 * time.Millisecond
	// settleInterval is the time between two checks whether a finished move has come into force.
	settleInterval = 100 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// Config configures a Mover.
type Config struct {
	Logger    logger.Logger
	Assert    *asserter.Asserter
	Sequencer *sequencer.Sequencer
	State     *applier.State
	// Callers returns the state of each entry that polled in this term.
	Callers func() map[wire.EntryRun]distributor.Caller
	// MostReport reports whether most entries that may serve requests have polled with the records up to an index.
	MostReport func(index uint64) bool
	// InForce returns the highest index that every entry has that may serve requests, if it is known.
	InForce func() (index uint64, ok bool)
	// Now returns the wall-clock time, which deadlines refer to. It may jump, unlike Clock.
	Now   func() time.Time
	Clock timekeeper.Clock
}

// Mover carries out moves while its control member is the leader.
type Mover struct {
	config Config
	mutex  sync.Mutex
	judges map[string]*Judge
	// holdReasons is why each move was held at the last check, or "", by move.
	holdReasons map[string]string
	// settling holds since when the last record of each finished move has been in force, by move.
	settling map[string]settlement
	// unsettled is set while a finished move may have to settle.
	unsettled bool
	// term is the term in which the judges collected their evidence.
	term uint64
}

// NewMover returns a Mover without evidence.
func NewMover(c Config) *Mover {
	return &Mover{config: c, judges: map[string]*Judge{}, holdReasons: map[string]string{}, settling: map[string]settlement{}}
}

// Run advances moves until the context ends.
func (m *Mover) Run(ctx context.Context) error {
	return m.run(ctx)
}

// Status returns the status of every move of the text in force.
func (m *Mover) Status() []*wire.MoveStatus {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c, err := m.config.State.Configuration()
	if err != nil || c == nil {
		return nil
	}
	records := m.config.State.Moves()
	var out []*wire.MoveStatus
	for _, n := range slices.Sorted(maps.Keys(c.Moves)) {
		out = append(out, m.statusOf(c.Moves[n], records[n]))
	}
	return out
}

// statusOf returns the status of a move, with the evidence if there is a judge for it. r is the record under
// the move's name, or nil.
func (m *Mover) statusOf(v *parser.Move, r *wire.MoveRecord) *wire.MoveStatus {
	from, to := v.Sides()
	if !describes(r, v) {
		r = nil
	}
	s := &wire.MoveStatus{
		Name: v.Name, Move: r, Service: v.Service, From: from, To: to, Cap: v.Cap, DeadlineUnixMilliseconds: v.Deadline.UnixMilli(),
	}
	j := m.judges[v.Name]
	if j == nil || j.move.Definition != v.Definition {
		return s
	}
	s.Limit = j.limit
	for _, n := range j.routeNames() {
		w := j.routes[n].assessor.Verdict()
		s.Routes = append(s.Routes, &wire.RouteVerdict{
			Route: n, Old: wire.ToVersionTally(w.Old), New: wire.ToVersionTally(w.New),
			OldSlow: uint32(w.OldSlow), NewSlow: uint32(w.NewSlow), Evidence: j.relevantEvidence(w),
		})
	}
	return s
}

// describes reports whether a record tells how far a move is. Between the order of a move and its first record,
// the record under its name is that of an earlier move. If only the schedule differs, entries follow the record
// while it is under way; its end is not that of the new schedule.
func describes(r *wire.MoveRecord, v *parser.Move) bool {
	return r.GetDefinition() == v.Definition || (r.GetCourse() == v.Course() && !IsFinished(r))
}

func (m *Mover) run(ctx context.Context) error {
	windows, settles := time.NewTicker(WindowLength), time.NewTicker(settleInterval)
	defer windows.Stop()
	defer settles.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-settles.C:
			m.settleMoves()
			continue
		case <-windows.C:
		}
		v := m.config.Sequencer.View()
		if !v.Serving() {
			continue
		}
		for _, c := range m.plan(v.Term) {
			m.propose(ctx, v.Term, c)
		}
	}
}

// plan adds a window of evidence to each judge. It returns the changes of moves that are due, and
// the removals of moves that are no longer in the text.
func (m *Mover) plan(term uint64) []*wire.AdvanceMoveCommand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c, err := m.config.State.Configuration()
	if err != nil || c == nil {
		return nil
	}
	if term != m.term {
		m.term, m.judges, m.settling = term, map[string]*Judge{}, map[string]settlement{}
	}
	callers, records := m.config.Callers(), m.config.State.Moves()
	var out []*wire.AdvanceMoveCommand
	for _, n := range slices.Sorted(maps.Keys(c.Moves)) {
		if next := m.planMove(c, c.Moves[n], records, callers); next != nil {
			out = append(out, &wire.AdvanceMoveCommand{Move: next})
		}
	}
	for n, r := range records {
		if c.Moves[n] == nil {
			delete(m.judges, n)
			delete(m.holdReasons, n)
			delete(m.settling, n)
			out = append(out, &wire.AdvanceMoveCommand{
				Move: &wire.MoveRecord{Name: n, Change: r.GetChange() + 1}, Removed: true,
			})
		}
	}
	return out
}

// planMove returns the first or the next record of a move, or nil if nothing changes.
func (m *Mover) planMove(c *parser.Configuration, v *parser.Move, records map[string]*wire.MoveRecord, callers map[wire.EntryRun]distributor.Caller) *wire.MoveRecord {
	r := records[v.Name]
	now := m.config.Now()
	routes := c.RoutesOf(v.Service)
	if old := wire.FindMove(records, v.Name, v.Course()); r == nil && old != nil {
		r = proto.CloneOf(old) // the move was renamed; changes are counted from 0 under its new name
		r.Change = 0
	}
	if r.GetDefinition() != v.Definition || r.GetName() != v.Name {
		next := FirstRecord(v, Schedule(v, routes, now), r, now)
		m.judges[v.Name] = NewJudge(v, routes, now)
		m.judges[v.Name].timeOf(next, now, m.config.Clock.Now()) // the move begins now, whatever the time of day is later
		return next
	}
	if IsFinished(r) {
		if !m.settle(r) {
			m.unsettled = true
		}
		return nil
	}
	begun := time.UnixMilli(r.GetBegunUnixMilliseconds())
	j := m.judges[v.Name]
	if j == nil || j.move.Definition != v.Definition {
		j = NewJudge(v, routes, begun)
		m.judges[v.Name] = j
	}
	j.follow(r)
	j.AddWindow(Window{Callers: callers, Complete: m.config.MostReport(m.config.State.MoveIndex(v.Name))})
	list := Schedule(v, routes, begun)
	now = j.timeOf(r, now, m.config.Clock.Now())
	next, held := NextRecord(v, list, r, j, now)
	m.logHold(v, held, now)
	if next != nil {
		m.checkStep(v, r, next)
	}
	return next
}

// checkStep asserts that a step raises no share by more than the cap.
func (m *Mover) checkStep(v *parser.Move, r, next *wire.MoveRecord) {
	m.config.Assert.That(next.GetShare()-r.GetShare() <= v.Cap+shareTolerance, "moveCapKept", "move %s: %g after %g", v.Name, next.GetShare(), r.GetShare())
	m.config.Assert.That(next.GetOnceShare()-r.GetOnceShare() <= v.Cap+shareTolerance, "moveCapKept", "move %s: %g after %g", v.Name, next.GetOnceShare(), r.GetOnceShare())
}

// logHold logs why a move is held, whenever the reason changes.
func (m *Mover) logHold(v *parser.Move, why string, now time.Time) {
	if why != "" && m.holdReasons[v.Name] != why {
		m.config.Logger.Log(logger.MoveHeld, logger.F("move", v.Name), logger.F("reason", why), logger.F("late", now.After(v.Deadline)))
	}
	m.holdReasons[v.Name] = why
}

// propose proposes a change of a move in the term in which it was planned, and logs it once it is applied.
func (m *Mover) propose(ctx context.Context, term uint64, c *wire.AdvanceMoveCommand) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := m.config.Sequencer.ProposeIn(ctx, term, &wire.Command{Kind: &wire.Command_AdvanceMove{AdvanceMove: c}})
	if err != nil || !r.Done || c.GetRemoved() {
		return // after a failure, the next round plans from the state at that time
	}
	n := c.GetMove()
	event := logger.MoveStepped
	switch {
	case n.GetStage() == wire.MoveStage_MOVE_STAGE_TAKEN_BACK:
		event = logger.MoveTakenBack
	case n.GetStage() == wire.MoveStage_MOVE_STAGE_DONE:
		event = logger.MoveDone
	case n.GetBegunUnixMilliseconds() == n.GetSteppedUnixMilliseconds():
		event = logger.MoveBegun
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.unsettled = m.unsettled || IsFinished(n)
	m.config.Logger.Log(event, logger.F("move", n.GetName()), logger.F("share", n.GetShare()),
		logger.F("onceShare", n.GetOnceShare()), logger.F("reason", n.GetReason()), logger.F("term", term),
		logger.F("watched", m.watched(n.GetName())))
}

// watched returns how long this leader has watched the step that a move just left.
func (m *Mover) watched(move string) time.Duration {
	if j := m.judges[move]; j != nil {
		return time.Duration(j.windows) * WindowLength
	}
	return 0
}
