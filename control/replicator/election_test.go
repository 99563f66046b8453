package replicator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// electionTime restarts three of five members, of which the other two are lost for good, and
// returns when one leads. Messages take a trip each way; members start some time apart.
func electionTime(seed uint64) time.Duration {
	const trip, apart, timeout, step = 20 * time.Millisecond, 30 * time.Millisecond, 400 * time.Millisecond, time.Millisecond
	g := rand.New(rand.NewPCG(20261204, seed))
	all := &wire.Membership{}
	for id := uint64(1); id <= 5; id++ {
		all.Members = append(all.Members, &wire.ControlMember{Id: id})
	}
	type flying struct {
		at time.Duration
		m  *wire.Message
	}
	cores, begins, network := map[uint64]*Core{}, map[uint64]time.Duration{}, []flying(nil)
	for id := uint64(1); id <= 3; id++ {
		begins[id] = time.Duration(g.Int64N(int64(apart)))
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		for id := uint64(1); id <= 3; id++ {
			if cores[id] == nil && now >= begins[id] {
				cores[id] = NewCore(Config{ID: id, ElectionTimeout: timeout, Heartbeat: timeout / 5, Random: g.Int64N, Assert: asserter.NewPanicking()},
					recorder.Restored{Snapshot: &wire.Snapshot{Index: 5, Term: 2, Membership: all}, State: &wire.HardState{Term: 2, Commit: 5}}, now)
			}
		}
		due := []flying(nil)
		network = slices.DeleteFunc(network, func(f flying) bool {
			if f.at <= now {
				due = append(due, f)
			}
			return f.at <= now
		})
		for _, f := range due {
			if c := cores[f.m.GetTo()]; c != nil {
				c.Step(now, f.m)
			}
		}
		for id := uint64(1); id <= 3; id++ {
			c := cores[id]
			if c == nil {
				continue
			}
			c.Tick(now)
			for _, m := range c.Ready().Messages {
				network = append(network, flying{now + trip, m})
			}
			if c.standing == Leader {
				return now
			}
		}
	}
	return time.Minute
}

// TestElectionAfterLosses: with only as many members left as a majority needs, all must agree
// on one; candidates that meet must not cost a further time-out.
func TestElectionAfterLosses(t *testing.T) {
	is := is.New(t)
	const seeds = 400
	var times []time.Duration
	for seed := range uint64(seeds) {
		times = append(times, electionTime(seed))
	}
	slices.Sort(times)
	t.Logf("median %v, 90 %% within %v, longest %v", times[seeds/2], times[seeds*9/10], times[seeds-1])
	is.True(times[seeds*9/10] <= 950*time.Millisecond) // twice the time-out, and four trips of a vote and its write
}
