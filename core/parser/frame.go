package parser

import (
	"maps"
	"slices"
	"strings"

	"github.com/filberthoist/filberthoist/core/loader"
)

// Frame returns the sections that a configuration made only of items lacks: the section
// configuration, and a section for each region. Zones maps availability zones to regions.
func Frame(zones map[string]string) []loader.Section {
	out := []loader.Section{{Name: "configuration", Keys: []loader.Key{
		{Name: "revision", Value: "1"}, {Name: "deployment", Value: "items"},
	}}}
	byRegion := map[string][]string{}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		byRegion[zones[z]] = append(byRegion[zones[z]], z)
	}
	for _, r := range slices.Sorted(maps.Keys(byRegion)) {
		out = append(out, loader.Section{Name: "region " + r, Keys: []loader.Key{
			{Name: "availabilityZones", Value: strings.Join(byRegion[r], ", ")},
		}})
	}
	return out
}
