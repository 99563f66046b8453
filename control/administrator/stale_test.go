package administrator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// standIn plays the other members of a group of three: they vote for the tested member, and store
// what it sends once storing is set.
type standIn struct {
	sequencer *sequencer.Sequencer
	storing   atomic.Bool
}

func (p *standIn) send(list []*wire.Message) {
	for _, m := range list {
		r := &wire.Message{From: m.GetTo(), To: m.GetFrom(), Term: m.GetTerm(), Round: m.GetRound()}
		switch m.GetType() {
		case wire.MessageType_MESSAGE_TYPE_PRE_VOTE:
			r.Type = wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY
		case wire.MessageType_MESSAGE_TYPE_VOTE:
			r.Type = wire.MessageType_MESSAGE_TYPE_VOTE_REPLY
		case wire.MessageType_MESSAGE_TYPE_APPEND:
			if !p.storing.Load() {
				continue
			}
			r.Type, r.Index = wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, m.GetIndex()+uint64(len(m.GetEntries()))
		}
		p.sequencer.Deliver([]*wire.Message{r})
	}
}

// newLeader returns an administrator of a leader that has stored orders, of which it does not know
// yet that those after the commit index are committed.
func newLeader(t *testing.T, commit uint64, stored ...*wire.ChangeItemsCommand) (*Administrator, *standIn) {
	t.Helper()
	is := is.New(t)
	var entries []*wire.LogEntry
	for i, c := range stored {
		b, err := proto.Marshal(&wire.Command{Kind: &wire.Command_ChangeItems{ChangeItems: c}})
		is.NoErr(err)
		entries = append(entries, &wire.LogEntry{Index: uint64(2 + i), Term: 1, Data: b})
	}
	folder := t.TempDir()
	r, err := recorder.NewRecorder(recorder.Config{Folder: folder, Disk: recorder.NewDisk()})
	is.NoErr(err)
	is.NoErr(r.Save(recorder.Write{
		State: &wire.HardState{Term: 1, Commit: commit},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: &wire.Membership{
			Members: []*wire.ControlMember{{Id: r.Restored.Incarnation}, {Id: 2}, {Id: 4}},
		}},
		Entries: entries,
	}))
	is.NoErr(r.Close())
	r, err = recorder.NewRecorder(recorder.Config{Folder: folder, Disk: recorder.NewDisk()})
	is.NoErr(err)
	p, state := &standIn{}, applier.NewState(asserter.NewPanicking())
	p.sequencer, err = sequencer.NewSequencer(sequencer.Config{
		Clock: timekeeper.NewClock(), Assert: asserter.NewPanicking(), Scope: tally.NoopScope,
		Recorder: r, State: state, Send: p.send, Random: rand.Int64N,
		ElectionTimeout: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond,
	})
	is.NoErr(err)
	g := supervisor.NewGroup(supervisor.Config{})
	g.Go("sequencer", p.sequencer.Run)
	t.Cleanup(func() { g.Stop(); _ = r.Close() })
	c, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	a := NewAdministrator(Config{
		Connector: c, Sequencer: p.sequencer, State: state, Zones: map[string]string{"north1": "north"},
	})
	for end := time.Now().Add(10 * time.Second); !a.isLeader(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // it leads
	}
	return a, p
}

// order sends an order, with a fence if it needs one, and returns the response; an order that nobody leads
// to take has no outcome.
func order(t *testing.T, a *Administrator, c *wire.Command) *wire.OrderResponse {
	t.Helper()
	r := call(t, a, &wire.OrderRequest{Command: c})
	if r.GetFence() != nil {
		r = call(t, a, &wire.OrderRequest{Command: c, Fence: r.GetFence()})
	}
	return r
}

func call(t *testing.T, a *Administrator, q *wire.OrderRequest) *wire.OrderResponse {
	t.Helper()
	r, err := a.Order(context.Background(), connect.NewRequest(q))
	if err != nil {
		is.New(t).Equal(connect.CodeOf(err), connect.CodeUnavailable)
		return &wire.OrderResponse{}
	}
	return r.Msg
}

// orderUntilKnown sends an order until its outcome is known.
func orderUntilKnown(t *testing.T, a *Administrator, c *wire.Command) *wire.OrderResponse {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := order(t, a, c); r.GetResult() != wire.SubmitResult_SUBMIT_RESULT_UNKNOWN {
			return r
		}
	}
	t.Fatal("the leader takes no orders")
	return nil
}

