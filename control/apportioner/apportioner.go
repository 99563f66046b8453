// Package apportioner divides each team's rate and burst into shares of the entries, by the demand
// at each. It serves the mode without roles. The shares in use never add up to more than the
// whole, since an entry's share grows only once others have confirmed that they use as much less.
package apportioner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the division.
const (
	// evenFraction is the fraction of a team's rate that is divided evenly, regardless of demand.
	evenFraction = 0.35
	// maxEvenShares bounds an entry's share, in multiples of an even share. It limits what a new
	// leader has to hold back for each entry that has not polled it yet.
	maxEvenShares = 3
	// minChange is the smallest change of a share that is sent to an entry.
	minChange = 0.005
	// awaitedCacheTime is how long the list of awaited entries is reused. The first poll of an
	// entry invalidates it.
	awaitedCacheTime = 20 * time.Millisecond
	// answerBits is the number of low bits of an answer number that count a leader's answers. Its
	// term is above them.
	answerBits = 32
)

// Config configures an Apportioner.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	// Entries returns the entries of the deployment, by name.
	Entries func() map[string]*wire.EntryMember
	// SilentEntries returns the entries that are no longer members but may still use their shares, by
	// name; nil means that there are none.
	SilentEntries func() map[string]*wire.EntryMember
	// Lends reports whether the tokens of a demand's team are lent instead of divided. since is
	// when the term began. nil means that no tokens are lent.
	Lends func(term uint64, since time.Duration, d *wire.TeamDemand) bool
}

// Apportioner tracks the shares that entries may use. It is safe for concurrent use.
type Apportioner struct {
	config  Config
	mutex   sync.Mutex
	term    uint64
	since   time.Duration
	number  uint64
	entries map[wire.EntryRun]*entryState
	// awaitedNames caches the names of the awaited entries as of awaitedAt; 0 means that there is
	// no cached list.
	awaitedNames []string
	awaitedAt    time.Duration
	logged       logState
}

// entryState is the state of one entry at this leader.
type entryState struct {
	name     string
	polledAt time.Duration
	// numberInUse is the number of the last answer whose shares the entry uses.
	numberInUse uint64
	demands     map[string]float64
	// held are the shares that the entry may be using, by team and oldest first, each with the
	// number of the answer that gave it.
	held map[string][]givenShare
	// inherited are the shares by an earlier leader that the entry still held at its first poll.
	// minEntries is the least number of entries that it saw in the time when its shares may have
	// been given; 0 if unknown.
	inherited  map[string]float64
	minEntries int
}

// givenShare is a share that an answer gave to an entry, with the answer's number.
type givenShare struct {
	number uint64
	share  float64
	// reduced is set if the entry may already have reduced the share after a silence, so that it
	// makes no further reduction until it drops the share entirely.
	reduced bool
}

// mayUse returns how much of the share an entry may use at a time since its last poll.
func (t givenShare) mayUse(age time.Duration) float64 {
	fraction := keptFraction(age)
	if t.reduced && fraction > 0 {
		fraction = 1
	}
	return t.share * fraction
}

// NewApportioner returns an Apportioner without entries.
func NewApportioner(c Config) *Apportioner {
	return &Apportioner{config: c, entries: map[wire.EntryRun]*entryState{}, logged: newLogState()}
}

// Answer records an entry's demands and returns its shares that change. The entry repeats the
// returned number once it uses them; 0 means that none changes. since is when this member became
// the leader of the term.
func (a *Apportioner) Answer(term uint64, since time.Duration, r *wire.PollRequest) ([]*wire.TeamShare, uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, c := a.config.Clock.Now(), wire.EntryRunOf(r.GetMember())
	a.startTerm(term, since)
	if a.entries[c] == nil && len(r.GetDemands()) == 0 {
		return nil, 0 // it may hold shares that it has not reported yet
	}
	n := a.state(c, r)
	n.reduceExpired(now)
	n.polledAt = now
	n.numberInUse = r.GetSharesInUse()
	n.dropSuperseded(n.numberInUse)
	reported, out := a.recordDemands(n, r)
	a.dropSilent(now)
	a.logChanges(now, n)
	b := a.bounds(now, n)
	for _, team := range slices.Sorted(maps.Keys(n.demands)) {
		if s, changes := a.nextShare(now, n, team, reported, b); changes {
			out = append(out, &wire.TeamShare{Team: team, Share: s})
		}
	}
	if len(out) == 0 {
		return nil, 0
	}
	a.number++
	number := a.term<<answerBits + a.number
	for _, s := range out {
		n.held[s.GetTeam()] = append(n.held[s.GetTeam()], givenShare{number: number, share: s.GetShare()})
	}
	return out, number
}

