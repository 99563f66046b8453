// Package apportioner divides each team's rate and burst among the entries by what each is
// asked for. The shares in use never add up to more than the whole: a share is given only
// once another entry has said that it gave up as much.
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
	// evenPart is the part of a team's rate that is divided evenly, whoever asks.
	evenPart = 0.35
	// mostShare bounds an entry's share, in even parts. So a new leader knows what an entry
	// that has not asked it may hold at most.
	mostShare = 3
	// leastChange is the change of a share that is worth telling.
	leastChange = 0.005
	// unheardSpan is how long the list of the entries that are awaited is used again. One that
	// asks leaves it at once.
	unheardSpan = 20 * time.Millisecond
	// termBits leaves room below a term for the answers of its leader.
	termBits = 32
)

// Config sets up an Apportioner.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	// Entries are the entries of the deployment, by name.
	Entries func() map[string]*wire.EntryMember
	// Silent are entries that are members no more and may still use their shares, by name;
	// nil means that there are none.
	Silent func() map[string]*wire.EntryMember
	// Lends tells in a term, which began at a moment, whether the tokens of a demand's team are
	// lent instead; nil means that none are.
	Lends func(term uint64, since time.Duration, d *wire.TeamDemand) bool
}

// Apportioner keeps account of the shares that entries may use. It is safe for concurrent use.
type Apportioner struct {
	config  Config
	mutex   sync.Mutex
	term    uint64
	since   time.Duration
	number  uint64
	callers map[wire.Caller]*account
	// unheard are the entries that are awaited, as they were at a moment.
	unheard   []string
	unheardAt time.Duration
	watch     watch
}

// account is what is known of one entry.
type account struct {
	name  string
	asked time.Duration
	// inUse is the last answer whose shares the entry uses.
	inUse   uint64
	demands map[string]float64
	// held are the shares that the entry may use, by team, with the number of the answer
	// that gave each; the last is the newest.
	held map[string][]told
	// brought are the shares that the entry held of an earlier leader, and least the least
	// number of entries that it saw under that one; 0 if it does not know.
	brought map[string]float64
	least   int
}

// told is a share that an answer gave an entry, under the answer's number.
type told struct {
	number uint64
	share  float64
	// lapsed tells that the entry may have given up a part of the share already, so that it
	// gives up no more before all.
	lapsed bool
}

// mayUse is the part of the share that an entry may use at a time after it asked.
func (t told) mayUse(age time.Duration) float64 {
	part := keptPart(age)
	if t.lapsed && part > 0 {
		part = 1
	}
	return t.share * part
}

// NewApportioner returns an Apportioner that knows no entry.
func NewApportioner(c Config) *Apportioner {
	return &Apportioner{config: c, callers: map[wire.Caller]*account{}, watch: newWatch()}
}

// Answer takes in an entry's demands and returns its shares that change, under a number
// that the entry names once it uses them; 0 means that none changes. term and since tell
// since when this member leads.
func (a *Apportioner) Answer(term uint64, since time.Duration, r *wire.PollRequest) ([]*wire.TeamShare, uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now, c := a.config.Clock.Now(), wire.CallerOf(r.GetMember())
	a.begin(term, since)
	if a.callers[c] == nil && len(r.GetDemands()) == 0 {
		return nil, 0 // it may hold shares that it has not told yet
	}
	n := a.account(c, r)
	n.lapse(now)
	n.asked = now
	n.inUse = r.GetSharesInUse()
	n.settle(n.inUse)
	reported, out := a.takeDemands(n, r)
	a.forget(now)
	a.tell(now, n)
	b := a.bounds(now, n)
	for _, team := range slices.Sorted(maps.Keys(n.demands)) {
		if s, changes := a.next(now, n, team, reported, b); changes {
			out = append(out, &wire.TeamShare{Team: team, Share: s})
		}
	}
	if len(out) == 0 {
		return nil, 0
	}
	a.number++
	number := a.term<<termBits + a.number
	for _, s := range out {
		n.held[s.GetTeam()] = append(n.held[s.GetTeam()], told{number: number, share: s.GetShare()})
	}
	return out, number
}

// Outstanding returns the part of a team's rate that entries may use by shares, from 0 to 1.
// lentFor is how long the team's tokens have been lent instead.
func (a *Apportioner) Outstanding(term uint64, since time.Duration, team string, lentFor time.Duration) float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.begin(term, since)
	now := a.config.Clock.Now()
	awaited := a.awaitedMost(now) * min(keptPart(now-a.since), keptPart(lentFor))
	return a.inUse(now, team) + min(awaited, a.unbrought(team))
}

// begin forgets what is known of an earlier term.
func (a *Apportioner) begin(term uint64, since time.Duration) {
	if term != a.term {
		a.term, a.since, a.number, a.callers, a.unheardAt = term, since, 0, map[wire.Caller]*account{}, 0
	}
}

