// Package allocator decides which regions serve the requests that arrive in each region. A region
// keeps its own requests unless its targets are much busier than the average of all; the excess
// goes to regions with spare capacity. Fractions change slowly, since requests that move to other
// targets find them cold at first.
package allocator

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the allocation.
const (
	// stepInterval is the time between two steps.
	stepInterval = 500 * time.Millisecond
	// maxHomeLoad is the load per slot, as a multiple of the average, up to which a region keeps
	// its requests.
	maxHomeLoad = 1.15
	// maxStep is the largest change of a fraction in one step: 4 % a second.
	maxStep = 0.02
	// deadBand is the difference from the balanced fraction below which nothing changes.
	deadBand = 0.04
	// minStrainedLoad is the fraction of busy slots up to which a region is never strained.
	minStrainedLoad = 0.3
	// minDemand is the number of busy slots of a service below which its demand is ignored.
	minDemand = 1
	// reportExpiry is how long an entry's report is used.
	reportExpiry = 3 * time.Second
	// settleTime is how long the reports of a service's demand are collected before they count. It
	// exceeds the time between two reports of an entry, so that no part of the entries decides.
	settleTime = 2 * time.Second
	// termBits is the number of low bits that number the allocations within a term.
	termBits = 32
)

// Config configures an Allocator.
type Config struct {
	Clock timekeeper.Clock
	// Slots returns the slots in service, by service and region.
	Slots func() map[string]map[string]float64
	// Configuration returns the configuration, which tells how many requests only some regions may
	// serve, or nil while there is none. If it isn't set, all regions may serve all requests.
	Configuration func() *parser.Configuration
}

// Allocator holds the allocation of the current leader's term. It is safe for concurrent use.
type Allocator struct {
	config Config
	mutex  sync.Mutex
	term   uint64
	number uint64
	// inherited is set if entries use the allocation of an earlier term.
	inherited bool
	stepped   time.Duration
	entries   map[string]report
	services  map[string]*service
}

// service is the allocation of one service.
type service struct {
	// fractions holds the fraction of requests by region of the callers and region of the targets.
	fractions map[string]map[string]float64
	// demandedSince is when entries began to report demand; 0 while there is none.
	demandedSince time.Duration
	// settled is set once the demand was known in this term.
	settled bool
}

// report is the demand that an entry reported.
type report struct {
	region   string
	at       time.Duration
	services map[string]*wire.ServiceDemand
}

// demand is the number of slots that the requests for a service keep busy: by the region of their
// callers for those that any region may serve, and by the region that must serve them for all others.
type demand struct {
	free  map[string]float64
	bound map[string]float64
}

func (d demand) total() float64 {
	total := 0.0
	for region := range d.free {
		total += d.free[region] + d.bound[region]
	}
	return total
}

// NewAllocator returns an Allocator without an allocation.
func NewAllocator(c Config) *Allocator {
	return &Allocator{config: c, entries: map[string]report{}, services: map[string]*service{}}
}

// Answer records the demand in an entry's poll. It returns the allocation for the entry's region,
// or nil if the entry has it already.
func (a *Allocator) Answer(term uint64, r *wire.PollRequest) *wire.Allocation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock.Now()
	if term != a.term {
		a.term, a.number, a.inherited = term, 0, false
		a.entries, a.services = map[string]report{}, map[string]*service{}
	}
	if !a.inherited && r.GetAllocation() != 0 && r.GetAllocation()>>termBits != term {
		a.inherited = true
		for _, s := range a.services {
			s.fractions = nil
		}
	}
	a.recordReport(now, r)
	if now-a.stepped >= stepInterval {
		a.stepped = now
		a.step(now)
	}
	number := a.term<<termBits + a.number
	if r.GetAllocation() == number {
		return nil
	}
	out, isEmpty := &wire.Allocation{Number: number}, true
	for _, name := range slices.Sorted(maps.Keys(a.services)) {
		isEmpty = isEmpty && a.services[name].fractions == nil
		row := a.services[name].fractions[r.GetMember().GetRegion()]
		for _, region := range slices.Sorted(maps.Keys(row)) {
			out.Parts = append(out.Parts, &wire.RegionPart{Service: name, Region: region, Part: row[region]})
		}
	}
	if isEmpty {
		return nil
	}
	return out
}

// recordReport records the demand in a poll, if there is any.
func (a *Allocator) recordReport(now time.Duration, r *wire.PollRequest) {
	if len(r.GetServices()) == 0 {
		return
	}
	n := report{region: r.GetMember().GetRegion(), at: now, services: map[string]*wire.ServiceDemand{}}
	for _, s := range r.GetServices() {
		n.services[s.GetService()] = s
	}
	a.entries[r.GetMember().GetName()] = n
}