// FractionInUse returns the fraction of a team's rate that entries may use by shares, from 0 to 1.
// lentFor is how long the team's tokens have been lent instead.
func (a *Apportioner) FractionInUse(term uint64, since time.Duration, team string, lentFor time.Duration) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.startTerm(term, since)
	now := a.config.Clock.Now()
	awaited := a.maxAwaited(now) * min(keptFraction(now-a.since), keptFraction(lentFor))
	return a.inUse(now, team) + min(awaited, a.notInherited(team))
}

// startTerm drops the state of an earlier term.
func (a *Apportioner) startTerm(term uint64, since time.Duration) {
	if term != a.term {
		a.term, a.since, a.number, a.entries, a.awaitedAt = term, since, 0, map[wire.EntryRun]*entryState{}, 0
	}
}

// recordDemands records the demand of each team at an entry. It returns the shares that the entry
// uses, and the answers for teams whose tokens are lent.
func (a *Apportioner) recordDemands(n *entryState, r *wire.PollRequest) (reported map[string]float64, lent []*wire.TeamShare) {
	reported = map[string]float64{}
	for _, d := range r.GetDemands() {
		reported[d.GetTeam()] = d.GetShare()
		if a.config.Lends != nil && a.config.Lends(a.term, a.since, d) {
			delete(n.demands, d.GetTeam())
			lent = append(lent, &wire.TeamShare{Team: d.GetTeam(), Lent: true})
			continue
		}
		n.demands[d.GetTeam()] = d.GetRate()
	}
	return reported, lent
}

// state returns the state of an entry. At its first poll of this leader, an entry reports the
// shares that an earlier leader gave it. An earlier run of the entry can no longer use any.
func (a *Apportioner) state(c wire.EntryRun, r *wire.PollRequest) *entryState {
	if n := a.entries[c]; n != nil {
		return n
	}
	for o := range a.entries {
		if o.Name == c.Name {
			delete(a.entries, o)
		}
	}
	n := &entryState{
		name: c.Name, polledAt: a.config.Clock.Now(), demands: map[string]float64{}, held: map[string][]givenShare{},
		inherited: map[string]float64{}, minEntries: int(r.GetLeastEntries()),
	}
	for _, d := range r.GetDemands() {
		if d.GetShare() > 0 {
			n.inherited[d.GetTeam()] = d.GetShare()
			n.held[d.GetTeam()] = []givenShare{{0, d.GetShare(), true}}
		}
	}
	a.entries[c], a.awaitedAt = n, 0
	return n
}

// largestShare returns the largest share of an entry among the given number of entries.
func largestShare(entries int) float64 {
	return min(1, maxEvenShares/float64(max(1, entries)))
}

// holders returns the names of the entries that may hold shares according to the replicated state.
func (a *Apportioner) holders() []string {
	out := slices.Collect(maps.Keys(a.config.Entries()))
	if a.config.SilentEntries != nil {
		out = slices.AppendSeq(out, maps.Keys(a.config.SilentEntries()))
	}
	return out
}

// bounds apply to an entry's shares of all teams.
type bounds struct {
	// maxShare is the largest share, and awaited the fraction that awaited entries may hold.
	maxShare float64
	awaited  float64
	// member is set if the entry is in the replicated state. Only then may its shares grow, since
	// every later leader holds them back.
	member bool
}

func (a *Apportioner) bounds(now time.Duration, n *entryState) bounds {
	return bounds{
		maxShare: largestShare(len(a.holders())), awaited: a.maxAwaited(now) * keptFraction(now-a.since),
		member: a.config.Entries()[n.name] != nil,
	}
}

