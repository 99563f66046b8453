package parser

import (
	"maps"
	"slices"
	"sort"
	"strings"
)

// checkServices reports dependencies on unknown services, versions that no target runs, and
// invalid moves.
func (c *compiler) checkServices() {
	for _, s := range c.sortedServices() {
		for _, d := range s.DependsOn {
			if c.out.Services[d] == nil {
				c.fail("service "+s.Name, "dependsOn", "service "+d+" is not in the text")
			}
		}
		if s.Version != "" && !hasVersion(s, s.Version) {
			c.fail("service "+s.Name, "version", "no target runs version "+s.Version)
		}
	}
	for _, m := range c.out.Moves {
		c.checkMove(m, c.out.Services[m.Service])
	}
}

// checkMove reports a move whose new side has no target, unless its service has no version.
func (c *compiler) checkMove(m *Move, s *Service) {
	switch {
	case s == nil || s.Version == "":
	case m.Regional() && !runsInRegion(s, m.ToRegion):
		c.fail("move "+m.Name, "toRegion", "no target of the service runs in "+m.ToRegion)
	case !m.Regional() && !hasVersion(s, m.To):
		c.fail("move "+m.Name, "to", "no target runs version "+m.To)
	}
}

// runsInRegion reports whether a target in the region runs the version of the service.
func runsInRegion(s *Service, region string) bool {
	return slices.ContainsFunc(s.Targets, func(t *Target) bool { return t.Region == region && t.Version == s.Version })
}

func hasVersion(s *Service, version string) bool {
	return slices.ContainsFunc(s.Targets, func(t *Target) bool { return t.Version == version })
}

// checkCycles reports services that depend on themselves, directly or indirectly.
func (c *compiler) checkCycles() {
	const visiting, done = 1, 2
	state := map[string]int{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		s := c.out.Services[name]
		if s == nil || state[name] == done {
			return
		}
		if state[name] == visiting {
			from := slices.Index(path, name)
			cycle := append(slices.Clone(path[from:]), name)
			c.fail("service "+name, "dependsOn", "cycle: "+strings.Join(cycle, " -> "))
			return
		}
		state[name] = visiting
		path = append(path, name)
		for _, d := range s.DependsOn {
			visit(d)
		}
		path = path[:len(path)-1]
		state[name] = done
	}
	for _, s := range c.sortedServices() {
		visit(s.Name)
	}
}

// checkRoutes reports pairs of routes that match the same requests.
func (c *compiler) checkRoutes() {
	for i, a := range c.out.Routes {
		for _, b := range c.out.Routes[:i] {
			if a.Host == b.Host && a.Path == b.Path && a.Version == b.Version && methodsOverlap(a.Methods, b.Methods) {
				c.fail("route "+b.Name, "path", "route "+a.Name+" takes the same path and method")
			}
		}
	}
}

// methodsOverlap reports whether two lists of methods have one in common.
func methodsOverlap(a, b []string) bool {
	if slices.Contains(a, AnyMethod) || slices.Contains(b, AnyMethod) {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

// checkAddresses reports targets that share an address.
func (c *compiler) checkAddresses() {
	owners := map[string]string{}
	names := slices.Sorted(maps.Keys(c.out.Targets))
	for _, n := range names {
		a := c.out.Targets[n].Address
		if other := owners[a]; other != "" && a != "" {
			c.fail("target "+n, "address", "target "+other+" has the same address")
		}
		owners[a] = n
	}
}

func (c *compiler) sortedServices() []*Service {
	out := make([]*Service, 0, len(c.out.Services))
	for _, s := range c.out.Services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
