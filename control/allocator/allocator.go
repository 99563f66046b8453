// Package allocator says which regions serve each region's requests. A region keeps its own
// as long as its targets are not much busier than all on average; the rest goes where there
// is room. Parts change slowly, since what moves is cold at first.
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
	// stepInterval is the pause between two steps.
	stepInterval = 500 * time.Millisecond
	// homeLoad is the load per slot, against the average, up to which a region keeps its
	// requests.
	homeLoad = 1.15
	// longestStep is the largest change of a part in one step: 4 % a second.
	longestStep = 0.02
	// deadBand is the difference from the best part that is left alone.
	deadBand = 0.04
	// easyLoad is the part of a region's slots up to which nothing is moved for its sake.
	easyLoad = 0.3
	// leastLoad is the number of busy slots of a service below which the demand says nothing.
	leastLoad = 1
	// silence is how long an entry's report counts.
	silence = 3 * time.Second
	// termBits leaves room below a term for the allocations of its leader.
	termBits = 32
)

// Config sets up an Allocator.
type Config struct {
	Clock timekeeper.Clock
	// Slots are the slots that stand, by service and region.
	Slots func() map[string]map[string]float64
}

// Allocator holds the allocation of this leader's term. It is safe for concurrent use.
type Allocator struct {
	config  Config
	mutex   sync.Mutex
	term    uint64
	number  uint64
	stepped time.Duration
	entries map[string]report
	// parts are by service, region of the callers and region of the targets.
	parts map[string]map[string]map[string]float64
}

// report is what an entry was asked for.
type report struct {
	region string
	at     time.Duration
	// loads are the slots that the requests keep busy, by service.
	loads map[string]float64
}

// NewAllocator returns an Allocator without an allocation.
func NewAllocator(c Config) *Allocator {
	return &Allocator{config: c, entries: map[string]report{}}
}

// Answer takes in an entry's poll and returns the allocation for its region if it has
// another one.
func (a *Allocator) Answer(term uint64, r *wire.PollRequest) *wire.Allocation {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock.Now()
	if term != a.term {
		a.term, a.number, a.parts, a.entries = term, 0, nil, map[string]report{}
	}
	a.note(now, r)
	if now-a.stepped >= stepInterval {
		a.stepped = now
		a.step(now)
	}
	number := a.term<<termBits + a.number
	if a.number == 0 || r.GetAllocation() == number {
		return nil
	}
	out := &wire.Allocation{Number: number}
	for _, service := range slices.Sorted(maps.Keys(a.parts)) {
		row := a.parts[service][r.GetMember().GetRegion()]
		for _, region := range slices.Sorted(maps.Keys(row)) {
			out.Parts = append(out.Parts, &wire.RegionPart{Service: service, Region: region, Part: row[region]})
		}
	}
	return out
}

func (a *Allocator) note(now time.Duration, r *wire.PollRequest) {
	if len(r.GetServices()) == 0 {
		return
	}
	n := report{region: r.GetMember().GetRegion(), at: now, loads: map[string]float64{}}
	for _, s := range r.GetServices() {
		n.loads[s.GetService()] = s.GetLoad()
	}
	a.entries[r.GetMember().GetName()] = n
}

// step moves every part towards its best value.
func (a *Allocator) step(now time.Duration) {
	slots := a.config.Slots()
	changed := false
	for service, bySlots := range slots {
		demand := a.demand(now, service, bySlots)
		if demand == nil {
			continue
		}
		if a.parts == nil {
			a.parts = map[string]map[string]map[string]float64{}
		}
		if a.parts[service] == nil {
			a.parts[service] = Best(even(bySlots), bySlots)
			changed = true
		}
		if !strained(a.parts[service], demand, bySlots) {
			continue
		}
		for region, row := range Best(demand, bySlots) {
			changed = advance(a.parts[service], region, row) || changed
		}
	}
	if changed {
		a.number++
	}
}

// demand sums up the entries' reports; nil if they are too few to say anything.
func (a *Allocator) demand(now time.Duration, service string, slots map[string]float64) map[string]float64 {
	out, total := map[string]float64{}, 0.0
	for region := range slots {
		out[region] = 0
	}
	for name, r := range a.entries {
		if now-r.at > silence {
			delete(a.entries, name)
			continue
		}
		out[r.region] += r.loads[service]
		total += r.loads[service]
	}
	if total < leastLoad {
		return nil
	}
	return out
}

func even(slots map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for region := range slots {
		out[region] = 1
	}
	return out
}

// strained tells whether a region's slots are much busier than all on average, and busy
// enough to matter.
func strained(parts map[string]map[string]float64, demand, slots map[string]float64) bool {
	served, load, room := map[string]float64{}, 0.0, 0.0
	for region, d := range demand {
		load += d
		room += slots[region]
		for other, part := range parts[region] {
			served[other] += d * part
		}
	}
	for region, s := range served {
		if s > slots[region]*max(easyLoad, homeLoad*load/max(1, room)) {
			return true
		}
	}
	return false
}

// Best returns the parts of each region's demand that the regions should serve.
func Best(demand, slots map[string]float64) map[string]map[string]float64 {
	load, room := 0.0, 0.0
	for region, d := range demand {
		load += d
		room += slots[region]
	}
	average := load / max(1, room)
	home, spare, total := map[string]float64{}, map[string]float64{}, 0.0
	for region, d := range demand {
		home[region] = min(d, homeLoad*average*slots[region])
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

// advance moves a row towards the best one and tells whether it moved.
func advance(parts map[string]map[string]float64, region string, best map[string]float64) bool {
	row := parts[region]
	if row == nil {
		parts[region] = maps.Clone(best)
		return true
	}
	far := 0.0
	for other, b := range best {
		far = max(far, math.Abs(b-row[other]))
	}
	if far < deadBand {
		return false
	}
	share := min(1, longestStep/far)
	next := map[string]float64{}
	for other, b := range best {
		next[other] = row[other] + share*(b-row[other])
	}
	parts[region] = next
	return true
}
