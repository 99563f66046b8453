package resolver

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

func newView(n int) *receiver.View {
	v := &receiver.View{Configuration: &parser.Configuration{Links: map[parser.LinkName]*parser.Link{}, Regions: map[string]*parser.Region{"region0": {}}}, Entries: map[string]*wire.EntryMember{}}
	v.Configuration.Links[parser.NewLinkName("region0", "region1")] = &parser.Link{Delay: 20}
	v.Configuration.Links[parser.NewLinkName("region0", "region2")] = &parser.Link{Delay: 10}
	for i := range n {
		name := fmt.Sprint("entry", i)
		v.Entries[name] = &wire.EntryMember{Name: name, Address: name, Region: fmt.Sprint("region", i%3)}
	}
	return v
}

func TestResolve(t *testing.T) {
	t.Run("nearest regions first", func(t *testing.T) {
		is := is.New(t)
		is.Equal(NewTable(newView(3), nil).Resolve("region0", "a"), []string{"entry0", "entry2", "entry1"})
	})
	t.Run("leaving entries are excluded", func(t *testing.T) {
		is := is.New(t)
		v := newView(3)
		v.Entries["entry0"].State = wire.EntryState_ENTRY_STATE_LEAVING
		is.Equal(NewTable(v, nil).Resolve("region0", "a"), []string{"entry2", "entry1"})
	})
	t.Run("callers are located by their address blocks", func(t *testing.T) {
		is := is.New(t)
		v := newView(3)
		v.Configuration.Clients = []*parser.Clients{
			{Region: "region1", Blocks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}},
			{Region: "region2", Blocks: []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16")}},
		}
		r := NewResolver(Config{View: func() *receiver.View { return v }, Region: "region0"})
		for from, want := range map[string]string{"10.2.0.1": "entry1", "10.1.0.1": "entry2", "11.0.0.1": "entry0"} {
			q, w := httptest.NewRequest(http.MethodGet, "/", nil), httptest.NewRecorder()
			q.RemoteAddr = from + ":1"
			r.ServeHTTP(w, q)
			is.True(strings.HasPrefix(w.Body.String(), `{"entries":["`+want+`"`))
		}
	})
	t.Run("callers spread evenly", func(t *testing.T) {
		is := is.New(t)
		counts, table := map[string]int{}, NewTable(newView(12), nil)
		for i := range 4000 {
			counts[table.Resolve("region0", fmt.Sprint("caller", i))[0]]++
		}
		is.Equal(len(counts), 4) // all entries in the region
		for _, n := range counts {
			is.True(n > 900 && n < 1100)
		}
	})
}

// TestStates checks which entries lookups return by the states of all: live ones, isolated ones only
// if there is no live one, and never leaving ones. Entries 0 and 1 are in the caller's zone, 2 and 3
// in its region, 4 and 5 in another region.
func TestStates(t *testing.T) {
	const live, leaving, isolated = wire.EntryState_ENTRY_STATE_LIVE, wire.EntryState_ENTRY_STATE_LEAVING, wire.EntryState_ENTRY_STATE_ISOLATED
	const unknown = wire.EntryState(99)
	cases := []struct {
		name   string
		states [6]wire.EntryState
		// platform are the entries for callers of the platform, resolved those of the product.
		platform, resolved string
	}{
		{"all live", [6]wire.EntryState{}, "0123", "0123"},
		{"one isolated", [6]wire.EntryState{0: isolated}, "123", "12345"},
		{"a zone isolated", [6]wire.EntryState{0: isolated, 1: isolated}, "23", "2345"},
		{"one left in the region", [6]wire.EntryState{isolated, isolated, isolated, live, live, live}, "3", "345"},
		{"a region isolated", [6]wire.EntryState{isolated, isolated, isolated, isolated, live, live}, "45", "45"},
		{"one left elsewhere", [6]wire.EntryState{isolated, isolated, isolated, isolated, isolated, live}, "5", "5"},
		{"all isolated", [6]wire.EntryState{isolated, isolated, isolated, isolated, isolated, isolated}, "0123", "0123"},
		{"all isolated or leaving", [6]wire.EntryState{leaving, isolated, leaving, isolated, isolated, leaving}, "13", "134"},
		{"isolated ones elsewhere only", [6]wire.EntryState{leaving, leaving, leaving, leaving, isolated, isolated}, "45", "45"},
		{"all leaving", [6]wire.EntryState{leaving, leaving, leaving, leaving, leaving, leaving}, "", ""},
		{"a state of a later release", [6]wire.EntryState{0: unknown, 4: unknown}, "123", "1235"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newView(0)
			for i, s := range c.states {
				name := fmt.Sprint(i)
				v.Entries[name] = &wire.EntryMember{Name: name, Address: name, State: s, Region: fmt.Sprint("region", i/4), AvailabilityZone: fmt.Sprint("zone", i/2)}
			}
			checkPlatformEntries(t, v, c.platform)
			checkResolved(t, v, c.resolved)
		})
	}
}

// checkPlatformEntries checks that the addresses for the platform's callers are those in want, with
// the entries of the caller's zone before the others of its region.
func checkPlatformEntries(t *testing.T, v *receiver.View, want string) {
	t.Helper()
	is := is.New(t)
	r := NewResolver(Config{View: func() *receiver.View { return v }})
	got := r.Entries("region0", "zone0", 64)
	for i := 1; i < len(got); i++ {
		is.True(got[i-1] < "2" || got[i] >= "2") // the zone comes first
	}
	slices.Sort(got)
	is.Equal(strings.Join(got, ""), want)
	is.Equal(len(r.Entries("region0", "zone0", 1)), min(1, len(want)))
}

// checkResolved checks that many callers together are given the entries in want, each those of the
// nearest region first.
func checkResolved(t *testing.T, v *receiver.View, want string) {
	t.Helper()
	is := is.New(t)
	table, seen := NewTable(v, nil), map[string]bool{}
	for i := range 100 {
		got := table.Resolve("region0", fmt.Sprint("caller", i))
		is.Equal(len(got), min(maxEntries, len(want)))
		for _, n := range got {
			seen[n] = true
		}
		if len(got) > 0 {
			is.Equal(got[0] < "4", want[0] < '4') // an entry in the region is the first, if there is any
		}
	}
	is.Equal(strings.Join(slices.Sorted(maps.Keys(seen)), ""), want)
	is.Equal(len(table.Resolve("unknown", "caller")), min(maxEntries, len(want))) // a region without a group
}

func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 5700} {
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			table := NewTable(newView(n), nil)
			b.ReportAllocs()
			for b.Loop() {
				table.Resolve("region0", "caller")
			}
		})
	}
}
