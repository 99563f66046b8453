package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// TestMeter checks which part of the load counts as bound to a region.
func TestMeter(t *testing.T) {
	cases := []struct {
		name  string
		homes []string
		bound map[string]float64
	}{
		{"any region", nil, nil},
		{"another region", []string{"north"}, map[string]float64{"north": 10}},
		{"its own and another region", []string{"north", "south"}, map[string]float64{"south": 10}},
		{"two other regions", []string{"north", "west"}, map[string]float64{"north": 5, "west": 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			m := NewMeter(timekeeper.Clock{Now: func() time.Duration { return now }}, "south")
			for range 10_000 { // 100 requests of 100 ms per second
				now += 10 * time.Millisecond
				m.Add("drafts", c.homes, 100*time.Millisecond)
			}
			list := m.Demands()
			is.Equal(len(list), 1)
			is.True(math.Abs(list[0].GetLoad()-10) < 1)
			is.Equal(len(list[0].GetBound()), len(c.bound))
			for region, load := range c.bound {
				is.True(math.Abs(list[0].GetBound()[region]-load) < 1)
			}
		})
	}
}
