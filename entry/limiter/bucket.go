package limiter

import (
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
)

// PotLifetime is how long granted tokens may be spent, from the start of the request for them.
const PotLifetime = 500 * time.Millisecond

// refillMemory is how long refill that found no room is remembered, for uses reported late.
const refillMemory = 2 * time.Second

// tolerance absorbs the rounding of sums of tokens.
const tolerance = 1e-6

// Bucket is the one token bucket of a team, held by its owner for one epoch. Tokens are
// granted to entries in pots; free tokens and pots together never exceed the burst, so
// that over any span t at most rate*t + burst requests are admitted by all entries.
type Bucket struct {
	assert   *asserter.Asserter
	rate     float64
	burst    float64
	free     float64
	lent     float64
	filled   time.Duration
	pots     map[string][]pot
	overflow []spill
}

// pot is a number of tokens in the hands of an entry.
type pot struct {
	tokens  float64
	expires time.Duration
}

// spill is refill that found no room in a span of time.
type spill struct {
	from, to time.Duration
	tokens   float64
}

// Use tells that tokens were spent at least an age ago.
type Use struct {
	Tokens float64
	Age    time.Duration
}

// NewBucket returns a full bucket, for a team that never had an owner before.
func NewBucket(a *asserter.Asserter, now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{assert: a, rate: rate, burst: burst, free: burst, filled: now, pots: map[string][]pot{}}
}

// NewSuccessor returns the bucket of a later epoch. Until the pots of the earlier epoch
// have run out, the whole burst counts as lent.
func NewSuccessor(a *asserter.Asserter, now time.Duration, rate, burst float64) *Bucket {
	b := NewBucket(a, now, rate, burst)
	b.free = 0
	b.lend(earlierEpoch, burst, now+PotLifetime)
	return b
}

// Settle ends the wait for the pots of the earlier epoch: nobody can spend from them.
func (b *Bucket) Settle(now time.Duration) {
	b.advance(now)
	b.settle(earlierEpoch, b.burst)
}

// earlierEpoch holds what the owners before may have granted.
const earlierEpoch = "\x00earlier"

// SetLimits changes rate and burst from now on.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.free = max(0, min(b.free, b.burst-b.lent))
}

// Grant lends up to the wanted number of tokens to an entry and returns how many.
func (b *Bucket) Grant(now time.Duration, entry string, wanted float64) float64 {
	b.advance(now)
	n := max(0, min(wanted, b.free))
	if n == 0 {
		return 0
	}
	b.free -= n
	b.lend(entry, n, now+PotLifetime)
	b.check()
	return n
}

// Report takes back tokens and learns which were spent, oldest pots first. A spent token
// makes room since it was spent, so refill that found none since then is made up for.
func (b *Bucket) Report(now time.Duration, entry string, uses []Use, returned float64) {
	b.advance(now)
	for _, u := range uses {
		n := b.settle(entry, u.Tokens)
		b.free += min(b.reclaim(now-u.Age, n), b.room())
	}
	b.free += min(b.settle(entry, returned), b.room())
	b.check()
}

// Free returns the tokens that could be granted now.
func (b *Bucket) Free(now time.Duration) float64 {
	b.advance(now)
	return b.free
}

// Until returns how long it takes until n tokens are free if nobody takes any.
func (b *Bucket) Until(now time.Duration, n float64) time.Duration {
	b.advance(now)
	if b.free >= n {
		return 0
	}
	if b.rate <= 0 {
		return refillMemory
	}
	return time.Duration((n - b.free) / b.rate * float64(time.Second))
}

// advance lets time pass: pots run out, tokens come in.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.filled {
		return
	}
	// Pots that ran out meanwhile leave room from that moment on; taking them out only
	// at now gives no more than is due.
	added := b.rate * (now - b.filled).Seconds()
	fits := min(added, b.room())
	b.free += fits
	if lost := added - fits; lost > 0 {
		b.overflow = append(b.overflow, spill{b.filled, now, lost})
	}
	b.filled = now
	b.expire(now)
	b.forget(now)
	b.check()
}

func (b *Bucket) room() float64 {
	return max(0, b.burst-b.free-b.lent)
}

func (b *Bucket) lend(entry string, n float64, expires time.Duration) {
	b.pots[entry] = append(b.pots[entry], pot{n, expires})
	b.lent += n
}

// settle takes up to n tokens out of an entry's pots and returns how many there were.
func (b *Bucket) settle(entry string, n float64) float64 {
	pots, settled := b.pots[entry], 0.0
	for len(pots) > 0 && n > 0 {
		k := min(n, pots[0].tokens)
		pots[0].tokens -= k
		n, settled = n-k, settled+k
		if pots[0].tokens <= tolerance {
			settled += pots[0].tokens
			pots = pots[1:]
		}
	}
	b.keep(entry, pots)
	b.lent = max(0, b.lent-settled)
	return settled
}

// expire drops pots that ran out. Whether their tokens were spent is not known, so they
// are not given back.
func (b *Bucket) expire(now time.Duration) {
	for entry, pots := range b.pots {
		for len(pots) > 0 && pots[0].expires <= now {
			b.lent = max(0, b.lent-pots[0].tokens)
			pots = pots[1:]
		}
		b.keep(entry, pots)
	}
}

func (b *Bucket) keep(entry string, pots []pot) {
	if len(pots) == 0 {
		delete(b.pots, entry)
		return
	}
	b.pots[entry] = pots
}

// reclaim takes up to n tokens of refill that found no room since a moment.
func (b *Bucket) reclaim(since time.Duration, n float64) float64 {
	got := 0.0
	for i := len(b.overflow) - 1; i >= 0 && n > got; i-- {
		s := &b.overflow[i]
		if s.to <= since {
			break
		}
		part := min(n-got, s.after(since))
		s.tokens -= part
		got += part
	}
	return got
}

// after returns what part of the spill came in after a moment.
func (s spill) after(since time.Duration) float64 {
	if s.from >= since {
		return s.tokens
	}
	return s.tokens * float64(s.to-since) / float64(s.to-s.from)
}

func (b *Bucket) forget(now time.Duration) {
	n := 0
	for n < len(b.overflow) && b.overflow[n].to < now-refillMemory {
		n++
	}
	b.overflow = b.overflow[n:]
}

func (b *Bucket) check() {
	slack := tolerance * (1 + b.burst)
	b.assert.That(b.free >= 0 && b.free+b.lent <= max(b.burst, b.lent)+slack, "tokensConserved",
		"free %v, lent %v, burst %v", b.free, b.lent, b.burst)
}
