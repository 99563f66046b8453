package replicator

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Size of the simulated group, and how many of its disks may be lost at once.
const (
	lossVoters = 5
	lossDisks  = 2
)

// site is a cluster on machines: each member runs on one, and a machine that loses its disk starts
// a new incarnation.
type site struct {
	*cluster
	// machines are those in use, current the member on each, machineOf the machine of each member.
	machines  []int
	current   map[int]uint64
	machineOf map[uint64]int
	// wiped are the machines that lost their disk and are not known to be back in the group.
	wiped map[int]bool
	// leaving is the member that an operator replaces by the last machine, or 0.
	leaving uint64
}

func newSite(t *rapid.T) *site {
	v := &site{cluster: newClusterOf(t, lossVoters, lossDisks+1), current: map[int]uint64{}, machineOf: map[uint64]int{}, wiped: map[int]bool{}}
	for i, id := range v.ids {
		v.machines = append(v.machines, i)
		v.current[i], v.machineOf[id] = id, i
	}
	v.await("the first members do not form a group", func() bool { return v.converged() })
	return v
}

// await lets time pass, machines join and operators repeat their orders until a condition holds.
func (v *site) await(otherwise string, holds func() bool) {
	for range 800 {
		if holds() {
			return
		}
		v.advance(1)
		v.join()
	}
	for _, id := range v.ids {
		if n := v.nodes[id]; n.up {
			v.t.Logf("member %d on machine %d: %d, term %d, applied %d of %d, members %v", id, v.machineOf[id], n.core.RaftState(),
				n.core.Term(), n.core.Applied(), n.core.LastIndex(), n.core.Members().GetMembers())
		}
	}
	v.t.Fatal(otherwise)
}

// committedMembers returns the last membership that is known to be committed.
func (v *site) committedMembers() []*wire.ControlMember {
	var out []*wire.ControlMember
	index := uint64(0)
	for _, n := range v.nodes {
		if n.core != nil && !v.lostDisks[n.id] && n.core.Applied() > index {
			index, out = n.core.Applied(), n.core.appliedMembers.GetMembers()
		}
	}
	return out
}

// lostMachines returns the machines that lost their disk and are not back in the group.
func (v *site) lostMachines() map[int]bool {
	voters, missing := map[uint64]bool{}, map[int]bool{}
	for _, m := range v.committedMembers() {
		voters[m.GetId()] = !m.GetLearner()
		if !m.GetLearner() && v.lostDisks[m.GetId()] {
			missing[v.machineOf[m.GetId()]] = true
		}
	}
	for i := range v.wiped {
		if voters[v.current[i]] && !missing[i] {
			delete(v.wiped, i)
		}
	}
	return maps.Clone(v.wiped)
}

// loseMachine makes a machine lose its disk and start anew, if not too many are lost then.
func (v *site) loseMachine(i int) {
	lost := v.lostMachines()
	lost[i] = true
	if len(lost) > lossDisks {
		return
	}
	v.wiped[i] = true
	old := v.nodes[v.current[i]]
	old.up, v.lostDisks[old.id] = false, true
	v.current[i] = v.addOn(i).id
}

func (v *site) anyMachine() int {
	return v.machines[v.random.IntN(len(v.machines))]
}

func (v *site) addOn(machine int) *node {
	v.lastID++
	n := v.add(v.lastID)
	v.machineOf[n.id] = machine
	v.start(n)
	return n
}

// join asks every leader to add the members that it does not list, as the founders of these
// members do, and removes a machine once its successor is a voter alone.
func (v *site) join() {
	for _, id := range v.ids {
		n := v.nodes[id]
		if !n.up || n.frozen || n.core.RaftState() != Leader {
			continue
		}
		for _, i := range v.machines {
			if learner := v.learnerOn(n.core.Members().GetMembers(), i); learner != nil {
				_ = n.core.Replace(v.now, learner)
				v.processReady(n, true)
			}
		}
	}
	listed := slices.ContainsFunc(v.committedMembers(), func(m *wire.ControlMember) bool { return m.GetId() == v.leaving })
	if v.leaving != 0 && !listed {
		v.nodes[v.leaving].up, v.lostDisks[v.leaving] = false, true
		v.leaving = 0
	}
}

// learnerOn returns the learner to add for the member on a machine, or nil if it is listed.
func (v *site) learnerOn(members []*wire.ControlMember, machine int) *wire.ControlMember {
	id := v.current[machine]
	out := &wire.ControlMember{Id: id, Address: fmt.Sprint("machine", machine), Learner: true}
	replaced := map[uint64]bool{}
	for _, m := range members {
		if m.GetId() == id {
			return nil
		}
		replaced[m.GetReplaces()] = true
	}
	for _, m := range members {
		if v.machineOf[m.GetId()] == machine && !replaced[m.GetId()] {
			out.Replaces = m.GetId()
		}
	}
	if out.GetReplaces() == 0 && machine == v.machines[len(v.machines)-1] {
		out.Replaces = v.leaving
	}
	return out
}

