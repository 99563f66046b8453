package receiver

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

func allocation(parts map[string]float64) *wire.Allocation {
	a := &wire.Allocation{}
	for region, p := range parts {
		a.Parts = append(a.Parts, &wire.RegionPart{Service: "lamps", Region: region, Part: p})
	}
	return a
}

// TestFractions checks that fractions follow the allocations of one leader, and that another
// leader's allocation moves at most 5 % of the requests a second.
func TestFractions(t *testing.T) {
	cases := []struct {
		name     string
		from, to map[string]float64
		// within is the time after which the allocation must be in use.
		within time.Duration
	}{
		{"a small step", map[string]float64{"north": 0.5, "south": 0.5}, map[string]float64{"north": 0.48, "south": 0.52}, 500 * time.Millisecond},
		{"another leader", map[string]float64{"north": 0.3, "south": 0.4, "west": 0.3}, map[string]float64{"north": 0.57, "south": 0.43, "west": 0}, 6500 * time.Millisecond},
		{"a region more", map[string]float64{"north": 1}, map[string]float64{"north": 0.5, "east": 0.5}, 10500 * time.Millisecond},
		{"a region less", map[string]float64{"north": 0.8, "east": 0.2}, map[string]float64{"north": 1}, 4500 * time.Millisecond},
		{"the first", nil, map[string]float64{"north": 0.2, "south": 0.8}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, now := &fractions{}, time.Hour
			f.allocate(allocation(c.from))
			f.advance(now, false)
			f.allocate(allocation(c.to))
			if c.from == nil {
				is.Equal(f.advance(now, false)["lamps"], c.to)
				return
			}
			last := f.used["lamps"]
			for end := now + c.within; now < end; {
				now += 250 * time.Millisecond
				f.advance(now, false)
				sum := 0.0
				for region, p := range f.used["lamps"] {
					is.True(math.Abs(p-last[region]) <= maxFractionRate/4+1e-9)
					sum += p
				}
				is.True(math.Abs(sum-1) < 1e-9)
				last = f.used["lamps"]
			}
			for region, p := range c.to {
				is.True(math.Abs(last[region]-p) < 1e-9)
			}
			is.True(f.advance(now+time.Second, false) == nil) // nothing changes any more
		})
	}
	t.Run("after a pause", func(t *testing.T) {
		is := is.New(t)
		f := &fractions{}
		f.allocate(allocation(map[string]float64{"north": 1}))
		f.advance(time.Hour, false)
		f.allocate(allocation(map[string]float64{"south": 1}))
		f.advance(2*time.Hour, false)
		is.True(f.used["lamps"]["south"] <= maxFractionRate+1e-9)
	})
	t.Run("idle", func(t *testing.T) {
		is := is.New(t)
		f := &fractions{}
		f.allocate(allocation(map[string]float64{"north": 1}))
		f.advance(time.Hour, false)
		f.allocate(allocation(map[string]float64{"south": 1}))
		is.Equal(f.advance(time.Hour, true)["lamps"]["south"], 1.0)
	})
	t.Run("another service", func(t *testing.T) {
		is := is.New(t)
		f := &fractions{}
		f.allocate(allocation(map[string]float64{"north": 1}))
		f.advance(time.Hour, false)
		a := allocation(map[string]float64{"north": 1})
		a.Parts = append(a.Parts, &wire.RegionPart{Service: "bills", Region: "south", Part: 1})
		f.allocate(a)
		is.Equal(f.advance(time.Hour, false)["bills"]["south"], 1.0)
	})
}
