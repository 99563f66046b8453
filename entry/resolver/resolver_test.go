package resolver

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

func view(n int) *receiver.View {
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
		is.Equal(NewTable(view(3)).Resolve("region0", "a"), []string{"entry0", "entry2", "entry1"})
	})
	t.Run("leaving entries are left out", func(t *testing.T) {
		is := is.New(t)
		v := view(3)
		v.Entries["entry0"].State = wire.EntryState_ENTRY_STATE_LEAVING
		is.Equal(NewTable(v).Resolve("region0", "a"), []string{"entry2", "entry1"})
	})
	t.Run("callers spread evenly", func(t *testing.T) {
		is := is.New(t)
		counts, table := map[string]int{}, NewTable(view(12))
		for i := range 4000 {
			counts[table.Resolve("region0", fmt.Sprint("caller", i))[0]]++
		}
		is.Equal(len(counts), 4) // the entries of the region
		for _, n := range counts {
			is.True(n > 900 && n < 1100)
		}
	})
}

func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 5700} {
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			table := NewTable(view(n))
			b.ReportAllocs()
			for b.Loop() {
				table.Resolve("region0", "caller")
			}
		})
	}
}
