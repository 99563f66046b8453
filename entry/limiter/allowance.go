package limiter

import (
	"math"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Parameters of the prefetch.
const (
	// demandSpan is the time over which demand is averaged.
	demandSpan = 500 * time.Millisecond
	// prefetchSpan is the demand held beyond what arrives during a call to the owner.
	prefetchSpan = 50 * time.Millisecond
	// returnBefore is how long before they run out unspent tokens are returned.
	returnBefore = PotLifetime / 2
	// leastPrefetch is the expected number of requests below which nothing is prefetched.
	leastPrefetch = 0.5
	// useSpan is the span whose uses are reported together.
	useSpan = 20 * time.Millisecond
)

// Allowance is what one entry holds of one account's tokens.
type Allowance struct {
	pots   []pot
	uses   []pastUse
	demand timekeeper.Rate
	// trip is the averaged duration of a call to the owner.
	trip time.Duration
}

// pastUse counts tokens spent, with the moment of the last.
type pastUse struct {
	tokens      float64
	first, last time.Duration
}

// Take spends n tokens if the entry holds as many.
func (a *Allowance) Take(now time.Duration, n float64) bool {
	a.drop(now)
	if len(a.pots) == 0 || a.total() < n-tolerance {
		return false
	}
	a.spend(n)
	a.note(now, n)
	return true
}

// Want counts n tokens towards the demand.
func (a *Allowance) Want(now time.Duration, n float64) {
	a.demand.Span = demandSpan // so that the zero Allowance is usable
	a.demand.Add(now, n)
}

// Add puts granted tokens in; they run out a lifetime after the request for them was sent.
func (a *Allowance) Add(now, sent time.Duration, tokens float64, lifetime time.Duration) {
	t := now - sent
	if a.trip == 0 {
		a.trip = t
	}
	a.trip += (t - a.trip) / 8
	if tokens > 0 && sent+lifetime > now {
		a.pots = append(a.pots, pot{tokens, sent + lifetime})
	}
}

// Lacks returns how many tokens a call to the owner should ask for beyond those that
// requests wait for, so that the next requests find theirs here.
func (a *Allowance) Lacks(now time.Duration) float64 {
	a.drop(now)
	wanted := a.demand.At(now) * (2*a.trip + prefetchSpan).Seconds()
	if have := a.total(); wanted >= leastPrefetch && have < wanted/2 {
		return math.Ceil(wanted - have)
	}
	return 0
}

// Returns takes out tokens that will probably not be spent before they run out.
func (a *Allowance) Returns(now time.Duration) float64 {
	a.drop(now)
	n := 0.0
	for len(a.pots) > 0 && a.pots[0].expires-now <= returnBefore {
		n += a.pots[0].tokens
		a.pots = a.pots[1:]
	}
	return n
}

// Reports takes out the uses that were not reported yet.
func (a *Allowance) Reports(now time.Duration) []Use {
	var out []Use
	for _, u := range a.uses {
		out = append(out, Use{Tokens: u.tokens, Age: now - u.last})
	}
	a.uses = nil
	return out
}

// Due tells whether there is something to report or to return.
func (a *Allowance) Due(now time.Duration) bool {
	return len(a.uses) > 0 || (len(a.pots) > 0 && a.pots[0].expires-now <= returnBefore)
}

// Reset forgets tokens and uses, for another owner.
func (a *Allowance) Reset() {
	a.pots, a.uses = nil, nil
}

func (a *Allowance) total() float64 {
	n := 0.0
	for _, p := range a.pots {
		n += p.tokens
	}
	return n
}

func (a *Allowance) spend(n float64) {
	for n > 0 && len(a.pots) > 0 {
		k := min(n, a.pots[0].tokens)
		a.pots[0].tokens -= k
		n -= k
		if a.pots[0].tokens <= tolerance {
			a.pots = a.pots[1:]
		}
	}
}

func (a *Allowance) note(now time.Duration, n float64) {
	if k := len(a.uses); k > 0 && now-a.uses[k-1].first < useSpan {
		a.uses[k-1].tokens += n
		a.uses[k-1].last = now
		return
	}
	a.uses = append(a.uses, pastUse{n, now, now})
}

func (a *Allowance) drop(now time.Duration) {
	for len(a.pots) > 0 && a.pots[0].expires <= now {
		a.pots = a.pots[1:]
	}
}
