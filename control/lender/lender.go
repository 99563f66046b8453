// Package lender lends tokens of teams' rates to entries, for teams whose rate is so small
// against the number of entries that a share of it would hold less than a request. One
// bucket a team lies with the control leader.
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
	// heldPart is the part of a team's burst that may lie unspent in entries' hands; the
	// bucket holds the rest, so that both together never exceed the burst.
	heldPart = 0.5
	// sparedPart is the part of a full bucket that is kept for requests that wait.
	sparedPart = 0.25
	// refusalSpan is the time over which refusals are averaged.
	refusalSpan = time.Second
	// lookInterval is the least time between two looks at the pots of all teams, and at what
	// entries hold in shares.
	lookInterval = 100 * time.Millisecond
	// leastWait and mostWait bound what refused callers are asked to wait.
	leastWait = 100 * time.Millisecond
	mostWait  = 2 * time.Second
	// forgetAfter is the silence after which an entry has given up its tokens.
	forgetAfter = timekeeper.ShareLease + timekeeper.DriftMargin
)

// Config sets up a Lender.
type Config struct {
	Clock timekeeper.Clock
	// Teams are the teams of the configuration in force.
	Teams func() map[string]*parser.Team
	// Entries is the number of entries of the deployment.
	Entries func() int
	// Shares is the part of a team's rate that entries may use by shares, from 0 to 1; lentFor
	// is how long the team's tokens have been lent. nil means none.
	Shares func(term uint64, since time.Duration, team string, lentFor time.Duration) float64
}

// Lender holds the buckets of this leader's term. It is safe for concurrent use.
type Lender struct {
	config Config
	mutex  sync.Mutex
	term   uint64
	since  time.Duration
	pots   map[string]*pot
	asked  map[wire.Caller]time.Duration
	// looked is when all pots were last looked at.
	looked time.Duration
	modes  *modes
}

// pot is the bucket of one team.
type pot struct {
	rate float64
	// burst is the part of the team's burst that is not in use by shares.
	burst  float64
	tokens float64
	filled time.Duration
	// divided is the part of the rate that is in use by shares.
	divided float64
	held    map[wire.Caller]float64
	refused timekeeper.Rate
}

// NewLender returns a Lender whose buckets are empty.
func NewLender(c Config) *Lender {
	return &Lender{config: c, pots: map[string]*pot{}, asked: map[wire.Caller]time.Duration{}, modes: newModes(c)}
}

// Lends tells whether a team's tokens are lent, as far as an entry's demand helps to decide.
func (l *Lender) Lends(term uint64, since time.Duration, d *wire.TeamDemand) bool {
	l.modes.learn(term, since, d.GetTeam(), d.GetShare() > 0, d.GetLentMilliseconds())
	_, lent := l.modes.decide(term, d.GetTeam())
	return lent
}

// Answer lends what a request asks for, as far as there is. term and since tell since when
// this member leads; its buckets begin empty, since the leader before may have emptied them.
func (l *Lender) Answer(term uint64, since time.Duration, r *wire.BorrowRequest) *wire.BorrowResponse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.config.Clock.Now()
	if term != l.term {
		l.term, l.since, l.pots, l.asked = term, since, map[string]*pot{}, map[wire.Caller]time.Duration{}
	}
	c := wire.Caller{Name: r.GetEntry(), Incarnation: r.GetIncarnation()}
	l.note(now, c)
	for _, d := range r.GetDemands() {
		l.modes.learn(term, since, d.GetTeam(), false, d.GetLentMilliseconds())
	}
	l.keepPots(now)
	out := &wire.BorrowResponse{}
	for _, d := range r.GetDemands() {
		out.Loans = append(out.Loans, l.lend(now, c, d))
	}
	return out
}

func (l *Lender) lend(now time.Duration, c wire.Caller, d *wire.TokenDemand) *wire.TokenLoan {
	out := &wire.TokenLoan{Team: d.GetTeam()}
	p := l.pot(now, l.config.Teams()[d.GetTeam()], d.GetTeam())
	if p == nil {
		out.Divided = true
		return out
	}
	p.held[c] = float64(d.GetHeld())
	p.tokens = min(p.tokens+float64(d.GetReturned()), p.room())
	needed := min(float64(d.GetNeeded()), math.Floor(p.tokens))
	p.tokens -= needed
	out.Tokens = uint32(needed)
	if missing := float64(d.GetNeeded()) - needed; missing > 0 {
		out.WaitMilliseconds = uint32(p.refuse(now, missing) / time.Millisecond)
		return out
	}
	if now-l.since < forgetAfter {
		return out // entries may hold tokens of the leader before
	}
	spare := math.Floor(min(p.tokens-sparedPart*p.room(), heldPart*p.burst-p.lent()))
	extra := max(0, min(float64(d.GetWanted()), spare))
	p.tokens -= extra
	p.held[c] += extra
	out.Tokens += uint32(extra)
	return out
}

