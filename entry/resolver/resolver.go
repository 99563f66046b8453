// Package resolver tells callers which entries to use.
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

// maxEntries bounds the entries of one answer.
const maxEntries = 4

// Config sets up a Resolver.
type Config struct {
	View func() *receiver.View
	// Region is that of this entry, for callers that name none.
	Region string
}

// Resolver answers look-ups.
type Resolver struct {
	config   Config
	compiled atomic.Pointer[Table]
}

// Answer is what a look-up returns.
type Answer struct {
	// Entries are addresses in the order to try them.
	Entries []string `json:"entries"`
	// LifetimeSeconds is how long the answer may be kept.
	LifetimeSeconds float64 `json:"lifetimeSeconds"`
}

// NewResolver returns a Resolver.
func NewResolver(c Config) *Resolver {
	return &Resolver{config: c}
}

// ServeHTTP answers GET with the query parameters service and, optionally, region.
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
	table, caller := r.table(v), callerOf(q)
	region := q.URL.Query().Get("region")
	if region == "" {
		region = table.Locate(caller, r.config.Region)
	}
	out := Answer{
		Entries:         table.Resolve(region, caller.String()+service),
		LifetimeSeconds: v.Configuration.Limits.LookupLifetime.Seconds(),
	}
	if len(out.Entries) == 0 {
		http.Error(w, "no entry is live", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller has gone
}

// Entries returns the callers' addresses of live entries for a region and availability
// zone: those of the region, with those of the zone first, or all others if there is none.
func (r *Resolver) Entries(region, zone string, most int) []string {
	var near, inRegion, far []string
	for _, m := range r.config.View().Entries {
		switch {
		case m.GetState() != wire.EntryState_ENTRY_STATE_LIVE:
		case m.GetAvailabilityZone() == zone:
			near = append(near, m.GetAddress())
		case m.GetRegion() == region:
			inRegion = append(inRegion, m.GetAddress())
		default:
			far = append(far, m.GetAddress())
		}
	}
	out := append(near, inRegion...)
	if len(out) == 0 {
		out = far
	}
	return out[:min(len(out), most)]
}

// Resolve orders live entries for a caller: those of its region first, then the regions
// by delay; within a region by rendezvous hashing, so that callers spread evenly and an
// entry's end moves only its own callers.
func (t *Table) Resolve(region, caller string) []string {
	groups, known := t.groups[region]
	if !known {
		groups = t.order(region)
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

// Locate returns the region of a caller by the text's blocks of clients, or a fallback.
func (t *Table) Locate(caller netip.Addr, fallback string) string {
	if site, ok := t.clients.Find(caller); ok {
		return t.sites[site]
	}
	return fallback
}

// appendBest adds the members of a group with the highest weights, as far as there is room.
func appendBest(out []string, group []*wire.EntryMember, caller string) []string {
	var best [maxEntries]choice
	n, room := 0, maxEntries-len(out)
	for _, m := range group {
		c := choice{m, weight(caller, m)}
		i := n
		for i > 0 && best[i-1].weight < c.weight {
			i--
		}
		if i >= room {
			continue
		}
		n = min(n+1, room)
		copy(best[i+1:n], best[i:n-1])
		best[i] = c
	}
	for _, c := range best[:n] {
		out = append(out, c.member.GetAddress())
	}
	return out
}

// choice is an entry with its weight for one caller.
type choice struct {
	member *wire.EntryMember
	weight uint64
}

// Table is a view compiled for look-ups. It never changes.
type Table struct {
	view *receiver.View
	// groups holds the live entries by distance, for callers of each region.
	groups map[string][][]*wire.EntryMember
	// clients finds the number of a caller's region in sites.
	clients *locator.Table
	sites   []string
}

// NewTable compiles a view that has a configuration. The clients of an older table are
// taken over if the text is the same; old may be nil.
func NewTable(v *receiver.View, old *Table) *Table {
	t := &Table{view: v, groups: map[string][][]*wire.EntryMember{}}
	if old != nil && old.view.Configuration == v.Configuration {
		t.clients, t.sites = old.clients, old.sites
	} else {
		t.compileClients(v.Configuration)
	}
	for region := range v.Configuration.Regions {
		t.groups[region] = t.order(region)
	}
	return t
}

func (t *Table) compileClients(c *parser.Configuration) {
	var blocks []locator.Block
	for _, n := range c.Clients {
		site := slices.Index(t.sites, n.Region)
		if site < 0 {
			site = len(t.sites)
			t.sites = append(t.sites, n.Region)
		}
		for _, p := range n.Blocks {
			blocks = append(blocks, locator.Block{Prefix: p, Site: site})
		}
	}
	clients, err := locator.NewTable(blocks)
	if err != nil {
		clients = &locator.Table{} // the parser refuses such blocks; callers go by their entry
	}
	t.clients = clients
}

// order groups the live entries by their distance from a region, the nearest first.
func (t *Table) order(region string) [][]*wire.EntryMember {
	byDistance := map[int64][]*wire.EntryMember{}
	var distances []int64
	for _, m := range t.view.Entries {
		if m.GetState() != wire.EntryState_ENTRY_STATE_LIVE {
			continue
		}
		d := distance(t.view.Configuration, region, m)
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

// table returns the latest view compiled, by the first look-up that meets it.
func (r *Resolver) table(v *receiver.View) *Table {
	t := r.compiled.Load()
	if t == nil || t.view != v {
		t = NewTable(v, t)
		r.compiled.Store(t)
	}
	return t
}

// farAway is the distance of a region without a link, in nanoseconds.
const farAway = int64(1e12)

func distance(c *parser.Configuration, region string, m *wire.EntryMember) int64 {
	if m.GetRegion() == region {
		return 0
	}
	l := c.Links[parser.NewLinkName(region, m.GetRegion())]
	if l == nil {
		return farAway
	}
	return 1 + int64(l.Delay)
}

func weight(caller string, m *wire.EntryMember) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)      // never fails
	_, _ = d.WriteString("\x00")      // never fails
	_, _ = d.WriteString(m.GetName()) // never fails
	return d.Sum64()
}

// callerOf returns the caller's address; it is invalid if there is none.
func callerOf(q *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(q.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr()
}
