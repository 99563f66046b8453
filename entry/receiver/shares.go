package receiver

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// demandInterval is the pause between reports of what teams ask for.
const demandInterval = 500 * time.Millisecond

// shares are the parts of teams' rates that this entry may admit.
type shares struct {
	mutex  sync.Mutex
	number uint64
	byTeam map[string]float64
	// lent are the teams whose tokens are lent; their demand is not reported.
	lent map[string]bool
	// asked is when the last answered poll was sent; the lease counts from it.
	asked time.Duration
	// reportedTo and reportedAt tell the last report of demands.
	reportedTo string
	reportedAt time.Duration
}

// of returns the share of a team; past the lease only a small one is left.
func (s *shares) of(team string, now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(now)
	return s.byTeam[team]
}

// lapse gives up shares whose lease has run out, since control may have given them to
// others meanwhile. They don't come back with the next answer.
func (s *shares) lapse(now time.Duration) {
	if now-s.asked <= timekeeper.ShareLease {
		return
	}
	next := make(map[string]float64, len(s.byTeam))
	for team, share := range s.byTeam {
		next[team] = min(share, timekeeper.SilentShare)
	}
	s.byTeam = next
}

func (s *shares) inUse() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.number
}

// due tells whether a member is to be told the demands: one that was not told before needs
// to know the shares that are in use.
func (s *shares) due(address string, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reportedTo != address || now-s.reportedAt >= demandInterval
}

func (s *shares) demands(rates map[string]float64, now time.Duration) []*wire.TeamDemand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(now)
	var out []*wire.TeamDemand
	for _, team := range slices.Sorted(maps.Keys(rates)) {
		if s.lent[team] && s.byTeam[team] == 0 {
			continue
		}
		out = append(out, &wire.TeamDemand{Team: team, Rate: rates[team], Share: s.byTeam[team]})
	}
	return out
}

// take uses the shares of an answer from now on.
func (s *shares) take(p *wire.PollResponse, start time.Duration, reported bool, address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapse(start)
	s.asked = start
	if reported {
		s.reportedTo, s.reportedAt = address, start
	}
	if p.GetSharesNumber() == 0 {
		return
	}
	next := maps.Clone(s.byTeam)
	if next == nil {
		next = map[string]float64{}
	}
	lent := maps.Clone(s.lent)
	if lent == nil {
		lent = map[string]bool{}
	}
	for _, t := range p.GetShares() {
		next[t.GetTeam()], lent[t.GetTeam()] = t.GetShare(), t.GetLent()
	}
	s.number, s.byTeam, s.lent = p.GetSharesNumber(), next, lent
}

// divide notes that a team's rate is divided now.
func (s *shares) divide(team string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lent[team] {
		s.lent = maps.Clone(s.lent)
		delete(s.lent, team)
	}
}
