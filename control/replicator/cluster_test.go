package replicator

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Times of the simulated members.
const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// node is one simulated member with its disk.
type node struct {
	id     uint64
	disk   recorder.Restored
	core   *Core
	state  *applier.State
	up     bool
	frozen bool
	inbox  []*wire.Message
	round  uint64
	least  uint64
}

// proposal is a submit that waits for its entry to be applied.
type proposal struct {
	node        uint64
	index, term uint64
	operation   int
}

// cluster is a set of members with a network between them that a test steers.
type cluster struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	nodes     map[uint64]*node
	order     []uint64
	network   []*wire.Message
	cuts      map[[2]uint64]bool
	committed map[uint64]*wire.LogEntry
	// acknowledged is the highest index whose effect a client has seen.
	acknowledged uint64
	proposals    []proposal
	history      []porcupine.Operation
	nextID       uint64
	lost         uint64
	// gone holds the members whose disks are lost; they never come back.
	gone        map[uint64]bool
	replacement uint64
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), nodes: map[uint64]*node{}, cuts: map[[2]uint64]bool{},
		committed: map[uint64]*wire.LogEntry{}, gone: map[uint64]bool{}, nextID: 3,
	}
	m := &wire.Membership{}
	for id := uint64(1); id <= 3; id++ {
		m.Members = append(m.Members, &wire.ControlMember{Id: id, Name: fmt.Sprint("control", id)})
	}
	for id := uint64(1); id <= 3; id++ {
		n := c.add(id)
		if id == 1 {
			n.disk = recorder.Restored{
				Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m},
				State:    &wire.HardState{Term: 1, Commit: 1},
			}
		}
		c.start(n)
	}
	return c
}

func (c *cluster) add(id uint64) *node {
	n := &node{id: id}
	c.nodes[id] = n
	c.order = append(c.order, id)
	return n
}

func (c *cluster) start(n *node) {
	n.up, n.frozen, n.inbox, n.round = true, false, nil, 0
	n.state = applier.NewState(asserter.NewPanicking())
	if err := n.state.Restore(n.disk.Snapshot.GetIndex(), n.disk.Snapshot.GetData()); err != nil {
		c.t.Fatal(err)
	}
	n.core = NewCore(Config{
		ID: n.id, ElectionTimeout: testElection, Heartbeat: testHeartbeat,
		Random: c.random.Int64N, Assert: asserter.NewPanicking(),
	}, n.disk, c.now)
}

// settle does the work that a member's core asks for. saved false is a crash before the write.
func (c *cluster) settle(n *node, saved bool) {
	if !n.up {
		return
	}
	r := n.core.Ready()
	if !saved {
		n.up = false
		return
	}
	n.disk = n.disk.Apply(r.Write)
	c.network = append(c.network, r.Messages...)
	if r.Installed != nil {
		if err := n.state.Restore(r.Installed.GetIndex(), r.Installed.GetData()); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, e := range r.Committed {
		c.apply(n, e)
	}
	c.checkRead(n)
}

func (c *cluster) apply(n *node, e *wire.LogEntry) {
	known := c.committed[e.GetIndex()]
	if known != nil && (known.GetTerm() != e.GetTerm() || !bytes.Equal(known.GetData(), e.GetData())) {
		c.t.Fatalf("index %d committed as term %d and as term %d", e.GetIndex(), known.GetTerm(), e.GetTerm())
	}
	c.committed[e.GetIndex()] = e
	var data []byte
	if e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND {
		data = e.GetData()
	}
	result := n.state.Apply(e.GetIndex(), data)
	c.finish(n, e, result)
}

// finish answers the client whose proposal was applied where it was made.
func (c *cluster) finish(n *node, e *wire.LogEntry, r applier.Result) {
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool {
		if p.node != n.id || p.index != e.GetIndex() {
			return false
		}
		if p.term == e.GetTerm() {
			o := &c.history[p.operation]
			o.Return, o.Output = int64(c.now)+1, output{known: true, result: r.Submit, winner: r.Revision.GetDigest()}
			c.acknowledged = max(c.acknowledged, e.GetIndex())
		}
		return true
	})
}

// checkRead asserts that a confirmed quorum round never serves state older than what
// a client had seen when the round was asked for.
func (c *cluster) checkRead(n *node) {
	if n.round != 0 && n.core.Confirmed(n.round) {
		if n.core.Applied() < n.least {
			c.t.Fatalf("member %d serves index %d after %d was acknowledged", n.id, n.core.Applied(), n.least)
		}
		n.round = 0
	}
	if n.round == 0 && n.core.Standing() == Leader {
		n.round, n.least = n.core.NextRound(), c.acknowledged
	}
	if n.core.Standing() != Leader {
		n.round = 0
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now += d
	for _, id := range c.order {
		c.tickOne(c.nodes[id], 0)
	}
}

func (c *cluster) tickOne(n *node, d time.Duration) {
	c.now += d
	if !n.up || n.frozen {
		return
	}
	n.core.Tick(c.now)
	n.core.ContinueRepair(c.now)
	c.settle(n, true)
}

func (c *cluster) restart(n *node) {
	if !n.up && !c.gone[n.id] {
		c.start(n)
	}
}

// deliverAny hands over some messages out of order.
func (c *cluster) deliverAny(n int, keep bool) {
	for range min(n, len(c.network)) {
		c.deliver(c.random.IntN(len(c.network)), keep)
	}
}

// pass lets time pass with every message delivered in order.
func (c *cluster) pass(rounds int) {
	for range rounds {
		c.tick(10 * time.Millisecond)
		for range len(c.network) {
			c.deliver(0, false)
		}
	}
}

// deliver hands message i over, and keeps a copy in the network if asked to.
func (c *cluster) deliver(i int, keep bool) {
	m := c.network[i]
	if !keep {
		c.network = slices.Delete(c.network, i, i+1)
	}
	n := c.nodes[m.GetTo()]
	if n == nil || !n.up || c.cuts[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, m)
		return
	}
	n.core.Step(c.now, proto.CloneOf(m))
	c.settle(n, true)
}