// keepPots looks after the pots of all teams that are known to be lent, so that they fill up
// before the first request, and by what entries hold in shares just then.
func (l *Lender) keepPots(now time.Duration) {
	if now-l.looked < lookInterval {
		return
	}
	l.looked = now
	teams := l.config.Teams()
	for _, name := range l.modes.known() {
		if p := l.pot(now, teams[name], name); p != nil {
			p.fill(now, p.rate, teams[name].Burst, l.divided(now, name))
		}
	}
}

// divided is the part of a lent team's rate that entries may still use by shares.
func (l *Lender) divided(now time.Duration, name string) float64 {
	if l.config.Shares == nil {
		return 0
	}
	since, _ := l.modes.decide(l.term, name)
	return min(1, l.config.Shares(l.term, l.since, name, now-since))
}

// pot returns the bucket of a team, filled up to now; nil if the team's rate is divided. t is
// nil for a team that does not stand.
func (l *Lender) pot(now time.Duration, t *parser.Team, name string) *pot {
	since, lent := l.modes.decide(l.term, name)
	if !lent {
		delete(l.pots, name)
		return nil
	}
	p := l.pots[name]
	if p == nil {
		// The leader before has lent until then, or the team's rate was divided.
		begun := max(l.since, since)
		p = &pot{
			rate: t.Rate, divided: l.divided(now, name), filled: begun,
			held: map[wire.Caller]float64{}, refused: timekeeper.Rate{Span: refusalSpan},
		}
		l.pots[name] = p
	}
	p.fill(now, t.Rate, t.Burst, p.divided)
	return p
}

// note keeps account of who asks; an entry that was silent for long has given up its tokens,
// and so has an earlier run of one.
func (l *Lender) note(now time.Duration, c wire.Caller) {
	l.asked[c] = now
	for o, at := range l.asked {
		if now-at <= forgetAfter && (o.Name != c.Name || o == c) {
			continue
		}
		delete(l.asked, o)
		for _, p := range l.pots {
			delete(p.held, o)
		}
	}
}

// fill adds what came since the last time, without what entries may use by shares. A changed
// limit holds at once for the bucket.
func (p *pot) fill(now time.Duration, rate, burst, divided float64) {
	p.tokens += min(p.rate, rate) * (1 - max(p.divided, divided)) * (now - p.filled).Seconds()
	p.rate, p.burst, p.divided, p.filled = rate, burst*(1-divided), divided, now
	p.tokens = min(p.tokens, p.room())
}

// room is the size of the bucket.
func (p *pot) room() float64 {
	return max(1, (1-heldPart)*p.burst)
}

// lent is the number of tokens in entries' hands.
func (p *pot) lent() float64 {
	sum := 0.0
	for _, n := range p.held {
		sum += n
	}
	return sum
}

// refuse counts requests that got no token and returns when they have a chance: once those
// refused before them have been served.
func (p *pot) refuse(now time.Duration, n float64) time.Duration {
	p.refused.Add(now, n)
	wait := time.Duration(p.refused.At(now) / max(p.rate, 1) * float64(refusalSpan))
	return min(mostWait, max(leastWait, wait))
}

// PotDump describes the bucket of one team.
type PotDump struct {
	Rate   float64
	Tokens float64
	Room   float64
	// Held are the tokens in entries' hands.
	Held map[string]float64
}

// Dump describes the buckets of the teams whose tokens are lent.
func (l *Lender) Dump() any {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	out := map[string]PotDump{}
	for team, p := range l.pots {
		d := PotDump{Rate: p.rate, Tokens: p.tokens, Room: p.room(), Held: map[string]float64{}}
		for c, n := range p.held {
			d.Held[c.Name] = n
		}
		out[team] = d
	}
	return out
}