// maxAwaited returns the largest fraction of a team's rate that awaited entries may hold, by the
// least number of entries in the time when their shares may have been given.
func (a *Apportioner) maxAwaited(now time.Duration) float64 {
	missing := a.awaited(now)
	if len(missing) == 0 {
		return 0
	}
	minEntries := len(a.holders())
	for _, n := range a.entries {
		if n.minEntries > 0 {
			minEntries = min(minEntries, n.minEntries)
		}
	}
	return float64(len(missing)) * largestShare(minEntries)
}

// nextShare returns the share that an entry should have now, and whether it has to be sent.
func (a *Apportioner) nextShare(now time.Duration, n *entryState, team string, reported map[string]float64, b bounds) (float64, bool) {
	total, others, live := 0.0, 0.0, 0
	for _, o := range a.entries {
		if o != n {
			others += o.mayUse(now, team)
		}
		if keptFraction(now-o.polledAt) == 1 {
			total += o.demands[team]
			live++
		}
	}
	want := evenFraction / float64(live)
	if total > 0 {
		want += (1 - evenFraction) * n.demands[team] / total
	} else {
		want = 1 / float64(live)
	}
	present, known := reported[team]
	if !known {
		present = n.newest(team)
	}
	others += min(b.awaited, a.notInherited(team))
	want = min(want, b.maxShare, max(0, 1-others))
	if !b.member {
		want = min(want, present)
	}
	if d := want - present; d > -minChange && d < minChange && n.usesNewest(team) {
		return present, false
	}
	return want, true
}

// notInherited returns the fraction of a team's rate that no entry has reported as a share from an
// earlier leader.
func (a *Apportioner) notInherited(team string) float64 {
	inherited := 0.0
	for _, n := range a.entries {
		inherited += n.inherited[team]
	}
	return max(0, 1-inherited)
}

// awaited returns the names of the entries that have not polled this leader yet and may hold
// shares, sorted.
func (a *Apportioner) awaited(now time.Duration) []string {
	if keptFraction(now-a.since) == 0 {
		return nil
	}
	if a.awaitedAt > 0 && now-a.awaitedAt < awaitedCacheTime {
		return a.awaitedNames
	}
	asked := make(map[string]bool, len(a.entries))
	for c := range a.entries {
		asked[c.Name] = true
	}
	out := slices.DeleteFunc(a.holders(), func(name string) bool { return asked[name] })
	slices.Sort(out)
	a.awaitedNames, a.awaitedAt = out, now
	return out
}

func (a *Apportioner) dropSilent(now time.Duration) {
	for c, n := range a.entries {
		if now-n.polledAt > timekeeper.SilentEnd {
			delete(a.entries, c)
		}
	}
}

// keptFraction returns the largest fraction of its shares that an entry may use at a time since
// its last poll.
func keptFraction(age time.Duration) float64 {
	return timekeeper.KeptFraction(age - timekeeper.DriftMargin)
}

// reduceExpired records that an entry, silent past its lease, has reduced its shares.
func (n *entryState) reduceExpired(now time.Duration) {
	if keptFraction(now-n.polledAt) == 1 {
		return
	}
	for team, h := range n.held {
		n.held[team] = []givenShare{{h[len(h)-1].number, n.mayUse(now, team), true}}
	}
}

// mayUse returns the largest share of a team that the entry may be using.
func (n *entryState) mayUse(now time.Duration, team string) float64 {
	most := 0.0
	for _, t := range n.held[team] {
		most = max(most, t.mayUse(now-n.polledAt))
	}
	return most
}

// usesNewest reports whether the entry uses the newest share that it was given.
func (n *entryState) usesNewest(team string) bool {
	h := n.held[team]
	return len(h) == 0 || h[len(h)-1].number <= n.numberInUse
}

func (n *entryState) newest(team string) float64 {
	if h := n.held[team]; len(h) > 0 {
		return h[len(h)-1].share
	}
	return 0
}

// dropSuperseded drops the shares given before the answer that the entry uses.
func (n *entryState) dropSuperseded(number uint64) {
	for team, h := range n.held {
		i := 0
		for i+1 < len(h) && h[i+1].number <= number {
			i++
		}
		if n.held[team] = h[i:]; len(h) == i+1 && h[i].share == 0 && h[i].number <= number {
			delete(n.held, team)
		}
	}
}
