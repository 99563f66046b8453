// Package collector merges the usage that entries report to the leader. It keeps nothing across a
// change of leader, since entries report all windows that are not decided to each leader.
package collector

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Collector holds the reports of the current leader's term. It is safe for concurrent use.
type Collector struct {
	mutex sync.Mutex
	term  uint64
	// decided is the last decided window.
	decided uint64
	runs    map[wire.EntryRun]*run
	// teams and teamNumbers number the names of teams, which the reports share.
	teams       []string
	teamNumbers map[string]int
}

// run holds what one run of an entry reported.
type run struct {
	// sequence is the number of its latest report, and through the time of day at the entry then.
	sequence uint64
	through  time.Time
	// leaving is set once the entry stops as planned; it will not be back.
	leaving bool
	windows map[uint64]windowReport
}

// windowReport holds the counts of one window as of a report.
type windowReport struct {
	sequence uint64
	counts   []teamCount
}

type teamCount struct {
	team  int
	count uint64
}

// NewCollector returns a Collector without reports.
func NewCollector() *Collector {
	return &Collector{runs: map[wire.EntryRun]*run{}, teamNumbers: map[string]int{}}
}

// Add adds the report of a poll, if there is one, and returns the receipt for its entry. Adding a
// report again, or an older one, changes nothing.
func (c *Collector) Add(term uint64, q *wire.PollRequest) *wire.UsageReceipt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reset(term)
	if u := q.GetUsage(); u != nil && term == c.term {
		c.addReport(q.GetMember(), u)
	}
	return &wire.UsageReceipt{Term: term, Decided: c.decided}
}

// Reset drops the reports of earlier terms, and the windows up to the last decided one.
func (c *Collector) Reset(term, decided uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reset(term)
	if decided == c.decided || term != c.term {
		return
	}
	c.decided = decided
	for _, r := range c.runs {
		for n := range r.windows {
			if n <= decided {
				delete(r.windows, n)
			}
		}
	}
}

// IsComplete reports whether the latest report of each entry was sent at the time of day end or later.
// Silent entries may be back soon, unless they were leaving or their latest report was sent before since.
func (c *Collector) IsComplete(entries, silent map[string]*wire.EntryMember, since, end time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range entries {
		r := c.runs[wire.EntryRunOf(m)]
		if r == nil || r.through.Before(end) {
			return false
		}
	}
	for _, m := range silent {
		r := c.runs[wire.EntryRunOf(m)]
		if r != nil && !r.leaving && !r.through.Before(since) && r.through.Before(end) {
			return false
		}
	}
	return true
}

// Counts returns the sum of the counts of a window, by team.
func (c *Collector) Counts(window uint64) map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out := map[string]uint64{}
	for _, r := range c.runs {
		for _, n := range r.windows[window].counts {
			out[c.teams[n.team]] += n.count
		}
	}
	return out
}

// DropEnded drops the runs that have nothing to count any more and belong neither to an entry nor to a
// silent one.
func (c *Collector) DropEnded(entries, silent map[string]*wire.EntryMember) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for n, r := range c.runs {
		if len(r.windows) == 0 && !isRunOf(n, entries[n.Name]) && !isRunOf(n, silent[n.Name]) {
			delete(c.runs, n)
		}
	}
}

func isRunOf(n wire.EntryRun, m *wire.EntryMember) bool {
	return m != nil && wire.EntryRunOf(m) == n
}

// reset drops all reports if the term is newer than theirs.
func (c *Collector) reset(term uint64) {
	if term > c.term {
		c.term, c.runs = term, map[wire.EntryRun]*run{}
	}
}

// addReport replaces the windows of an entry that are newer in the report.
func (c *Collector) addReport(m *wire.EntryMember, u *wire.UsageReport) {
	r := c.runs[wire.EntryRunOf(m)]
	if r == nil {
		r = &run{windows: map[uint64]windowReport{}}
		c.runs[wire.EntryRunOf(m)] = r
	}
	r.leaving = r.leaving || m.GetState() == wire.EntryState_ENTRY_STATE_LEAVING
	if u.GetSequence() > r.sequence {
		r.sequence, r.through = u.GetSequence(), time.UnixMilli(u.GetUnixMilliseconds())
	}
	for _, w := range u.GetWindows() {
		if w.GetNumber() <= c.decided || r.windows[w.GetNumber()].sequence >= u.GetSequence() {
			continue
		}
		p := windowReport{sequence: u.GetSequence(), counts: make([]teamCount, 0, len(w.GetCounts()))}
		for team, count := range w.GetCounts() {
			p.counts = append(p.counts, teamCount{team: c.teamNumber(team), count: count})
		}
		r.windows[w.GetNumber()] = p
	}
}

func (c *Collector) teamNumber(name string) int {
	n, ok := c.teamNumbers[name]
	if !ok {
		n = len(c.teams)
		c.teams = append(c.teams, name)
		c.teamNumbers[name] = n
	}
	return n
}
