package applier

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestSubmit checks that only the next revision is accepted and that a resent text gets its first
// answer.
func TestSubmit(t *testing.T) {
	accepted, conflict := wire.SubmitResult_SUBMIT_RESULT_ACCEPTED, wire.SubmitResult_SUBMIT_RESULT_CONFLICT
	cases := []struct {
		name     string
		revision uint64
		digest   string
		want     wire.SubmitResult
		winner   string
	}{
		{"next revision", 3, "c", accepted, "c"},
		{"resent head", 2, "b", accepted, "b"},
		{"resent past", 1, "a", accepted, "a"},
		{"equal number, other text", 2, "x", conflict, "b"},
		{"past number, other text", 1, "x", conflict, "a"},
		{"number ahead", 4, "x", conflict, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(asserter.NewPanicking())
			submit(t, s, 1, "a")
			submit(t, s, 2, "b")
			r := submit(t, s, c.revision, c.digest)
			is := is.New(t)
			is.Equal(r.Submit, c.want)
			is.Equal(r.Revision.GetDigest(), c.winner)
		})
	}
}

// TestRoles checks that a role is assigned under the next epoch only, and is vacated once.
func TestRoles(t *testing.T) {
	is := is.New(t)
	s := NewState(asserter.NewPanicking())
	assign := func(epoch uint64, holder string, vacant bool) bool {
		r := &wire.Role{Name: "team/a", Holder: holder, Epoch: epoch, Vacant: vacant}
		return apply(t, s, &wire.Command{Kind: &wire.Command_AssignRole{AssignRole: &wire.AssignRoleCommand{Role: r}}}).Done
	}
	is.True(assign(1, "one", false))
	is.True(!assign(1, "two", false)) // the epoch is already assigned
	is.True(assign(1, "one", true))
	is.True(!assign(1, "one", true))
	is.True(assign(2, "two", false))
	is.Equal(s.Roles()["team/a"].GetHolder(), "two")
}

// TestSilentEntries checks that a removed entry is kept as silent, also by a snapshot, until it is
// removed a second time or joins again.
func TestSilentEntries(t *testing.T) {
	put := func(t *testing.T, s *State, incarnation uint64) {
		t.Helper()
		m := &wire.EntryMember{Name: "a", Incarnation: incarnation}
		apply(t, s, &wire.Command{Kind: &wire.Command_PutEntry{PutEntry: &wire.PutEntryCommand{Member: m}}})
	}
	remove := func(t *testing.T, s *State, incarnation uint64) bool {
		t.Helper()
		c := &wire.RemoveEntryCommand{Name: "a", Incarnation: incarnation}
		return apply(t, s, &wire.Command{Kind: &wire.Command_RemoveEntry{RemoveEntry: c}}).Done
	}
	newSilent := func(t *testing.T) *State {
		t.Helper()
		s := NewState(asserter.NewPanicking())
		put(t, s, 7)
		is.New(t).True(remove(t, s, 7))
		return s
	}
	t.Run("is kept", func(t *testing.T) {
		is := is.New(t)
		s := newSilent(t)
		is.Equal(len(s.Entries()), 0)
		is.Equal(s.SilentEntries()["a"].GetIncarnation(), uint64(7))
		data, err := s.Snapshot()
		is.NoErr(err)
		next := NewState(asserter.NewPanicking())
		is.NoErr(next.Restore(s.Index(), data))
		is.Equal(next.SilentEntries()["a"].GetIncarnation(), uint64(7))
	})
	t.Run("is removed a second time", func(t *testing.T) {
		is := is.New(t)
		s := newSilent(t)
		is.True(!remove(t, s, 6)) // an earlier incarnation
		is.True(remove(t, s, 7))
		is.Equal(len(s.SilentEntries()), 0)
		is.True(!remove(t, s, 7))
	})
	t.Run("joins again", func(t *testing.T) {
		is := is.New(t)
		s := newSilent(t)
		put(t, s, 8)
		is.Equal(len(s.SilentEntries()), 0)
		is.Equal(s.Entries()["a"].GetIncarnation(), uint64(8))
	})
}

