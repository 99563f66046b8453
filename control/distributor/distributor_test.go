package distributor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// waitLimit ends a test that hangs. It is not a bound on speed.
const waitLimit = 30 * time.Second

// newSingleMember returns the Distributor and the Sequencer of a control member that is the only one,
// and so the leader.
func newSingleMember(t *testing.T) (*Distributor, *sequencer.Sequencer) {
	t.Helper()
	r, err := recorder.NewRecorder(recorder.Config{Folder: t.TempDir(), Disk: recorder.NewDisk()})
	if err != nil {
		t.Fatal(err)
	}
	state := applier.NewState(asserter.NewPanicking())
	s, err := sequencer.NewSequencer(sequencer.Config{
		Clock: timekeeper.NewClock(), Assert: asserter.NewPanicking(), Scope: tally.NoopScope,
		Recorder: r, State: state, Random: rand.Int64N, Send: func([]*wire.Message) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	g := supervisor.NewGroup(supervisor.Config{})
	g.Go("sequencer", s.Run)
	t.Cleanup(func() {
		g.Stop()
		_ = r.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	first := &wire.Membership{Members: []*wire.ControlMember{{Id: r.Restored.Incarnation, Name: "control1"}}}
	if err := s.Bootstrap(ctx, first); err != nil {
		t.Fatal(err)
	}
	for v := s.View(); v.Standing != replicator.Leader || !v.Serving(); v = s.View() {
		select {
		case <-v.Changed():
		case <-ctx.Done():
			t.Fatal("no leader")
		}
	}
	return NewDistributor(Config{Clock: timekeeper.NewClock(), Sequencer: s, State: state}), s
}

// recordsOf returns the records of a response, packed or not.
func recordsOf(t *testing.T, p *wire.PollResponse) []*wire.Record {
	t.Helper()
	if err := wire.Unpack(p); err != nil {
		t.Fatal(err)
	}
	return p.GetRecords()
}

// TestPayload checks that a payload for many entries is built once, that only large ones are packed,
// and that old ones are dropped.
func TestPayload(t *testing.T) {
	is := is.New(t)
	p, built := newPacker(), 0
	build := func(n int) func() *payload {
		return func() *payload {
			built++
			k := &payload{index: 7}
			for i := range n {
				k.records = append(k.records, &wire.Record{Key: fmt.Sprint("route/", i), Value: []byte("the same for all"), Index: 7})
			}
			return k
		}
	}
	for range 80 {
		k, err := p.get(time.Second, payloadKey{from: 1, to: 7}, build(1000))
		is.NoErr(err)
		is.True(len(k.packed) > 0 && len(k.packed) < 10_000)
		is.Equal(len(k.records), 0)
		is.Equal(len(recordsOf(t, &wire.PollResponse{Packed: k.packed})), 1000)
	}
	is.Equal(built, 1)
	k, err := p.get(time.Second, payloadKey{from: 6, to: 7}, build(1))
	is.NoErr(err)
	is.Equal(len(k.records), 1)
	_, err = p.get(time.Second+2*payloadLifetime, payloadKey{from: 6, to: 7}, build(1))
	is.NoErr(err)
	is.Equal(built, 3)
	is.Equal(len(p.recent), 1) // older payloads are dropped
}

// TestManyJoin checks that while many entries join one after the other, a caller gets all changes
// and at most one response per batchInterval.
func TestManyJoin(t *testing.T) {
	is := is.New(t)
	d, s := newSingleMember(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	const joins = 200
	joined := make(chan error, 1)
	begun := time.Now()
	go func() {
		for i := range joins {
			m := &wire.EntryMember{Name: fmt.Sprint("entry", i), Incarnation: uint64(i + 1)}
			if _, err := s.Propose(ctx, &wire.Command{Kind: &wire.Command_PutEntry{PutEntry: &wire.PutEntryCommand{Member: m}}}); err != nil {
				joined <- err
				return
			}
		}
		joined <- nil
	}()
	self, applied, answers := &wire.EntryMember{Name: "entry0", Incarnation: 1}, uint64(0), 0
	known := map[string]bool{}
	for len(known) < joins {
		a, err := d.Poll(ctx, connect.NewRequest(&wire.PollRequest{Member: self, Applied: applied, HoldMilliseconds: 1000}))
		is.NoErr(err)
		answers++
		applied = a.Msg.GetIndex()
		for _, r := range recordsOf(t, a.Msg) {
			known[r.GetKey()] = true
		}
	}
	is.NoErr(<-joined)
	is.True(answers <= int(time.Since(begun)/batchInterval)+1)
}
