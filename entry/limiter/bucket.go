package limiter

import (
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
)

// GrantLifetime is how long granted tokens may be spent, counted from the sending of the request
// for them.
const GrantLifetime = 500 * time.Millisecond

// overflowRetention is how long overflowed refill is kept, so that uses reported late can still
// reclaim it.
const overflowRetention = 2 * time.Second

// tolerance absorbs rounding errors in sums of tokens.
const tolerance = 1e-6

// Bucket is the only token bucket of a team or of one direction of a link, held by its owner for
// one epoch. Free tokens and unexpired grants together never exceed the burst, so all entries
// together admit at most rate*t + burst requests over any span t.
type Bucket struct {
	assert      *asserter.Asserter
	rate        float64
	burst       float64
	free        float64
	outstanding float64
	refilledAt  time.Duration
	grants      map[string][]grant
	overflow    []overflowSpan
}

// grant is a number of tokens that an entry may spend until they expire.
type grant struct {
	tokens  float64
	expires time.Duration
}

// overflowSpan is the refill of a span of time that found no free capacity.
type overflowSpan struct {
	from, to time.Duration
	tokens   float64
}

// Use reports tokens that were spent at least Age ago.
type Use struct {
	Tokens float64
	Age    time.Duration
}

// NewBucket returns a full bucket for a role's first epoch, before which nothing was granted.
func NewBucket(a *asserter.Asserter, now time.Duration, rate, burst float64) *Bucket {
	return &Bucket{assert: a, rate: rate, burst: burst, free: burst, refilledAt: now, grants: map[string][]grant{}}
}

// NewSuccessorBucket returns the bucket of a later epoch. The whole burst counts as outstanding
// until the grants of the earlier epoch have expired.
func NewSuccessorBucket(a *asserter.Asserter, now time.Duration, rate, burst float64) *Bucket {
	b := NewBucket(a, now, rate, burst)
	b.free = 0
	b.addGrant(earlierEpoch, burst, now+GrantLifetime)
	return b
}

// SettleEarlierEpoch ends the wait for the grants of earlier epochs, once no entry can spend from
// them any longer. Their capacity becomes free and fills at the rate.
func (b *Bucket) SettleEarlierEpoch(now time.Duration) {
	b.advance(now)
	b.takeGranted(earlierEpoch, b.burst)
}

// earlierEpoch stands in for the entry name of grants made by earlier owners.
const earlierEpoch = "\x00earlier"

// SetLimits changes rate and burst from now on.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.free = max(0, min(b.free, b.burst-b.outstanding))
}

// Grant grants up to the wanted number of tokens to an entry and returns how many.
func (b *Bucket) Grant(now time.Duration, entry string, wanted float64) float64 {
	b.advance(now)
	n := max(0, min(wanted, b.free))
	if n == 0 {
		return 0
	}
	b.free -= n
	b.addGrant(entry, n, now+GrantLifetime)
	b.checkInvariant()
	return n
}

// Report records which tokens an entry has spent, oldest grants first, and takes back the returned
// ones. Capacity that was spent counts as free since the use, so refill that has overflowed since
// then is reclaimed.
func (b *Bucket) Report(now time.Duration, entry string, uses []Use, returned float64) {
	b.advance(now)
	for _, u := range uses {
		n := b.takeGranted(entry, u.Tokens)
		b.free += min(b.reclaimOverflow(now-u.Age, n), b.freeCapacity())
	}
	b.free += min(b.takeGranted(entry, returned), b.freeCapacity())
	b.checkInvariant()
}

// Free returns the number of tokens that could be granted now.
func (b *Bucket) Free(now time.Duration) float64 {
	b.advance(now)
	return b.free
}

// TimeUntil returns how long it takes until n tokens are free if none are granted meanwhile.
func (b *Bucket) TimeUntil(now time.Duration, n float64) time.Duration {
	b.advance(now)
	if b.free >= n {
		return 0
	}
	if b.rate <= 0 {
		return overflowRetention
	}
	return time.Duration((n - b.free) / b.rate * float64(time.Second))
}

// advance refills the bucket and expires grants up to now.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	// Grants that expired in between free their capacity only at their expiry. Expiring them after
	// the refill never adds more than is due.
	added := b.rate * (now - b.refilledAt).Seconds()
	fits := min(added, b.freeCapacity())
	b.free += fits
	if lost := added - fits; lost > 0 {
		b.overflow = append(b.overflow, overflowSpan{b.refilledAt, now, lost})
	}
	b.refilledAt = now
	b.expireGrants(now)
	b.forgetOverflow(now)
	b.checkInvariant()
}

func (b *Bucket) freeCapacity() float64 {
	return max(0, b.burst-b.free-b.outstanding)
}

func (b *Bucket) addGrant(entry string, n float64, expires time.Duration) {
	b.grants[entry] = append(b.grants[entry], grant{n, expires})
	b.outstanding += n
}

// takeGranted removes up to n tokens from an entry's grants and returns how many it removed.
func (b *Bucket) takeGranted(entry string, n float64) float64 {
	grants, taken := b.grants[entry], 0.0
	for len(grants) > 0 && n > 0 {
		k := min(n, grants[0].tokens)
		grants[0].tokens -= k
		n, taken = n-k, taken+k
		if grants[0].tokens <= tolerance {
			taken += grants[0].tokens
			grants = grants[1:]
		}
	}
	b.setGrants(entry, grants)
	b.outstanding = max(0, b.outstanding-taken)
	return taken
}

// expireGrants drops expired grants. Whether their tokens were spent is unknown, so they don't
// become free.
func (b *Bucket) expireGrants(now time.Duration) {
	for entry, grants := range b.grants {
		for len(grants) > 0 && grants[0].expires <= now {
			b.outstanding = max(0, b.outstanding-grants[0].tokens)
			grants = grants[1:]
		}
		b.setGrants(entry, grants)
	}
}

func (b *Bucket) setGrants(entry string, grants []grant) {
	if len(grants) == 0 {
		delete(b.grants, entry)
		return
	}
	b.grants[entry] = grants
}

// reclaimOverflow removes up to n tokens from the refill that has overflowed since the given time,
// and returns how many it removed.
func (b *Bucket) reclaimOverflow(since time.Duration, n float64) float64 {
	got := 0.0
	for i := len(b.overflow) - 1; i >= 0 && n > got; i-- {
		s := &b.overflow[i]
		if s.to <= since {
			break
		}
		part := min(n-got, s.tokensAfter(since))
		s.tokens -= part
		got += part
	}
	return got
}

// tokensAfter returns how many of the span's tokens overflowed after the given time.
func (s overflowSpan) tokensAfter(since time.Duration) float64 {
	if s.from >= since {
		return s.tokens
	}
	return s.tokens * float64(s.to-since) / float64(s.to-s.from)
}

func (b *Bucket) forgetOverflow(now time.Duration) {
	n := 0
	for n < len(b.overflow) && b.overflow[n].to < now-overflowRetention {
		n++
	}
	b.overflow = b.overflow[n:]
}

func (b *Bucket) checkInvariant() {
	slack := tolerance * (1 + b.burst)
	b.assert.That(b.free >= 0 && b.free+b.outstanding <= max(b.burst, b.outstanding)+slack, "tokensConserved",
		"free %v, lent %v, burst %v", b.free, b.outstanding, b.burst)
}
