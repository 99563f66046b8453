package lender

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// dividedRate is the rate in requests per second and entry from which a team's rate is
	// divided: below, an entry's share often lacks the token that another holds unused.
	dividedRate = 4
	// hysteresis is the factor by which that must be passed to change over, since entries come
	// and go, and each change costs a team what its buckets hold.
	hysteresis = 2
)

// modes tells which teams' tokens are lent, since when; the others' rates are divided. A new
// leader goes on as entries tell that it was before.
type modes struct {
	config Config
	mutex  sync.Mutex
	term   uint64
	teams  map[string]mode
}

type mode struct {
	lent  bool
	since time.Duration
}

func newModes(c Config) *modes {
	return &modes{config: c, teams: map[string]mode{}}
}

// learn takes in what an entry knows of a team from the leader before: divided tells that it has
// a share, lentFor for how many milliseconds it has known that tokens are lent. The first word
// decides, and the latest change counts.
func (m *modes) learn(term uint64, since time.Duration, name string, divided bool, lentFor uint32) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begin(term)
	told := m.config.Clock.Now() - time.Duration(lentFor)*time.Millisecond
	old, known := m.teams[name]
	switch {
	case lentFor > 0 && told > since, lentFor == 0 && !divided:
		return // this leader said so itself, or nothing is known
	case !known:
		m.teams[name] = mode{lent: !divided, since: told}
	case old.lent && lentFor > 0:
		m.teams[name] = mode{lent: true, since: max(old.since, told)}
	}
}

// decide returns whether a team's tokens are lent in a term, and since when.
func (m *modes) decide(term uint64, name string) (since time.Duration, lent bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.begin(term)
	t, now := m.config.Teams()[name], m.config.Clock.Now()
	if t == nil || t.Unlimited {
		delete(m.teams, name)
		return now, false
	}
	old, known := m.teams[name]
	bound := dividedRate * float64(m.config.Entries())
	if known && old.lent {
		bound *= hysteresis
	} else if known {
		bound /= hysteresis
	}
	next := mode{lent: t.Rate < bound, since: old.since}
	if !known || next.lent != old.lent {
		next.since = now
	}
	m.teams[name] = next
	return next.since, next.lent
}

func (m *modes) begin(term uint64) {
	if term != m.term {
		m.term, m.teams = term, map[string]mode{}
	}
}

// known lists the teams that were decided on in this term.
func (m *modes) known() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.teams))
}
