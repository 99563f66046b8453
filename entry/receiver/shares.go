package receiver

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// demandInterval is the pause between reports of what teams ask for.
const demandInterval = 500 * time.Millisecond

const (
	// countMargin is the time in which every share follows the number of entries: two reports.
	countMargin = 2 * demandInterval
	// toldChange is the change of a share or part that gets a log line.
	toldChange = 0.1
	// lentTold stands for a share of a team whose tokens are lent.
	lentTold = -1
)

// Shares are the parts of teams' rates that this entry may admit, and until when. The zero
// value has none.
type Shares struct {
	mutex  sync.Mutex
	number uint64
	byTeam map[string]float64
	// lent tells since when a team's tokens are lent; its demand is reported once to each member.
	lent map[string]time.Duration
	// asked is when the last answered poll was sent; the leases count from it.
	asked time.Duration
	// kept is the part of the shares that is left since then.
	kept float64
	// reportedTo and reportedAt tell the last report of demands.
	reportedTo string
	reportedAt time.Duration
	// counts are the numbers of entries seen, the oldest first, as far as any later one is larger.
	counts []entryCount
	// wake is closed with the next change; nil while nobody waits.
	wake chan struct{}
	// told are the shares that log lines told last.
	told map[string]float64
}

// entryCount is a number of entries from a moment on.
type entryCount struct {
	from time.Duration
	n    int
}

// Count notes the number of entries, and returns the least one that was seen in the time in
// which an entry's share may have been given that it still uses.
func (s *Shares) Count(now time.Duration, n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.counts) > 0 && s.counts[len(s.counts)-1].n > n {
		s.counts = s.counts[:len(s.counts)-1]
	}
	if len(s.counts) == 0 || s.counts[len(s.counts)-1].n < n {
		s.counts = append(s.counts, entryCount{now, n})
	}
	for len(s.counts) > 1 && now-s.counts[1].from > timekeeper.ShareLease+countMargin {
		s.counts = s.counts[1:]
	}
	return s.counts[0].n
}

// Of returns the share of a team; past the lease only a part of it is left.
func (s *Shares) Of(team string, now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(now)
	return s.byTeam[team]
}

// lapse gives up shares whose lease has run out, since control may have given them to
// others meanwhile. They don't come back with the next answer.
func (s *Shares) lapse(now time.Duration) {
	part := timekeeper.KeptPart(now - s.asked)
	if part >= s.kept {
		return
	}
	next := make(map[string]float64, len(s.byTeam))
	for team, share := range s.byTeam {
		next[team] = share * part / s.kept
	}
	s.byTeam, s.kept = next, part
}

// InUse returns the number of the last answer whose shares are used.
func (s *Shares) InUse() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.number
}

// Due tells whether a member is to be told the demands: one that was not told before needs
// to know the shares that are in use.
func (s *Shares) Due(address string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reportedTo != address || now-s.reportedAt >= demandInterval
}

// Demands reports to a member what teams asked for here, and the shares in use.
func (s *Shares) Demands(rates map[string]float64, now time.Duration, address string) []*wire.TeamDemand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(now)
	var out []*wire.TeamDemand
	for _, team := range slices.Sorted(maps.Keys(rates)) {
		age := s.lentFor(team, now)
		if age > 0 && s.byTeam[team] == 0 && s.reportedTo == address {
			continue
		}
		out = append(out, &wire.TeamDemand{Team: team, Rate: rates[team], Share: s.byTeam[team], LentMilliseconds: age})
	}
	return out
}

// Take uses the shares of an answer from now on, and returns those that changed much since
// they were last returned, for a log line.
func (s *Shares) Take(p *wire.PollResponse, start time.Duration, reported bool, address string) (changed []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(start)
	s.asked, s.kept = start, 1
	if reported {
		s.reportedTo, s.reportedAt = address, start
	}
	if p.GetSharesNumber() == 0 {
		return nil
	}
	next := maps.Clone(s.byTeam)
	if next == nil {
		next = map[string]float64{}
	}
	lent := maps.Clone(s.lent)
	if lent == nil {
		lent = map[string]time.Duration{}
	}
	for _, t := range p.GetShares() {
		next[t.GetTeam()] = t.GetShare()
		if _, known := lent[t.GetTeam()]; !t.GetLent() {
			delete(lent, t.GetTeam())
		} else if !known {
			lent[t.GetTeam()] = start
		}
		changed = append(changed, s.tell(t)...)
	}
	s.number, s.byTeam, s.lent = p.GetSharesNumber(), next, lent
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
	return changed
}

// Changes is closed when there are newer shares.
func (s *Shares) Changes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

// tell returns a share as text if it differs much from the one told last.
func (s *Shares) tell(t *wire.TeamShare) []string {
	value := t.GetShare()
	if t.GetLent() {
		value = lentTold
	}
	if old, ok := s.told[t.GetTeam()]; ok && math.Abs(old-value) < toldChange {
		return nil
	}
	if s.told == nil {
		s.told = map[string]float64{}
	}
	s.told[t.GetTeam()] = value
	if t.GetLent() {
		return []string{t.GetTeam() + " lent"}
	}
	return []string{fmt.Sprintf("%s %.3f", t.GetTeam(), t.GetShare())}
}

// Divide notes that a team's rate is divided now.
func (s *Shares) Divide(team string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, lent := s.lent[team]; lent {
		s.lent = maps.Clone(s.lent)
		delete(s.lent, team)
	}
}

// LentFor returns how long a team's tokens are known to be lent, in milliseconds; 0 if they
// are not.
func (s *Shares) LentFor(team string, now time.Duration) uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lentFor(team, now)
}

// lentFor is LentFor for callers that hold the mutex.
func (s *Shares) lentFor(team string, now time.Duration) uint32 {
	since, lent := s.lent[team]
	if !lent {
		return 0
	}
	return uint32(min(max(1, (now-since)/time.Millisecond), math.MaxUint32))
}