// TestEntryStates checks that an entry stays a member in every state, also in one of a later release,
// and that a snapshot keeps its state.
func TestEntryStates(t *testing.T) {
	s := NewState(asserter.NewPanicking())
	for _, state := range []wire.EntryState{
		wire.EntryState_ENTRY_STATE_LIVE, wire.EntryState_ENTRY_STATE_ISOLATED, wire.EntryState_ENTRY_STATE_LIVE,
		wire.EntryState_ENTRY_STATE_ISOLATED, wire.EntryState_ENTRY_STATE_LEAVING, 99,
	} {
		t.Run(wire.StateName(state), func(t *testing.T) {
			is := is.New(t)
			before := s.Index()
			m := &wire.EntryMember{Name: "a", Incarnation: 7, State: state}
			apply(t, s, &wire.Command{Kind: &wire.Command_PutEntry{PutEntry: &wire.PutEntryCommand{Member: m}}})
			is.True(s.ChangedSince(before)) // polls are answered with the change
			is.Equal(s.Entries()["a"].GetState(), state)
			is.Equal(len(s.SilentEntries()), 0)
			data, err := s.Snapshot()
			is.NoErr(err)
			next := NewState(asserter.NewPanicking())
			is.NoErr(next.Restore(s.Index(), data))
			is.Equal(next.Entries()["a"].GetState(), state)
		})
	}
}

// TestDeltas checks that applying deltas leads to the same records as a snapshot.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(asserter.NewPanicking())
		copied := map[string]string{}
		at := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			sections := drawSections(t)
			c := &wire.SubmitCommand{Revision: s.Head().GetRevision() + 1, Digest: fmt.Sprint(i), Sections: sections}
			apply(t, s, &wire.Command{Kind: &wire.Command_Submit{Submit: c}})
			if rapid.Bool().Draw(t, "restore") {
				s = restoreCopy(t, s)
			}
			if rapid.Bool().Draw(t, "poll") {
				at = applyChanges(s, copied, at)
			}
		}
		applyChanges(s, copied, at)
		whole := map[string]string{}
		applyChanges(s, whole, 0)
		if fmt.Sprint(copied) != fmt.Sprint(whole) {
			t.Fatalf("deltas lead to %v, the snapshot to %v", copied, whole)
		}
	})
}

// applyChanges applies the changes since an index to a copy of the records and returns its new index.
func applyChanges(s *State, into map[string]string, at uint64) uint64 {
	records, to, whole := s.Since(at)
	if whole {
		clear(into)
	}
	for _, r := range records {
		if r.GetDeleted() {
			delete(into, r.GetKey())
			continue
		}
		into[r.GetKey()] = string(r.GetValue())
	}
	return to
}

func drawSections(t *rapid.T) []*wire.TextSection {
	var out []*wire.TextSection
	for _, n := range []string{"a", "b", "c", "d"} {
		if rapid.Bool().Draw(t, n) {
			v := rapid.StringMatching("[xy]").Draw(t, "value")
			out = append(out, &wire.TextSection{Name: n, Keys: []*wire.TextKey{{Name: "k", Value: v}}})
		}
	}
	return out
}

// tester is implemented by *testing.T and *rapid.T.
type tester interface {
	Fatal(args ...any)
}

func restoreCopy(t tester, s *State) *State {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := NewState(asserter.NewPanicking())
	if err := n.Restore(s.Index(), b); err != nil {
		t.Fatal(err)
	}
	return n
}

func submit(t tester, s *State, revision uint64, digest string) Result {
	c := &wire.SubmitCommand{Revision: revision, Digest: digest}
	return apply(t, s, &wire.Command{Kind: &wire.Command_Submit{Submit: c}})
}

func apply(t tester, s *State, c *wire.Command) Result {
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(s.Index()+1, b)
}

// BenchmarkSince measures finding one changed record among many.
func BenchmarkSince(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 340_000} {
		b.Run(fmt.Sprintf("%d records", n), func(b *testing.B) {
			s := NewState(asserter.NewPanicking())
			for i := range n {
				s.index++
				s.put(wire.EntryRecords+fmt.Sprint(i), &wire.EntryMember{Name: fmt.Sprint(i)})
			}
			for b.Loop() {
				s.Since(s.index - 1)
			}
		})
	}
}
