// Package lender lends tokens to entries for teams whose rate is so small for the number of
// entries that an entry's share would hold less than one request. It serves the mode without
// roles. The control leader holds one token bucket per team.
package lender

import (
	"math"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the loans.
const (
	// heldFraction is the fraction of a team's burst that entries may hold unspent. The bucket
	// holds the rest, so that both together never exceed the burst.
	heldFraction = 0.5
	// reservedFraction is the fraction of a full bucket that is reserved for requests that wait.
	reservedFraction = 0.25
	// refusalSpan is the span over which the rate of refusals is averaged.
	refusalSpan = time.Second
	// refreshInterval is the least time between two refreshes of all teams' buckets and of the
	// fractions that entries use by shares.
	refreshInterval = 100 * time.Millisecond
	// minWait and maxWait bound the time after which refused requests may be retried.
	minWait = 100 * time.Millisecond
	maxWait = 2 * time.Second
	// entryExpiry is the silence after which an entry has dropped its tokens.
	entryExpiry = timekeeper.ShareLease + timekeeper.DriftMargin
)

// Config configures a Lender.
type Config struct {
	Clock timekeeper.Clock
	// Teams returns the teams of the configuration in force.
	Teams func() map[string]*parser.Team
	// Entries returns the number of entries of the deployment.
	Entries func() int
	// FractionInUse returns the fraction of a team's rate that entries may use by shares, from 0 to
	// 1. lentFor is how long the team's tokens have been lent. nil means that no shares are in use.
	FractionInUse func(term uint64, since time.Duration, team string, lentFor time.Duration) float64
}

// Lender holds the token buckets of this leader's term. It is safe for concurrent use.
type Lender struct {
	config   Config
	mutex    sync.Mutex
	term     uint64
	since    time.Duration
	buckets  map[string]*bucket
	calledAt map[wire.EntryRun]time.Duration
	// refreshedAt is when all buckets were last refreshed.
	refreshedAt time.Duration
	modes       *modes
}

// bucket is the token bucket of one team.
type bucket struct {
	rate float64
	// burst is the part of the team's burst that is not in use by shares.
	burst      float64
	tokens     float64
	refilledAt time.Duration
	// dividedFraction is the fraction of the rate that is in use by shares.
	dividedFraction float64
	held            map[wire.EntryRun]float64
	refusals        timekeeper.DecayingRate
}

// NewLender returns a Lender whose buckets are empty.
func NewLender(c Config) *Lender {
	return &Lender{config: c, buckets: map[string]*bucket{}, calledAt: map[wire.EntryRun]time.Duration{}, modes: newModes(c)}
}

// Lends reports whether a team's tokens are lent. An entry's demand helps to decide, since it
// shows what the previous leader did.
func (l *Lender) Lends(term uint64, since time.Duration, d *wire.TeamDemand) bool {
	l.modes.learn(term, since, d.GetTeam(), d.GetShare() > 0, d.GetLentMilliseconds())
	_, lent := l.modes.decide(term, d.GetTeam())
	return lent
}

// Answer lends the tokens that a request asks for, as far as they are available. since is when
// this member became the leader of the term. The buckets of a term start empty, since the previous
// leader may have lent all tokens.
func (l *Lender) Answer(term uint64, since time.Duration, r *wire.BorrowRequest) *wire.BorrowResponse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Clock.Now()
	if term != l.term {
		l.term, l.since, l.buckets, l.calledAt = term, since, map[string]*bucket{}, map[wire.EntryRun]time.Duration{}
	}
	c := wire.EntryRun{Name: r.GetEntry(), Incarnation: r.GetIncarnation()}
	l.recordCall(now, c)
	for _, d := range r.GetDemands() {
		l.modes.learn(term, since, d.GetTeam(), false, d.GetLentMilliseconds())
	}
	l.refreshBuckets(now)
	out := &wire.BorrowResponse{}
	for _, d := range r.GetDemands() {
		out.Loans = append(out.Loans, l.lend(now, c, d))
	}
	return out
}

func (l *Lender) lend(now time.Duration, c wire.EntryRun, d *wire.TokenDemand) *wire.TokenLoan {
	out := &wire.TokenLoan{Team: d.GetTeam()}
	p := l.bucketFor(now, l.config.Teams()[d.GetTeam()], d.GetTeam())
	if p == nil {
		out.Divided = true
		return out
	}
	p.held[c] = float64(d.GetHeld())
	p.tokens = min(p.tokens+float64(d.GetReturned()), p.capacity())
	needed := min(float64(d.GetNeeded()), math.Floor(p.tokens))
	p.tokens -= needed
	out.Tokens = uint32(needed)
	if missing := float64(d.GetNeeded()) - needed; missing > 0 {
		out.WaitMilliseconds = uint32(p.refuse(now, missing) / time.Millisecond)
		return out
	}
	if now-l.since < entryExpiry {
		return out // entries may hold tokens lent by the previous leader
	}
	spare := math.Floor(min(p.tokens-reservedFraction*p.capacity(), heldFraction*p.burst-p.heldTotal()))
	extra := max(0, min(float64(d.GetWanted()), spare))
	p.tokens -= extra
	p.held[c] += extra
	out.Tokens += uint32(extra)
	return out
}

