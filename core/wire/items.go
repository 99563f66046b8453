package wire

import (
	"maps"
	"slices"
	"strconv"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
)

// routeKind is the kind of the sections that define routes.
const routeKind = "route"

// Sections returns every section that a configuration is compiled from: those of the text
// followed by those of the items. Without a text, parser.Frame generates the first ones from
// zones, which maps each availability zone to its region.
func Sections(text []loader.Section, zones map[string]string, items map[string]*Item) []loader.Section {
	if len(text) == 0 {
		text = parser.Frame(zones)
	}
	return append(text, itemSections(items)...)
}

// itemSections returns the sections of the items that are not dropped, sorted by item name.
// The section of a route gets the version of its item as the additional key itemVersion.
func itemSections(items map[string]*Item) []loader.Section {
	var out []loader.Section
	for _, n := range slices.Sorted(maps.Keys(items)) {
		t := items[n]
		if t.GetDropped() {
			continue
		}
		s := FromTextSection(t.GetSection())
		if kind, _ := s.Kind(); kind == routeKind {
			s.Keys = append(s.Keys, loader.Key{Name: "itemVersion", Value: strconv.FormatUint(t.GetVersion(), 10)})
		}
		out = append(out, s)
	}
	return out
}
