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
	// settleTime is how long a new leader collects reports before it replaces the allocation of an
	// earlier one.
	settleTime = 2 * time.Second
	// termBits is the number of low bits that number the allocations within a term.
	termBits = 32
)

// Config configures an Allocator.
type Config struct {
	Clock timekeeper.Clock
	// Slots returns the slots in service, by service and region.
	Slots func() map[string]map[string]float64
}

// Allocator holds the allocation of the current leader's term. It is safe for concurrent use.
type Allocator struct {
	config Config
	mutex  sync.Mutex
	term   uint64
	number uint64
	// begun is when the first poll of the term arrived, and inherited is set if entries use the
	// allocation of an earlier term.
	begun     time.Duration
	inherited bool
	// demanded is set once there was demand in this term.
	demanded bool
	stepped  time.Duration
	entries  map[string]report
	// fractions holds the fraction of requests by service, region of the callers and region of the
	// targets.
	fractions map[string]map[string]map[string]float64
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
	return &Allocator{config: c, entries: map[string]report{}}
}

// Answer records the demand in an entry's poll. It returns the allocation for the entry's region,
// or nil if the entry has it already.
func (a *Allocator) Answer(term uint64, r *wire.PollRequest) *wire.Allocation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock.Now()
	if term != a.term {
		a.term, a.number, a.fractions, a.entries = term, 0, nil, map[string]report{}
		a.begun, a.inherited, a.demanded = now, false, false
	}
	if !a.inherited && r.GetAllocation() != 0 && r.GetAllocation()>>termBits != term {
		a.inherited, a.fractions = true, nil
	}
	a.recordReport(now, r)
	if now-a.stepped >= stepInterval {
		a.stepped = now
		a.step(now)
	}
	number := a.term<<termBits + a.number
	if len(a.fractions) == 0 || r.GetAllocation() == number {
		return nil
	}
	out := &wire.Allocation{Number: number}
	for _, service := range slices.Sorted(maps.Keys(a.fractions)) {
		row := a.fractions[service][r.GetMember().GetRegion()]
		for _, region := range slices.Sorted(maps.Keys(row)) {
			out.Parts = append(out.Parts, &wire.RegionPart{Service: service, Region: region, Part: row[region]})
		}
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
	for service, bySlots := range slots {
		d := a.demand(now, service, bySlots)
		known := d.total() >= minDemand
		a.demanded = a.demanded || known
		if a.begin(now, service, d, bySlots) {
			changed = true
		}
		if !known || a.fractions[service] == nil || !isStrained(a.fractions[service], d, bySlots) {
			continue
		}
		for region, row := range balance(d, bySlots) {
			changed = advance(a.fractions[service], region, row) || changed
		}
	}
	if changed {
		a.number++
	}
}

// begin sets the first fractions of a service, and reports whether they changed. They are those for
// even demand, so that entries have them before the first requests arrive. Where entries use the
// allocation of an earlier term, they are those for the demand that the entries report.
func (a *Allocator) begin(now time.Duration, service string, d demand, slots map[string]float64) bool {
	known := a.fractions[service]
	var next map[string]map[string]float64
	switch {
	case a.inherited && known == nil && d.total() >= minDemand && now-a.begun >= settleTime:
		next = balance(d, slots)
	case !a.inherited && (known == nil || !a.demanded):
		next = balance(evenDemand(slots), slots)
	}
	if next == nil || maps.EqualFunc(known, next, maps.Equal) {
		return false
	}
	if a.fractions == nil {
		a.fractions = map[string]map[string]map[string]float64{}
	}
	a.fractions[service] = next
	return true
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

// evenDemand returns the same demand for every region.
func evenDemand(slots map[string]float64) demand {
	out := demand{free: map[string]float64{}}
	for region := range slots {
		out.free[region] = 1
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
