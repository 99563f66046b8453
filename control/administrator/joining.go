package administrator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
)

// voterSilenceTimeout is how long a voter may be silent before a joining member replaces it. With an
// election before it and the replacement after it, the successor of a leader is in place within 4 s.
const voterSilenceTimeout = 2 * time.Second

// Join adds a member as a learner if it replaces an earlier incarnation at its address, if there
// are fewer than Config.Voters members, or if it can replace a silent voter. The response reports
// whether the member is in the group.
func (a *Administrator) Join(ctx context.Context, q *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !a.isLeader() {
		leader, err := a.leaderClient(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		return leader.Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: q.Msg.GetMember(), Forwarded: true}))
	}
	learner := learnerFor(a.config.Sequencer.View().Members.GetMembers(), q.Msg.GetMember(), a.config.Voters, a.config.Sequencer.SinceLastReply)
	if learner == nil {
		return connect.NewResponse(&wire.JoinResponse{Member: a.isMember(q.Msg.GetMember().GetId())}), nil
	}
	if err := a.config.Sequencer.Replace(ctx, learner); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err) // another change may be in progress; the member tries again
	}
	a.config.Logger.Log(logger.MemberJoins, logger.F("member", learner.GetName()), logger.F("address", learner.GetAddress()),
		logger.F("replaces", learner.GetReplaces()))
	return connect.NewResponse(&wire.JoinResponse{Member: true}), nil
}

func (a *Administrator) isMember(id uint64) bool {
	for _, m := range a.config.Sequencer.View().Members.GetMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// learnerFor returns the learner to add for a joining member, or nil if it is a member already or
// not needed. Members that are being replaced don't count.
func learnerFor(members []*wire.ControlMember, m *wire.ControlMember, voters int, silence func(id uint64) time.Duration) *wire.ControlMember {
	out := &wire.ControlMember{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Learner: true}
	replaced := map[uint64]bool{}
	for _, o := range members {
		if o.GetId() == m.GetId() {
			return nil
		}
		replaced[o.GetReplaces()] = true
	}
	remaining := slices.DeleteFunc(slices.Clone(members), func(o *wire.ControlMember) bool { return replaced[o.GetId()] })
	for _, o := range remaining {
		if o.GetAddress() == m.GetAddress() {
			out.Replaces = o.GetId() // an incarnation that lost its disk
			return out
		}
	}
	if len(remaining) < voters {
		return out
	}
	longest := voterSilenceTimeout
	for _, o := range remaining {
		if d := silence(o.GetId()); d > longest {
			longest, out.Replaces = d, o.GetId()
		}
	}
	if out.GetReplaces() == 0 {
		return nil
	}
	return out
}
