package lender

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

// entry models an entry: the tokens that it holds, and drops once its lease expires.
type entry struct {
	name        string
	incarnation uint64
	tokens      int
	answered    time.Duration
}

// spend uses up to n tokens and returns how many.
func (e *entry) spend(now time.Duration, n int) int {
	if now-e.answered > timekeeper.ShareLease {
		e.tokens = 0
	}
	n = min(n, e.tokens)
	e.tokens -= n
	return n
}

// admitted is a number of requests admitted at one time.
type admitted struct {
	at time.Duration
	n  int
}

// TestNoWindowOverTheLimit checks that no window of 5 s admits more than rate times window plus
// burst, and half a burst more after a change of leader. It covers entries that hoard and return
// tokens, lost responses, changes of leader and restarts of entries.
func TestNoWindowOverTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 5 * time.Second
		now := time.Hour
		team := &parser.Team{Name: "lamps", Rate: rapid.Float64Range(1, 40).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst")}
		entries := make([]*entry, rapid.IntRange(11, 30).Draw(t, "entries"))
		for i := range entries {
			entries[i] = &entry{name: fmt.Sprint("entry", i), incarnation: 1, answered: now}
		}
		newLender := func() *Lender {
			return NewLender(Config{
				Clock:   timekeeper.Clock{Now: func() time.Duration { return now }},
				Teams:   func() map[string]*parser.Team { return map[string]*parser.Team{"lamps": team} },
				Entries: func() int { return len(entries) },
			})
		}
		term, since, l := uint64(1), now, newLender()
		changed := -time.Hour
		var log []admitted
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 60).Draw(t, "action") {
			case 0: // a new leader without any state
				term, since, l, changed = term+1, now, newLender(), now
			case 1:
				now += time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Second
			case 2: // the entry restarts
				e.incarnation++
				e.tokens = 0
			default:
				needed, wanted := rapid.IntRange(0, 8).Draw(t, "needed"), rapid.IntRange(0, 8).Draw(t, "wanted")
				returned := rapid.IntRange(0, e.tokens).Draw(t, "returned")
				e.tokens -= returned
				a := l.Answer(term, since, &wire.BorrowRequest{Entry: e.name, Incarnation: e.incarnation, Demands: []*wire.TokenDemand{{
					Team: "lamps", Held: uint32(e.tokens), Returned: uint32(returned), Needed: uint32(needed), Wanted: uint32(wanted),
				}}})
				if rapid.IntRange(0, 6).Draw(t, "lost") > 0 {
					e.tokens += int(a.GetLoans()[0].GetTokens())
					e.answered = now
				}
			}
			log = append(log, admitted{now, e.spend(now, rapid.IntRange(0, 9).Draw(t, "spend"))})
			sum := 0
			for i := len(log) - 1; i >= 0 && now-log[i].at <= window; i-- {
				sum += log[i].n
			}
			most := team.Rate*window.Seconds() + max(team.Burst, 1)
			if now-changed <= entryExpiry+window {
				most += heldFraction * team.Burst
			}
			if float64(sum) > most+1e-6 {
				t.Fatalf("%d admitted in %v, at most %v are allowed", sum, window, most)
			}
		}
	})
}

// TestThinTeam checks that a team whose rate is half a request per second and entry gets nearly
// everything that one bucket shared by all entries would admit.
func TestThinTeam(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	team := &parser.Team{Name: "lamps", Rate: 40, Burst: 40}
	l := NewLender(Config{
		Clock:   timekeeper.Clock{Now: func() time.Duration { return now }},
		Teams:   func() map[string]*parser.Team { return map[string]*parser.Team{"lamps": team} },
		Entries: func() int { return 80 },
	})
	refused, asked := 0, 0
	for i := range 25 * 20 { // 25 requests per second for 20 s, each at another entry than the one before
		now += 40 * time.Millisecond
		a := l.Answer(1, time.Hour-5*time.Second, &wire.BorrowRequest{Entry: fmt.Sprint("entry", i*7%80), Incarnation: 1, Demands: []*wire.TokenDemand{{Team: "lamps", Needed: 1, LentMilliseconds: 60_000}}})
		asked++
		if a.GetLoans()[0].GetTokens() == 0 {
			refused++
		}
	}
	t.Logf("%d of %d refused", refused, asked)
	is.Equal(refused, 0)
}

