package replicator

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Errors of a membership change that can't be proposed now.
var (
	ErrNotLeader       = errors.New("not the leader")
	ErrChangePending   = errors.New("another change of members is not committed yet")
	ErrMultipleChanges = errors.New("a change may add, promote or remove one member only")
)

// ProposeMembers appends a membership that differs from the current one in at most one voter.
// It returns ErrNotLeader, ErrChangePending or ErrMultipleChanges if it proposes nothing.
func (c *Core) ProposeMembers(now time.Duration, m *wire.Membership) error {
	if c.raftState != Leader {
		return ErrNotLeader
	}
	if c.membersIndex > c.commit || c.commit < c.termStartIndex {
		return ErrChangePending
	}
	if voterDifference(c.members, m) > 1 {
		return ErrMultipleChanges
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding members")
	}
	c.appendEntry(wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP, b)
	c.broadcast(now)
	c.advanceCommit()
	return nil
}

// CaughtUp reports whether a peer stores every committed entry. It is false while this member is
// not the leader or has committed no entry of its term.
func (c *Core) CaughtUp(id uint64) bool {
	p := c.peers[id]
	return p != nil && p.match >= c.commit && c.commit >= c.termStartIndex
}

// reloadMembers takes the members from the last log entry that has them, or else from the snapshot.
func (c *Core) reloadMembers() {
	c.members, c.membersIndex = c.log.snapshot.GetMembership(), c.log.snapshotIndex
	if c.members == nil {
		c.members = &wire.Membership{}
	}
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
			c.adoptMembers(e)
			return
		}
	}
	c.updatePeers()
}

func (c *Core) adoptMembers(e *wire.LogEntry) {
	c.members, c.membersIndex = c.decodeMembers(e), e.GetIndex()
	c.updatePeers()
}

func (c *Core) decodeMembers(e *wire.LogEntry) *wire.Membership {
	m := &wire.Membership{}
	err := proto.Unmarshal(e.GetData(), m)
	c.config.Assert.That(err == nil, "membersReadable", "index %d: %v", e.GetIndex(), err)
	return m
}

// updatePeers adapts the leader's progress to the members: present peers keep theirs.
func (c *Core) updatePeers() {
	if c.raftState != Leader {
		return
	}
	old := c.peers
	c.peers = map[uint64]*progress{}
	for _, m := range c.members.GetMembers() {
		if m.GetId() == c.config.ID {
			continue
		}
		p := old[m.GetId()]
		if p == nil {
			p = &progress{next: c.log.lastIndex() + 1, repliedAt: never, snapshotSentAt: never}
		}
		c.peers[m.GetId()] = p
	}
}

func (c *Core) isVoter(id uint64) bool {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == id {
			return !m.GetLearner()
		}
	}
	return false
}

// hasQuorum reports whether a majority of the voters satisfies a condition.
func (c *Core) hasQuorum(holds func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, m := range c.members.GetMembers() {
		if m.GetLearner() {
			continue
		}
		voters++
		if holds(m.GetId()) {
			yes++
		}
	}
	return yes > voters/2
}

func voterDifference(a, b *wire.Membership) int {
	voters := map[uint64]int{}
	for _, m := range a.GetMembers() {
		if !m.GetLearner() {
			voters[m.GetId()]++
		}
	}
	for _, m := range b.GetMembers() {
		if !m.GetLearner() {
			voters[m.GetId()]--
		}
	}
	n := 0
	for _, d := range voters {
		if d != 0 {
			n++
		}
	}
	return n
}
