package shifter

import (
	"sync/atomic"
	"time"

	"github.com/filberthoist/filberthoist/core/assessor"
)

// Parameters of the choice between the two sides of a move.
const (
	// unit is one request in the credit of a lane.
	unit = 1_000_000
	// leastSlack and slackPerShare give the credit in requests above which callers are
	// moved who would stay, so that the share is reached also if few callers send most
	// requests. The more room, the more callers keep their side.
	leastSlack    = 1
	slackPerShare = 50
)

// slack returns the credit above which any caller is moved.
func slack(share float64) int64 {
	return int64((leastSlack + slackPerShare*share) * unit)
}

// lane is one route of a move: its credit for the new side, and what was seen of both.
type lane struct {
	// credit is the part of a request that the new side may have beyond those it got; it
	// never falls below zero, so that the share holds at every moment.
	credit atomic.Int64
	// stopped tells that this entry found the new side surely bad.
	stopped atomic.Bool
	old     counter
	new     counter
}

// choose tells whether a request goes the new way. Position is the caller's place between
// 0 and 1; callers below the share go the new way as long as it holds.
func (l *lane) choose(position, share float64) bool {
	if share >= 1 {
		return true
	}
	if share <= 0 || l.stopped.Load() {
		return false // whatever credit is left
	}
	earned, most := int64(share*unit), slack(share)
	for {
		had := l.credit.Load()
		now := min(had+earned, 2*most) // bounds the requests that go the new way in a row
		wants := position < share || now >= most
		goes := wants && now >= unit
		if goes {
			now -= unit
		}
		if l.credit.CompareAndSwap(had, now) {
			return goes
		}
	}
}

// observe counts an answer of one side.
func (l *lane) observe(isNew bool, latency time.Duration, failed bool) {
	if isNew {
		l.new.add(latency, failed)
		return
	}
	l.old.add(latency, failed)
}

// counter is a Tally that many requests add to at once.
type counter struct {
	count     atomic.Int64
	failed    atomic.Int64
	latencies [assessor.Buckets]atomic.Int64
}

func (c *counter) add(latency time.Duration, failed bool) {
	if failed {
		c.failed.Add(1)
	}
	c.latencies[assessor.Bucket(latency)].Add(1)
	c.count.Add(1) // last, so that a reading never has more failures than answers
}

func (c *counter) tally() assessor.Tally {
	t := assessor.Tally{Count: int(c.count.Load())}
	t.Failed = min(int(c.failed.Load()), t.Count)
	for i := range c.latencies {
		t.Latencies[i] = int(c.latencies[i].Load())
	}
	return t
}