// takeDemands notes what an entry was asked for. It returns the shares that the entry uses, and
// the answers for teams whose tokens are lent.
func (a *Apportioner) takeDemands(n *account, r *wire.PollRequest) (reported map[string]float64, lent []*wire.TeamShare) {
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

// account returns the record of an entry. One that an earlier leader gave shares brings
// them along; an earlier run of it can use none any more.
func (a *Apportioner) account(c wire.Caller, r *wire.PollRequest) *account {
	if n := a.callers[c]; n != nil {
		return n
	}
	for o := range a.callers {
		if o.Name == c.Name {
			delete(a.callers, o)
		}
	}
	n := &account{
		name: c.Name, asked: a.config.Clock.Now(), demands: map[string]float64{}, held: map[string][]told{},
		brought: map[string]float64{}, least: int(r.GetLeastEntries()),
	}
	for _, d := range r.GetDemands() {
		if d.GetShare() > 0 {
			n.brought[d.GetTeam()] = d.GetShare()
			n.held[d.GetTeam()] = []told{{0, d.GetShare(), true}}
		}
	}
	a.callers[c], a.unheardAt = n, 0
	return n
}

// largest is the largest share of one of a number of entries.
func largest(entries int) float64 {
	return min(1, mostShare/float64(max(1, entries)))
}

// holders are the entries that may hold shares by the replicated state.
func (a *Apportioner) holders() []string {
	out := slices.Collect(maps.Keys(a.config.Entries()))
	if a.config.Silent != nil {
		out = slices.AppendSeq(out, maps.Keys(a.config.Silent()))
	}
	return out
}

// bounds are what holds for an entry's shares of all teams.
type bounds struct {
	// limit is the largest share, and awaited what entries that have not asked yet may hold.
	limit   float64
	awaited float64
	// member tells that every later leader will know the entry, so that it may get more.
	member bool
}

func (a *Apportioner) bounds(now time.Duration, n *account) bounds {
	return bounds{
		limit: largest(len(a.holders())), awaited: a.awaitedMost(now) * keptPart(now-a.since),
		member: a.config.Entries()[n.name] != nil,
	}
}

// awaitedMost is the most of a team's rate that entries which have not asked this leader may
// hold, by the least number of entries when their shares may have been given.
func (a *Apportioner) awaitedMost(now time.Duration) float64 {
	missing := a.awaited(now)
	if len(missing) == 0 {
		return 0
	}
	least := len(a.holders())
	for _, n := range a.callers {
		if n.least > 0 {
			least = min(least, n.least)
		}
	}
	return float64(len(missing)) * largest(least)
}

// next returns the share that an entry should have now, and whether that is worth telling.
func (a *Apportioner) next(now time.Duration, n *account, team string, reported map[string]float64, b bounds) (float64, bool) {
	total, others, live := 0.0, 0.0, 0
	for _, o := range a.callers {
		if o != n {
			others += o.mayUse(now, team)
		}
		if keptPart(now-o.asked) == 1 {
			total += o.demands[team]
			live++
		}
	}
	want := evenPart / float64(live)
	if total > 0 {
		want += (1 - evenPart) * n.demands[team] / total
	} else {
		want = 1 / float64(live)
	}
	present, told := reported[team]
	if !told {
		present = n.newest(team)
	}
	others += min(b.awaited, a.unbrought(team))
	want = min(want, b.limit, max(0, 1-others))
	if !b.member {
		want = min(want, present)
	}
	if d := want - present; d > -leastChange && d < leastChange && n.has(team) {
		return present, false
	}
	return want, true
}

// unbrought is the part of a team's rate that no entry has brought along from an earlier leader.
func (a *Apportioner) unbrought(team string) float64 {
	brought := 0.0
	for _, n := range a.callers {
		brought += n.brought[team]
	}
	return max(0, 1-brought)
}

// awaited are the entries of the deployment that have not asked this leader yet and may hold
// shares, in order.
func (a *Apportioner) awaited(now time.Duration) []string {
	if keptPart(now-a.since) == 0 {
		return nil
	}
	if a.unheardAt > 0 && now-a.unheardAt < unheardSpan {
		return a.unheard
	}
	asked := make(map[string]bool, len(a.callers))
	for c := range a.callers {
		asked[c.Name] = true
	}
	out := slices.DeleteFunc(a.holders(), func(name string) bool { return asked[name] })
	slices.Sort(out)
	a.unheard, a.unheardAt = out, now
	return out
}

func (a *Apportioner) forget(now time.Duration) {
	for c, n := range a.callers {
		if now-n.asked > timekeeper.SilentEnd {
			delete(a.callers, c)
		}
	}
}

// keptPart is the largest part of its shares that an entry may use at a time after it asked.
func keptPart(age time.Duration) float64 {
	return timekeeper.KeptPart(age - timekeeper.DriftMargin)
}

// lapse notes that an entry that was silent past its lease gave up a part of its shares.
func (n *account) lapse(now time.Duration) {
	if keptPart(now-n.asked) == 1 {
		return
	}
	for team, h := range n.held {
		n.held[team] = []told{{h[len(h)-1].number, n.mayUse(now, team), true}}
	}
}

// mayUse is the largest share that an entry may be using.
func (n *account) mayUse(now time.Duration, team string) float64 {
	most := 0.0
	for _, t := range n.held[team] {
		most = max(most, t.mayUse(now-n.asked))
	}
	return most
}

// has tells whether the entry uses the newest share that it was told.
func (n *account) has(team string) bool {
	h := n.held[team]
	return len(h) == 0 || h[len(h)-1].number <= n.inUse
}

func (n *account) newest(team string) float64 {
	if h := n.held[team]; len(h) > 0 {
		return h[len(h)-1].share
	}
	return 0
}

// settle forgets what was told before an answer that the entry uses.
func (n *account) settle(number uint64) {
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
