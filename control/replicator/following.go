package replicator

import (
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Step takes in a message from another member.
func (c *Core) Step(now time.Duration, m *wire.Message) {
	if m.GetTo() != c.config.ID {
		return // meant for an earlier incarnation
	}
	if m.GetTerm() > c.term && !c.acceptTerm(now, m) {
		return
	}
	if m.GetTerm() < c.term {
		c.answerStale(m)
		return
	}
	c.dispatch(now, m)
}

// acceptTerm takes over a higher term, and tells whether the message is to be handled.
func (c *Core) acceptTerm(now time.Duration, m *wire.Message) bool {
	switch m.GetType() {
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return true
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return true
		}
	case wire.MessageType_MESSAGE_TYPE_VOTE:
		if c.hearsLeader(now) {
			return false
		}
	}
	c.becomeFollower(now, m.GetTerm(), 0)
	return true
}

// answerStale tells a sender of a lower term that it is behind.
func (c *Core) answerStale(m *wire.Message) {
	switch m.GetType() {
	case wire.MessageType_MESSAGE_TYPE_APPEND, wire.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Reject: true})
	case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (c *Core) dispatch(now time.Duration, m *wire.Message) {
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
		c.follow(now, m)
		c.handleAppend(m)
	case wire.MessageType_MESSAGE_TYPE_SNAPSHOT:
		c.follow(now, m)
		c.handleSnapshot(m)
	case wire.MessageType_MESSAGE_TYPE_APPEND_REPLY:
		c.handleAppendReply(now, m)
	}
}

func (c *Core) follow(now time.Duration, m *wire.Message) {
	c.config.Assert.That(c.standing != Leader, "oneLeaderPerTerm",
		"term %d has leaders %d and %d", c.term, c.config.ID, m.GetFrom())
	c.becomeFollower(now, m.GetTerm(), m.GetFrom())
	c.heard = now
}

func (c *Core) handleAppend(m *wire.Message) {
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	if m.GetIndex() < c.log.offset {
		reply.Index = c.commit // all up to here is committed
		c.send(reply)
		return
	}
	if !c.matches(m.GetIndex(), m.GetLogTerm()) {
		reply.Reject, reply.Hint = true, c.log.conflictHint(m.GetIndex())
		c.send(reply)
		return
	}
	c.merge(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	c.commitTo(min(m.GetCommit(), reply.GetIndex()))
	c.send(reply)
}

func (c *Core) matches(index, term uint64) bool {
	return index <= c.log.last() && c.log.term(index) == term
}

// merge appends entries, and drops own ones that differ.
func (c *Core) merge(entries []*wire.LogEntry) {
	for i, e := range entries {
		if c.matches(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= c.log.last() {
			c.truncate(e.GetIndex())
		}
		c.log.append(entries[i:]...)
		for _, f := range entries[i:] {
			if f.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
				c.useMembers(f)
			}
		}
		return
	}
}

func (c *Core) truncate(index uint64) {
	c.config.Assert.That(index > c.commit, "committedKept", "truncate at %d, commit %d", index, c.commit)
	c.log.truncate(index)
	c.unsavedEntry = min(c.unsavedEntry, index)
	if c.memberIndex >= index {
		c.resetMembers()
	}
}

func (c *Core) handleSnapshot(m *wire.Message) {
	s := m.GetSnapshot()
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	switch {
	case s.GetIndex() <= c.commit:
		reply.Index = c.commit
	case c.matches(s.GetIndex(), s.GetTerm()):
		c.commitTo(s.GetIndex())
		reply.Index = s.GetIndex()
	default:
		c.install(s)
		reply.Index = s.GetIndex()
	}
	c.send(reply)
}

func (c *Core) install(s *wire.Snapshot) {
	c.log.replace(s)
	c.commit, c.applied = s.GetIndex(), s.GetIndex()
	c.unsavedEntry = s.GetIndex() + 1
	c.installed, c.appliedMembers = s, s.GetMembership()
	c.resetMembers()
}
