package wire

import (
	"maps"
	"slices"
	"strconv"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
)

// routeItems begins the names of routes' items.
const routeItems = "route"

// Sections joins all that a configuration is compiled from: a text's sections, or where there
// is no text the frame that the availability zones give, and those of the items.
func Sections(text []loader.Section, zones map[string]string, items map[string]*Item) []loader.Section {
	if len(text) == 0 {
		text = parser.Frame(zones)
	}
	return append(text, itemSections(items)...)
}

// itemSections returns the sections of the items that stand, in the order of their names.
// A route's section also carries its item's version.
func itemSections(items map[string]*Item) []loader.Section {
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
