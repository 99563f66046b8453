package administrator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
)

const (
	// orderTimeout bounds one order, so that its sender learns early to ask another member.
	orderTimeout = 900 * time.Millisecond
	// settleSpan is how long requests may still run on the old side of a move that is done.
	settleSpan = 1500 * time.Millisecond
)

// Order proposes an order: a change of items, an evacuation or a move. Its answer is
// unknown if the order may still be accepted.
func (a *Administrator) Order(ctx context.Context, q *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if a.leads() {
		return connect.NewResponse(a.order(ctx, q.Msg.GetCommand())), nil
	}
	leader, err := a.leader(q.Msg.GetForwarded())
	if err != nil {
		return nil, err
	}
	r, err := leader.Order(ctx, connect.NewRequest(&wire.OrderRequest{Command: q.Msg.GetCommand(), Forwarded: true}))
	if err != nil {
		return connect.NewResponse(&wire.OrderResponse{Reasons: []string{"the leader did not answer"}}), nil
	}
	return connect.NewResponse(r.Msg), nil
}

// Read returns what stands, as of a quorum round that began after the call.
func (a *Administrator) Read(ctx context.Context, q *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !a.leads() {
		leader, err := a.leader(q.Msg.GetForwarded())
		if err != nil {
			return nil, err
		}
		return leader.Read(ctx, connect.NewRequest(&wire.ReadRequest{Forwarded: true}))
	}
	if err := a.config.Sequencer.Confirm(ctx); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "no quorum answers"))
	}
	out := &wire.ReadResponse{Items: a.config.State.Forms(), Evacuated: a.config.State.Evacuated()}
	for _, m := range a.config.Moves() {
		out.Moves = append(out.Moves, a.withhold(m))
	}
	return connect.NewResponse(out), nil
}

// withhold tells of a move that is done only once no entry sends to its old side any more
// and what was sent there had time to end.
func (a *Administrator) withhold(m *wire.MoveStatus) *wire.MoveStatus {
	r := m.GetMove()
	if r.GetStage() != wire.MoveStage_MOVE_STAGE_DONE {
		return m
	}
	index, known := a.config.Distributor.InForce()
	stepped := time.UnixMilli(r.GetSteppedUnixMilliseconds())
	if known && index >= a.config.State.MoveIndex(r.GetName()) && time.Since(stepped) >= settleSpan {
		return m
	}
	out := proto.CloneOf(m)
	out.Move.Stage = wire.MoveStage_MOVE_STAGE_BAKING
	return out
}

func (a *Administrator) order(ctx context.Context, c *wire.Command) *wire.OrderResponse {
	a.ordering.Lock() // judged against the state that the order before left
	defer a.ordering.Unlock()
	if ctx.Err() != nil {
		return &wire.OrderResponse{Reasons: []string{"earlier orders took too long"}}
	}
	if reasons := a.judge(c); len(reasons) > 0 {
		a.config.Logger.Log(logger.OrderRefused, logger.F("order", describeOrder(c)), logger.F("reasons", reasons))
		return &wire.OrderResponse{Result: wire.SubmitResult_SUBMIT_RESULT_REFUSED, Reasons: reasons}
	}
	out, err := a.config.Sequencer.Propose(ctx, c)
	if err != nil {
		a.config.Logger.Log(logger.OrderUnknown, logger.F("order", describeOrder(c)), logger.F("error", err))
		return &wire.OrderResponse{Reasons: []string{err.Error()}}
	}
	a.config.Logger.Log(logger.OrderAccepted, logger.F("order", describeOrder(c)), logger.F("index", a.config.State.Index()))
	return &wire.OrderResponse{Result: out.Submit}
}

// judge returns why an order is not valid.
func (a *Administrator) judge(c *wire.Command) []string {
	switch k := c.GetKind().(type) {
	case *wire.Command_ChangeItems:
		return a.judgeItems(k.ChangeItems)
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

// judgeItems refuses a change that would not compile, neither beside what stands nor with
// each of its items in force. An order that was accepted once is never refused.
func (a *Administrator) judgeItems(c *wire.ChangeItemsCommand) []string {
	if a.config.State.KnowsOrder(c.GetDigest()) {
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
	return a.judgeAlone(forced, c.GetItems())
}

// judgeAlone checks the items of a change as if each were in force, with those of the
// standing ones that they lean on.
func (a *Administrator) judgeAlone(forced map[string]*wire.Item, changed []*wire.Item) []string {
	_, problems := applier.CompileItems(a.config.Zones, forced)
	var out loader.Problems
	for _, p := range problems {
		if slices.ContainsFunc(changed, func(i *wire.Item) bool { return i.GetName() == p.Section }) {
			out = append(out, p)
		}
	}
	return out.Lines()
}

// mergeItems returns items with a change applied; forced ignores the versions that stand.
func mergeItems(items map[string]*wire.Item, changed []*wire.Item, forced bool) map[string]*wire.Item {
	out := make(map[string]*wire.Item, len(items)+len(changed))
	for n, i := range items {
		out[n] = i
	}
	for _, i := range changed {
		if old := out[i.GetName()]; old == nil || forced || old.GetVersion() < i.GetVersion() {
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