func (c *cluster) thaw(n *node) {
	if !n.frozen {
		return
	}
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if n.up {
			n.core.Step(c.now, proto.CloneOf(m))
			c.settle(n, true)
		}
	}
}

// submit proposes the revision after the member's own head, as an operator would.
func (c *cluster) submit(n *node, saved bool) {
	if !n.up || n.frozen || n.core.Standing() != Leader {
		return
	}
	in := input{revision: n.state.Head().GetRevision() + 1, digest: fmt.Sprint("d", len(c.history))}
	b, err := proto.Marshal(&wire.Command{Kind: &wire.Command_Submit{
		Submit: &wire.SubmitCommand{Revision: in.revision, Digest: in.digest},
	}})
	if err != nil {
		c.t.Fatal(err)
	}
	index, term, _ := n.core.Propose(c.now, b)
	c.proposals = append(c.proposals, proposal{n.id, index, term, len(c.history)})
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: in, Call: int64(c.now), Output: output{}, Return: 1 << 60,
	})
	c.settle(n, saved)
}

// effective returns the history without the unanswered submits that never were committed:
// linearizability lets a pending operation without effect be left out. If one of them had
// an effect that another saw, the rest can't be linearized.
func (c *cluster) effective() []porcupine.Operation {
	committed := map[string]bool{}
	for _, e := range c.committed {
		var command wire.Command
		if err := proto.Unmarshal(e.GetData(), &command); err == nil {
			committed[command.GetSubmit().GetDigest()] = true
		}
	}
	var out []porcupine.Operation
	for _, o := range c.history {
		if o.Output.(output).known || committed[o.Input.(input).digest] {
			out = append(out, o)
		}
	}
	return out
}

// submitAnywhere proposes at every member that believes it leads.
func (c *cluster) submitAnywhere(saved bool) {
	for _, id := range c.order {
		c.submit(c.nodes[id], saved)
	}
}

func (c *cluster) compact(n *node) {
	if !n.up || n.core.LogLength() == 0 {
		return
	}
	b, err := n.state.Snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	n.disk = n.disk.Apply(n.core.Compact(b))
}

// formed tells whether the first members have all joined, which is when the operator's
// bootstrap answers; before that only one disk holds anything that could be lost.
func (c *cluster) formed() bool {
	for _, id := range c.order[:3] {
		if n := c.nodes[id]; n.disk.Snapshot == nil && !c.gone[id] {
			return false
		}
	}
	return true
}

// loseDisk ends a member for good and starts an empty one to take its place.
func (c *cluster) loseDisk(n *node) {
	if c.lost != 0 || !c.formed() || !c.current(n.id) {
		return
	}
	n.up = false
	c.lost, c.gone[n.id] = n.id, true
	c.nextID++
	c.replacement = c.nextID
	c.start(c.add(c.nextID))
}

// replace asks the leader to repair the lost member.
func (c *cluster) replace(n *node) {
	if c.lost == 0 || !n.up || n.frozen || n.core.Standing() != Leader {
		return
	}
	for _, m := range n.core.Members().GetMembers() {
		if m.GetId() == c.replacement {
			c.noteRepaired(n)
			return
		}
	}
	_ = n.core.Replace(c.now, &wire.ControlMember{Id: c.replacement, Learner: true, Replaces: c.lost})
	c.settle(n, true)
}

func (c *cluster) noteRepaired(n *node) {
	m := n.core.Members().GetMembers()
	gone := !slices.ContainsFunc(m, func(m *wire.ControlMember) bool { return m.GetId() == c.lost })
	if gone && n.core.memberIndex <= n.core.Commit() {
		c.lost, c.replacement = 0, 0
	}
}

// recover heals everything and waits until each member applied the same.
func (c *cluster) recover() {
	c.cuts = map[[2]uint64]bool{}
	for _, id := range c.order {
		n := c.nodes[id]
		c.thaw(n)
		c.restart(n)
	}
	for range 400 {
		c.pass(1)
		for _, id := range c.order {
			c.replace(c.nodes[id])
		}
		if c.agreed() {
			return
		}
	}
	c.t.Fatal("the members do not agree again after everything healed")
}

// current tells whether a running member counts another as a member.
func (c *cluster) current(id uint64) bool {
	for _, n := range c.nodes {
		if n.up && slices.ContainsFunc(n.core.Members().GetMembers(), func(m *wire.ControlMember) bool { return m.GetId() == id }) {
			return true
		}
	}
	return false
}

func (c *cluster) agreed() bool {
	var leader *node
	for _, n := range c.nodes {
		if n.up && n.core.Standing() == Leader && n.core.Confirmed(0) {
			leader = n
		}
	}
	if leader == nil || c.lost != 0 {
		return false
	}
	for _, m := range leader.core.Members().GetMembers() {
		n := c.nodes[m.GetId()]
		if n == nil || !n.up || n.core.Applied() != leader.core.LastIndex() {
			return false
		}
	}
	return true
}
