package shifter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/filberthoist/filberthoist/core/assessor"
)

// Parameters of the choice between the two sides of a move.
const (
	// creditPerRequest is the credit that one request to the new side costs.
	creditPerRequest = 1_000_000
	// minSlack and slackPerShare give the credit, in requests, above which callers are moved whose
	// position is above the share, so that the share is reached even if few callers send most
	// requests. A larger slack lets more callers keep their side.
	minSlack      = 1
	slackPerShare = 50
)

// slack returns the credit above which any caller is moved.
func slack(share float64) int64 {
	return int64((minSlack + slackPerShare*share) * creditPerRequest)
}

// credit counts the requests that the new side may still get, as creditPerRequest each. It never
// falls below zero, so that the share holds at every moment.
type credit struct {
	value atomic.Int64
}

// earn adds the share of one request, up to a limit that bounds the requests that move in a row.
func (c *credit) earn(share float64) (now int64) {
	for {
		had := c.value.Load()
		now = min(had+int64(share*creditPerRequest), 2*slack(share))
		if c.value.CompareAndSwap(had, now) {
			return now
		}
	}
}

// spend takes the credit of one request, if there is as much.
func (c *credit) spend() bool {
	for {
		had := c.value.Load()
		if had < creditPerRequest {
			return false
		}
		if c.value.CompareAndSwap(had, had-creditPerRequest) {
			return true
		}
	}
}

func (c *credit) refund() {
	c.value.Add(creditPerRequest)
}

// routeState is the state of a move on one route: its credit for the new side, and the responses of
// both sides.
type routeState struct {
	credit credit
	// boostBits is the factor from the service's share to the route's, as the bits of a float64; zero
	// bits mean 1.
	boostBits atomic.Uint64
	// requests counts the requests of the route.
	requests atomic.Int64
	// stopped means that the guard of this entry found the new side to be worse.
	stopped atomic.Bool
	old     counter
	new     counter
}

// choosesNew reports whether a request goes to the new side, and spends its credit. Position is that
// of the caller, from 0 to 1; callers below the share go to the new side while there is credit. The
// service's credit bounds all its routes together, whatever their boosts.
func (l *routeState) choosesNew(position, share float64, service *credit) bool {
	l.requests.Add(1)
	if share >= 1 {
		return true
	}
	if share <= 0 || l.stopped.Load() {
		return false // even if credit is left
	}
	service.earn(share)
	boosted := min(share*l.boost(), 1)
	available := l.credit.earn(boosted)
	if position >= boosted && available < slack(boosted) {
		return false
	}
	if !l.credit.spend() {
		return false
	}
	if !service.spend() {
		l.credit.refund()
		return false
	}
	return true
}

func (l *routeState) boost() float64 {
	if b := l.boostBits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return 1
}

func (l *routeState) setBoost(f float64) {
	l.boostBits.Store(math.Float64bits(f))
}

// observe counts a response of one side.
func (l *routeState) observe(isNew bool, latency time.Duration, failed bool) {
	if isNew {
		l.new.add(latency, failed)
		return
	}
	l.old.add(latency, failed)
}

// counter is an assessor.Tally that is safe for concurrent use.
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
	c.count.Add(1) // last, so that a tally contains the failures of all responses it counts
}

func (c *counter) tally() assessor.Tally {
	t := assessor.Tally{Count: int(c.count.Load())}
	t.Failed = min(int(c.failed.Load()), t.Count)
	for i := range c.latencies {
		t.Latencies[i] = int(c.latencies[i].Load())
	}
	return t
}
