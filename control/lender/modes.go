package lender

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minDividedRate is the rate in requests per second and entry from which a team's rate is
	// divided. Below it, an entry's share often lacks the token that another entry holds unused.
	minDividedRate = 4
	// hysteresis is the factor by which a rate has to pass minDividedRate for a switch. Entries
	// join and leave, and each switch costs a team the tokens in its buckets.
	hysteresis = 2
)

// modes records which teams' tokens are lent, and since when; the rates of the others are divided.
// A new leader keeps the modes that entries report from the previous one.
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

// learn applies what an entry reports of a team from the previous leader. divided means that it
// has a share, lentMilliseconds is the time since it learned that tokens are lent. The first report
// decides the mode, and the latest switch its time.
func (m *modes) learn(term uint64, since time.Duration, name string, divided bool, lentMilliseconds uint32) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.startTerm(term)
	lentSince := m.config.Clock.Now() - time.Duration(lentMilliseconds)*time.Millisecond
	old, known := m.teams[name]
	switch {
	case lentMilliseconds > 0 && lentSince > since, lentMilliseconds == 0 && !divided:
		return // this leader decided it itself, or nothing is known
	case !known:
		m.teams[name] = mode{lent: !divided, since: lentSince}
	case old.lent && lentMilliseconds > 0:
		m.teams[name] = mode{lent: true, since: max(old.since, lentSince)}
	}
}

// decide returns whether a team's tokens are lent in a term, and since when.
func (m *modes) decide(term uint64, name string) (since time.Duration, lent bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.startTerm(term)
	t, now := m.config.Teams()[name], m.config.Clock.Now()
	if t == nil || t.Unlimited {
		delete(m.teams, name)
		return now, false
	}
	old, known := m.teams[name]
	bound := minDividedRate * float64(m.config.Entries())
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

func (m *modes) startTerm(term uint64) {
	if term != m.term {
		m.term, m.teams = term, map[string]mode{}
	}
}

// teamNames lists the teams whose mode is known in this term.
func (m *modes) teamNames() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Collect(maps.Keys(m.teams))
}
