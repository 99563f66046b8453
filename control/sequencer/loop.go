package sequencer

import (
	"context"
	"time"

	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
)

func (s *Sequencer) run(ctx context.Context) error {
	t := time.NewTicker(s.config.Heartbeat / ticksPerHeartbeat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.inbox:
			s.locked(func() { s.step(m) })
		case p := <-s.proposals:
			s.locked(func() { s.propose(p) })
		case f := <-s.calls:
			s.locked(f)
		case <-t.C:
			s.locked(s.tick)
		}
		if err := s.settle(ctx); err != nil {
			return err
		}
	}
}

func (s *Sequencer) locked(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f()
}

func (s *Sequencer) tick() {
	now := s.config.Clock.Now()
	s.core.Tick(now)
	s.core.ContinueReplacement(now)
}

// step handles a message and those that wait behind it.
func (s *Sequencer) step(m *wire.Message) {
	now := s.config.Clock.Now()
	s.core.Step(now, m)
	for range min(len(s.inbox), maxBatch) {
		s.core.Step(now, <-s.inbox)
	}
}

// propose proposes a command and those that wait behind it, for one write together.
func (s *Sequencer) propose(first *proposal) {
	batch := []*proposal{first}
	for range min(len(s.proposals), maxBatch) {
		batch = append(batch, <-s.proposals)
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.command)
	}
	index, term, ok := s.core.Propose(s.config.Clock.Now(), commands...)
	for i, p := range batch {
		if !ok {
			p.done <- answer{err: ErrNotLeader}
			continue
		}
		p.term = term
		at := index + uint64(i)
		s.waiting[at] = append(s.waiting[at], p)
	}
}

// settle does what the core asks for: save, send, apply.
func (s *Sequencer) settle(ctx context.Context) error {
	var r replicator.Ready
	s.locked(func() { r = s.core.Ready() })
	if err := s.save(ctx, r.Write); err != nil {
		return err
	}
	s.config.Send(r.Messages)
	if r.InstalledSnapshot != nil {
		err := s.config.State.Restore(r.InstalledSnapshot.GetIndex(), r.InstalledSnapshot.GetData())
		s.config.Assert.That(err == nil, "snapshotReadable", "index %d: %v", r.InstalledSnapshot.GetIndex(), err)
		s.config.Logger.Log(logger.SnapshotInstalled, logger.F("index", r.InstalledSnapshot.GetIndex()))
		s.forget(r.InstalledSnapshot.GetIndex())
	}
	for _, e := range r.CommittedEntries {
		s.apply(e)
	}
	if s.core.CompactableEntries() >= SnapshotEvery {
		if err := s.compact(ctx); err != nil {
			return err
		}
	}
	s.publish(s.View())
	return nil
}

// save repeats a refused write until it succeeds; meanwhile nothing is acknowledged.
func (s *Sequencer) save(ctx context.Context, w recorder.Write) error {
	if w.Empty() {
		return nil
	}
	watch := s.saveTime.Start()
	defer watch.Stop()
	for {
		err := s.config.Recorder.Save(w)
		if err == nil {
			return nil
		}
		s.config.Logger.Log(logger.StorageFailed, logger.F("error", err))
		s.standDown()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(saveRetry):
		}
	}
}

// standDown shows a member that can't write as one that does not lead, so that operators
// and entries turn to another.
func (s *Sequencer) standDown() {
	old := s.View()
	if old.Standing == replicator.Follower && old.LeaderID == 0 {
		return
	}
	n := *old
	n.Standing, n.LeaderID, n.serving, n.changed = replicator.Follower, 0, false, make(chan struct{})
	s.noteLeadership(old, &n)
	s.view.Store(&n)
	close(old.changed)
}

func (s *Sequencer) apply(e *wire.LogEntry) {
	var command []byte
	if e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
		command = e.GetData()
	} else {
		s.config.Logger.Log(logger.MembershipChanged, logger.F("index", e.GetIndex()))
	}
	result := s.config.State.Apply(e.GetIndex(), command)
	s.commits.Inc(1)
	for _, p := range s.waiting[e.GetIndex()] {
		if p.term == e.GetTerm() {
			p.done <- answer{result: result}
			continue
		}
		p.done <- answer{err: ErrUnknown}
	}
	delete(s.waiting, e.GetIndex())
}

// forget answers the proposals up to an index that a snapshot has passed over.
func (s *Sequencer) forget(index uint64) {
	for at, list := range s.waiting {
		if at > index {
			continue
		}
		for _, p := range list {
			p.done <- answer{err: ErrUnknown}
		}
		delete(s.waiting, at)
	}
}

func (s *Sequencer) compact(ctx context.Context) error {
	state, err := s.config.State.Snapshot()
	if err != nil {
		return err
	}
	if err := s.save(ctx, s.core.Compact(state)); err != nil {
		return err
	}
	s.config.Logger.Log(logger.SnapshotSaved, logger.F("index", s.core.Applied()), logger.F("bytes", len(state)))
	return nil
}

// publish makes a new View if anything in it changed, and wakes those that wait for one.
func (s *Sequencer) publish(old *View) {
	n := &View{
		ID:          s.config.Recorder.Restored.Incarnation,
		Standing:    s.core.RaftState(),
		Term:        s.core.Term(),
		LeaderID:    s.core.LeaderID(),
		Members:     s.core.Members(),
		Commit:      s.core.Commit(),
		Applied:     s.core.Applied(),
		LeaderSince: old.LeaderSince,
		confirmed:   s.core.ConfirmedRound(),
		serving:     s.core.RoundConfirmed(0),
		changed:     make(chan struct{}),
	}
	if same(n, old) {
		return
	}
	s.noteLeadership(old, n)
	s.view.Store(n)
	if old.changed != nil {
		close(old.changed)
	}
}

func (s *Sequencer) noteLeadership(old, n *View) {
	leads, led := n.Standing == replicator.Leader, old.Standing == replicator.Leader
	if leads && (!led || n.Term != old.Term) {
		n.LeaderSince = s.config.Clock.Now()
		s.config.Logger.Log(logger.LeaderElected, logger.F("term", n.Term))
	}
	if led && !leads {
		s.config.Logger.Log(logger.LeaderLost, logger.F("term", n.Term))
	}
}

func same(a, b *View) bool {
	return b.changed != nil && a.Standing == b.Standing && a.Term == b.Term && a.LeaderID == b.LeaderID &&
		a.Members == b.Members && a.Commit == b.Commit && a.Applied == b.Applied &&
		a.confirmed == b.confirmed && a.serving == b.serving
}
