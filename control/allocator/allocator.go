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
	region string
	at     time.Duration
	// loads is the number of slots that the requests keep busy, by service.
	loads map[string]float64
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
	n := report{region: r.GetMember().GetRegion(), at: now, loads: map[string]float64{}}
	for _, s := range r.GetServices() {
		n.loads[s.GetService()] = s.GetLoad()
	}
	a.entries[r.GetMember().GetName()] = n
}

// step moves the fractions of each service with a strained region towards balance.
func (a *Allocator) step(now time.Duration) {
	slots := a.config.Slots()
	changed := false
	for service, bySlots := range slots {
		demand := a.demand(now, service, bySlots)
		a.demanded = a.demanded || demand != nil
		if a.begin(now, service, demand, bySlots) {
			changed = true
		}
		if demand == nil || a.fractions[service] == nil || !isStrained(a.fractions[service], demand, bySlots) {
			continue
		}
		for region, row := range Balance(demand, bySlots) {
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
func (a *Allocator) begin(now time.Duration, service string, demand, slots map[string]float64) bool {
	known := a.fractions[service]
	var next map[string]map[string]float64
	switch {
	case a.inherited && known == nil && demand != nil && now-a.begun >= settleTime:
		next = Balance(demand, slots)
	case !a.inherited && (known == nil || !a.demanded):
		next = Balance(evenDemand(slots), slots)
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

// demand returns the busy slots of a service by region, as entries reported them, or nil if there
// are fewer than minDemand.
func (a *Allocator) demand(now time.Duration, service string, slots map[string]float64) map[string]float64 {
	out, total := map[string]float64{}, 0.0
	for region := range slots {
		out[region] = 0
	}
	for name, r := range a.entries {
		if now-r.at > reportExpiry {
			delete(a.entries, name)
			continue
		}
		out[r.region] += r.loads[service]
		total += r.loads[service]
	}
	if total < minDemand {
		return nil
	}
	return out
}

// evenDemand returns the same demand for every region.
func evenDemand(slots map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for region := range slots {
		out[region] = 1
	}
	return out
}

// isStrained reports whether the slots of some region are much busier than the average of all, and
// busier than minStrainedLoad.
func isStrained(fractions map[string]map[string]float64, demand, slots map[string]float64) bool {
	served, load, capacity := map[string]float64{}, 0.0, 0.0
	for region, d := range demand {
		load += d
		capacity += slots[region]
		for other, fraction := range fractions[region] {
			served[other] += d * fraction
		}
	}
	for region, s := range served {
		if s > slots[region]*max(minStrainedLoad, maxHomeLoad*load/max(1, capacity)) {
			return true
		}
	}
	return false
}

// Balance returns, by region of the callers and region of the targets, the fraction of the callers'
// demand that the targets should serve for a balanced load.
func Balance(demand, slots map[string]float64) map[string]map[string]float64 {
	load, capacity := 0.0, 0.0
	for region, d := range demand {
		load += d
		capacity += slots[region]
	}
	average := load / max(1, capacity)
	home, spare, total := map[string]float64{}, map[string]float64{}, 0.0
	for region, d := range demand {
		home[region] = min(d, maxHomeLoad*average*slots[region])
		spare[region] = max(0, average*slots[region]-home[region])
		total += spare[region]
	}
	out := map[string]map[string]float64{}
	for region, d := range demand {
		row := map[string]float64{region: 1}
		if d > 0 {
			row[region] = home[region] / d
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
