package experimenter

import (
	"sync"
	"time"
)

// tokenBucket is a token bucket that is reached without delay. It serves as a baseline and
// checks what the limiter admits.
type tokenBucket struct {
	mutex       sync.Mutex
	rate, burst float64
	tokens      float64
	filledAt    time.Duration
	// minTokens is the lowest number of tokens after a call of forceTake, at most 0.
	minTokens float64
}

func newTokenBucket(now time.Duration, rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst, filledAt: now}
}

// take takes a token if there is one, and reports whether it did.
func (b *tokenBucket) take(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// forceTake takes a token even if there is none. A negative number of tokens means that rate
// and burst are exceeded.
func (b *tokenBucket) forceTake(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.tokens--
	b.minTokens = min(b.minTokens, b.tokens)
}

func (b *tokenBucket) refill(now time.Duration) {
	if now > b.filledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}
