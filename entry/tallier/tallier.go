// Package tallier counts the requests that targets began to run, by team and by window of the time of
// day, and reports the counts to control.
package tallier

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

const (
	// reportsPerWindow is the number of reports that an entry sends in the length of a window. An entry
	// that dies takes with it what it counted since the last one.
	reportsPerWindow = 5
	// keptWindows bounds the windows whose counts are kept until control has decided them.
	keptWindows = 64
)

// Config configures a Tallier.
type Config struct {
	// Now returns the time of day.
	Now func() time.Time
	// Window is the length of a window; 0 if usage is not counted.
	Window time.Duration
}

// Tallier holds the counts of the windows that control has not decided yet. It is safe for concurrent
// use. Its counts are totals, so that a report that is lost, repeated or late changes nothing.
type Tallier struct {
	config  Config
	mutex   sync.Mutex
	windows map[uint64]*window
	// sequence is the number of the latest report.
	sequence uint64
	// pending is the latest report, until control has confirmed it, or nil.
	pending *wire.UsageReport
	// term is the term of the leader that confirmed the last report.
	term     uint64
	reported time.Time
	// wanted is set if the last answer had a receipt. Control of an earlier release sends none.
	wanted bool
	// flushing is set once each change is to be reported at once.
	flushing bool
}

// window holds the counts of one window.
type window struct {
	counts map[string]uint64
	// changed is set if the counts changed after the latest report, and confirmed if the leader has the
	// counts as of that report.
	changed   bool
	confirmed bool
}

// NewTallier returns a Tallier without counts.
func NewTallier(c Config) *Tallier {
	return &Tallier{config: c, windows: map[uint64]*window{}}
}

// Enabled reports whether usage is counted.
func (t *Tallier) Enabled() bool { return t.config.Window > 0 }

// Begin counts a request of a team that a target begins to run now. It returns the number of the window,
// for Cancel.
func (t *Tallier) Begin(team string) uint64 {
	n := wire.WindowNumber(t.config.Now(), t.config.Window)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	w := t.windows[n]
	if w == nil {
		w = &window{counts: map[string]uint64{}}
		t.windows[n] = w
		t.dropOldest()
	}
	w.counts[team]++
	w.changed = true
	return n
}

// Cancel takes back a count of Begin, since the target did not run the request.
func (t *Tallier) Cancel(team string, number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if w := t.windows[number]; w != nil && w.counts[team] > 0 {
		w.counts[team]--
		w.changed = true
	}
}

// Report returns the report for the next poll, or nil if none is due or wanted. It holds the windows that the
// leader does not have as they stand.
func (t *Tallier) Report() *wire.UsageReport {
	if !t.Enabled() {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.wanted {
		return nil
	}
	now := t.config.Now()
	age := now.Sub(t.reported)
	if t.pending == nil && !t.flushing && age >= 0 && age < t.config.Window/reportsPerWindow {
		return nil
	}
	t.reported = now
	t.sequence++
	t.pending = &wire.UsageReport{Sequence: t.sequence, UnixMilliseconds: now.UnixMilli()}
	for n, w := range t.windows {
		if w.confirmed && !w.changed {
			continue
		}
		w.changed, w.confirmed = false, false
		u := &wire.UsageWindow{Number: n, Counts: map[string]uint64{}}
		for team, count := range w.counts {
			u.Counts[team] = count
		}
		t.pending.Windows = append(t.pending.Windows, u)
	}
	return t.pending
}

// Confirm notes the answer to the poll that carried the report r, which may be nil. It drops the
// windows that are decided. A leader of another term needs all windows again. An answer without a receipt
// means that reports are not wanted now.
func (t *Tallier) Confirm(r *wire.UsageReport, receipt *wire.UsageReceipt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.wanted = receipt != nil
	if !t.wanted {
		return
	}
	if receipt.GetTerm() != t.term {
		t.term = receipt.GetTerm()
		for _, w := range t.windows {
			w.confirmed = false
		}
		t.reported = time.Time{}
	}
	if r != nil && r == t.pending {
		t.pending = nil
		for _, u := range r.GetWindows() {
			if w := t.windows[u.GetNumber()]; w != nil {
				w.confirmed = true
			}
		}
	}
	for n := range t.windows {
		if n <= receipt.GetDecided() {
			delete(t.windows, n)
		}
	}
}

// Flush makes every further change due for the next poll.
func (t *Tallier) Flush() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.flushing = true
}

// HandedOver reports whether the leader has all counts.
func (t *Tallier) HandedOver() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, w := range t.windows {
		if w.changed || !w.confirmed {
			return false
		}
	}
	return true
}

// Dump returns the counts by window and team.
func (t *Tallier) Dump() any {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	out := map[uint64]map[string]uint64{}
	for n, w := range t.windows {
		out[n] = map[string]uint64{}
		for team, count := range w.counts {
			out[n][team] = count
		}
	}
	return out
}

// dropOldest drops the oldest window if there are more than keptWindows.
func (t *Tallier) dropOldest() {
	if len(t.windows) <= keptWindows {
		return
	}
	var oldest *uint64
	for n := range t.windows {
		if oldest == nil || n < *oldest {
			oldest = &n
		}
	}
	delete(t.windows, *oldest)
}
