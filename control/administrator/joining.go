package administrator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
)

// silentSpan is the silence after which a voter gives its place to a newcomer.
const silentSpan = 3 * time.Second

// Join takes an offered member in as a learner where one is due: to fill up the quorum, in
// place of an earlier incarnation at its address, or in place of a voter that fell silent.
func (a *Administrator) Join(ctx context.Context, q *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !a.leads() {
		leader, err := a.leader(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		return leader.Join(ctx, connect.NewRequest(&wire.JoinRequest{Member: q.Msg.GetMember(), Forwarded: true}))
	}
	learner := placeOf(a.config.Sequencer.View().Members.GetMembers(), q.Msg.GetMember(), a.config.Voters, a.config.Sequencer.Silence)
	if learner == nil {
		return connect.NewResponse(&wire.JoinResponse{Member: a.knows(q.Msg.GetMember().GetId())}), nil
	}
	if err := a.config.Sequencer.Replace(ctx, learner); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err) // another change runs; asked again
	}
	a.config.Logger.Log(logger.MemberJoins, logger.F("member", learner.GetName()), logger.F("address", learner.GetAddress()),
		logger.F("replaces", learner.GetReplaces()))
	return connect.NewResponse(&wire.JoinResponse{Member: true}), nil
}

func (a *Administrator) knows(id uint64) bool {
	for _, m := range a.config.Sequencer.View().Members.GetMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

// placeOf returns the learner to add for an offered member, or nil if it has no place.
func placeOf(members []*wire.ControlMember, m *wire.ControlMember, voters int, silence func(id uint64) time.Duration) *wire.ControlMember {
	out := &wire.ControlMember{Id: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Learner: true}
	replaced := map[uint64]bool{}
	for _, o := range members {
		if o.GetId() == m.GetId() {
			return nil
		}
		replaced[o.GetReplaces()] = true
	}
	staying := slices.DeleteFunc(slices.Clone(members), func(o *wire.ControlMember) bool { return replaced[o.GetId()] })
	for _, o := range staying {
		if o.GetAddress() == m.GetAddress() {
			out.Replaces = o.GetId() // its disk was lost
			return out
		}
	}
	if len(staying) < voters {
		return out
	}
	for _, o := range staying {
		if silence(o.GetId()) > silentSpan {
			out.Replaces = o.GetId()
			return out
		}
	}
	return nil
}
