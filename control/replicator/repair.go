package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Replace adds a learner that is to take the place of a member.
func (c *Core) Replace(now time.Duration, learner *wire.ControlMember) error {
	next := proto.CloneOf(c.members)
	next.Members = append(next.Members, learner)
	return c.ProposeMembers(now, next)
}

// ContinueRepair proposes the next step of a replacement, if one is due: a learner that
// caught up is promoted, then the member it replaces is removed. A replacement runs on
// under a new leader, since the members tell how far it is.
func (c *Core) ContinueRepair(now time.Duration) {
	if c.standing != Leader || c.memberIndex > c.commit {
		return
	}
	next := c.nextRepair()
	if next == nil {
		return
	}
	_ = c.ProposeMembers(now, next) // tried again later
}

func (c *Core) nextRepair() *wire.Membership {
	for i, m := range c.members.GetMembers() {
		switch {
		case m.GetLearner() && c.CaughtUp(m.GetId()):
			next := proto.CloneOf(c.members)
			next.Members[i].Learner = false
			return next
		case !m.GetLearner() && m.GetReplaces() != 0:
			return c.withoutReplaced(m)
		}
	}
	return nil
}

// withoutReplaced removes the member that m replaces; with it gone, m replaces none.
func (c *Core) withoutReplaced(m *wire.ControlMember) *wire.Membership {
	next := &wire.Membership{}
	for _, o := range c.members.GetMembers() {
		if o.GetId() == m.GetReplaces() {
			continue
		}
		o = proto.CloneOf(o)
		if o.GetId() == m.GetId() {
			o.Replaces = 0
		}
		next.Members = append(next.Members, o)
	}
	return next
}
