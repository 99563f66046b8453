package resolver

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
