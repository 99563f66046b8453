package receiver

import (
	"maps"
	"math"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

const (
	// maxFractionRate is the largest change of a region's fraction per second. It exceeds the rate at
	// which one leader changes an allocation, so that it binds only when another one takes over.
	maxFractionRate = 0.05
	// maxFractionPause bounds the time that one change may make up for.
	maxFractionPause = time.Second
	// maxIdleLoad is the number of busy slots below which an entry takes an allocation at once.
	maxIdleLoad = 0.01
)

// fractions are the fractions of requests that go to each region, by service. They approach the
// allocation gradually, since requests that move to other targets find them cold at first.
type fractions struct {
	allocated map[string]map[string]float64
	used      map[string]map[string]float64
	changedAt time.Duration
}

// allocate sets the allocation. Services that have no fractions yet take it at once.
func (f *fractions) allocate(a *wire.Allocation) {
	f.allocated = map[string]map[string]float64{}
	for _, p := range a.GetParts() {
		if f.allocated[p.GetService()] == nil {
			f.allocated[p.GetService()] = map[string]float64{}
		}
		f.allocated[p.GetService()][p.GetRegion()] = p.GetPart()
	}
}

// advance moves the used fractions towards the allocation, or sets them to it while the entry is idle.
// It returns new maps, or nil if nothing changed.
func (f *fractions) advance(now time.Duration, idle bool) map[string]map[string]float64 {
	step := maxFractionRate * min(now-f.changedAt, maxFractionPause).Seconds()
	if idle {
		step = 1
	}
	f.changedAt = now
	next, changed := make(map[string]map[string]float64, len(f.allocated)), len(f.used) != len(f.allocated)
	for service, row := range f.allocated {
		next[service] = approach(f.used[service], row, step)
		changed = changed || !maps.Equal(next[service], f.used[service])
	}
	if !changed {
		return nil
	}
	f.used = next
	return next
}

// approach returns a row between two, which differs from the first by at most step.
func approach(from, to map[string]float64, step float64) map[string]float64 {
	distance := 0.0
	for region := range from {
		distance = max(distance, math.Abs(to[region]-from[region]))
	}
	for region := range to {
		distance = max(distance, math.Abs(to[region]-from[region]))
	}
	if len(from) == 0 || distance <= step {
		return maps.Clone(to)
	}
	out := maps.Clone(from)
	for region := range from {
		out[region] += step / distance * (to[region] - from[region])
	}
	for region := range to {
		if _, ok := from[region]; !ok {
			out[region] = step / distance * to[region]
		}
	}
	return out
}
