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

// waitTimeout ends a test that hangs; it does not check the speed.
const waitTimeout = 30 * time.Second

// cluster is three sequencers with real data folders; messages are delivered directly.
type cluster struct {
	t       testing.TB
	mutex   sync.Mutex
	members []*member
}

// member is one sequencer of a cluster.
type member struct {
	id           uint64
	folder       string
	recorder     *recorder.Recorder
	sequencer    *Sequencer
	state        *applier.State
	group        *supervisor.Group
	disconnected atomic.Bool
	// diskFull makes every write fail as on a full disk.
	diskFull atomic.Bool
}

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t}
	first := &wire.Membership{}
	for i := range 3 {
		m := &member{folder: t.TempDir()}
		c.members = append(c.members, m)
		c.start(m)
		first.Members = append(first.Members, &wire.ControlMember{Id: m.id, Name: fmt.Sprint("control", i)})
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			c.stop(m)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := c.members[0].sequencer.Bootstrap(ctx, first); err != nil {
		t.Fatal(err)
	}
	c.leader()
	return c
}

func (c *cluster) start(m *member) {
	disk := recorder.NewDisk()
	write := disk.Write
	disk.Write = func(f *os.File, b []byte) (int, error) {
		if m.diskFull.Load() {
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

func (c *cluster) stop(m *member) {
	m.group.Stop()
	_ = m.recorder.Close()
}

func (c *cluster) send(from *member, list []*wire.Message) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, w := range list {
		for _, m := range c.members {
			if m.id == w.GetTo() && !m.disconnected.Load() && !from.disconnected.Load() {
				m.sequencer.Deliver([]*wire.Message{proto.CloneOf(w)})
			}
		}
	}
}

// leader waits for a connected member that is the leader and serves, and returns it.
func (c *cluster) leader() *member {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, m := range c.members {
			if !m.disconnected.Load() && m.sequencer.View().Serving() {
				return m
			}
		}
	}
	c.t.Fatal("no member became the leader")
	return nil
}

// submit proposes a revision to the current leader until it is accepted.
func (c *cluster) submit(revision uint64) {
	c.t.Helper()
	command := &wire.Command{Kind: &wire.Command_Submit{Submit: &wire.SubmitCommand{
		Revision: revision, Digest: fmt.Sprint("digest", revision),
		Sections: []*wire.TextSection{{Name: "team a", Keys: []*wire.TextKey{{Name: "rate", Value: fmt.Sprint(revision)}}}},
	}}}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := c.leader().sequencer.Propose(ctx, command)
		cancel()
		if err == nil && r.Submit == wire.SubmitResult_SUBMIT_RESULT_ACCEPTED {
			return
		}
	}
	c.t.Fatalf("revision %d was not accepted", revision)
}

// waitForRevision waits until every member has applied the revision.
func (c *cluster) waitForRevision(revision uint64) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		behind := slices.ContainsFunc(c.members, func(m *member) bool { return m.state.Head().GetRevision() != revision })
		if !behind {
			return
		}
	}
	c.t.Fatalf("not every member has revision %d", revision)
}

// fault is a fault of one member that lasts while texts are submitted.
type fault struct {
	name           string
	inject, revert func(c *cluster, m *member)
}

var faults = []fault{
	{"killed", func(c *cluster, m *member) { m.disconnected.Store(true); c.stop(m) }, func(c *cluster, m *member) { m.disconnected.Store(false); c.start(m) }},
	{"cut off", func(_ *cluster, m *member) { m.disconnected.Store(true) }, func(_ *cluster, m *member) { m.disconnected.Store(false) }},
	{"disk full", func(_ *cluster, m *member) { m.diskFull.Store(true) }, func(_ *cluster, m *member) { m.diskFull.Store(false) }},
}

// faultDurations are the numbers of submits that a fault lasts; the longest includes a snapshot.
var faultDurations = []struct {
	name    string
	submits uint64
}{
	{"at once", 0},
	{"during appends", 5},
	{"across a snapshot", SnapshotThreshold + 20},
}

