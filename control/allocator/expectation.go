package allocator

import (
	"slices"

	"github.com/filberthoist/filberthoist/core/parser"
)

// homesPart is the part of a service's requests that the same regions may serve.
type homesPart struct {
	// homes are these regions; empty means all.
	homes []string
	part  float64
}

// homesParts holds one part for each combination of regions.
type homesParts []homesPart

func (p homesParts) add(homes []string, part float64) homesParts {
	i := slices.IndexFunc(p, func(k homesPart) bool { return slices.Equal(k.homes, homes) })
	if i < 0 {
		return append(p, homesPart{homes, part})
	}
	p[i].part += part
	return p
}

// normalized returns parts that add up to 1. Without any, all regions may serve all requests.
func (p homesParts) normalized() homesParts {
	total := 0.0
	for _, k := range p {
		total += k.part
	}
	if total == 0 {
		return homesParts{{nil, 1}}
	}
	for i := range p {
		p[i].part /= total
	}
	return p
}

// expectedDemand returns the demand of a service that is expected before any is known.
func (a *Allocator) expectedDemand(service string, slots map[string]float64) demand {
	var c *parser.Configuration
	if a.config.Configuration != nil {
		c = a.config.Configuration()
	}
	return expectedDemand(c, service, slots)
}

// expectedDemand returns the same demand for every region. The configuration tells how much of it only
// some regions may serve: teams count with their rates, and the routes of a service alike.
func expectedDemand(c *parser.Configuration, service string, slots map[string]float64) demand {
	out := demand{free: map[string]float64{}, bound: map[string]float64{}}
	parts := partsOfService(c, service)
	for region := range slots {
		for _, p := range parts {
			homes := p.homes
			switch {
			case len(homes) == 0:
				out.free[region] += p.part
				continue
			case slices.Contains(homes, region):
				homes = []string{region} // the nearest home serves it
			}
			for _, home := range homes {
				if _, ok := slots[home]; ok {
					out.bound[home] += p.part / float64(len(homes))
				}
			}
		}
		out.free[region] += 0 // every region counts, also without free demand
	}
	return out
}

// partsOfService returns the parts of a service's expected requests.
func partsOfService(c *parser.Configuration, service string) homesParts {
	var out homesParts
	if c != nil {
		teams := partsOfTeams(c)
		for _, r := range c.RoutesOf(service) {
			from := teams
			if r.Open() {
				from = homesParts{{nil, 1}}
			}
			for _, t := range from {
				if homes, ok := commonHomes(r.Homes, t.homes); ok {
					out = out.add(homes, t.part)
				}
			}
		}
	}
	return out.normalized()
}

// partsOfTeams returns the parts of all teams' expected requests. Teams without a limit count like the
// mean of the others.
func partsOfTeams(c *parser.Configuration) homesParts {
	rates, limited := 0.0, 0
	for _, t := range c.Teams {
		if !t.Unlimited {
			rates += t.Rate
			limited++
		}
	}
	usual := 1.0
	if rates > 0 {
		usual = rates / float64(limited)
	}
	var out homesParts
	for _, t := range c.Teams {
		if t.Unlimited {
			out = out.add(t.Homes, usual)
		} else {
			out = out.add(t.Homes, t.Rate)
		}
	}
	return out.normalized()
}

// commonHomes returns the regions that may serve a request of a route and a team; ok is false if there
// are none.
func commonHomes(route, team []string) (homes []string, ok bool) {
	switch {
	case len(route) == 0:
		return team, true
	case len(team) == 0:
		return route, true
	}
	for _, h := range route {
		if slices.Contains(team, h) {
			homes = append(homes, h)
		}
	}
	return homes, len(homes) > 0
}
