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

// ContinueReplacement proposes the next step of a replacement, if one is due: it promotes a
// learner that has caught up, then removes the member that the learner replaces. A replacement
// continues under a new leader, since the membership holds its progress.
func (c *Core) ContinueReplacement(now time.Duration) {
	if c.raftState != Leader || c.membersIndex > c.commit {
		return
	}
	next := c.nextReplacementStep()
	if next == nil {
		return
	}
	_ = c.ProposeMembers(now, next) // proposed again on the next call
}

func (c *Core) nextReplacementStep() *wire.Membership {
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