// refreshBuckets refills the buckets of all teams known to borrow, so that they fill before the
// first request, and updates the fractions that entries use by shares.
func (l *Lender) refreshBuckets(now time.Duration) {
	if now-l.refreshedAt < refreshInterval {
		return
	}
	l.refreshedAt = now
	teams := l.config.Teams()
	for _, name := range l.modes.teamNames() {
		if p := l.bucketFor(now, teams[name], name); p != nil {
			p.refill(now, p.rate, teams[name].Burst, l.dividedFraction(now, name))
		}
	}
}

// dividedFraction returns the fraction of a borrowing team's rate that entries may still use by
// shares.
func (l *Lender) dividedFraction(now time.Duration, name string) float64 {
	if l.config.FractionInUse == nil {
		return 0
	}
	since, _ := l.modes.decide(l.term, name)
	return min(1, l.config.FractionInUse(l.term, l.since, name, now-since))
}

// bucketFor returns the bucket of a team, refilled up to now, or nil if the team's rate is
// divided. t is nil for a team that is not configured.
func (l *Lender) bucketFor(now time.Duration, t *parser.Team, name string) *bucket {
	since, lent := l.modes.decide(l.term, name)
	if !lent {
		delete(l.buckets, name)
		return nil
	}
	p := l.buckets[name]
	if p == nil {
		// Until then the previous leader has lent the tokens, or the team's rate was divided.
		begun := max(l.since, since)
		p = &bucket{
			rate: t.Rate, dividedFraction: l.dividedFraction(now, name), refilledAt: begun,
			held: map[wire.EntryRun]float64{}, refusals: timekeeper.DecayingRate{TimeConstant: refusalSpan},
		}
		l.buckets[name] = p
	}
	p.refill(now, t.Rate, t.Burst, p.dividedFraction)
	return p
}

// recordCall records a call from an entry. It removes entries that have been silent for so long
// that they have dropped their tokens, and earlier runs of this entry.
func (l *Lender) recordCall(now time.Duration, c wire.EntryRun) {
	l.calledAt[c] = now
	for o, at := range l.calledAt {
		if now-at <= entryExpiry && (o.Name != c.Name || o == c) {
			continue
		}
		delete(l.calledAt, o)
		for _, p := range l.buckets {
			delete(p.held, o)
		}
	}
}

// refill adds the tokens since the last refill, without the fraction that entries may use by
// shares. A changed limit takes effect at once.
func (p *bucket) refill(now time.Duration, rate, burst, divided float64) {
	p.tokens += min(p.rate, rate) * (1 - max(p.dividedFraction, divided)) * (now - p.refilledAt).Seconds()
	p.rate, p.burst, p.dividedFraction, p.refilledAt = rate, burst*(1-divided), divided, now
	p.tokens = min(p.tokens, p.capacity())
}

// capacity returns the size of the bucket in tokens.
func (p *bucket) capacity() float64 {
	return max(1, (1-heldFraction)*p.burst)
}

// heldTotal returns the number of tokens that entries hold.
func (p *bucket) heldTotal() float64 {
	sum := 0.0
	for _, n := range p.held {
		sum += n
	}
	return sum
}

// refuse counts n refused requests and returns after which time they may succeed: once those
// refused before them have been served.
func (p *bucket) refuse(now time.Duration, n float64) time.Duration {
	p.refusals.Add(now, n)
	wait := time.Duration(p.refusals.At(now) / max(p.rate, 1) * float64(refusalSpan))
	return min(maxWait, max(minWait, wait))
}

// BucketDump describes the bucket of one team.
type BucketDump struct {
	Rate   float64
	Tokens float64
	Room   float64
	// Held are the tokens that entries hold, by entry.
	Held map[string]float64
}

// Dump describes the buckets of the teams whose tokens are lent.
func (l *Lender) Dump() any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := map[string]BucketDump{}
	for team, p := range l.buckets {
		d := BucketDump{Rate: p.rate, Tokens: p.tokens, Room: p.capacity(), Held: map[string]float64{}}
		for c, n := range p.held {
			d.Held[c.Name] = n
		}
		out[team] = d
	}
	return out
}
