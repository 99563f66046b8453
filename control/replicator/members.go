package replicator

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Reasons why a change of members can't be proposed now.
var (
	ErrNotLeader    = errors.New("not the leader")
	ErrChangeRuns   = errors.New("another change of members is not committed yet")
	ErrTooManyAtOne = errors.New("a change may add, promote or remove one member only")
)

// ProposeMembers appends new members that differ from the present ones in one voter.
func (c *Core) ProposeMembers(now time.Duration, m *wire.Membership) error {
	if c.standing != Leader {
		return ErrNotLeader
	}
	if c.memberIndex > c.commit || c.commit < c.termStart {
		return ErrChangeRuns
	}
	if voterDifference(c.members, m) > 1 {
		return ErrTooManyAtOne
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding members")
	}
	c.appendOwn(wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP, b)
	c.broadcast(now)
	c.advanceCommit()
	return nil
}

// CaughtUp tells whether a peer holds all that is committed.
func (c *Core) CaughtUp(id uint64) bool {
	p := c.peers[id]
	return p != nil && p.match >= c.commit && c.commit >= c.termStart
}

// resetMembers takes the members from the last entry or snapshot that has them.
func (c *Core) resetMembers() {
	c.members, c.memberIndex = c.log.snapshot.GetMembership(), c.log.offset
	if c.members == nil {
		c.members = &wire.Membership{}
	}
	for i := len(c.log.entries) - 1; i >= 0; i-- {
		if e := c.log.entries[i]; e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
			c.useMembers(e)
			return
		}
	}
	c.resetPeers()
}

func (c *Core) useMembers(e *wire.LogEntry) {
	c.members, c.memberIndex = c.readMembers(e), e.GetIndex()
	c.resetPeers()
}

func (c *Core) readMembers(e *wire.LogEntry) *wire.Membership {
	m := &wire.Membership{}
	err := proto.Unmarshal(e.GetData(), m)
	c.config.Assert.That(err == nil, "membersReadable", "index %d: %v", e.GetIndex(), err)
	return m
}

// resetPeers makes the leader's progress fit the members.
func (c *Core) resetPeers() {
	if c.standing != Leader {
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
			p = &progress{next: c.log.last() + 1, seen: c.heard, snapshotAt: never}
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

// quorum tells whether a majority of the voters satisfies a condition.
func (c *Core) quorum(holds func(id uint64) bool) bool {
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
