package replicator

import (
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestMain uses a fixed seed unless one is given; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 400))
}

// input is a submit, output its result.
type (
	input struct {
		revision uint64
		digest   string
	}
	output struct {
		answered bool
		result   wire.SubmitResult
		winner   string
	}
	// head is the revision of the text in force.
	head struct {
		revision uint64
		digest   string
	}
)

// compareAndSwap is the sequential specification of submits, for the linearizability check.
var compareAndSwap = porcupine.Model{
	Init: func() any { return head{} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(head), in.(input), out.(output)
		if i.revision == s.revision+1 {
			next := head(i)
			return !o.answered || (o.result == wire.SubmitResult_SUBMIT_RESULT_ACCEPTED && o.winner == i.digest), next
		}
		return !o.answered || o.result == wire.SubmitResult_SUBMIT_RESULT_CONFLICT, s
	},
}

// TestFaults runs members under random faults and checks the invariants and that the history
// of submits is linearizable.
func TestFaults(t *testing.T) {
	var total runStats
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		weighted := c.drawActions()
		for range 200 + c.random.IntN(1000) {
			weighted[c.random.IntN(len(weighted))].do(c, c.nodes[c.ids[c.random.IntN(len(c.ids))]])
		}
		c.heal()
		for _, n := range c.nodes {
			if n.up && n.core.RaftState() == Leader && c.acknowledgedIndex > n.core.Applied() {
				t.Fatalf("member %d lacks acknowledged index %d", n.id, c.acknowledgedIndex)
			}
		}
		total.add(c)
		h := c.effectiveHistory()
		switch porcupine.CheckOperationsTimeout(compareAndSwap, h, time.Minute) {
		case porcupine.Illegal:
			t.Fatalf("the history of %d submits is not linearizable", len(h))
		case porcupine.Unknown:
			t.Fatalf("the history of %d submits could not be checked in time", len(h))
		}
	})
	t.Logf("%+v", total)
	is := is.New(t)
	is.True(total.answered > total.runs/2)  // submits are answered
	is.True(total.repairs > total.runs/100) // disks are lost and replaced
}

// runStats counts what the runs of a test covered, to detect runs that cover nothing.
type runStats struct {
	runs, submits, answered, repairs, snapshots, maxTerm int
}

func (y *runStats) add(c *cluster) {
	y.runs++
	y.submits += len(c.history)
	for _, o := range c.history {
		if o.Output.(output).answered {
			y.answered++
		}
	}
	y.repairs += len(c.lostDisks)
	for _, n := range c.nodes {
		if n.core.log.snapshotIndex > 1 {
			y.snapshots++
		}
		y.maxTerm = max(y.maxTerm, int(n.core.Term()))
	}
}

// action is a random event in a cluster; one that concerns a single member happens to n.
type action struct {
	name   string
	weight int
	do     func(c *cluster, n *node)
}

var actions = []action{
	{"time passes", 8, func(c *cluster, _ *node) { c.tick(time.Duration(5+c.random.IntN(56)) * time.Millisecond) }},
	{"one member's time passes", 4, func(c *cluster, n *node) { c.tickNode(n, time.Duration(c.random.IntN(60))*time.Millisecond) }},
	{"messages arrive", 20, func(c *cluster, _ *node) { c.deliverRandom(1+c.random.IntN(4), false) }},
	{"message repeats", 2, func(c *cluster, _ *node) { c.deliverRandom(1, true) }},
	{"messages are lost", 1, func(c *cluster, _ *node) { c.inFlight = nil }},
	{"quiet", 3, func(c *cluster, _ *node) { c.advance(1 + c.random.IntN(30)) }},
	{"submit", 6, func(c *cluster, _ *node) { c.submitAtLeaders(true) }},
	{"crash in submit", 1, func(c *cluster, _ *node) { c.submitAtLeaders(false) }},
	{"one-way cut", 2, func(c *cluster, n *node) { c.cutLinks[[2]uint64{n.id, c.ids[c.random.IntN(len(c.ids))]}] = true }},
	{"cuts heal", 2, func(c *cluster, _ *node) { clear(c.cutLinks) }},
	{"crash before a write", 1, func(c *cluster, n *node) { c.processReady(n, false) }},
	{"crash after a write", 2, func(_ *cluster, n *node) { n.up = false }},
	{"restart", 4, func(c *cluster, n *node) { c.restart(n) }},
	{"freeze", 1, func(_ *cluster, n *node) { n.frozen = n.up }},
	{"thaw", 2, func(c *cluster, n *node) { c.thaw(n) }},
	{"compact", 1, func(c *cluster, n *node) { c.compact(n, true) }},
	{"crash in a compaction", 1, func(c *cluster, n *node) { c.compact(n, false) }},
	{"disk lost", 1, func(c *cluster, n *node) { c.loseDisk(n) }},
	{"repair", 2, func(c *cluster, n *node) { c.replaceLost(n) }},
}

// drawActions draws the weight of each action for one run; some weights are 0.
func (c *cluster) drawActions() []action {
	var out []action
	for _, a := range actions {
		for range a.weight * c.random.IntN(4) {
			out = append(out, a)
		}
	}
	return append(out, actions[0], actions[2])
}

func TestConflictHint(t *testing.T) {
	entry := func(index, term uint64) *wire.LogEntry { return &wire.LogEntry{Index: index, Term: term} }
	l := newLog(&wire.Snapshot{Index: 4, Term: 1}, []*wire.LogEntry{entry(5, 2), entry(6, 2), entry(7, 3)})
	cases := []struct {
		name        string
		index, want uint64
	}{
		{"behind the end", 9, 7},
		{"last term", 7, 6},
		{"run of a term", 6, 4},
		{"at the snapshot", 4, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(l.conflictHint(c.index), c.want)
		})
	}
}
