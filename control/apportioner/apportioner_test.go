package apportioner

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

// entry models an entry: the share that it uses, and when it sent its last answered poll.
type entry struct {
	member *wire.EntryMember
	share  float64
	number uint64
	asked  time.Duration
	// kept is the fraction of the share that is left since then.
	kept float64
}

// use returns the share that the entry admits by. A reduction after its lease expires is
// permanent.
func (e *entry) use(now time.Duration) float64 {
	if fraction := timekeeper.KeptFraction(now - e.asked); fraction < e.kept {
		e.share, e.kept = e.share*fraction/e.kept, fraction
	}
	return e.share
}

// TestSharesNeverExceedTheWhole checks that the entries together never use more than the rate,
// whichever answers are lost, however long entries are silent, and whenever the leader or the state of
// an entry changes.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, term, since := time.Hour, uint64(1), time.Hour
		clock := timekeeper.Clock{Now: func() time.Duration { return now }}
		members := map[string]*wire.EntryMember{}
		newLeader := func() *Apportioner {
			return NewApportioner(Config{Clock: clock, Entries: func() map[string]*wire.EntryMember { return members }})
		}
		a := newLeader()
		var entries []*entry
		for i := range rapid.IntRange(1, 8).Draw(t, "entries") {
			m := &wire.EntryMember{Name: fmt.Sprint("entry", i), Incarnation: 1}
			members[m.GetName()] = m
			entries = append(entries, &entry{member: m, asked: now})
		}
		for range 150 {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 30).Draw(t, "action") {
			case 0: // a new leader without any state
				term, since = term+1, now
				a = newLeader()
			case 1:
				now += time.Duration(rapid.IntRange(0, 150).Draw(t, "pause")) * time.Second
			case 2: // the entry restarts
				e.member = &wire.EntryMember{Name: e.member.GetName(), Incarnation: e.member.GetIncarnation() + 1}
				members[e.member.GetName()] = e.member
				e.share, e.number = 0, 0
			case 3: // the entry becomes isolated or live again
				e.member = proto.CloneOf(e.member)
				e.member.State = rapid.SampledFrom([]wire.EntryState{wire.EntryState_ENTRY_STATE_LIVE, wire.EntryState_ENTRY_STATE_ISOLATED}).Draw(t, "state")
				members[e.member.GetName()] = e.member
			default:
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "step")) * time.Millisecond
				r := &wire.PollRequest{Member: e.member, SharesInUse: e.number, Demands: []*wire.TeamDemand{{
					Team: "lamps", Rate: rapid.Float64Range(0, 100).Draw(t, "rate"), Share: e.use(now),
				}}}
				asked := now
				shares, number := a.Answer(term, since, r)
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					break
				}
				e.asked, e.kept = asked, 1
				if number > 0 {
					e.share, e.number = shares[0].GetShare(), number
				}
			}
			total := 0.0
			for _, o := range entries {
				total += o.use(now)
			}
			if total > 1+1e-9 {
				t.Fatalf("the entries use %v of the rate", total)
			}
		}
	})
}

// TestSharesFollowDemand checks that an entry with a higher demand gets a larger share within a
// few polls, isolated or not.
func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	members := map[string]*wire.EntryMember{"a": {Name: "a", Incarnation: 1}, "b": {Name: "b", Incarnation: 1}}
	n := NewApportioner(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Entries: func() map[string]*wire.EntryMember { return members }})
	share, number := map[string]float64{}, map[string]uint64{}
	poll := func(rates map[string]float64) {
		for _, e := range []string{"a", "b"} {
			now += 125 * time.Millisecond
			r := &wire.PollRequest{Member: members[e], SharesInUse: number[e], Demands: []*wire.TeamDemand{{Team: "t", Rate: rates[e], Share: share[e]}}}
			if s, k := n.Answer(1, time.Hour, r); k > 0 {
				share[e], number[e] = s[0].GetShare(), k
			}
		}
	}
	for range 4 {
		poll(map[string]float64{"a": 50, "b": 50})
	}
	is.True(share["a"] > 0.45 && share["b"] > 0.45)
	for range 4 {
		poll(map[string]float64{"a": 90, "b": 10})
	}
	is.True(share["a"] > 0.75)
	is.True(share["a"]+share["b"] <= 1+1e-9)
	before := maps.Clone(share)
	members["a"] = &wire.EntryMember{Name: "a", Incarnation: 1, State: wire.EntryState_ENTRY_STATE_ISOLATED}
	for range 4 {
		poll(map[string]float64{"a": 90, "b": 10})
	}
	is.Equal(share, before) // its state alone changes no share
	for range 4 {
		poll(map[string]float64{"a": 10, "b": 90})
	}
	is.True(share["b"] > 0.75)
}

