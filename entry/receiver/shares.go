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

// demandInterval is the time between reports of teams' request rates.
const demandInterval = 500 * time.Millisecond

const (
	// entryCountMargin is the time within which all shares reflect the number of entries: two
	// reports.
	entryCountMargin = 2 * demandInterval
	// minLoggedChange is the smallest change of a share or fraction that is logged.
	minLoggedChange = 0.1
	// lentLogValue stands for the share of a team whose tokens are lent.
	lentLogValue = -1
)

// Shares holds the fractions of teams' rates that this entry may admit, and their lease. They are
// in use without roles only, where control divides the rates of teams or lends tokens of them.
// The zero value holds none.
type Shares struct {
	mutex sync.Mutex
	// sharesNumber is the number of the last response whose shares are in use.
	sharesNumber uint64
	byTeam       map[string]float64
	// lentSince holds since when a team's tokens are lent. The demand of such a team is reported only
	// to a member that did not receive the last report.
	lentSince map[string]time.Duration
	// polledAt is when the last answered poll was sent; the share leases count from it.
	polledAt time.Duration
	// keptFraction is the fraction of the shares that is left since polledAt.
	keptFraction float64
	// reportedTo and reportedAt are the address and the time of the last report of demands.
	reportedTo string
	reportedAt time.Duration
	// entryCounts are the numbers of entries seen, oldest first and strictly increasing.
	entryCounts []entryCount
	// changed is closed with the next shares; nil while nobody waits.
	changed chan struct{}
	// logged are the shares as last logged.
	logged map[string]float64
}

// entryCount is a number of entries and when it was recorded.
type entryCount struct {
	since   time.Duration
	entries int
}

// LeastEntries records the number of entries. It returns the smallest number seen in the period in
// which a share that is still in use may have been assigned.
func (s *Shares) LeastEntries(now time.Duration, n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.entryCounts) > 0 && s.entryCounts[len(s.entryCounts)-1].entries > n {
		s.entryCounts = s.entryCounts[:len(s.entryCounts)-1]
	}
	if len(s.entryCounts) == 0 || s.entryCounts[len(s.entryCounts)-1].entries < n {
		s.entryCounts = append(s.entryCounts, entryCount{now, n})
	}
	for len(s.entryCounts) > 1 && now-s.entryCounts[1].since > timekeeper.ShareLease+entryCountMargin {
		s.entryCounts = s.entryCounts[1:]
	}
	return s.entryCounts[0].entries
}

// Of returns the share of a team, reduced after its lease expired.
func (s *Shares) Of(team string, now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	return s.byTeam[team]
}

// expire reduces shares whose lease has run out, since control may have assigned them to other
// entries. The next response does not restore them.
func (s *Shares) expire(now time.Duration) {
	fraction := timekeeper.KeptFraction(now - s.polledAt)
	if fraction >= s.keptFraction {
		return
	}
	next := make(map[string]float64, len(s.byTeam))
	for team, share := range s.byTeam {
		next[team] = share * fraction / s.keptFraction
	}
	s.byTeam, s.keptFraction = next, fraction
}

// InUse returns the number of the last response whose shares are in use; 0 if there is none.
func (s *Shares) InUse() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sharesNumber
}

// ReportDue reports whether a poll of a member must report demands. A member that did not receive the
// last report needs one at once, since it lacks the shares that are in use.
func (s *Shares) ReportDue(address string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reportedTo != address || now-s.reportedAt >= demandInterval
}

// Demands returns a report to a member: the teams' request rates and the shares in use.
func (s *Shares) Demands(rates map[string]float64, now time.Duration, address string) []*wire.TeamDemand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
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

// Apply applies the shares of a response to a poll that was sent at start. It returns the shares that
// changed by minLoggedChange or more since they were last returned, as text for the log.
func (s *Shares) Apply(p *wire.PollResponse, start time.Duration, reported bool, address string) (changed []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(start)
	s.polledAt, s.keptFraction = start, 1
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
	lent := maps.Clone(s.lentSince)
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
		changed = append(changed, s.describeChange(t)...)
	}
	s.sharesNumber, s.byTeam, s.lentSince = p.GetSharesNumber(), next, lent
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return changed
}

// Changed returns a channel that is closed when newer shares arrive.
func (s *Shares) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// describeChange returns a share as text if it changed by minLoggedChange or more since it was last
// logged.
func (s *Shares) describeChange(t *wire.TeamShare) []string {
	value := t.GetShare()
	if t.GetLent() {
		value = lentLogValue
	}
	if old, ok := s.logged[t.GetTeam()]; ok && math.Abs(old-value) < minLoggedChange {
		return nil
	}
	if s.logged == nil {
		s.logged = map[string]float64{}
	}
	s.logged[t.GetTeam()] = value
	if t.GetLent() {
		return []string{t.GetTeam() + " lent"}
	}
	return []string{fmt.Sprintf("%s %.3f", t.GetTeam(), t.GetShare())}
}

// MarkDivided records that a team's rate is divided, no longer lent.
func (s *Shares) MarkDivided(team string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, lent := s.lentSince[team]; lent {
		s.lentSince = maps.Clone(s.lentSince)
		delete(s.lentSince, team)
	}
}

// LentFor returns for how long a team's tokens are known to be lent, in milliseconds; 0 if they
// are not.
func (s *Shares) LentFor(team string, now time.Duration) uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lentFor(team, now)
}

// lentFor is LentFor for callers that hold the mutex.
func (s *Shares) lentFor(team string, now time.Duration) uint32 {
	since, lent := s.lentSince[team]
	if !lent {
		return 0
	}
	return uint32(min(max(1, (now-since)/time.Millisecond), math.MaxUint32))
}