// replaceRunning begins to replace a running member by one on a new machine, as an operator does.
func (v *site) replaceRunning(i int) {
	if v.leaving != 0 || len(v.lostMachines()) > 0 || !v.nodes[v.current[i]].up {
		return
	}
	v.leaving = v.current[i]
	added := v.machines[len(v.machines)-1] + 1
	v.machines = append(slices.DeleteFunc(v.machines, func(m int) bool { return m == i }), added)
	v.current[added] = v.addOn(added).id
	delete(v.current, i)
}

// endAll ends all members at once: by a power loss, some of them in a write.
func (v *site) endAll() {
	for _, id := range v.ids {
		v.processReady(v.nodes[id], v.random.IntN(2) == 0)
		v.nodes[id].up = false
	}
	if v.random.IntN(2) == 0 {
		v.inFlight = nil
	}
}

// acknowledge submits until a client gets an answer.
func (v *site) acknowledge() {
	before := v.acknowledgedIndex
	v.await("no submit is answered", func() bool {
		if len(v.proposals) == 0 || v.random.IntN(50) == 0 {
			v.submitAtLeaders(true)
		}
		return v.acknowledgedIndex > before
	})
}

// finalFault takes disks right after an acknowledgement, while all others lose power or not.
func (v *site) finalFault() {
	v.acknowledge()
	if v.random.IntN(4) > 0 {
		v.endAll()
	}
	for range lossDisks {
		v.loseMachine(v.anyMachine())
	}
	v.recover()
}

// recover ends all faults and waits until every machine's member is back, with all that was
// acknowledged.
func (v *site) recover() {
	v.cutLinks = map[[2]uint64]bool{}
	for _, id := range v.ids {
		v.thaw(v.nodes[id])
		v.restart(v.nodes[id])
	}
	v.await("the group does not recover", func() bool {
		return v.converged() && len(v.lostMachines()) == 0 && v.leaving == 0 && len(v.committedMembers()) == lossVoters
	})
	for _, id := range v.current {
		if n := v.nodes[id]; n.core.Applied() < v.acknowledgedIndex {
			v.t.Fatalf("member %d lacks acknowledged index %d", id, v.acknowledgedIndex)
		}
	}
}

// lossActions are the events of a run besides final faults.
var lossActions = []struct {
	weight int
	do     func(v *site, machine int)
}{
	{8, func(v *site, _ int) { v.advance(1 + v.random.IntN(3)) }},
	{3, func(v *site, _ int) { v.advance(1 + v.random.IntN(30)) }},
	{12, func(v *site, _ int) { v.deliverRandom(1+v.random.IntN(6), false) }},
	{1, func(v *site, _ int) { v.deliverRandom(1, true) }},
	{8, func(v *site, _ int) { v.join() }},
	{5, func(v *site, _ int) { v.submitAtLeaders(true) }},
	{1, func(v *site, _ int) { v.submitAtLeaders(false) }},
	{2, func(v *site, i int) { v.processReady(v.nodes[v.current[i]], false) }},
	{4, func(v *site, i int) { v.restart(v.nodes[v.current[i]]) }},
	{1, func(v *site, i int) { v.compact(v.nodes[v.current[i]], v.random.IntN(3) > 0) }},
	{2, func(v *site, i int) { v.loseMachine(i) }},
	{1, func(v *site, i int) { v.replaceRunning(i) }},
}

// TestLossOfDisks loses the disks of two of five members right after an acknowledgement, often while
// all others lose power, at any moment of replacements: nothing acknowledged may be lost, and the
// group must recover by itself.
func TestLossOfDisks(t *testing.T) {
	losses := map[int]int{}
	rapid.Check(t, func(t *rapid.T) {
		v := newSite(t)
		var weighted []func(*site, int)
		for _, a := range lossActions {
			for range a.weight * v.random.IntN(4) {
				weighted = append(weighted, a.do)
			}
		}
		weighted = append(weighted, lossActions[0].do)
		for range 1 + v.random.IntN(2) {
			for range v.random.IntN(200) {
				weighted[v.random.IntN(len(weighted))](v, v.anyMachine())
			}
			for _, id := range v.ids {
				v.restart(v.nodes[id])
			}
			losses[len(v.lostMachines())]++
			v.finalFault()
		}
	})
	t.Logf("final faults by machines lost before: %v", losses)
	for n := range lossDisks + 1 {
		if losses[n] == 0 {
			t.Fatalf("no final fault with %d machines lost before", n)
		}
	}
}
