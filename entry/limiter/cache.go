package limiter

import (
	"math"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Parameters of the token cache.
const (
	// demandSpan is the span over which demand is averaged.
	demandSpan = 500 * time.Millisecond
	// prefetchSpan is the span of demand to keep cached beyond what arrives during calls to the
	// owner.
	prefetchSpan = 50 * time.Millisecond
	// returnBeforeExpiry is the remaining lifetime at which unspent tokens are returned.
	returnBeforeExpiry = GrantLifetime / 2
	// minPrefetch is the expected number of requests below which nothing is prefetched.
	minPrefetch = 0.5
	// useMergeSpan is the span within which uses are merged into one report.
	useMergeSpan = 20 * time.Millisecond
)

// TokenCache holds the tokens of one bucket that its owner has granted to this entry, and the uses
// to report to the owner.
type TokenCache struct {
	grants []grant
	uses   []unreportedUse
	demand timekeeper.DecayingRate
	// roundTrip is the averaged duration of a call to the owner.
	roundTrip time.Duration
}

// unreportedUse counts the tokens spent between first and last, with an age counted from last.
type unreportedUse struct {
	tokens      float64
	first, last time.Duration
}

// Take spends n tokens if as many are cached.
func (a *TokenCache) Take(now time.Duration, n float64) bool {
	a.dropExpired(now)
	if len(a.grants) == 0 || a.total() < n-tolerance {
		return false
	}
	a.spend(n)
	a.recordUse(now, n)
	return true
}

// AddDemand counts n tokens towards the averaged demand.
func (a *TokenCache) AddDemand(now time.Duration, n float64) {
	a.demand.TimeConstant = demandSpan // so that the zero TokenCache is usable
	a.demand.Add(now, n)
}

// AddGrant adds granted tokens. They expire one lifetime after the request for them was sent.
func (a *TokenCache) AddGrant(now, sent time.Duration, tokens float64, lifetime time.Duration) {
	t := now - sent
	if a.roundTrip == 0 {
		a.roundTrip = t
	}
	a.roundTrip += (t - a.roundTrip) / 8
	if tokens > 0 && sent+lifetime > now {
		a.grants = append(a.grants, grant{tokens, sent + lifetime})
	}
}

// PrefetchAmount returns how many tokens to request in addition to those that requests wait for,
// so that the next requests find theirs in the cache.
func (a *TokenCache) PrefetchAmount(now time.Duration) float64 {
	a.dropExpired(now)
	wanted := a.demand.At(now) * (2*a.roundTrip + prefetchSpan).Seconds()
	if have := a.total(); wanted >= minPrefetch && have < wanted/2 {
		return math.Ceil(wanted - have)
	}
	return 0
}

// TakeExpiring removes and returns the tokens that will probably not be spent before they expire.
func (a *TokenCache) TakeExpiring(now time.Duration) float64 {
	a.dropExpired(now)
	n := 0.0
	for len(a.grants) > 0 && a.grants[0].expires-now <= returnBeforeExpiry {
		n += a.grants[0].tokens
		a.grants = a.grants[1:]
	}
	return n
}

// TakeUses removes and returns the uses that are not reported yet.
func (a *TokenCache) TakeUses(now time.Duration) []Use {
	var out []Use
	for _, u := range a.uses {
		out = append(out, Use{Tokens: u.tokens, Age: now - u.last})
	}
	a.uses = nil
	return out
}

// ReportDue reports whether there are uses to report or tokens to return.
func (a *TokenCache) ReportDue(now time.Duration) bool {
	return len(a.uses) > 0 || (len(a.grants) > 0 && a.grants[0].expires-now <= returnBeforeExpiry)
}

// Reset drops all tokens and uses when the owner changes.
func (a *TokenCache) Reset() {
	a.grants, a.uses = nil, nil
}

func (a *TokenCache) total() float64 {
	n := 0.0
	for _, p := range a.grants {
		n += p.tokens
	}
	return n
}

func (a *TokenCache) spend(n float64) {
	for n > 0 && len(a.grants) > 0 {
		k := min(n, a.grants[0].tokens)
		a.grants[0].tokens -= k
		n -= k
		if a.grants[0].tokens <= tolerance {
			a.grants = a.grants[1:]
		}
	}
}

func (a *TokenCache) recordUse(now time.Duration, n float64) {
	if k := len(a.uses); k > 0 && now-a.uses[k-1].first < useMergeSpan {
		a.uses[k-1].tokens += n
		a.uses[k-1].last = now
		return
	}
	a.uses = append(a.uses, unreportedUse{n, now, now})
}

func (a *TokenCache) dropExpired(now time.Duration) {
	for len(a.grants) > 0 && a.grants[0].expires <= now {
		a.grants = a.grants[1:]
	}
}
