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

// electionTime restarts three of five members, the other two being lost for good, and returns the
// time until one is the leader. Each message takes the one-way delay; the members start at random
// times up to maxStartOffset.
func electionTime(seed uint64) time.Duration {
	const delay, maxStartOffset, timeout, step = 20 * time.Millisecond, 30 * time.Millisecond, 400 * time.Millisecond, time.Millisecond
	g := rand.New(rand.NewPCG(20261204, seed))
	members := &wire.Membership{}
	for id := uint64(1); id <= 5; id++ {
		members.Members = append(members.Members, &wire.ControlMember{Id: id})
	}
	type delayedMessage struct {
		at time.Duration
		m  *wire.Message
	}
	cores, startTimes, inFlight := map[uint64]*Core{}, map[uint64]time.Duration{}, []delayedMessage(nil)
	for id := uint64(1); id <= 3; id++ {
		startTimes[id] = time.Duration(g.Int64N(int64(maxStartOffset)))
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		for id := uint64(1); id <= 3; id++ {
			if cores[id] == nil && now >= startTimes[id] {
				cores[id] = NewCore(Config{ID: id, ElectionTimeout: timeout, Heartbeat: timeout / 5, Random: g.Int64N, Assert: asserter.NewPanicking()},
					recorder.Restored{Snapshot: &wire.Snapshot{Index: 5, Term: 2, Membership: members}, State: &wire.HardState{Term: 2, Commit: 5}}, now)
			}
		}
		due := []delayedMessage(nil)
		inFlight = slices.DeleteFunc(inFlight, func(f delayedMessage) bool {
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
				inFlight = append(inFlight, delayedMessage{now + delay, m})
			}
			if c.raftState == Leader {
				return now
			}
		}
	}
	return time.Minute
}

// TestElectionAfterLosses: with only a majority of members left, a candidate needs the vote of
// each; simultaneous candidates must not cost a further election timeout.
func TestElectionAfterLosses(t *testing.T) {
	is := is.New(t)
	const seeds = 400
	var times []time.Duration
	for seed := range uint64(seeds) {
		times = append(times, electionTime(seed))
	}
	slices.Sort(times)
	t.Logf("median %v, 90 %% within %v, longest %v", times[seeds/2], times[seeds*9/10], times[seeds-1])
	is.True(times[seeds*9/10] <= 950*time.Millisecond) // twice the election timeout, and four message delays and writes of a vote
}
