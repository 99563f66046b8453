// Package resolver tells callers which entries to use.
package resolver

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
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
	config Config
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
	region := q.URL.Query().Get("region")
	if region == "" {
		region = r.config.Region
	}
	out := Answer{
		Entries:         Resolve(v, region, callerOf(q)+service),
		LifetimeSeconds: v.Configuration.Limits.LookupLifetime.Seconds(),
	}
	if len(out.Entries) == 0 {
		http.Error(w, "no entry is live", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller has gone
}

// Resolve orders live entries for a caller: those of its region first, then the regions
// by delay; within a region by rendezvous hashing, so that callers spread evenly.
func Resolve(v *receiver.View, region, caller string) []string {
	var live []*wire.EntryMember
	for _, m := range v.Entries {
		if m.GetState() == wire.EntryState_ENTRY_STATE_LIVE {
			live = append(live, m)
		}
	}
	sort.Slice(live, func(i, j int) bool {
		a, b := live[i], live[j]
		if d := distance(v.Configuration, region, a) - distance(v.Configuration, region, b); d != 0 {
			return d < 0
		}
		return weight(caller, a) > weight(caller, b)
	})
	var out []string
	for _, m := range live[:min(len(live), maxEntries)] {
		out = append(out, m.GetAddress())
	}
	return out
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
	return xxhash.Sum64String(caller + "\x00" + m.GetName())
}

func callerOf(q *http.Request) string {
	a, err := netip.ParseAddrPort(q.RemoteAddr)
	if err != nil {
		return q.RemoteAddr
	}
	return a.Addr().String()
}
