package sequencer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// waitLimit ends a hanging test and judges no speed.
const waitLimit = 30 * time.Second

// cluster is three sequencers with real data folders and messages that go straight over.
type cluster struct {
	t       testing.TB
	mutex   sync.Mutex
	members []*instance
}

// instance is one sequencer.
type instance struct {
	id        uint64
	folder    string
	recorder  *recorder.Recorder
	sequencer *Sequencer
	state     *applier.State
	group     *supervisor.Group
	cut       atomic.Bool
	// full refuses writes as a full disk does.
	full atomic.Bool
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t}
	first := &wire.Membership{}
	for i := range 3 {
		m := &instance{folder: t.TempDir()}
		c.members = append(c.members, m)
		c.start(m)
		first.Members = append(first.Members, &wire.ControlMember{Id: m.id, Name: fmt.Sprint("control", i)})
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if err := c.members[0].sequencer.Bootstrap(ctx, first); err != nil {
		t.Fatal(err)
	}
	c.leader()
	return c
}

func (c *cluster) start(m *instance) {
	disk := recorder.NewDisk()
	write := disk.Write
	disk.Write = func(f *os.File, b []byte) (int, error) {
		if m.full.Load() {
			return 0, syscall.ENOSPC
		}
		return write(f, b)
	}
	r, err := recorder.NewRecorder(recorder.Config{Folder: m.folder, Disk: disk})
	if err != nil {
		c.t.Fatal(err)
	}
	state := applier.NewState(asserter.NewPanicking())
	s, err := NewSequencer(Config{
		Clock: timekeeper.NewClock(), Assert: asserter.NewPanicking(), Scope: tally.NoopScope,
		Recorder: r, State: state, Random: rand.Int64N,
		Send: func(list []*wire.Message) { c.send(m, list) },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mutex.Lock()
	m.id, m.recorder, m.sequencer, m.state = r.Restored.Incarnation, r, s, state
	m.group = supervisor.NewGroup(supervisor.Config{})
	c.mutex.Unlock()
	m.group.Go("sequencer", s.Run)
}

func (c *cluster) stop(m *instance) {
	m.group.Stop()
	_ = m.recorder.Close()
}

func (c *cluster) send(from *instance, list []*wire.Message) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, w := range list {
		for _, m := range c.members {
			if m.id == w.GetTo() && !m.cut.Load() && !from.cut.Load() {
				m.sequencer.Deliver([]*wire.Message{proto.CloneOf(w)})
			}
		}
	}
}

// leader waits for a member that leads and is confirmed.
func (c *cluster) leader() *instance {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, m := range c.members {
			if !m.cut.Load() && m.sequencer.View().Serving() {
				return m
			}
		}
	}
	c.t.Fatal("nobody leads")
	return nil
}

// submit accepts the next revision, whoever leads.
func (c *cluster) submit(revision uint64) {
	c.t.Helper()
	command := &wire.Command{Kind: &wire.Command_Submit{Submit: &wire.SubmitCommand{
		Revision: revision, Digest: fmt.Sprint("digest", revision),
		Sections: []*wire.TextSection{{Name: "team a", Keys: []*wire.TextKey{{Name: "rate", Value: fmt.Sprint(revision)}}}},
	}}}
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := c.leader().sequencer.Propose(ctx, command)
		cancel()
		if err == nil && r.Submit == wire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
			return
		}
	}
	c.t.Fatalf("revision %d was not accepted", revision)
}

// checkAll waits until every member has applied the revision.
func (c *cluster) checkAll(revision uint64) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		behind := slices.ContainsFunc(c.members, func(m *instance) bool { return m.state.Head().GetRevision() != revision })
		if !behind {
			return
		}
	}
	c.t.Fatalf("not every member has revision %d", revision)
}

// fault is something that happens to a member while texts are submitted.
type fault struct {
	name        string
	begin, mend func(c *cluster, m *instance)
}

var faults = []fault{
	{"killed", func(c *cluster, m *instance) { m.cut.Store(true); c.stop(m) }, func(c *cluster, m *instance) { m.cut.Store(false); c.start(m) }},
	{"cut off", func(_ *cluster, m *instance) { m.cut.Store(true) }, func(_ *cluster, m *instance) { m.cut.Store(false) }},
	{"disk full", func(_ *cluster, m *instance) { m.full.Store(true) }, func(_ *cluster, m *instance) { m.full.Store(false) }},
}

// steps are the moments between which a fault begins and ends; 300 submits pass a snapshot.
var steps = []struct {
	name    string
	submits uint64
}{
	{"at once", 0},
	{"during appends", 5},
	{"across a snapshot", SnapshotEvery + 20},
}

