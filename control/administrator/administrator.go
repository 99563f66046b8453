// Package administrator serves the operators of a deployment. It accepts configuration texts
// and orders, reports the status, and bootstraps and repairs the group of control members.
package administrator

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/messenger"
	"github.com/filberthoist/filberthoist/control/mover"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Timeouts and intervals of operators' calls.
const (
	submitTimeout         = 5 * time.Second
	confirmTimeout        = 2 * time.Second
	identifyTimeout       = 2 * time.Second
	bootstrapTimeout      = 20 * time.Second
	bootstrapPollInterval = 100 * time.Millisecond
)

// Config configures an Administrator.
type Config struct {
	Name        string
	PeerAddress string
	// Peers are the addresses of the other initial members.
	Peers       []string
	Clock       timekeeper.Clock
	Logger      logger.Logger
	Connector   *connector.Connector
	Sequencer   *sequencer.Sequencer
	State       *applier.State
	Distributor *distributor.Distributor
	Messenger   *messenger.Messenger
	// Moves returns the status of the moves in the configuration in force.
	Moves func() []*wire.MoveStatus
	// SettledMoves returns the same, but a move that is done counts as baking until its old side may be stopped.
	SettledMoves func() []*wire.MoveStatus
	// Zones maps each availability zone to its region. Configurations of items need it.
	Zones map[string]string
	// Voters is the size up to which joining members fill the group.
	Voters int
}

// Administrator serves operators on every control member. It forwards calls to the leader that
// only the leader can answer.
type Administrator struct {
	config Config
	client *http.Client
	// orderMutex serializes orders and texts.
	orderMutex sync.Mutex
	// settledTerm is the term in which the state holds all orders, as long as this member leads, or 0.
	settledTerm uint64
	// fences belong to the orders that this member takes as the leader.
	fences fences
}

// NewAdministrator returns an Administrator.
func NewAdministrator(c Config) *Administrator {
	return &Administrator{config: c, client: c.Connector.Client()}
}

// Submit proposes a text. If the result is unknown, the text may or may not be accepted.
func (a *Administrator) Submit(ctx context.Context, q *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if !q.Msg.GetForwarded() {
		q.Msg.Operator = operatorOf(ctx)
	}
	if a.isLeader() {
		return connect.NewResponse(a.submit(ctx, q.Msg)), nil
	}
	leader, err := a.leaderClient(q.Msg.GetForwarded())
	if err != nil {
		return nil, err
	}
	q.Msg.Forwarded = true
	r, err := leader.Submit(ctx, connect.NewRequest(q.Msg))
	if err != nil {
		return connect.NewResponse(&wire.SubmitResponse{Reasons: []string{"the leader did not answer"}}), nil
	}
	return connect.NewResponse(r.Msg), nil
}

// Status returns the leader's view of the deployment, or this member's own view if no leader
// answers.
func (a *Administrator) Status(ctx context.Context, q *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if a.isLeader() {
		return connect.NewResponse(a.status(a.config.Sequencer.ConfirmLeadership(ctx) == nil)), nil
	}
	if leader, err := a.leaderClient(q.Msg.GetForwarded()); err == nil {
		r, err := leader.Status(ctx, connect.NewRequest(&wire.StatusRequest{Forwarded: true}))
		if err == nil {
			return connect.NewResponse(r.Msg), nil
		}
	}
	return connect.NewResponse(a.status(false)), nil
}

// Fetch returns the text in force, as of a quorum round that starts after the call.
func (a *Administrator) Fetch(ctx context.Context, q *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !a.isLeader() {
		leader, err := a.leaderClient(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		q.Msg.Forwarded = true
		return leader.Fetch(ctx, connect.NewRequest(q.Msg))
	}
	if err := a.config.Sequencer.ConfirmLeadership(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "no quorum answers"))
	}
	out := &wire.FetchResponse{Text: loader.Join(parser.Sort(a.config.State.Sections())), Revision: a.config.State.Head().GetRevision()}
	return connect.NewResponse(out), nil
}

func (a *Administrator) isLeader() bool {
	return a.config.Sequencer.View().Standing == replicator.Leader
}

// leaderClient returns a client for the leader. It fails if no leader is known or if the call was
// forwarded before.
func (a *Administrator) leaderClient(forwarded bool) (wireconnect.AdministrationServiceClient, error) {
	m := a.config.Sequencer.View().Leader()
	if m == nil || forwarded {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader is known; nothing was done"))
	}
	return wireconnect.NewAdministrationServiceClient(a.client, a.config.Connector.URL(m.GetAddress())), nil
}

