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

// Timeouts of the simulated members.
const (
	testElectionTimeout = 100 * time.Millisecond
	testHeartbeat       = 20 * time.Millisecond
)

// node is a simulated member with its disk.
type node struct {
	id     uint64
	disk   recorder.Restored
	core   *Core
	state  *applier.State
	up     bool
	frozen bool
	// inbox holds the messages that arrive while the node is frozen.
	inbox     []*wire.Message
	readRound uint64
	// minReadIndex is the lowest index that a read confirmed by readRound may be served from.
	minReadIndex uint64
}

// proposal is a submit whose entry is not applied yet.
type proposal struct {
	node        uint64
	index, term uint64
	operation   int
}

// cluster is a set of members and a network that the test controls.
type cluster struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	nodes     map[uint64]*node
	ids       []uint64
	inFlight  []*wire.Message
	cutLinks  map[[2]uint64]bool
	committed map[uint64]*wire.LogEntry
	// acknowledgedIndex is the highest index whose result a client has received.
	acknowledgedIndex uint64
	proposals         []proposal
	history           []porcupine.Operation
	lastID            uint64
	lostID            uint64
	// lostDisks holds the members that lost their disk; they never restart.
	lostDisks     map[uint64]bool
	replacementID uint64
	minCopies     int
}

func newCluster(t *rapid.T) *cluster {
	return newClusterOf(t, 3, 0)
}

func newClusterOf(t *rapid.T, voters uint64, minCopies int) *cluster {
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), nodes: map[uint64]*node{}, cutLinks: map[[2]uint64]bool{},
		committed: map[uint64]*wire.LogEntry{}, lostDisks: map[uint64]bool{}, lastID: voters, minCopies: minCopies,
	}
	m := &wire.Membership{}
	for id := uint64(1); id <= voters; id++ {
		m.Members = append(m.Members, &wire.ControlMember{Id: id, Name: fmt.Sprint("control", id), Address: fmt.Sprint("machine", id-1)})
	}
	for id := uint64(1); id <= voters; id++ {
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
	c.ids = append(c.ids, id)
	return n
}

func (c *cluster) start(n *node) {
	n.up, n.frozen, n.inbox, n.readRound = true, false, nil, 0
	n.state = applier.NewState(asserter.NewPanicking())
	if err := n.state.Restore(n.disk.Snapshot.GetIndex(), n.disk.Snapshot.GetData()); err != nil {
		c.t.Fatal(err)
	}
	n.core = NewCore(Config{
		ID: n.id, ElectionTimeout: testElectionTimeout, Heartbeat: testHeartbeat, MinCopies: c.minCopies,
		Random: c.random.Int64N, Assert: asserter.NewPanicking(),
	}, n.disk, c.now)
}

// processReady does the work that a member's core returns. If saved is false, the member crashes in
// its write: before it can be read back, or after.
func (c *cluster) processReady(n *node, saved bool) {
	if !n.up {
		return
	}
	r := n.core.Ready()
	if !saved {
		if c.random.IntN(2) == 0 {
			n.disk = n.disk.Apply(r.Write)
		}
		n.up = false
		return
	}
	n.disk = n.disk.Apply(r.Write)
	c.inFlight = append(c.inFlight, r.Messages...)
	if r.InstalledSnapshot != nil {
		if err := n.state.Restore(r.InstalledSnapshot.GetIndex(), r.InstalledSnapshot.GetData()); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, e := range r.CommittedEntries {
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
	c.completeProposals(n, e, result)
}

// completeProposals answers the clients whose proposal is applied on the member that accepted it.
func (c *cluster) completeProposals(n *node, e *wire.LogEntry, r applier.Result) {
	c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool {
		if p.node != n.id || p.index != e.GetIndex() {
			return false
		}
		if p.term == e.GetTerm() {
			o := &c.history[p.operation]
			o.Return, o.Output = int64(c.now)+1, output{answered: true, result: r.Submit, winner: r.Revision.GetDigest()}
			c.acknowledgedIndex = max(c.acknowledgedIndex, e.GetIndex())
		}
		return true
	})
}

// checkRead asserts that a read confirmed by a quorum round never returns state older than what
// was acknowledged to a client when the read began.
func (c *cluster) checkRead(n *node) {
	if n.readRound != 0 && n.core.RoundConfirmed(n.readRound) {
		if n.core.Applied() < n.minReadIndex {
			c.t.Fatalf("member %d serves index %d after %d was acknowledged", n.id, n.core.Applied(), n.minReadIndex)
		}
		n.readRound = 0
	}
	if n.readRound == 0 && n.core.RaftState() == Leader {
		n.readRound, n.minReadIndex = n.core.NextRound(), c.acknowledgedIndex
	}
	if n.core.RaftState() != Leader {
		n.readRound = 0
	}
}

func (c *cluster) tick(d time.Duration) {
	c.now += d
	for _, id := range c.ids {
		c.tickNode(c.nodes[id], 0)
	}
}

func (c *cluster) tickNode(n *node, d time.Duration) {
	c.now += d
	if !n.up || n.frozen {
		return
	}
	n.core.Tick(c.now)
	n.core.ContinueReplacement(c.now)
	c.processReady(n, true)
}

func (c *cluster) restart(n *node) {
	if !n.up && !c.lostDisks[n.id] {
		c.start(n)
	}
}

// deliverRandom delivers n random messages, out of order.
func (c *cluster) deliverRandom(n int, keep bool) {
	for range min(n, len(c.inFlight)) {
		c.deliver(c.random.IntN(len(c.inFlight)), keep)
	}
}

// advance advances the time by 10 ms a round and delivers the messages in order.
func (c *cluster) advance(rounds int) {
	for range rounds {
		c.tick(10 * time.Millisecond)
		for range len(c.inFlight) {
			c.deliver(0, false)
		}
	}
}

// deliver delivers message i; keep leaves a copy in the network, which makes it a duplicate.
func (c *cluster) deliver(i int, keep bool) {
	m := c.inFlight[i]
	if !keep {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	n := c.nodes[m.GetTo()]
	if n == nil || !n.up || c.cutLinks[[2]uint64{m.GetFrom(), m.GetTo()}] {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, m)
		return
	}
	n.core.Step(c.now, proto.CloneOf(m))
	c.processReady(n, true)
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
			c.processReady(n, true)
		}
	}
}

