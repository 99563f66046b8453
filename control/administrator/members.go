package administrator

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Bootstrap forms the first members from this one and the peers of its settings. It
// answers once every one of them holds the first state.
func (a *Administrator) Bootstrap(ctx context.Context, _ *connect.Request[wire.BootstrapRequest]) (*connect.Response[wire.BootstrapResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	v := a.config.Sequencer.View()
	if v.Formed() {
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

// ReplaceMember starts to replace a member by the incarnation that runs at an address.
func (a *Administrator) ReplaceMember(ctx context.Context, q *connect.Request[wire.ReplaceMemberRequest]) (*connect.Response[wire.ReplaceMemberResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if !a.leads() {
		leader, err := a.leader(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		q.Msg.Forwarded = true
		return leader.ReplaceMember(ctx, connect.NewRequest(q.Msg))
	}
	old := a.member(q.Msg.GetName())
	if old == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("no control member is called %s", q.Msg.GetName()))
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

func (a *Administrator) member(name string) *wire.ControlMember {
	for _, m := range a.config.Sequencer.View().Members.GetMembers() {
		if m.GetName() == name && m.GetReplaces() == 0 {
			return m
		}
	}
	return nil
}

// freshMember asks who runs at an address, and refuses one with state of its own.
func (a *Administrator) freshMember(ctx context.Context, address string) (*wire.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := a.config.Messenger.Ask(ctx, address)
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
			r, err := a.config.Messenger.Ask(ctx, address)
			formed = formed && err == nil && !r.GetFresh()
		}
		if formed {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("not every member holds the first state yet; see 'filberthoist status'")
		case <-time.After(formPoll):
		}
	}
}
