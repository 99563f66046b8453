package administrator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/mover"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
)

// orderTimeout limits one order, so that its sender can soon try another member.
const orderTimeout = 900 * time.Millisecond

// Order proposes an order: a change of items, an evacuation or a move. If the result is unknown,
// the order may or may not be accepted. An evacuation or a move without a current fence is a conflict:
// nothing is proposed, and the response has the fence with which the order may be sent again.
func (a *Administrator) Order(ctx context.Context, q *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !q.Msg.GetForwarded() && q.Msg.GetFence() == nil {
		q.Msg.Fence = &wire.Fence{}
	}
	if a.isLeader() {
		return connect.NewResponse(a.order(ctx, q.Msg.GetCommand(), q.Msg.GetFence())), nil
	}
	leader, err := a.leaderClient(q.Msg.GetForwarded())
	if err != nil {
		return nil, err
	}
	r, err := leader.Order(ctx, connect.NewRequest(&wire.OrderRequest{Command: q.Msg.GetCommand(), Forwarded: true, Fence: q.Msg.GetFence()}))
	if err != nil {
		return connect.NewResponse(&wire.OrderResponse{Reasons: []string{"the leader did not answer"}}), nil
	}
	return connect.NewResponse(r.Msg), nil
}

// Read returns the items, the evacuated zones and the moves, as of a quorum round that starts
// after the call.
func (a *Administrator) Read(ctx context.Context, q *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !a.isLeader() {
		leader, err := a.leaderClient(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		return leader.Read(ctx, connect.NewRequest(&wire.ReadRequest{Forwarded: true}))
	}
	if err := a.config.Sequencer.ConfirmLeadership(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "no quorum answers"))
	}
	out := &wire.ReadResponse{Items: a.config.State.Forms(), Evacuated: a.config.State.EvacuatedZones(), Moves: a.config.SettledMoves()}
	return connect.NewResponse(out), nil
}

func (a *Administrator) order(ctx context.Context, c *wire.Command, f *wire.Fence) *wire.OrderResponse {
	a.orderMutex.Lock() // each order is validated against the state that the previous one left
	defer a.orderMutex.Unlock()
	if ctx.Err() != nil {
		return &wire.OrderResponse{Reasons: []string{"earlier orders took too long"}}
	}
	if n := a.conflict(c, f, a.config.Sequencer.View().Term); n != nil {
		return n
	}
	var reasons []string
	err := a.checkSettled(ctx, func() bool {
		reasons = a.validateOrder(c)
		return len(reasons) == 0
	})
	if err != nil {
		return a.unknownOutcome(c, err)
	}
	if len(reasons) > 0 {
		a.config.Logger.Log(logger.OrderRefused, logger.F("order", describeOrder(c)), logger.F("reasons", reasons))
		return &wire.OrderResponse{Result: wire.SubmitResult_SUBMIT_RESULT_REFUSED, Reasons: reasons}
	}
	if n := a.conflict(c, f, a.settledTerm); n != nil {
		return n
	}
	a.fences.advance(a.settledTerm, subjectOf(c))
	if m := c.GetBeginMove(); m != nil {
		m.BegunUnixMilliseconds = time.Now().UnixMilli() // the mover goes by this clock, not by that of the member that took the order
	}
	if err := a.endMove(ctx, c.GetBeginMove()); err != nil {
		return a.unknownOutcome(c, err)
	}
	out, err := a.config.Sequencer.ProposeIn(ctx, a.settledTerm, c)
	if err != nil {
		return a.unknownOutcome(c, err)
	}
	a.config.Logger.Log(logger.OrderAccepted, logger.F("order", describeOrder(c)), logger.F("index", a.config.State.Index()))
	return &wire.OrderResponse{Result: out.Submit}
}

// endMove takes back the move of a service that an order of another version replaces before it has ended. Its version has
// not been proven, and is barred from the old side of the next move like one that failed.
func (a *Administrator) endMove(ctx context.Context, next *wire.BeginMoveCommand) error {
	for next != nil {
		n := a.replacedMove(next)
		if n == nil {
			return nil
		}
		r, err := a.config.Sequencer.ProposeIn(ctx, a.settledTerm, &wire.Command{Kind: &wire.Command_AdvanceMove{
			AdvanceMove: &wire.AdvanceMoveCommand{Move: n}, // without effect if the mover has changed the record
		}})
		if err != nil {
			return err
		}
		if r.Done {
			a.config.Logger.Log(logger.MoveTakenBack, logger.F("move", n.GetName()), logger.F("reason", n.GetReason()), logger.F("term", a.settledTerm))
		}
	}
	return nil
}

// replacedMove returns the last record of the move that an order replaces, or nil if that one has ended.
func (a *Administrator) replacedMove(next *wire.BeginMoveCommand) *wire.MoveRecord {
	c, err := a.config.State.Configuration()
	if err != nil || c == nil {
		return nil
	}
	m, r := c.Moves[next.GetService()], a.config.State.Moves()[next.GetService()]
	if m == nil || m.To == next.GetTo() || (r.GetDefinition() == m.Definition && mover.IsFinished(r)) {
		return nil
	}
	now := time.Now().UnixMilli()
	return &wire.MoveRecord{
		Name: m.Name, Definition: m.Definition, Course: m.Course(), Change: r.GetChange() + 1, Stage: wire.MoveStage_MOVE_STAGE_TAKEN_BACK,
		BegunUnixMilliseconds: now, SteppedUnixMilliseconds: now, Reason: "replaced by a move to " + next.GetTo(),
	}
}