func TestAnswers(t *testing.T) {
	now := time.Hour
	teams := map[string]*parser.Team{
		"thin": {Name: "thin", Rate: 20, Burst: 20}, "large": {Name: "large", Rate: 900, Burst: 900}, "free": {Name: "free", Unlimited: true},
	}
	newLender := func(shares float64) *Lender {
		return NewLender(Config{
			Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
			Teams: func() map[string]*parser.Team { return teams }, Entries: func() int { return 80 },
			FractionInUse: func(uint64, time.Duration, string, time.Duration) float64 { return shares },
		})
	}
	cases := []struct {
		name  string
		since time.Duration
		// shares is the fraction of the rate that entries use by shares.
		shares  float64
		demand  *wire.TokenDemand
		tokens  uint32
		divided bool
		waits   bool
	}{
		{"needed", time.Minute, 0, &wire.TokenDemand{Team: "thin", Needed: 3, LentMilliseconds: 60_000}, 3, false, false},
		{"needs more than the bucket holds", time.Minute, 0, &wire.TokenDemand{Team: "thin", Needed: 30, LentMilliseconds: 60_000}, 10, false, true},
		{"needs more than the bucket holds beside shares", time.Minute, 0.5, &wire.TokenDemand{Team: "thin", Needed: 30, LentMilliseconds: 60_000}, 5, false, true},
		{"in advance", time.Minute, 0, &wire.TokenDemand{Team: "thin", Wanted: 2, LentMilliseconds: 60_000}, 2, false, false},
		{"in advance, up to the reserved tokens", time.Minute, 0, &wire.TokenDemand{Team: "thin", Wanted: 30, LentMilliseconds: 60_000}, 7, false, false},
		{"in advance, just after a change of leader", 5 * time.Second, 0, &wire.TokenDemand{Team: "thin", Wanted: 2, LentMilliseconds: 60_000}, 0, false, false},
		{"at the moment of a change of leader", 0, 0, &wire.TokenDemand{Team: "thin", Needed: 1, LentMilliseconds: 60_000}, 0, false, true},
		{"not known to be lent before", time.Minute, 0, &wire.TokenDemand{Team: "thin", Needed: 1}, 0, false, true},
		{"a large team", time.Minute, 0, &wire.TokenDemand{Team: "large", Needed: 1}, 0, true, false},
		{"a team without a limit", time.Minute, 0, &wire.TokenDemand{Team: "free", Needed: 1}, 0, true, false},
		{"an unknown team", time.Minute, 0, &wire.TokenDemand{Team: "gone", Needed: 1}, 0, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newLender(c.shares).Answer(1, now-c.since, &wire.BorrowRequest{Entry: "a", Incarnation: 1, Demands: []*wire.TokenDemand{c.demand}})
			is.Equal(a.GetLoans()[0].GetTokens(), c.tokens)
			is.Equal(a.GetLoans()[0].GetDivided(), c.divided)
			is.Equal(a.GetLoans()[0].GetWaitMilliseconds() > 0, c.waits)
		})
	}
}

// TestModeHysteresis checks that a team does not switch between lent tokens and shares while a few
// entries join and leave.
func TestModeHysteresis(t *testing.T) {
	entries := 80
	l := NewLender(Config{
		Clock: timekeeper.Clock{Now: func() time.Duration { return time.Hour }},
		Teams: func() map[string]*parser.Team {
			return map[string]*parser.Team{"lamps": {Name: "lamps", Rate: 200, Burst: 200}}
		},
		Entries: func() int { return entries },
	})
	for _, c := range []struct {
		entries int
		lends   bool
	}{{80, true}, {36, true}, {80, true}, {20, false}, {60, false}, {110, true}} {
		entries = c.entries
		is.New(t).Equal(l.Lends(1, time.Hour, &wire.TeamDemand{Team: "lamps"}), c.lends)
	}
}

// TestModesAcrossLeaders checks that a new leader keeps the mode that entries report from the
// previous one, within the hysteresis, even if it would choose the other mode by itself.
func TestModesAcrossLeaders(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		reported *wire.TeamDemand
		lends    bool
	}{
		{"nothing reported", 40, &wire.TeamDemand{}, true},
		{"divided before", 40, &wire.TeamDemand{Share: 0.1}, false},
		{"divided before, rate far too low", 20, &wire.TeamDemand{Share: 0.1}, true},
		{"nothing reported, large team", 60, &wire.TeamDemand{}, false},
		{"lent before", 60, &wire.TeamDemand{LentMilliseconds: 5}, true},
		{"lent before, rate far too high", 120, &wire.TeamDemand{LentMilliseconds: 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLender(Config{
				Clock: timekeeper.Clock{Now: func() time.Duration { return time.Hour }},
				Teams: func() map[string]*parser.Team {
					return map[string]*parser.Team{"lamps": {Name: "lamps", Rate: c.rate, Burst: c.rate}}
				},
				Entries: func() int { return 12 },
			})
			c.reported.Team = "lamps"
			is.Equal(l.Lends(2, time.Hour, c.reported), c.lends)
			is.Equal(l.Lends(2, time.Hour, &wire.TeamDemand{Team: "lamps"}), c.lends) // the mode holds for the other entries too
		})
	}
}