func (a *Administrator) submit(ctx context.Context, r *wire.SubmitRequest) *wire.SubmitResponse {
	a.orderMutex.Lock()
	defer a.orderMutex.Unlock()
	command, problems, err := a.checkText(ctx, r)
	if err != nil {
		a.settledTerm = 0
		return &wire.SubmitResponse{Reasons: []string{err.Error()}}
	}
	if len(problems) > 0 {
		a.config.Logger.Log(logger.TextRefused, logger.F("operator", r.GetOperator()), logger.F("problems", len(problems)))
		return &wire.SubmitResponse{Result: wire.SubmitResult_SUBMIT_RESULT_REFUSED, Reasons: problems.Lines()}
	}
	out, err := a.config.Sequencer.ProposeIn(ctx, a.settledTerm, &wire.Command{Kind: &wire.Command_Submit{Submit: command}})
	if err != nil {
		a.settledTerm = 0
		return &wire.SubmitResponse{Reasons: []string{err.Error()}}
	}
	event := logger.TextRefused
	if out.Submit == wire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
		event = logger.TextAccepted
	}
	a.config.Logger.Log(event, logger.F("operator", r.GetOperator()), logger.F("revision", command.GetRevision()),
		logger.F("result", out.Submit.String()))
	return &wire.SubmitResponse{
		Result: out.Submit, Revision: out.Revision.GetRevision(), Index: out.Revision.GetIndex(),
		Winner: out.Revision, Head: out.Head,
	}
}

// checkText checks a text and returns the command that submits it. A text that does not compile is
// refused without a quorum.
func (a *Administrator) checkText(ctx context.Context, r *wire.SubmitRequest) (*wire.SubmitCommand, loader.Problems, error) {
	sections, problems := loader.Split([]byte(r.GetText()))
	if len(problems) > 0 {
		return nil, problems, nil
	}
	c, problems := parser.Compile(sections)
	if c == nil {
		return nil, problems, nil
	}
	err := a.checkSettled(ctx, func() bool {
		problems = a.checkState(c)
		return len(problems) == 0
	})
	if err != nil || len(problems) > 0 {
		return nil, problems, err
	}
	out := &wire.SubmitCommand{Revision: c.Revision, Operator: r.GetOperator(), Digest: digester.Text(loader.Join(parser.Sort(sections)))}
	for _, s := range sections {
		out.Sections = append(out.Sections, wire.ToTextSection(s))
	}
	return out, nil, nil
}

// checkState returns why a text conflicts with the state.
func (a *Administrator) checkState(c *parser.Configuration) loader.Problems {
	if len(a.config.State.Items()) > 0 {
		return loader.Problems{{Text: "the configuration is kept by items here; change items"}}
	}
	return a.checkMoves(c)
}

// checkMoves returns why a text conflicts with the moves in progress. It checks only the revision
// after the one in force, so that a resent text gets the same response.
func (a *Administrator) checkMoves(c *parser.Configuration) loader.Problems {
	inForce, err := a.config.State.Configuration()
	if err != nil || inForce == nil || c.Revision != inForce.Revision+1 {
		return nil
	}
	return mover.CheckChange(inForce, c, a.config.State.Moves())
}

func (a *Administrator) status(confirmed bool) *wire.StatusResponse {
	v := a.config.Sequencer.View()
	out := &wire.StatusResponse{
		Member:   a.config.Name,
		Leader:   v.Leader().GetName(),
		Quorum:   confirmed,
		Revision: a.config.State.Head().GetRevision(),
		Index:    a.config.State.Index(),
		Members:  v.Members.GetMembers(),
	}
	out.InForceIndex, _ = a.config.Distributor.InForce()
	now := a.config.Clock.Now()
	for _, c := range a.config.Distributor.Callers() {
		out.Entries = append(out.Entries, &wire.EntryStatus{
			Member:           c.Member,
			Applied:          c.Applied,
			SecondsSincePoll: (now - c.LastPoll).Seconds(),
			LeaseLapsed:      now-c.LastFresh > timekeeper.FreshnessLease+timekeeper.DriftMargin,
		})
	}
	sort.Slice(out.Entries, func(i, j int) bool {
		return out.Entries[i].GetMember().GetName() < out.Entries[j].GetMember().GetName()
	})
	for _, r := range a.config.State.Roles() {
		out.Roles = append(out.Roles, r)
	}
	sort.Slice(out.Roles, func(i, j int) bool { return out.Roles[i].GetName() < out.Roles[j].GetName() })
	out.Moves = a.config.Moves()
	return out
}
