package recorder

import (
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/wire"
)

// crashSteps are the operations at which a process ends: of its start, of one of its saves, or later.
var crashSteps = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 30}

// lossyChain is a data folder through a chain of starts, saves, kills and power losses.
type lossyChain struct {
	t    *rapid.T
	disk *lossyDisk
	// kept is what was acknowledged: saved, or handed out at a start. inFlight are the writes that
	// failed since, of which one may survive.
	kept     Restored
	inFlight []Write
	term     uint64
}

// run starts a Recorder and saves until the process ends.
func (c *lossyChain) run(crashAt int) {
	c.disk.crashAt = crashAt
	r, err := NewRecorder(Config{Folder: c.disk.folder, Disk: c.disk.disk()})
	if err != nil {
		if !errors.Is(err, errCrashed) && !errors.Is(err, syscall.EIO) {
			c.t.Fatal(err)
		}
		return
	}
	defer r.Close()
	c.check(r.Restored)
	c.kept, c.inFlight = r.Restored, nil
	for range rapid.IntRange(0, 4).Draw(c.t, "writes") {
		w := c.drawWrite()
		err := r.Save(w)
		for err != nil {
			c.inFlight = append(c.inFlight, w)
			if c.disk.crashed {
				return
			}
			if rapid.IntRange(0, 4).Draw(c.t, "another write") == 0 {
				w = c.drawWrite()
			}
			err = r.Save(w)
		}
		c.kept, c.inFlight = c.kept.Apply(w), nil
	}
}

func (c *lossyChain) check(got Restored) {
	if c.kept.Incarnation != 0 && got.Incarnation != c.kept.Incarnation {
		c.t.Fatalf("incarnation %x, was %x", got.Incarnation, c.kept.Incarnation)
	}
	survived := sameContent(got, c.kept)
	for _, w := range c.inFlight {
		survived = survived || sameContent(got, c.kept.Apply(w))
	}
	if !survived {
		c.t.Fatalf("restored %v; acknowledged %v, under way %v", describe(got), describe(c.kept), c.inFlight)
	}
}

// drawWrite returns a write as the replicator makes them.
func (c *lossyChain) drawWrite() Write {
	first := c.kept.Snapshot.GetIndex() + 1
	last := c.kept.Snapshot.GetIndex() + uint64(len(c.kept.Entries))
	c.term++
	state := &wire.HardState{Term: c.term, Vote: c.term % 3, Commit: c.kept.Snapshot.GetIndex()}
	w := Write{}
	switch rapid.IntRange(0, 5).Draw(c.t, "kind") {
	case 0: // a vote
		w.State = state
	case 1: // entries in place of the last ones
		w = writeOf(max(first, last), 2)
	case 2: // a snapshot from the leader in the same term
		w.Snapshot = &wire.Snapshot{Index: last + 2, Term: c.term}
	case 3: // a compaction
		w.State = state
		w.Snapshot = &wire.Snapshot{Index: last, Term: c.term}
	case 4: // a compaction that leaves entries
		w = writeOf(last+2, 2)
		w.Snapshot = &wire.Snapshot{Index: last + 1, Term: c.term}
	default:
		w = writeOf(last+1, 1)
		w.State = state
	}
	for _, e := range w.Entries {
		e.Term = c.term
	}
	return w
}

func sameContent(a, b Restored) bool {
	if !proto.Equal(a.State, b.State) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}

func describe(r Restored) []any {
	return []any{r.State, r.Snapshot, r.Entries}
}

// TestLosses ends the process at every kind of step, by kill or power loss, in random chains. What
// was acknowledged must be there at the next start, under the same incarnation.
func TestLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "recorder")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		d := newLossyDisk(folder)
		d.choose = func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		failing := false
		d.fails = func() bool { return failing && rapid.IntRange(0, 9).Draw(t, "fails") == 0 }
		c := &lossyChain{t: t, disk: d}
		steps := rapid.SampledFrom(crashSteps)
		for range rapid.IntRange(4, 12).Draw(t, "starts") {
			failing = rapid.IntRange(0, 3).Draw(t, "faulty disk") == 0
			c.run(steps.Draw(t, "crash at"))
			if rapid.Bool().Draw(t, "power loss") {
				d.losePower(t)
			}
			d.restart()
		}
		failing = false
		c.run(-1)
		if c.kept.Incarnation == 0 {
			t.Fatal("the folder could not be opened")
		}
	})
}