// step sets the first fractions of each service, and moves those with a strained region towards balance.
func (a *Allocator) step(now time.Duration) {
	slots := a.config.Slots()
	changed := false
	for name, bySlots := range slots {
		s := a.services[name]
		if s == nil {
			s = &service{}
			a.services[name] = s
		}
		d := a.demand(now, name, bySlots)
		known := s.recordDemand(now, d)
		changed = a.begin(name, known, d, bySlots) || changed
		if !known || s.fractions == nil || !isStrained(s.fractions, d, bySlots) {
			continue
		}
		for region, row := range balance(d, bySlots) {
			changed = advance(s.fractions, region, row) || changed
		}
	}
	if changed {
		a.number++
	}
}

// recordDemand records whether there is demand, and reports whether all of it is known.
func (s *service) recordDemand(now time.Duration, d demand) (known bool) {
	switch {
	case d.total() < minDemand:
		s.demandedSince = 0
	case s.demandedSince == 0:
		s.demandedSince = now
	}
	known = s.demandedSince > 0 && now-s.demandedSince >= settleTime
	s.settled = s.settled || known
	return known
}

// begin sets the first fractions of a service, and reports whether they changed. Until demand is known
// they are those for the expected one, so that entries have them before the first requests arrive.
// Where entries use the allocation of an earlier term, they are those for the known demand.
func (a *Allocator) begin(name string, known bool, d demand, slots map[string]float64) bool {
	s := a.services[name]
	var next map[string]map[string]float64
	switch {
	case a.inherited && s.fractions == nil && known:
		next = balance(d, slots)
	case !a.inherited && (s.fractions == nil || !s.settled):
		next = balance(a.expectedDemand(name, slots), slots)
	}
	if next == nil || maps.EqualFunc(s.fractions, next, equalRows) {
		return false
	}
	s.fractions = next
	return true
}

// equalRows reports whether two rows are equal but for rounding.
func equalRows(a, b map[string]float64) bool {
	return maps.EqualFunc(a, b, func(x, y float64) bool { return math.Abs(x-y) < 1e-9 })
}

// demand returns the busy slots of a service, as entries reported them.
func (a *Allocator) demand(now time.Duration, service string, slots map[string]float64) demand {
	out := demand{free: map[string]float64{}, bound: map[string]float64{}}
	for region := range slots {
		out.free[region] = 0
	}
	for name, r := range a.entries {
		if now-r.at > reportExpiry {
			delete(a.entries, name)
			continue
		}
		free := r.services[service].GetLoad()
		for region, load := range r.services[service].GetBound() {
			if _, ok := slots[region]; ok {
				out.bound[region] += load
			}
			free -= load
		}
		out.free[r.region] += max(0, free)
	}
	return out
}

// isStrained reports whether the slots of some region are much busier than the average of all, and
// busier than minStrainedLoad.
func isStrained(fractions map[string]map[string]float64, d demand, slots map[string]float64) bool {
	served, capacity := map[string]float64{}, 0.0
	maps.Copy(served, d.bound)
	for region, load := range d.free {
		capacity += slots[region]
		for other, fraction := range fractions[region] {
			served[other] += load * fraction
		}
	}
	for region, s := range served {
		isMovable := s > d.bound[region]
		if isMovable && s > slots[region]*max(minStrainedLoad, maxHomeLoad*d.total()/max(1, capacity)) {
			return true
		}
	}
	return false
}

// balance returns, by region of the callers and region of the targets, the fraction of the callers'
// free demand that the targets should serve for a balanced load.
func balance(d demand, slots map[string]float64) map[string]map[string]float64 {
	capacity := 0.0
	for region := range d.free {
		capacity += slots[region]
	}
	average := d.total() / max(1, capacity)
	home, spare, total := map[string]float64{}, map[string]float64{}, 0.0
	for region, load := range d.free {
		home[region] = min(load, max(0, maxHomeLoad*average*slots[region]-d.bound[region]))
		spare[region] = max(0, average*slots[region]-d.bound[region]-home[region])
		total += spare[region]
	}
	out := map[string]map[string]float64{}
	for region, load := range d.free {
		row := map[string]float64{region: 1}
		if load > 0 && total-spare[region] > 0 {
			row[region] = home[region] / load
		}
		for other, s := range spare {
			if other != region && total-spare[region] > 0 {
				row[other] = (1 - row[region]) * s / (total - spare[region])
			}
		}
		out[region] = row
	}
	return out
}

// advance moves a row towards the balanced one by at most maxStep, and reports whether it changed.
func advance(fractions map[string]map[string]float64, region string, balanced map[string]float64) bool {
	row := fractions[region]
	if row == nil {
		fractions[region] = maps.Clone(balanced)
		return true
	}
	distance := 0.0
	for other, b := range balanced {
		distance = max(distance, math.Abs(b-row[other]))
	}
	if distance < deadBand {
		return false
	}
	share := min(1, maxStep/distance)
	next := map[string]float64{}
	for other, b := range balanced {
		next[other] = row[other] + share*(b-row[other])
	}
	fractions[region] = next
	return true
}
