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

// learnBrief is how long a new dispatcher waits for the reports of all entries before it
// grants around the silent ones.
const learnBrief = 300 * time.Millisecond

// pool is the ledger of one pool's targets, for one epoch.
type pool struct {
	name    wire.Pool
	epoch   uint64
	ledger  *Ledger
	waiting map[PermitID]chan *Permit
	// unreported holds the entries whose earlier permits are not known yet.
	unreported map[string]bool
	began      time.Duration
	learnUntil time.Duration
	ready      bool
	revision   *parser.Configuration
	// used is the part of the targets that takes work.
	used float64
}

// learn sets up what a dispatcher of a later epoch has to find out first.
func (p *pool) learn(now time.Duration, v *receiver.View) {
	p.began = now
	for n := range v.Entries {
		p.unreported[n] = true
	}
	longest := time.Duration(0)
	for _, r := range v.Configuration.RoutesOf(p.name.Service) {
		longest = max(longest, r.Timeout)
	}
	p.learnUntil = now + longest + timekeeper.SlotGrace
}

// reported notes that an entry told its permits.
func (p *pool) reported(entry string, held []Permit) {
	for _, h := range held {
		p.ledger.Hold(h)
	}
	delete(p.unreported, entry)
}

// mayGrant tells whether enough is known to grant, and keeps slots for what is not.
func (p *pool) mayGrant(now time.Duration) bool {
	if now >= p.learnUntil {
		clear(p.unreported)
	}
	if len(p.unreported) > 0 && now-p.began < learnBrief {
		return false
	}
	p.ledger.Reserve(len(p.unreported))
	return true
}

// useTargets takes the pool's targets from a view, unless it has them already. A small
// share of a move goes to few targets, so that these see the load of a whole move.
func (p *pool) useTargets(now time.Duration, v *receiver.View) {
	c, used := v.Configuration, v.Used(p.name.Service, p.name.Version)
	if c == p.revision && used == p.used {
		return
	}
	p.revision, p.used = c, used
	var list []*parser.Target
	if s := c.Services[p.name.Service]; s != nil {
		for _, t := range s.Targets {
			if t.Region == p.name.Region && t.Version == p.name.Version {
				list = append(list, t)
			}
		}
	}
	p.ledger.SetTargets(now, list[:int(math.Ceil(used*float64(len(list))))])
}

// pump grants what can be granted and hands it to those that wait.
func (p *pool) pump(now time.Duration) {
	if !p.mayGrant(now) {
		return
	}
	for permit := p.ledger.Next(now); permit != nil; permit = p.ledger.Next(now) {
		w := p.waiting[permit.ID]
		if w == nil {
			p.ledger.Release(now, permit.ID, Result{}) // nobody waits for it any more
			continue
		}
		delete(p.waiting, permit.ID)
		w <- permit // has room for one
	}
}

// regionsFor returns the regions that serve a course, the nearest first.
func regionsFor(c *parser.Configuration, s *parser.Service, course handler.Course, home string) []string {
	var out []string
	for _, t := range s.Targets {
		if t.Version == course.Version && t.Region != course.Without && !slices.Contains(out, t.Region) {
			out = append(out, t.Region)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if d := detour(c, home, a) - detour(c, home, b); d != 0 {
			return int(d)
		}
		if a < b {
			return -1
		}
		return 1
	})
	return out
}

// unknownDetour is assumed between regions without a link in the text.
const unknownDetour = 100 * time.Millisecond

// detour returns the time that a trip to a region and back adds.
func detour(c *parser.Configuration, home, region string) time.Duration {
	if home == region {
		return 0
	}
	l := c.Links[parser.NewLinkName(home, region)]
	if l == nil {
		return unknownDetour
	}
	return 2 * l.Delay
}