// TestFaultMatrix injects every fault into the leader and into a follower, for every duration.
func TestFaultMatrix(t *testing.T) {
	for _, f := range faults {
		for _, s := range faultDurations {
			for _, onLeader := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s, leader %v", f.name, s.name, onLeader), func(t *testing.T) {
					c := newCluster(t)
					c.submit(1)
					m := c.pickMember(onLeader)
					f.inject(c, m)
					revision := uint64(1)
					for range s.submits {
						revision++
						c.submit(revision)
					}
					f.revert(c, m)
					revision++
					c.submit(revision)
					c.waitForRevision(revision)
				})
			}
		}
	}
}

func (c *cluster) pickMember(leader bool) *member {
	l := c.leader()
	if leader {
		return l
	}
	return c.members[(slices.Index(c.members, l)+1)%3]
}

// TestFullDisksLoseNothing: while no quorum of disks accepts writes, nothing is accepted; what
// was accepted before is still there afterwards.
func TestFullDisksLoseNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.submit(1)
	for _, m := range c.members {
		m.diskFull.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := c.members[0].sequencer.Propose(ctx, &wire.Command{})
	is.True(err != nil)
	for _, m := range c.members {
		m.diskFull.Store(false)
	}
	c.submit(2)
	c.waitForRevision(2)
}

// TestConfirm: a leader that is cut off does not confirm a read, and steps down.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	l := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(l.sequencer.ConfirmLeadership(ctx))
	l.disconnected.Store(true)
	is.True(l.sequencer.ConfirmLeadership(ctx) != nil)
	is.True(l.sequencer.View().Standing != replicator.Leader)
}

// Guards against a command that is proposed in a later term than the one it was checked in.
func TestProposeInOneTermOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	l := c.leader()
	term := l.sequencer.View().Term
	propose := func() uint64 {
		before := l.sequencer.View().Applied
		_, err := l.sequencer.ProposeIn(ctx, term, &wire.Command{})
		is.NoErr(err)
		for l.sequencer.View().Applied == before && ctx.Err() == nil { // the view follows the result
			time.Sleep(time.Millisecond)
		}
		return l.sequencer.View().Applied
	}
	applied := propose()
	_, err := l.sequencer.ProposeIn(ctx, term+1, &wire.Command{})
	is.Equal(err, ErrNotLeader)
	is.Equal(propose(), applied+1) // the refused command is not in the log
}

// BenchmarkSubmit measures commits with three members, and with one of them cut off.
func BenchmarkSubmit(b *testing.B) {
	for _, cut := range []bool{false, true} {
		for _, writers := range []int{1, 64} {
			b.Run(fmt.Sprintf("cut %v, %d at once", cut, writers), func(b *testing.B) {
				c := newCluster(b)
				if cut {
					c.pickMember(false).disconnected.Store(true)
				}
				benchmarkSubmits(b, c.leader(), writers)
			})
		}
	}
}

func benchmarkSubmits(b *testing.B, l *member, writers int) {
	var mutex sync.Mutex
	var times []time.Duration
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if _, err := l.sequencer.Propose(context.Background(), &wire.Command{}); err != nil {
					b.Error(err)
					return
				}
				mutex.Lock()
				times = append(times, time.Since(start))
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// BenchmarkRestart measures opening a data folder after a number of changes, as a member does at
// its start, with and without the snapshots that the member would have saved.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 500, 1000, 2000} {
		for _, snapshots := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d changes, snapshots %v", changes, snapshots), func(b *testing.B) {
				folder := b.TempDir()
				writeChanges(b, folder, changes, snapshots)
				b.ResetTimer()
				for b.Loop() {
					restoreFolder(b, folder)
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
		command, _ := proto.Marshal(&wire.Command{Kind: &wire.Command_Submit{Submit: submitOf(i)}})
		state.Apply(i, command)
		w := recorder.Write{State: &wire.HardState{Term: 1, Commit: i}, Entries: []*wire.LogEntry{{Index: i, Term: 1, Data: command}}}
		if snapshots && i%SnapshotThreshold == 0 {
			data, _ := state.Snapshot()
			w = recorder.Write{State: w.State, Snapshot: &wire.Snapshot{Index: i, Term: 1, Data: data}}
		}
		if err := r.Save(w); err != nil {
			b.Fatal(err)
		}
	}
}

// submitOf returns a submit of a text of 80 sections, one of which depends on the revision.
func submitOf(revision uint64) *wire.SubmitCommand {
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

func restoreFolder(b *testing.B, folder string) {
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