// TestSilentEntryAfterAChange checks a new leader that one of twelve entries does not poll. It
// gives the others most of the rate at once, but never what the silent entry may still use.
func TestSilentEntryAfterAChange(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	members := map[string]*wire.EntryMember{}
	for i := range 12 {
		name := fmt.Sprint("entry", i)
		members[name] = &wire.EntryMember{Name: name, Incarnation: 2}
	}
	n := NewApportioner(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Entries: func() map[string]*wire.EntryMember { return members }})
	share, number := map[string]float64{}, map[string]uint64{}
	for range 4 {
		for i := range 11 {
			name := fmt.Sprint("entry", i)
			now += 10 * time.Millisecond
			r := &wire.PollRequest{Member: members[name], SharesInUse: number[name], Demands: []*wire.TeamDemand{{Team: "t", Rate: 20, Share: share[name]}}}
			if s, k := n.Answer(2, time.Hour, r); k > 0 {
				share[name], number[name] = s[0].GetShare(), k
			}
		}
	}
	sum := 0.0
	for _, s := range share {
		sum += s
	}
	t.Logf("%.3f of the rate in use", sum)
	is.True(sum >= 0.7 && sum <= 1-maxEvenShares/12.0+1e-9)
}

// TestShareOfARemovedEntry checks that a new leader holds back what an entry may still use that
// the previous leader removed from the members, and that it gives no share to an entry that is
// not in the replicated state, which a later leader would not hold back.
func TestShareOfARemovedEntry(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	members := map[string]*wire.EntryMember{"a": {Name: "a", Incarnation: 1}, "c": {Name: "c", Incarnation: 1}}
	silent := map[string]*wire.EntryMember{"b": {Name: "b", Incarnation: 1}}
	n := NewApportioner(Config{
		Clock:   timekeeper.Clock{Now: func() time.Duration { return now }},
		Entries: func() map[string]*wire.EntryMember { return members }, SilentEntries: func() map[string]*wire.EntryMember { return silent },
	})
	ask := func(name string, share float64) float64 {
		r := &wire.PollRequest{Member: &wire.EntryMember{Name: name, Incarnation: 1}, Demands: []*wire.TeamDemand{{Team: "t", Rate: 50, Share: share}}}
		out, _ := n.Answer(2, time.Hour, r)
		if len(out) == 0 {
			return share
		}
		return out[0].GetShare()
	}
	is.True(ask("a", 0.2)+ask("c", 0.2) <= 0.4+1e-9) // the rest is held back for b
	is.Equal(ask("newcomer", 0), 0.0)
	now += timekeeper.ShareLease + timekeeper.DriftMargin + 1
	is.True(ask("a", 0.2) > 0.3) // a third of what is wanted
}

// TestLogLines checks that the log names the entries whose shares a new leader holds back, and
// reports shares that add up to more than the whole. The dump shows the share of each entry.
func TestLogLines(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	members := map[string]*wire.EntryMember{"a": {Name: "a", Incarnation: 1}, "b": {Name: "b", Incarnation: 1}}
	out := &bytes.Buffer{}
	a := NewApportioner(Config{
		Clock:   timekeeper.Clock{Now: func() time.Duration { return now }},
		Logger:  logger.NewLogger(logger.Config{Writer: out, Level: "info"}),
		Entries: func() map[string]*wire.EntryMember { return members },
	})
	poll := func(e string, share float64) {
		now += time.Second
		r := &wire.PollRequest{Member: members[e], Demands: []*wire.TeamDemand{{Team: "t", Rate: 5, Share: share}}}
		a.Answer(7, time.Hour, r)
	}
	poll("a", 0.7)
	is.True(strings.Contains(out.String(), `"event":705,"term":7,"entries":["b"],"asked":1`))
	poll("b", 0.7)
	is.True(strings.Contains(out.String(), `"event":706,"team":"t","sum":1.4,"term":7,"shares":["a 0.700 asked 1s ago","b 0.700 asked 0s ago"]`))
	is.Equal(a.Dump().(Dump).Shares["t"], []string{"a 0.700 asked 1s ago", "b 0.700 asked 0s ago"})
	now += timekeeper.SilentLease
	poll("b", 0.7)
	is.True(strings.Contains(out.String(), `"event":707`))
}
