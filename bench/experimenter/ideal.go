package experimenter

import (
	"sync"
	"time"
)

// idealBucket is one token bucket that every request reaches at once.
type idealBucket struct {
	mutex       sync.Mutex
	rate, burst float64
	level       float64
	at          time.Duration
	// lowest is the lowest level that a forced take led to.
	lowest float64
}

func newIdealBucket(now time.Duration, rate, burst float64) *idealBucket {
	return &idealBucket{rate: rate, burst: burst, level: burst, at: now}
}

// take admits a request if there is a token.
func (b *idealBucket) take(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// force takes a token even if there is none; below zero the rate and burst are exceeded.
func (b *idealBucket) force(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fill(now)
	b.level--
	b.lowest = min(b.lowest, b.level)
}

func (b *idealBucket) fill(now time.Duration) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}
