package wire

import (
	"maps"
	"slices"
	"strconv"

	"github.com/filberthoist/filberthoist/core/loader"
)

// routeItems begins the names of routes' items.
const routeItems = "route"

// ItemSections returns the sections of the items that stand, in the order of their names.
// A route's section also carries its item's version.
func ItemSections(items map[string]*Item) []loader.Section {
	var out []loader.Section
	for _, n := range slices.Sorted(maps.Keys(items)) {
		t := items[n]
		if t.GetDropped() {
			continue
		}
		s := FromTextSection(t.GetSection())
		if kind, _ := s.Kind(); kind == routeItems {
			s.Keys = append(s.Keys, loader.Key{Name: "itemVersion", Value: strconv.FormatUint(t.GetVersion(), 10)})
		}
		out = append(out, s)
	}
	return out
}
