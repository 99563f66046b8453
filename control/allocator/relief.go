package allocator

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the relief.
const (
	// minStrainedLoad is the fraction of busy slots up to which a region is never strained.
	minStrainedLoad = 0.3
	// peakTimeConstant is the time constant with which the peak of demand decays.
	peakTimeConstant = 5 * time.Minute
	// maxReturnLoad is the load up to which a region takes its own requests back, as a fraction of the
	// one above which it is strained.
	maxReturnLoad = 0.9
)

// relieve returns the rows that relieve strained regions of a service and change the given ones as
// little as possible. What a strained region can't serve goes to regions that have room. If none is
// strained, regions take their own requests back as far as they have room at the peak of demand. It also
// returns the largest change of a fraction in one step.
func relieve(fractions map[string]map[string]float64, now, peak demand, slots map[string]float64) (map[string]map[string]float64, float64) {
	regions := slices.Sorted(maps.Keys(now.free))
	r := newRelief(fractions, now, slots)
	for _, region := range regions {
		r.shed(region)
	}
	if len(r.excess) > 0 {
		r.place()
		return r.rows(), maxStep
	}
	r = newRelief(fractions, peak, slots)
	for _, region := range regions {
		r.takeBack(region)
	}
	return r.rows(), maxReturnStep
}

// relief is a distribution of a service's demand that is being changed.
type relief struct {
	demand demand
	// parts holds the free demand by region of the callers and region of the targets.
	parts map[string]map[string]float64
	// served holds the demand that each region's targets serve, bound demand included, and limits the
	// one above which the region is strained.
	served map[string]float64
	limits map[string]float64
	// excess holds the demand of each region's callers that strained regions don't serve any more.
	excess map[string]float64
}

func newRelief(fractions map[string]map[string]float64, d demand, slots map[string]float64) *relief {
	r := &relief{demand: d, parts: map[string]map[string]float64{}, served: map[string]float64{}, limits: map[string]float64{}, excess: map[string]float64{}}
	maps.Copy(r.served, d.bound)
	capacity := 0.0
	for region, load := range d.free {
		capacity += slots[region]
		r.parts[region] = map[string]float64{}
		left := load
		for other, fraction := range fractions[region] {
			if _, ok := d.free[other]; ok {
				r.parts[region][other] = load * fraction
				left -= load * fraction
			}
		}
		r.parts[region][region] += max(0, left) // nobody else serves it yet, or no longer
		for other, part := range r.parts[region] {
			r.served[other] += part
		}
	}
	for region := range d.free {
		r.limits[region] = slots[region] * max(minStrainedLoad, maxHomeLoad*d.total()/max(1, capacity))
	}
	return r
}

// takeBack moves demand of a region's callers from other regions to their own, as far as it has room.
func (r *relief) takeBack(region string) {
	row, away := r.parts[region], r.demand.free[region]-r.parts[region][region]
	if away <= 0 {
		return
	}
	back := min(away, max(0, maxReturnLoad*r.limits[region]-r.served[region]))
	for other, load := range row {
		if other != region {
			row[other] -= load * back / away
			r.served[other] -= load * back / away
		}
	}
	row[region] += back
	r.served[region] += back
}

// shed takes demand from a region's targets down to its limit, the same fraction from all callers. What
// exceeds the limit by less than the dead band stays, so that it doesn't keep others from taking demand back.
func (r *relief) shed(region string) {
	free := r.served[region] - r.demand.bound[region]
	over := min(free, r.served[region]-r.limits[region])
	if over <= deadBand*free {
		return
	}
	for from, row := range r.parts {
		r.excess[from] += row[region] * over / free
		row[region] -= row[region] * over / free
	}
	r.served[region] -= over
}

// place distributes the excess over the regions that have room, in proportion to it.
func (r *relief) place() {
	room, total := map[string]float64{}, 0.0
	for region, limit := range r.limits {
		room[region] = max(0, limit-r.served[region])
		total += room[region]
	}
	for from, excess := range r.excess {
		for region := range r.limits {
			if total > 0 {
				r.parts[from][region] += excess * room[region] / total
			}
		}
		if total == 0 {
			r.parts[from][from] += excess
		}
	}
}

// rows returns the fractions of the demand of each region's callers.
func (r *relief) rows() map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for region, load := range r.demand.free {
		if load <= 0 {
			continue // without demand, the row stays
		}
		out[region] = map[string]float64{}
		for other, part := range r.parts[region] {
			out[region][other] = max(0, part/load)
		}
	}
	return out
}

// recordPeak raises the peak of demand to the present one, and lets it decay by a step's time.
func recordPeak(peak, now demand) demand {
	kept := math.Exp(-float64(stepInterval) / float64(peakTimeConstant))
	return demand{free: peakLoads(peak.free, now.free, kept), bound: peakLoads(peak.bound, now.bound, kept)}
}

func peakLoads(peak, now map[string]float64, kept float64) map[string]float64 {
	out := map[string]float64{}
	for region, load := range now {
		out[region] = max(load, kept*peak[region])
	}
	return out
}
