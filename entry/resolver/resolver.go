// Package resolver answers lookups: which entries a caller should use.
package resolver

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/locator"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// maxEntries bounds the number of entries in one response.
const maxEntries = 4

// Config configures a Resolver.
type Config struct {
	View func() *receiver.View
	// Region is the region of this entry, the default for callers that name none and are in no
	// configured block of addresses.
	Region string
}

// Resolver answers lookups.
type Resolver struct {
	config Config
	cached atomic.Pointer[Table]
}

// Response is the response to a lookup.
type Response struct {
	// Entries are the addresses of entries in the order in which to try them.
	Entries []string `json:"entries"`
	// LifetimeSeconds is the time for which the response may be cached.
	LifetimeSeconds float64 `json:"lifetimeSeconds"`
}

// NewResolver returns a Resolver.
func NewResolver(c Config) *Resolver {
	return &Resolver{config: c}
}

// ServeHTTP answers GET requests with the optional query parameters service and region.
func (r *Resolver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	v := r.config.View()
	service := q.URL.Query().Get("service")
	if v.Configuration == nil {
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
		return
	}
	if service != "" && v.Configuration.Services[service] == nil {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	table, caller := r.currentTable(v), callerAddress(q)
	region := q.URL.Query().Get("region")
	if region == "" {
		region = table.Locate(caller, r.config.Region)
	}
	out := Response{
		Entries:         table.Resolve(region, caller.String()+service),
		LifetimeSeconds: v.Configuration.Limits.LookupLifetime.Seconds(),
	}
	if len(out.Entries) == 0 {
		http.Error(w, "no entry is live", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the caller disconnected
}

// callerStates are the states of entries that callers may use. Entries in a later state are used only
// while there are none in an earlier one.
var callerStates = []wire.EntryState{wire.EntryState_ENTRY_STATE_LIVE, wire.EntryState_ENTRY_STATE_ISOLATED}

// Entries returns at most limit addresses for callers of live entries: those in the region, with
// those in the availability zone first, or all others if the region has none. If no entry is live, it
// returns isolated ones in the same way.
func (r *Resolver) Entries(region, zone string, limit int) []string {
	v := r.config.View()
	for _, s := range callerStates {
		if out := nearestEntries(v, s, region, zone); len(out) > 0 {
			return out[:min(len(out), limit)]
		}
	}
	return nil
}

// nearestEntries returns the addresses of the entries in a state: those in the region, with those in
// the availability zone first, or all others if the region has none.
func nearestEntries(v *receiver.View, s wire.EntryState, region, zone string) []string {
	var inZone, inRegion, elsewhere []string
	for _, m := range v.Entries {
		switch {
		case m.GetState() != s:
		case m.GetAvailabilityZone() == zone:
			inZone = append(inZone, m.GetAddress())
		case m.GetRegion() == region:
			inRegion = append(inRegion, m.GetAddress())
		default:
			elsewhere = append(elsewhere, m.GetAddress())
		}
	}
	if out := append(inZone, inRegion...); len(out) > 0 {
		return out
	}
	return elsewhere
}

// Resolve returns the addresses of live entries for a caller, the nearest first: those in its
// region, then the others by delay. At one distance it orders them by rendezvous hashing, so that
// callers spread evenly and the loss of an entry moves only the callers of that entry. If no entry is
// live, it returns isolated ones in the same order.
func (t *Table) Resolve(region, caller string) []string {
	groups, known := t.groups[region]
	if !known {
		groups = t.groupByDistance(region)
	}
	out := make([]string, 0, maxEntries)
	for _, g := range groups {
		out = appendBest(out, g, caller)
		if len(out) == maxEntries {
			break
		}
	}
	return out
}

// Locate returns the region whose configured address blocks contain a caller, or a fallback.
func (t *Table) Locate(caller netip.Addr, fallback string) string {
	if site, ok := t.clients.Find(caller); ok {
		return t.regions[site]
	}
	return fallback
}

// appendBest appends the addresses of the members of a group with the highest weights, up to
// maxEntries in total.
func appendBest(out []string, group []*wire.EntryMember, caller string) []string {
	var best [maxEntries]candidate
	n, capacity := 0, maxEntries-len(out)
	for _, m := range group {
		c := candidate{m, rendezvousWeight(caller, m)}
		i := n
		for i > 0 && best[i-1].weight < c.weight {
			i--
		}
		if i >= capacity {
			continue
		}
		n = min(n+1, capacity)
		copy(best[i+1:n], best[i:n-1])
		best[i] = c
	}
	for _, c := range best[:n] {
		out = append(out, c.member.GetAddress())
	}
	return out
}

// candidate is an entry with its rendezvous weight for one caller.
type candidate struct {
	member *wire.EntryMember
	weight uint64
}

// Table is a view compiled for lookups. It is immutable.
type Table struct {
	view *receiver.View
	// state is the state of the entries in groups.
	state wire.EntryState
	// groups holds the entries for callers grouped by distance, by the region of the caller.
	groups map[string][][]*wire.EntryMember
	// clients maps a caller's address to the index of its region in regions.
	clients *locator.Table
	regions []string
}

// NewTable compiles a view that has a configuration. It reuses the clients of an older table if
// the configuration is the same; old may be nil.
func NewTable(v *receiver.View, old *Table) *Table {
	t := &Table{view: v, state: firstCallerState(v), groups: map[string][][]*wire.EntryMember{}}
	if old != nil && old.view.Configuration == v.Configuration {
		t.clients, t.regions = old.clients, old.regions
	} else {
		t.compileClients(v.Configuration)
	}
	for region := range v.Configuration.Regions {
		t.groups[region] = t.groupByDistance(region)
	}
	return t
}

// firstCallerState returns the first of callerStates that any entry is in, or else the first one.
func firstCallerState(v *receiver.View) wire.EntryState {
	for _, s := range callerStates {
		for _, m := range v.Entries {
			if m.GetState() == s {
				return s
			}
		}
	}
	return callerStates[0]
}

func (t *Table) compileClients(c *parser.Configuration) {
	var blocks []locator.Block
	for _, n := range c.Clients {
		site := slices.Index(t.regions, n.Region)
		if site < 0 {
			site = len(t.regions)
			t.regions = append(t.regions, n.Region)
		}
		for _, p := range n.Blocks {
			blocks = append(blocks, locator.Block{Prefix: p, Site: site})
		}
	}
	clients, err := locator.NewTable(blocks)
	if err != nil {
		clients = &locator.Table{} // unreachable: the parser rejects such blocks; without blocks, Locate returns its fallback
	}
	t.clients = clients
}

// groupByDistance groups the entries for callers by their distance from a region, nearest first.
func (t *Table) groupByDistance(region string) [][]*wire.EntryMember {
	byDistance := map[int64][]*wire.EntryMember{}
	var distances []int64
	for _, m := range t.view.Entries {
		if m.GetState() != t.state {
			continue
		}
		d := distanceTo(t.view.Configuration, region, m)
		if byDistance[d] == nil {
			distances = append(distances, d)
		}
		byDistance[d] = append(byDistance[d], m)
	}
	slices.Sort(distances)
	var out [][]*wire.EntryMember
	for _, d := range distances {
		out = append(out, byDistance[d])
	}
	return out
}

// currentTable returns the table of a view. The first lookup with a new view compiles it.
func (r *Resolver) currentTable(v *receiver.View) *Table {
	t := r.cached.Load()
	if t == nil || t.view != v {
		t = NewTable(v, t)
		r.cached.Store(t)
	}
	return t
}

// unlinkedDistance is the distance to a region without a link, in nanoseconds.
const unlinkedDistance = int64(1e12)

// distanceTo returns 0 within a region, otherwise the delay of the link in nanoseconds plus 1.
func distanceTo(c *parser.Configuration, region string, m *wire.EntryMember) int64 {
	if m.GetRegion() == region {
		return 0
	}
	l := c.Links[parser.NewLinkName(region, m.GetRegion())]
	if l == nil {
		return unlinkedDistance
	}
	return 1 + int64(l.Delay)
}

func rendezvousWeight(caller string, m *wire.EntryMember) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)      // never fails
	_, _ = d.WriteString("\x00")      // never fails
	_, _ = d.WriteString(m.GetName()) // never fails
	return d.Sum64()
}

// callerAddress returns the caller's address, or an invalid one if it can't be parsed.
func callerAddress(q *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(q.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}