// conflict returns the response to an order whose fence is not current in a term, or nil if the order
// may be proposed in that term.
func (a *Administrator) conflict(c *wire.Command, f *wire.Fence, term uint64) *wire.OrderResponse {
	subject := subjectOf(c)
	if subject == "" || f == nil {
		return nil // it has versions, or comes from a member of a release without fences
	}
	current := a.fences.current(term, subject)
	if f.GetTerm() == current.GetTerm() && f.GetOrders() == current.GetOrders() {
		return nil
	}
	if f.GetTerm() > 0 {
		a.config.Logger.Log(logger.OrderOutdated, logger.F("order", describeOrder(c)), logger.F("term", f.GetTerm()),
			logger.F("orders", f.GetOrders()))
	}
	return &wire.OrderResponse{
		Result: wire.SubmitResult_SUBMIT_RESULT_CONFLICT, Fence: current,
		Reasons: []string{"the order needs the current fence of " + subject},
	}
}

// unknownOutcome returns the response to an order that may yet be accepted.
func (a *Administrator) unknownOutcome(c *wire.Command, err error) *wire.OrderResponse {
	a.settledTerm = 0
	a.config.Logger.Log(logger.OrderUnknown, logger.F("order", describeOrder(c)), logger.F("error", err))
	return &wire.OrderResponse{Reasons: []string{err.Error()}}
}

// checkSettled runs a check against a state that holds all orders that were accepted before. It repeats
// the check after a quorum round if the state may lack some, or if the check finds a reason to refuse,
// for which it returns false.
func (a *Administrator) checkSettled(ctx context.Context, check func() bool) error {
	if a.settledTerm == a.config.Sequencer.View().Term && check() {
		return nil
	}
	if err := a.settle(ctx); err != nil {
		return err
	}
	check()
	return nil
}

// settle commits an empty entry. Once it is applied, the state holds all orders before it: those that
// earlier leaders accepted, and those whose outcome was unknown here.
func (a *Administrator) settle(ctx context.Context) error {
	term := a.config.Sequencer.View().Term
	if _, err := a.config.Sequencer.ProposeIn(ctx, term, &wire.Command{}); err != nil {
		return err
	}
	a.settledTerm = term
	return nil
}

// validateOrder returns the reasons why an order is not valid.
func (a *Administrator) validateOrder(c *wire.Command) []string {
	switch k := c.GetKind().(type) {
	case *wire.Command_ChangeItems:
		return a.validateItems(k.ChangeItems)
	case *wire.Command_Evacuate:
		if _, ok := a.config.Zones[k.Evacuate.GetAvailabilityZone()]; !ok {
			return []string{"no such availability zone"}
		}
	case *wire.Command_BeginMove:
		i := a.config.State.Items()["service "+k.BeginMove.GetService()]
		if i == nil || i.GetDropped() {
			return []string{"no such service"}
		}
	default:
		return []string{"not an order"}
	}
	return nil
}

// validateItems returns the reasons why a change of items is not valid. The change must compile
// with the current items, of which newer versions stay in force. Its own items must also compile
// if they replace newer versions. An order that is known to be accepted already is never refused.
func (a *Administrator) validateItems(c *wire.ChangeItemsCommand) []string {
	if a.config.State.HasOrder(c.GetDigest()) {
		return nil
	}
	if len(a.config.State.Sections()) > 0 {
		return []string{"the configuration is a text here; submit a text"}
	}
	items := a.config.State.Items()
	merged, forced := mergeItems(items, c.GetItems(), false), mergeItems(items, c.GetItems(), true)
	if _, problems := applier.CompileItems(a.config.Zones, merged); len(problems) > 0 {
		return problems.Lines()
	}
	return a.validateForced(forced, c.GetItems())
}

// validateForced compiles items in which all changed ones are in force, together with the current
// ones that they refer to. It returns the problems of the changed items only.
func (a *Administrator) validateForced(forced map[string]*wire.Item, changed []*wire.Item) []string {
	_, problems := applier.CompileItems(a.config.Zones, forced)
	var out loader.Problems
	for _, p := range problems {
		if slices.ContainsFunc(changed, func(i *wire.Item) bool { return i.GetName() == p.Section }) {
			out = append(out, p)
		}
	}
	return out.Lines()
}

// mergeItems returns the items with a change applied. A changed item replaces an older version
// only, or any version if ignoreVersions is set.
func mergeItems(items map[string]*wire.Item, changed []*wire.Item, ignoreVersions bool) map[string]*wire.Item {
	out := make(map[string]*wire.Item, len(items)+len(changed))
	for n, i := range items {
		out[n] = i
	}
	for _, i := range changed {
		if old := out[i.GetName()]; old == nil || ignoreVersions || old.GetVersion() < i.GetVersion() {
			out[i.GetName()] = i
		}
	}
	return out
}

func describeOrder(c *wire.Command) string {
	switch k := c.GetKind().(type) {
	case *wire.Command_ChangeItems:
		return "changeItems"
	case *wire.Command_Evacuate:
		if k.Evacuate.GetWithdrawn() {
			return "endEvacuation " + k.Evacuate.GetAvailabilityZone()
		}
		return "evacuate " + k.Evacuate.GetAvailabilityZone()
	case *wire.Command_BeginMove:
		return "beginMove " + k.BeginMove.GetService() + " to " + k.BeginMove.GetTo()
	}
	return "unknown"
}
