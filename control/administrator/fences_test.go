package administrator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

func evacuation(withdrawn bool) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateCommand{AvailabilityZone: "north1", Withdrawn: withdrawn}}}
}

func move(to string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_BeginMove{BeginMove: &wire.BeginMoveCommand{Service: "lamps", To: to, DurationMilliseconds: 9000}}}
}

// inForce describes the evacuations and the move in force.
func inForce(t *testing.T, a *Administrator) string {
	t.Helper()
	out := ""
	for _, z := range a.config.State.EvacuatedZones() {
		out += "evacuated " + z + " "
	}
	if i := a.config.State.Items()["move lamps"]; i != nil {
		to, _ := wire.FromTextSection(i.GetSection()).Value("to")
		out += "move to " + to
	}
	return out
}

func accept(t *testing.T, a *Administrator, c *wire.Command) {
	t.Helper()
	is.New(t).Equal(orderUntilKnown(t, a, c).GetResult(), wire.SubmitResult_SUBMIT_RESULT_ACCEPTED)
}

// Guards against an order that its sender gave up and that takes effect after a newer, opposite one, wherever
// it was held up: before it was read, after its sender got a fence, on its way to the leader, or in the
// leader's log.
func TestAbandonedOrderHasNoLateEffect(t *testing.T) {
	cases := []struct {
		name             string
		abandoned, newer *wire.Command
		want             string
	}{
		{"end of an evacuation", evacuation(true), evacuation(false), "evacuated north1 "},
		{"evacuation", evacuation(false), evacuation(true), ""},
		{"move", move("v2"), move("v3"), "move to v3"},
	}
	steps := []struct {
		name string
		// hold sends the order as far as it gets before it is held up; deliver does the rest.
		hold    func(t *testing.T, a *Administrator, p *standIn, q *wire.OrderRequest)
		deliver bool
	}{
		{"not read", func(*testing.T, *Administrator, *standIn, *wire.OrderRequest) {}, true},
		{"has a fence", func(t *testing.T, a *Administrator, _ *standIn, q *wire.OrderRequest) {
			q.Fence = call(t, a, q).GetFence()
		}, true},
		{"forwarded", func(t *testing.T, a *Administrator, _ *standIn, q *wire.OrderRequest) {
			q.Fence, q.Forwarded = call(t, a, q).GetFence(), true
		}, true},
		{"proposed", func(t *testing.T, a *Administrator, p *standIn, q *wire.OrderRequest) {
			q.Fence = call(t, a, q).GetFence()
			p.storing.Store(false)
			is.New(t).Equal(call(t, a, q).GetResult(), wire.SubmitResult_SUBMIT_RESULT_UNKNOWN)
			p.storing.Store(true)
		}, false},
	}
	for _, c := range cases {
		for _, s := range steps {
			for _, repeated := range []bool{true, false} {
				name := c.name + "/" + s.name + "/not repeated"
				if repeated {
					name = c.name + "/" + s.name + "/repeated"
				}
				t.Run(name, func(t *testing.T) {
					is := is.New(t)
					a, p := newLeader(t, 1, &wire.ChangeItemsCommand{Items: []*wire.Item{item("service lamps", 5)}, Digest: "first"})
					p.storing.Store(true)
					accept(t, a, c.newer) // without a repetition, the newer order changes nothing
					q := &wire.OrderRequest{Command: c.abandoned}
					s.hold(t, a, p, q)
					if repeated {
						accept(t, a, c.abandoned)
					}
					accept(t, a, c.newer)
					is.Equal(inForce(t, a), c.want)
					if s.deliver {
						is.True(call(t, a, q).GetResult() != wire.SubmitResult_SUBMIT_RESULT_ACCEPTED)
					}
					is.Equal(inForce(t, a), c.want)
				})
			}
		}
	}
}

// Guards against fences that hold beyond their term, and against orders for one subject that outdate those
// for another.
func TestFences(t *testing.T) {
	is := is.New(t)
	var f fences
	first := f.current(7, "service lamps")
	f.advance(7, "service bills")
	is.Equal(f.current(7, "service lamps").GetOrders(), first.GetOrders())
	f.advance(7, "service lamps")
	is.True(f.current(7, "service lamps").GetOrders() != first.GetOrders())
	is.Equal(f.current(8, "service lamps").GetTerm(), uint64(8))
	is.Equal(f.current(8, "service lamps").GetOrders(), uint64(0))
	f.advance(8, "service lamps")
	is.Equal(f.current(7, "service lamps").GetOrders(), uint64(1)) // the count doesn't start again
}

// Guards against refusing the orders that a member of a release without fences forwards during an upgrade.
func TestOrderOfOlderMember(t *testing.T) {
	is := is.New(t)
	a, p := newLeader(t, 1)
	p.storing.Store(true)
	accept(t, a, evacuation(true)) // the leader serves
	r := call(t, a, &wire.OrderRequest{Command: evacuation(false), Forwarded: true})
	is.Equal(r.GetResult(), wire.SubmitResult_SUBMIT_RESULT_ACCEPTED)
	is.Equal(inForce(t, a), "evacuated north1 ")
}
