package allocator

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
)

// homedConfiguration has one route, a team with the given homes, and another that any region may serve.
func homedConfiguration(homes []string, rate, otherRate float64) *parser.Configuration {
	s := &parser.Service{Name: "drafts"}
	return &parser.Configuration{
		Routes: []*parser.Route{{Name: "read", Service: s, WeightedServices: []parser.WeightedService{{Service: s, Weight: 1}}}},
		Teams:  map[string]*parser.Team{"homed": {Name: "homed", Rate: rate, Homes: homes}, "other": {Name: "other", Rate: otherRate}},
	}
}

// TestFirstFractionsExpectBoundDemand guards against a region that begins with requests that other
// regions may serve beside those that only it may, and hands them over in the overload that follows.
func TestFirstFractionsExpectBoundDemand(t *testing.T) {
	cases := []struct {
		name  string
		homes []string
		// rate and otherRate are those of a team with homes and of another without.
		rate, otherRate float64
		// free is the demand of each region that any region may serve, and bound all other demand.
		free  float64
		bound map[string]float64
		// home is the fraction that the small region keeps.
		home float64
	}{
		{"no homes", nil, 5, 15, 20, nil, 0.575},
		{"more than the slots of a region", []string{"west"}, 10, 10, 10, map[string]float64{"west": 30}, 0},
		{"some of the slots of a region", []string{"west"}, 2, 38, 19, map[string]float64{"west": 3}, (0.575 - 0.15) / 0.95},
		{"two homes", []string{"north", "south"}, 10, 10, 10, map[string]float64{"north": 15, "south": 15}, 1},
		{"all regions", []string{"north", "south", "west"}, 10, 10, 10, map[string]float64{"north": 10, "south": 10, "west": 10}, 0.15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel()
			m.config.Configuration = func() *parser.Configuration { return homedConfiguration(c.homes, c.rate, c.otherRate) }
			m.play(1, 0, time.Second)
			is.True(math.Abs(m.part("west", "west")-c.home) < 1e-9)
			number := m.latest["west"].GetNumber()
			m.playBound(1, c.free, c.bound, 20*time.Second)
			is.Equal(m.latest["west"].GetNumber(), number) // what was expected changes nothing
		})
	}
}

// TestExpectedDemand checks how the homes of teams and routes add up.
func TestExpectedDemand(t *testing.T) {
	slots := map[string]float64{"south": 36, "north": 24, "west": 12}
	cases := []struct {
		name   string
		change func(c *parser.Configuration)
		free   float64
		bound  map[string]float64
	}{
		{"as configured", func(*parser.Configuration) {}, 0.75, map[string]float64{"west": 0.75}},
		{"a team without a limit", func(c *parser.Configuration) {
			c.Teams["free"] = &parser.Team{Name: "free", Unlimited: true}
		}, 0.8333333, map[string]float64{"west": 0.5}},
		{"only teams without a limit", func(c *parser.Configuration) {
			for _, t := range c.Teams {
				t.Unlimited, t.Rate = true, 0
			}
		}, 0.5, map[string]float64{"west": 1.5}},
		{"an open route", func(c *parser.Configuration) { c.Routes[0].Public = true }, 1, nil},
		{"a route with the same home", func(c *parser.Configuration) { c.Routes[0].Homes = []string{"west"} }, 0, map[string]float64{"west": 3}},
		{"a route with another home", func(c *parser.Configuration) { c.Routes[0].Homes = []string{"north"} }, 0, map[string]float64{"north": 3}},
		{"another route", func(c *parser.Configuration) {
			c.Routes = append(c.Routes, &parser.Route{Name: "write", Service: c.Routes[0].Service, Homes: []string{"south", "north"}})
		}, 3.0 / 7, map[string]float64{"west": 3.0 / 7, "north": 4.5 / 7, "south": 4.5 / 7}},
		{"a home without slots", func(c *parser.Configuration) { c.Teams["homed"].Homes = []string{"east"} }, 0.75, nil},
		{"no teams", func(c *parser.Configuration) { c.Teams = nil }, 1, nil},
		{"no route to the service", func(c *parser.Configuration) { c.Routes = nil }, 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := homedConfiguration([]string{"west"}, 5, 15)
			c.change(n)
			d := expectedDemand(n, "drafts", slots)
			for region := range slots {
				is.True(math.Abs(d.free[region]-c.free) < 1e-6)
				is.True(math.Abs(d.bound[region]-c.bound[region]) < 1e-6)
			}
			is.Equal(len(d.free), len(slots))
		})
	}
	t.Run("no configuration", func(t *testing.T) {
		is.New(t).Equal(expectedDemand(nil, "drafts", slots).free["west"], 1.0)
	})
}
