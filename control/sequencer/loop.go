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
			s.withLock(func() { s.handleMessages(m) })
		case p := <-s.proposals:
			s.withLock(func() { s.proposeBatch(p) })
		case f := <-s.calls:
			s.withLock(f)
		case <-t.C:
			s.withLock(s.tick)
		}
		if err := s.processReady(ctx); err != nil {
			return err
		}
	}
}

func (s *Sequencer) withLock(f func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f()
}

func (s *Sequencer) tick() {
	now := s.config.Clock.Now()
	s.core.Tick(now)
	s.core.ContinueReplacement(now)
}

// handleMessages handles a message and at most maxBatchSize more that are queued behind it.
func (s *Sequencer) handleMessages(m *wire.Message) {
	now := s.config.Clock.Now()
	s.core.Step(now, m)
	for range min(len(s.inbox), maxBatchSize) {
		s.core.Step(now, <-s.inbox)
	}
}

// proposeBatch proposes a command and at most maxBatchSize more that are queued behind it, so that
// one write saves them all.
func (s *Sequencer) proposeBatch(first *proposal) {
	queued := []*proposal{first}
	for range min(len(s.proposals), maxBatchSize) {
		queued = append(queued, <-s.proposals)
	}
	var batch []*proposal
	var commands [][]byte
	for _, p := range queued {
		if p.onlyIn != 0 && p.onlyIn != s.core.Term() {
			p.done <- proposalResult{err: ErrNotLeader}
			continue
		}
		batch, commands = append(batch, p), append(commands, p.command)
	}
	index, term, ok := s.core.Propose(s.config.Clock.Now(), commands...)
	for i, p := range batch {
		if !ok {
			p.done <- proposalResult{err: ErrNotLeader}
			continue
		}
		p.term = term
		entryIndex := index + uint64(i)
		s.pendingProposals[entryIndex] = append(s.pendingProposals[entryIndex], p)
	}
}

// processReady does the work that the core returns: save, send, apply. Then it compacts the log if it
// is due.
func (s *Sequencer) processReady(ctx context.Context) error {
	var r replicator.Ready
	s.withLock(func() { r = s.core.Ready() })
	if err := s.save(ctx, r.Write); err != nil {
		return err
	}
	s.config.Send(r.Messages)
	if r.InstalledSnapshot != nil {
		err := s.config.State.Restore(r.InstalledSnapshot.GetIndex(), r.InstalledSnapshot.GetData())
		s.config.Assert.That(err == nil, "snapshotReadable", "index %d: %v", r.InstalledSnapshot.GetIndex(), err)
		s.config.Logger.Log(logger.SnapshotInstalled, logger.F("index", r.InstalledSnapshot.GetIndex()))
		s.failSuperseded(r.InstalledSnapshot.GetIndex())
	}
	for _, e := range r.CommittedEntries {
		s.apply(e)
	}
	if s.core.CompactableEntries() >= SnapshotThreshold {
		if err := s.compact(ctx); err != nil {
			return err
		}
	}
	s.publishView(s.View())
	return nil
}

// save attempts a write until it succeeds or the context ends; until then nothing is
// acknowledged.
func (s *Sequencer) save(ctx context.Context, w recorder.Write) error {
	if w.Empty() {
		return nil
	}
	stopwatch := s.saveTime.Start()
	defer stopwatch.Stop()
	for {
		err := s.config.Recorder.Save(w)
		if err == nil {
			return nil
		}
		s.config.Logger.Log(logger.StorageFailed, logger.F("error", err))
		s.publishFollower()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(saveRetryDelay):
		}
	}
}

// publishFollower publishes a View of a follower without a leader while this member can't write,
// so that operators and entries turn to another member.
func (s *Sequencer) publishFollower() {
	old := s.View()
	if old.Standing == replicator.Follower && old.LeaderID == 0 {
		return
	}
	n := *old
	n.Standing, n.LeaderID, n.serving, n.changed = replicator.Follower, 0, false, make(chan struct{})
	s.trackLeadership(old, &n)
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
	for _, p := range s.pendingProposals[e.GetIndex()] {
		if p.term == e.GetTerm() {
			p.done <- proposalResult{result: result}
			continue
		}
		p.done <- proposalResult{err: ErrUnknown}
	}
	delete(s.pendingProposals, e.GetIndex())
}

// failSuperseded ends the proposals up to the index of an installed snapshot with ErrUnknown, since
// the snapshot does not show whether they are committed.
func (s *Sequencer) failSuperseded(index uint64) {
	for entryIndex, list := range s.pendingProposals {
		if entryIndex > index {
			continue
		}
		for _, p := range list {
			p.done <- proposalResult{err: ErrUnknown}
		}
		delete(s.pendingProposals, entryIndex)
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

// publishView stores a new View if any of its fields changed, and closes the channel of the old
// one.
func (s *Sequencer) publishView(old *View) {
	n := &View{
		ID:             s.config.Recorder.Restored.Incarnation,
		Standing:       s.core.RaftState(),
		Term:           s.core.Term(),
		LeaderID:       s.core.LeaderID(),
		Members:        s.core.Members(),
		Commit:         s.core.Commit(),
		Applied:        s.core.Applied(),
		LeaderSince:    old.LeaderSince,
		confirmedRound: s.core.ConfirmedRound(),
		serving:        s.core.RoundConfirmed(0),
		changed:        make(chan struct{}),
	}
	if sameView(n, old) {
		return
	}
	s.trackLeadership(old, n)
	s.view.Store(n)
	if old.changed != nil {
		close(old.changed)
	}
}

// trackLeadership logs that this member became or ceased to be the leader. In the first case it
// sets LeaderSince.
func (s *Sequencer) trackLeadership(old, n *View) {
	leading, wasLeading := n.Standing == replicator.Leader, old.Standing == replicator.Leader
	if leading && (!wasLeading || n.Term != old.Term) {
		n.LeaderSince = s.config.Clock.Now()
		s.config.Logger.Log(logger.LeaderElected, logger.F("term", n.Term))
	}
	if wasLeading && !leading {
		s.config.Logger.Log(logger.LeaderLost, logger.F("term", n.Term))
	}
}

func sameView(a, b *View) bool {
	return b.changed != nil && a.Standing == b.Standing && a.Term == b.Term && a.LeaderID == b.LeaderID &&
		a.Members == b.Members && a.Commit == b.Commit && a.Applied == b.Applied &&
		a.confirmedRound == b.confirmedRound && a.serving == b.serving
}
