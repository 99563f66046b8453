package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// maxReportWait is how long a new dispatcher waits for the reports of all entries. After that
// it grants permits, but keeps slots free for the entries that have not reported.
const maxReportWait = 300 * time.Millisecond

// pool is a dispatcher's state of one pool during one epoch.
type pool struct {
	name      wire.Pool
	epoch     uint64
	scheduler *SlotScheduler
	waiting   map[PermitID]chan *Permit
	// unreported holds the entries whose permits from earlier epochs are not known yet.
	unreported    map[string]bool
	startedAt     time.Duration
	recoveryEnd   time.Duration
	ready         bool
	configuration *parser.Configuration
	// usedFraction is the fraction of the targets that may get work.
	usedFraction float64
}

// startRecovery marks the permits of every entry as unknown. Recovery ends when all entries
// have reported or when every permit of an earlier epoch has expired.
func (p *pool) startRecovery(now time.Duration, v *receiver.View) {
	p.startedAt = now
	for n := range v.Entries {
		p.unreported[n] = true
	}
	maxTimeout := time.Duration(0)
	for _, r := range v.Configuration.RoutesOf(p.name.Service) {
		maxTimeout = max(maxTimeout, r.Timeout)
	}
	p.recoveryEnd = now + maxTimeout + timekeeper.SlotGrace
}

// restoreHeld adds the permits that an entry holds and marks the entry as reported.
func (p *pool) restoreHeld(entry string, held []Permit) {
	for _, h := range held {
		p.scheduler.Restore(h)
	}
	delete(p.unreported, entry)
}

// mayGrant reports whether permits may be granted now. It has the scheduler keep one slot of each
// target free per entry that has not reported.
func (p *pool) mayGrant(now time.Duration) bool {
	if now >= p.recoveryEnd {
		clear(p.unreported)
	}
	if len(p.unreported) > 0 && now-p.startedAt < maxReportWait {
		return false
	}
	p.scheduler.Reserve(len(p.unreported))
	return true
}

// updateTargets sets the pool's targets from a view, if they may have changed. A version with a
// small share of a move uses few targets, so that these get the load of a complete move.
func (p *pool) updateTargets(now time.Duration, v *receiver.View) {
	c, usedFraction := v.Configuration, v.ActiveFraction(p.name.Service, p.name.Version)
	if c == p.configuration && usedFraction == p.usedFraction {
		return
	}
	p.configuration, p.usedFraction = c, usedFraction
	var list []*parser.Target
	if s := c.Services[p.name.Service]; s != nil {
		for _, t := range s.Targets {
			if t.Region == p.name.Region && t.Version == p.name.Version {
				list = append(list, t)
			}
		}
	}
	p.scheduler.SetTargets(now, list[:int(math.Ceil(usedFraction*float64(len(list))))])
}

// grantWaiting grants as many permits as possible and sends them to the waiting calls.
func (p *pool) grantWaiting(now time.Duration) {
	if !p.mayGrant(now) {
		return
	}
	for permit := p.scheduler.Next(now); permit != nil; permit = p.scheduler.Next(now) {
		w := p.waiting[permit.ID]
		if w == nil {
			p.scheduler.Release(now, permit.ID, Result{}) // the call has ended
			continue
		}
		delete(p.waiting, permit.ID)
		w <- permit // the channel has capacity for one permit
	}
}

// regionsByDelay returns the regions with targets for a selection, nearest to home first.
func regionsByDelay(c *parser.Configuration, s *parser.Service, selection handler.Selection, home string) []string {
	var out []string
	for _, t := range s.Targets {
		if t.Version == selection.Version && t.Region != selection.ExcludedRegion && !slices.Contains(out, t.Region) {
			out = append(out, t.Region)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if d := roundTrip(c, home, a) - roundTrip(c, home, b); d != 0 {
			return int(d)
		}
		if a < b {
			return -1
		}
		return 1
	})
	return out
}

// defaultRoundTrip is assumed between regions for which the text has no link.
const defaultRoundTrip = 100 * time.Millisecond

// roundTrip returns the network round-trip time between two regions.
func roundTrip(c *parser.Configuration, home, region string) time.Duration {
	if home == region {
		return 0
	}
	l := c.Links[parser.NewLinkName(home, region)]
	if l == nil {
		return defaultRoundTrip
	}
	return 2 * l.Delay
}
