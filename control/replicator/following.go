package replicator

import (
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Step handles a message from another member.
func (c *Core) Step(now time.Duration, m *wire.Message) {
	if m.GetTo() != c.config.ID {
		return // addressed to an earlier incarnation of this member
	}
	if m.GetTerm() > c.term && !c.acceptTerm(now, m) {
		return
	}
	if m.GetTerm() < c.term {
		c.rejectStale(m)
		return
	}
	c.handleMessage(now, m)
}

// acceptTerm handles the higher term of a message and reports whether to process the message.
// Pre-votes that are asked for or granted leave the term as it is; a vote request is dropped
// while a leader is live.
func (c *Core) acceptTerm(now time.Duration, m *wire.Message) bool {
	switch m.GetType() {
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return true
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true
		}
	case wire.MessageType_MESSAGE_TYPE_VOTE:
		if c.hasLiveLeader(now) {
			return false
		}
	}
	c.becomeFollower(now, m.GetTerm(), 0)
	return true
}

// rejectStale rejects a message of a lower term, so that its sender learns the current term. Vote
// requests and replies of a lower term get no reply.
func (c *Core) rejectStale(m *wire.Message) {
	switch m.GetType() {
	case wire.MessageType_MESSAGE_TYPE_APPEND, wire.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Reject: true})
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (c *Core) handleMessage(now time.Duration, m *wire.Message) {
	switch m.GetType() {
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.handlePreVote(now, m)
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		c.handleVoteReply(now, m, PreCandidate, c.term+1)
	case wire.MessageType_MESSAGE_TYPE_VOTE:
		c.handleVote(now, m)
	case wire.MessageType_MESSAGE_TYPE_VOTE_REPLY:
		c.handleVoteReply(now, m, Candidate, c.term)
	case wire.MessageType_MESSAGE_TYPE_APPEND:
		c.followLeader(now, m)
		c.handleAppend(m)
	case wire.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.followLeader(now, m)
		c.handleSnapshot(m)
	case wire.MessageType_MESSAGE_TYPE_APPEND_REPLY:
		c.handleAppendReply(now, m)
	}
}

func (c *Core) followLeader(now time.Duration, m *wire.Message) {
	c.config.Assert.That(c.raftState != Leader, "oneLeaderPerTerm",
		"term %d has leaders %d and %d", c.term, c.config.ID, m.GetFrom())
	c.becomeFollower(now, m.GetTerm(), m.GetFrom())
	c.leaderContactAt = now
}

func (c *Core) handleAppend(m *wire.Message) {
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetIndex() < c.log.snapshotIndex {
		reply.Index = c.commit // the log is committed up to here
		c.send(reply)
		return
	}
	if !c.matchesTerm(m.GetIndex(), m.GetLogTerm()) {
		reply.Reject, reply.Hint = true, c.log.conflictHint(m.GetIndex())
		c.send(reply)
		return
	}
	c.mergeEntries(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	c.commitTo(min(m.GetCommit(), reply.GetIndex()))
	c.send(reply)
}

func (c *Core) matchesTerm(index, term uint64) bool {
	return index <= c.log.lastIndex() && c.log.term(index) == term
}

// mergeEntries appends the entries of the leader and drops own entries that conflict with them.
func (c *Core) mergeEntries(entries []*wire.LogEntry) {
	for i, e := range entries {
		if c.matchesTerm(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= c.log.lastIndex() {
			c.truncate(e.GetIndex())
		}
		c.log.append(entries[i:]...)
		for _, f := range entries[i:] {
			if f.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
				c.adoptMembers(f)
			}
		}
		return
	}
}

func (c *Core) truncate(index uint64) {
	c.config.Assert.That(index > c.commit, "committedKept", "truncate at %d, commit %d", index, c.commit)
	c.log.truncate(index)
	c.firstUnsavedIndex = min(c.firstUnsavedIndex, index)
	if c.membersIndex >= index {
		c.reloadMembers()
	}
}

func (c *Core) handleSnapshot(m *wire.Message) {
	s := m.GetSnapshot()
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	switch {
	case s.GetIndex() <= c.commit:
		reply.Index = c.commit
	case c.matchesTerm(s.GetIndex(), s.GetTerm()):
		c.commitTo(s.GetIndex())
		reply.Index = s.GetIndex()
	default:
		c.installSnapshot(s)
		reply.Index = s.GetIndex()
	}
	c.send(reply)
}

func (c *Core) installSnapshot(s *wire.Snapshot) {
	c.log.restore(s)
	c.commit, c.applied = s.GetIndex(), s.GetIndex()
	c.firstUnsavedIndex = s.GetIndex() + 1
	c.installedSnapshot, c.appliedMembers = s, s.GetMembership()
	c.reloadMembers()
}