// TestFaultMatrix puts every fault on the leader and on a follower at every step.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		for _, s := range steps {
			for _, onLeader := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s, leader %v", f.name, s.name, onLeader), func(t *testing.T) {
					c := newCluster(t)
					c.submit(1)
					m := c.victim(onLeader)
					f.begin(c, m)
					revision := uint64(1)
					for range s.submits {
						revision++
						c.submit(revision)
					}
					f.mend(c, m)
					revision++
					c.submit(revision)
					c.checkAll(revision)
				})
			}
		}
	}
}

func (c *cluster) victim(leader bool) *instance {
	l := c.leader()
	if leader {
		return l
	}
	return c.members[(slices.Index(c.members, l)+1)%3]
}

// TestFullDisksLoseNothing: with no quorum of disks nothing is accepted, and all that was
// accepted before is there after.
func TestFullDisksLoseNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.submit(1)
	for _, m := range c.members {
		m.full.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := c.members[0].sequencer.Propose(ctx, &wire.Command{})
	is.True(err != nil)
	for _, m := range c.members {
		m.full.Store(false)
	}
	c.submit(2)
	c.checkAll(2)
}

// TestConfirm: a member that is cut off does not confirm a read.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	l := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	is.NoErr(l.sequencer.Confirm(ctx))
	l.cut.Store(true)
	is.True(l.sequencer.Confirm(ctx) != nil)
	is.True(l.sequencer.View().Standing != replicator.Leader)
}

// BenchmarkSubmit commits with three members and with one of them cut off.
func BenchmarkSubmit(b *testing.B) {
	for _, cut := range []bool{false, true} {
		for _, writers := range []int{1, 64} {
			b.Run(fmt.Sprintf("cut %v, %d at once", cut, writers), func(b *testing.B) {
				c := newCluster(b)
				if cut {
					c.victim(false).cut.Store(true)
				}
				benchmarkSubmits(b, c.leader(), writers)
			})
		}
	}
}

func benchmarkSubmits(b *testing.B, l *instance, writers int) {
	var mutex sync.Mutex
	var times []time.Duration
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for left.Add(-1) >= 0 {
				begun := time.Now()
				if _, err := l.sequencer.Propose(context.Background(), &wire.Command{}); err != nil {
					b.Error(err)
					return
				}
				mutex.Lock()
				times = append(times, time.Since(begun))
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkRestart opens a data folder after a number of changes, as a member does at its
// start, with and without the snapshots that it would have made.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 500, 1000, 2000} {
		for _, snapshots := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d changes, snapshots %v", changes, snapshots), func(b *testing.B) {
				folder := b.TempDir()
				writeChanges(b, folder, changes, snapshots)
				b.ResetTimer()
				for b.Loop() {
					restart(b, folder)
				}
			})
		}
	}
}

func writeChanges(b *testing.B, folder string, changes int, snapshots bool) {
	r, err := recorder.NewRecorder(recorder.Config{Folder: folder, Disk: recorder.NewDisk()})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	state := applier.NewState(asserter.NewPanicking())
	for i := uint64(1); i <= uint64(changes); i++ {
		command, _ := proto.Marshal(&wire.Command{Kind: &wire.Command_Submit{Submit: changeOf(i)}})
		state.Apply(i, command)
		w := recorder.Write{State: &wire.HardState{Term: 1, Commit: i}, Entries: []*wire.LogEntry{{Index: i, Term: 1, Data: command}}}
		if snapshots && i%SnapshotEvery == 0 {
			data, _ := state.Snapshot()
			w = recorder.Write{State: w.State, Snapshot: &wire.Snapshot{Index: i, Term: 1, Data: data}}
		}
		if err := r.Save(w); err != nil {
			b.Fatal(err)
		}
	}
}

// changeOf is a text of today's size, of which one section changes.
func changeOf(revision uint64) *wire.SubmitCommand {
	c := &wire.SubmitCommand{Revision: revision, Digest: fmt.Sprint(revision)}
	for i := range 80 {
		value := "127.0.0.1:9000"
		if uint64(i) == revision%80 {
			value = fmt.Sprint(revision)
		}
		s := &wire.TextSection{Name: fmt.Sprint("target t", i)}
		for k := range 6 {
			s.Keys = append(s.Keys, &wire.TextKey{Name: fmt.Sprint("key", k), Value: value})
		}
		c.Sections = append(c.Sections, s)
	}
	return c
}

func restart(b *testing.B, folder string) {
	r, err := recorder.NewRecorder(recorder.Config{Folder: folder, Disk: recorder.NewDisk()})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	state := applier.NewState(asserter.NewPanicking())
	if err := state.Restore(r.Restored.Snapshot.GetIndex(), r.Restored.Snapshot.GetData()); err != nil {
		b.Fatal(err)
	}
	for _, e := range r.Restored.Entries {
		state.Apply(e.GetIndex(), e.GetData())
	}
}
