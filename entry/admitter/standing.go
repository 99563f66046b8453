package admitter

import (
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Parameters of what is kept of a service.
const (
	// recentTime and usualTime are the time constants of the recent and the usual rates.
	recentTime = 2 * time.Second
	usualTime  = 20 * time.Second
	// minTeamShare is the share of a service's requests below which a team does not count as surging.
	minTeamShare = 0.05
	// minRate is the rate, in requests per second, below which a fraction is not known.
	minRate = 2
	// maxTracked bounds the number of kinds and of teams that are kept per service.
	maxTracked = 4096
	// workWeight is the weight of a new request in the mean work.
	workWeight = 0.05
)

// tally holds the recent rates of requests and of admitted ones.
type tally struct {
	asked    timekeeper.DecayingRate
	admitted timekeeper.DecayingRate
}

func newTally() tally {
	return tally{asked: timekeeper.DecayingRate{TimeConstant: recentTime}, admitted: timekeeper.DecayingRate{TimeConstant: recentTime}}
}

func (t *tally) record(now time.Duration, admitted bool) {
	t.asked.Add(now, 1)
	if admitted {
		t.admitted.Add(now, 1)
	}
}

// admittedFraction returns 1 if too few requests were seen.
func (t *tally) admittedFraction(now time.Duration) float64 {
	asked := t.asked.At(now)
	if asked < minRate {
		return 1
	}
	return t.admitted.At(now) / asked
}

// kind is one kind of requests at one priority.
type kind struct {
	tally
	priority int
	work     time.Duration
}

// kindKey identifies a kind; a team's priority may differ from the route's.
type kindKey struct {
	name     string
	priority int
}

// team is the demand of one team at a service.
type team struct {
	tally
	usual timekeeper.DecayingRate
}

// service is what the Admitter keeps of one service.
type service struct {
	all      tally
	usual    timekeeper.DecayingRate
	returned timekeeper.DecayingRate
	work     time.Duration
	kinds    map[kindKey]*kind
	teams    map[string]*team
	returns  returns
}

func newService() *service {
	return &service{
		all: newTally(), usual: timekeeper.DecayingRate{TimeConstant: usualTime}, returned: timekeeper.DecayingRate{TimeConstant: recentTime},
		kinds: map[kindKey]*kind{}, teams: map[string]*team{}, returns: returns{},
	}
}

func (s *service) kind(r Request) *kind {
	n := kindKey{r.Kind, r.Priority}
	k := s.kinds[n]
	if k == nil {
		if len(s.kinds) >= maxTracked {
			clear(s.kinds)
		}
		k = &kind{tally: newTally(), priority: r.Priority}
		s.kinds[n] = k
	}
	return k
}

func (s *service) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		if len(s.teams) >= maxTracked {
			clear(s.teams)
		}
		t = &team{tally: newTally(), usual: timekeeper.DecayingRate{TimeConstant: usualTime}}
		s.teams[name] = t
	}
	return t
}

func (s *service) record(now time.Duration, r Request, admitted bool) {
	s.all.record(now, admitted)
	s.usual.Add(now, 1)
	s.kind(r).record(now, admitted)
	t := s.team(r.Team)
	t.record(now, admitted)
	t.usual.Add(now, 1)
}

func (s *service) recordAdmitted(now time.Duration, r Request, processing time.Duration) {
	s.record(now, r, true)
	if r.Returned {
		s.returned.Add(now, 1)
	}
	k := s.kind(r)
	updateMean(&k.work, processing)
	updateMean(&s.work, processing)
}

func updateMean(mean *time.Duration, d time.Duration) {
	if *mean == 0 {
		*mean = d
	}
	*mean += time.Duration(workWeight * float64(d-*mean))
}

func (s *service) standing(now time.Duration, r Request) Standing {
	k, t := s.kind(r), s.team(r.Team)
	out := Standing{
		Admitted: k.admittedFraction(now), ServiceAdmitted: s.all.admittedFraction(now), TeamAdmitted: t.admittedFraction(now),
		UrgentAdmitted: 1, Surge: s.surge(now, t), RelativeWork: 1,
	}
	for _, o := range s.kinds {
		switch {
		case o.priority == r.Priority, o.asked.At(now) < minRate:
		case o.priority < r.Priority:
			out.HasUrgent, out.UrgentAdmitted = true, min(out.UrgentAdmitted, o.admittedFraction(now))
		default:
			out.HasLessUrgent = true
		}
	}
	if s.work > 0 && k.work > 0 {
		out.RelativeWork = float64(k.work) / float64(s.work)
	}
	if rate := s.all.admitted.At(now); rate > 0 {
		out.Returned = s.returned.At(now) / rate
	}
	return out
}

// surge compares shares and not rates, so that a surge of all teams is none of any.
func (s *service) surge(now time.Duration, t *team) float64 {
	all, usual, teamUsual := s.all.asked.At(now), s.usual.At(now), t.usual.At(now)
	if all < minRate || usual == 0 || teamUsual == 0 {
		return 1
	}
	share := t.asked.At(now) / all
	if share < minTeamShare {
		return 1
	}
	return share / (teamUsual / usual)
}