// Guards against refusing valid orders, among them accepted ones that are sent again, by a leader that
// has not applied yet what they depend on.
func TestNewLeaderRefusesNoValidOrder(t *testing.T) {
	stored := &wire.ChangeItemsCommand{Items: []*wire.Item{item("service lamps", 5)}, Digest: "first"}
	next := &wire.ChangeItemsCommand{Items: []*wire.Item{route("status", 6, "service", "lamps")}, Digest: "next"}
	orders := map[string]*wire.Command{
		"move":  {Kind: &wire.Command_BeginMove{BeginMove: &wire.BeginMoveCommand{Service: "lamps", To: "v2", DurationMilliseconds: 9000}}},
		"route": {Kind: &wire.Command_ChangeItems{ChangeItems: next}},
	}
	for name, c := range orders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, p := newLeader(t, 1, stored)
			r := order(t, a, c)
			t.Log(r.GetReasons())
			is.Equal(r.GetResult(), wire.SubmitResult_SUBMIT_RESULT_UNKNOWN) // the outcome is unknown
			p.storing.Store(true)
			r = orderUntilKnown(t, a, c)
			t.Log(r.GetReasons())
			is.Equal(r.GetResult(), wire.SubmitResult_SUBMIT_RESULT_ACCEPTED)
		})
	}
}

// Guards against a leader that can't refuse any longer, or refuses without a quorum.
func TestLeaderRefusesWithQuorum(t *testing.T) {
	is := is.New(t)
	a, p := newLeader(t, 1, &wire.ChangeItemsCommand{Digest: "first"})
	c := &wire.Command{Kind: &wire.Command_BeginMove{BeginMove: &wire.BeginMoveCommand{Service: "none", To: "v2"}}}
	is.Equal(order(t, a, c).GetResult(), wire.SubmitResult_SUBMIT_RESULT_UNKNOWN)
	p.storing.Store(true)
	is.Equal(orderUntilKnown(t, a, c).GetResult(), wire.SubmitResult_SUBMIT_RESULT_REFUSED)
}

// Guards against accepting an order that is invalid together with one that this leader stored, but has
// not applied: no configuration would compile any longer.
func TestNewLeaderAcceptsNoInvalidOrder(t *testing.T) {
	is := is.New(t)
	a, p := newLeader(t, 2,
		&wire.ChangeItemsCommand{Items: []*wire.Item{item("service lamps", 5)}, Digest: "first"},
		&wire.ChangeItemsCommand{Items: []*wire.Item{{Name: "service lamps", Version: 6, Dropped: true}}, Digest: "second"},
	)
	time.AfterFunc(50*time.Millisecond, func() { p.storing.Store(true) })
	c := &wire.ChangeItemsCommand{Items: []*wire.Item{route("status", 6, "service", "lamps")}, Digest: "third"}
	r := orderUntilKnown(t, a, &wire.Command{Kind: &wire.Command_ChangeItems{ChangeItems: c}})
	is.Equal(r.GetResult(), wire.SubmitResult_SUBMIT_RESULT_REFUSED)
	_, err := a.config.State.Configuration()
	is.NoErr(err)
}

// Guards against a text that is accepted beside items that this leader stored, but has not applied.
func TestNewLeaderAcceptsNoTextBesideItems(t *testing.T) {
	is := is.New(t)
	a, p := newLeader(t, 1, &wire.ChangeItemsCommand{Items: []*wire.Item{item("service lamps", 5)}, Digest: "first"})
	time.AfterFunc(50*time.Millisecond, func() { p.storing.Store(true) })
	text := "[configuration]\nrevision = 1\ndeployment = example\n[region north]\navailabilityZones = north1\n"
	var result wire.SubmitResult
	for end := time.Now().Add(10 * time.Second); result == wire.SubmitResult_SUBMIT_RESULT_UNKNOWN; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the leader takes texts
		r, err := a.Submit(context.Background(), connect.NewRequest(&wire.SubmitRequest{Text: text}))
		if err == nil {
			result = r.Msg.GetResult()
			t.Log(r.Msg.GetReasons())
		}
	}
	is.Equal(result, wire.SubmitResult_SUBMIT_RESULT_REFUSED)
	is.Equal(len(a.config.State.Sections()), 0)
}
