package administrator

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Bootstrap forms the initial group of this member and the peers in its settings. It returns
// once every peer has stored the initial state and this member knows a leader.
func (a *Administrator) Bootstrap(ctx context.Context, _ *connect.Request[wire.BootstrapRequest]) (*connect.Response[wire.BootstrapResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	v := a.config.Sequencer.View()
	if v.Bootstrapped() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("this member belongs to a deployment already"))
	}
	first := &wire.Membership{Members: []*wire.ControlMember{{Id: v.ID, Name: a.config.Name, Address: a.config.PeerAddress}}}
	for _, address := range a.config.Peers {
		m, err := a.freshMember(ctx, address)
		if err != nil {
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		}
		first.Members = append(first.Members, m)
	}
	sort.Slice(first.Members, func(i, j int) bool { return first.Members[i].GetId() < first.Members[j].GetId() })
	if err := a.config.Sequencer.Bootstrap(ctx, first); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err := a.waitFormed(ctx); err != nil {
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewResponse(&wire.BootstrapResponse{Members: first.GetMembers()}), nil
}

// ReplaceMember starts the replacement of a member by the incarnation that runs at an address.
func (a *Administrator) ReplaceMember(ctx context.Context, q *connect.Request[wire.ReplaceMemberRequest]) (*connect.Response[wire.ReplaceMemberResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if !a.isLeader() {
		leader, err := a.leaderClient(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		q.Msg.Forwarded = true
		return leader.ReplaceMember(ctx, connect.NewRequest(q.Msg))
	}
	old := a.memberByName(q.Msg.GetName())
	if old == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("no control member is named %s", q.Msg.GetName()))
	}
	learner, err := a.freshMember(ctx, q.Msg.GetAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	learner.Learner, learner.Replaces = true, old.GetId()
	if err := a.config.Sequencer.Replace(ctx, learner); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&wire.ReplaceMemberResponse{Learner: learner}), nil
}

// memberByName returns the member with a name, or nil. It ignores members that are replacing
// another.
func (a *Administrator) memberByName(name string) *wire.ControlMember {
	for _, m := range a.config.Sequencer.View().Members.GetMembers() {
		if m.GetName() == name && m.GetReplaces() == 0 {
			return m
		}
	}
	return nil
}

// freshMember identifies the control process at an address. It fails if the process belongs to
// a deployment.
func (a *Administrator) freshMember(ctx context.Context, address string) (*wire.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	r, err := a.config.Messenger.IdentifyPeer(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "the control process at %s does not answer", address)
	}
	if !r.GetFresh() {
		return nil, errors.Errorf("%s at %s belongs to a deployment already; start it with an empty data folder", r.GetName(), address)
	}
	return &wire.ControlMember{Id: r.GetId(), Name: r.GetName(), Address: address}, nil
}

func (a *Administrator) waitFormed(ctx context.Context) error {
	for {
		formed := a.config.Sequencer.View().Serving() || a.config.Sequencer.View().Leader() != nil
		for _, address := range a.config.Peers {
			r, err := a.config.Messenger.IdentifyPeer(ctx, address)
			formed = formed && err == nil && !r.GetFresh()
		}
		if formed {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("not every member has stored the initial state yet; see 'filberthoist status'")
		case <-time.After(bootstrapPollInterval):
		}
	}
}
