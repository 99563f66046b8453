package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Replace proposes a learner. Once promoted, it replaces the member named in its Replaces field;
// 0 names none.
func (c *Core) Replace(now time.Duration, learner *wire.ControlMember) error {
	next := proto.CloneOf(c.members)
	next.Members = append(next.Members, learner)
	return c.ProposeMembers(now, next)
}

// ContinueReplacement proposes the next step of a replacement, if one is due. A learner that has
// caught up is promoted, then the member that it replaces is removed. The order is reversed if that
// member ran at the address of the learner: its disk is gone, and it would count as a lost voter beside
// its successor. A replacement continues under a new leader, since the membership holds its progress.
func (c *Core) ContinueReplacement(now time.Duration) {
	if c.raftState != Leader || c.membersIndex > c.commit {
		return
	}
	next := c.nextReplacementStep(now)
	if next == nil {
		return
	}
	_ = c.ProposeMembers(now, next) // proposed again on the next call
}

// nextReplacementStep returns the members after the next step, or nil. It prefers the steps after
// which fewer voters are missing.
func (c *Core) nextReplacementStep(now time.Duration) *wire.Membership {
	for _, m := range c.members.GetMembers() {
		if !m.GetLearner() && m.GetReplaces() != 0 {
			return c.withoutReplaced(m)
		}
	}
	var successor *wire.ControlMember
	for _, m := range c.members.GetMembers() {
		if !m.GetLearner() || !c.CaughtUp(m.GetId()) || !c.replies(now, m.GetId()) {
			continue
		}
		old := c.member(m.GetReplaces())
		if old == nil || (!old.GetLearner() && old.GetAddress() != m.GetAddress()) {
			return c.promoted(m)
		}
		successor = m
	}
	if successor == nil {
		return nil
	}
	return c.withoutReplaced(successor)
}

// member returns the member with an ID, or nil.
func (c *Core) member(id uint64) *wire.ControlMember {
	for _, m := range c.members.GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// replies reports whether a peer replied to this leader within the election timeout.
func (c *Core) replies(now time.Duration, id uint64) bool {
	p := c.peers[id]
	return p != nil && p.ackedRound > 0 && now-p.repliedAt < c.config.ElectionTimeout
}

// promoted returns the members with a learner as a voter.
func (c *Core) promoted(learner *wire.ControlMember) *wire.Membership {
	next := proto.CloneOf(c.members)
	for _, m := range next.GetMembers() {
		if m.GetId() == learner.GetId() {
			m.Learner = false
		}
	}
	return next
}

// withoutReplaced returns the members without the one that m replaces. m takes over what that one
// was to replace, if it was lost before it did.
func (c *Core) withoutReplaced(m *wire.ControlMember) *wire.Membership {
	next := &wire.Membership{}
	inherited := uint64(0)
	for _, o := range c.members.GetMembers() {
		if o.GetId() == m.GetReplaces() {
			inherited = o.GetReplaces()
			continue
		}
		next.Members = append(next.Members, proto.CloneOf(o))
	}
	for _, o := range next.GetMembers() {
		if o.GetId() == m.GetId() {
			o.Replaces = inherited
		}
	}
	return next
}
