package shifter

import (
	"math"
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

// credit is the part of a request that the new side may have beyond those it got. It never
// falls below zero, so that a share holds at every moment.
type credit struct {
	value atomic.Int64
}

// earn adds a share of one request, up to a limit that bounds the requests in a row.
func (c *credit) earn(share float64) (now int64) {
	for {
		had := c.value.Load()
		now = min(had+int64(share*unit), 2*slack(share))
		if c.value.CompareAndSwap(had, now) {
			return now
		}
	}
}

// take spends one request, if there is as much.
func (c *credit) take() bool {
	for {
		had := c.value.Load()
		if had < unit {
			return false
		}
		if c.value.CompareAndSwap(had, had-unit) {
			return true
		}
	}
}

func (c *credit) giveBack() {
	c.value.Add(unit)
}

// lane is one route of a move: its credit for the new side, and what was seen of both.
type lane struct {
	credit credit
	// boost is the route's share in parts of the service's, as the bits of a float64; zero
	// bits mean 1.
	boost atomic.Uint64
	// seen counts the requests of the route.
	seen atomic.Int64
	// stopped tells that this entry found the new side surely bad.
	stopped atomic.Bool
	old     counter
	new     counter
}

// choose tells whether a request goes the new way. Position is the caller's place between
// 0 and 1; callers below the share go the new way as long as it holds. The service's credit
// bounds all its routes together, however they are boosted.
func (l *lane) choose(position, share float64, service *credit) bool {
	l.seen.Add(1)
	if share >= 1 {
		return true
	}
	if share <= 0 || l.stopped.Load() {
		return false // whatever credit is left
	}
	service.earn(share)
	own := min(share*l.factor(), 1)
	have := l.credit.earn(own)
	if position >= own && have < slack(own) {
		return false
	}
	if !l.credit.take() {
		return false
	}
	if !service.take() {
		l.credit.giveBack()
		return false
	}
	return true
}

func (l *lane) factor() float64 {
	if b := l.boost.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

func (l *lane) setFactor(f float64) {
	l.boost.Store(math.Float64bits(f))
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