// submit proposes the revision after the head in the member's state, as an operator would.
func (c *cluster) submit(n *node, saved bool) {
	if !n.up || n.frozen || n.core.RaftState() != Leader {
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
	c.processReady(n, saved)
}

// effectiveHistory returns the history without the unanswered submits that were never committed:
// linearizability allows a pending operation without effect to be omitted. If an omitted one had
// an effect that another observed, the rest can't be linearized.
func (c *cluster) effectiveHistory() []porcupine.Operation {
	committed := map[string]bool{}
	for _, e := range c.committed {
		var command wire.Command
		if err := proto.Unmarshal(e.GetData(), &command); err == nil {
			committed[command.GetSubmit().GetDigest()] = true
		}
	}
	var out []porcupine.Operation
	for _, o := range c.history {
		if o.Output.(output).answered || committed[o.Input.(input).digest] {
			out = append(out, o)
		}
	}
	return out
}

// submitAtLeaders proposes on every member that is in the state Leader.
func (c *cluster) submitAtLeaders(saved bool) {
	for _, id := range c.ids {
		c.submit(c.nodes[id], saved)
	}
}

// compact compacts a member's log. If saved is false, the member crashes in the write, as in
// processReady.
func (c *cluster) compact(n *node, saved bool) {
	if !n.up || n.core.CompactableEntries() == 0 {
		return
	}
	b, err := n.state.Snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	w := n.core.Compact(b)
	if saved || c.random.IntN(2) == 0 {
		n.disk = n.disk.Apply(w)
	}
	n.up = saved
}

// bootstrapped reports whether all first members store the membership, which is when the
// operator's bootstrap returns; before that, only one disk holds data.
func (c *cluster) bootstrapped() bool {
	for _, id := range c.ids[:3] {
		if n := c.nodes[id]; n.disk.Snapshot == nil && !c.lostDisks[id] {
			return false
		}
	}
	return true
}

// loseDisk stops a member for good and starts an empty one that is to replace it.
func (c *cluster) loseDisk(n *node) {
	if c.lostID != 0 || !c.bootstrapped() || !c.isListed(n.id) {
		return
	}
	n.up = false
	c.lostID, c.lostDisks[n.id] = n.id, true
	c.lastID++
	c.replacementID = c.lastID
	c.start(c.add(c.lastID))
}

// replaceLost proposes the replacement of the lost member if n is the leader.
func (c *cluster) replaceLost(n *node) {
	if c.lostID == 0 || !n.up || n.frozen || n.core.RaftState() != Leader {
		return
	}
	for _, m := range n.core.Members().GetMembers() {
		if m.GetId() == c.replacementID {
			c.clearReplaced(n)
			return
		}
	}
	_ = n.core.Replace(c.now, &wire.ControlMember{Id: c.replacementID, Learner: true, Replaces: c.lostID})
	c.processReady(n, true)
}

// clearReplaced ends a replacement: the lost member is removed, and the one in its place votes.
func (c *cluster) clearReplaced(n *node) {
	m := n.core.Members().GetMembers()
	removed := !slices.ContainsFunc(m, func(m *wire.ControlMember) bool { return m.GetId() == c.lostID })
	if removed && n.core.isVoter(c.replacementID) && n.core.membersIndex <= n.core.Commit() {
		c.lostID, c.replacementID = 0, 0
	}
}

// heal ends all faults and waits until every member has applied the whole log.
func (c *cluster) heal() {
	c.cutLinks = map[[2]uint64]bool{}
	for _, id := range c.ids {
		n := c.nodes[id]
		c.thaw(n)
		c.restart(n)
	}
	for range 400 {
		c.advance(1)
		for _, id := range c.ids {
			c.replaceLost(c.nodes[id])
		}
		if c.converged() {
			return
		}
	}
	for _, n := range c.nodes {
		c.t.Logf("%d up %v state %d term %d applied %d last %d members %v", n.id, n.up, n.core.RaftState(), n.core.Term(), n.core.Applied(), n.core.LastIndex(), n.core.Members())
	}
	c.t.Fatal("the members do not agree again after everything healed")
}

// isListed reports whether the membership of a running member includes id.
func (c *cluster) isListed(id uint64) bool {
	for _, n := range c.nodes {
		if n.up && slices.ContainsFunc(n.core.Members().GetMembers(), func(m *wire.ControlMember) bool { return m.GetId() == id }) {
			return true
		}
	}
	return false
}

func (c *cluster) converged() bool {
	var leader *node
	for _, n := range c.nodes {
		if n.up && n.core.RaftState() == Leader && n.core.RoundConfirmed(0) {
			leader = n
		}
	}
	if leader == nil || c.lostID != 0 {
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
