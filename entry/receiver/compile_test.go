package receiver

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// newRoutesResponse returns a poll response with a service and n routes to it.
func newRoutesResponse(tb testing.TB, n int) *wire.PollResponse {
	tb.Helper()
	out := &wire.PollResponse{Index: 1, Snapshot: true}
	add := func(name string, keys ...loader.Key) {
		i := &wire.Item{Name: name, Version: 1, Section: wire.ToTextSection(loader.Section{Name: name, Keys: keys})}
		b, err := proto.Marshal(i)
		if err != nil {
			tb.Fatal(err)
		}
		out.Records = append(out.Records, &wire.Record{Key: wire.ItemRecords + name, Value: b, Index: 1})
	}
	add("service lamps", loader.Key{Name: "healthPath", Value: "/healthz"}, loader.Key{Name: "connections", Value: "100"})
	for i := range n {
		add(fmt.Sprint("route r", i), loader.Key{Name: "host", Value: fmt.Sprint("h", i%40, ".example")}, loader.Key{Name: "path", Value: fmt.Sprintf("/p%d/", i)},
			loader.Key{Name: "methods", Value: "*"}, loader.Key{Name: "class", Value: "idempotent"}, loader.Key{Name: "public", Value: "false"},
			loader.Key{Name: "timeout", Value: "1.5s"}, loader.Key{Name: "aim", Value: "300ms"}, loader.Key{Name: "priority", Value: "1"},
			loader.Key{Name: "attempts", Value: "2"}, loader.Key{Name: "affinity", Value: "true"}, loader.Key{Name: "service", Value: "lamps"})
	}
	return out
}

// BenchmarkCompile measures what a configuration change costs an entry, with few and many routes.
func BenchmarkCompile(b *testing.B) {
	zones := map[string]string{"hobart-a": "south"}
	for _, n := range []int{50, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRecords()
			r.merge(newRoutesResponse(b, n))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.compile(1, &View{Configuration: &parser.Configuration{}}, true, zones); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
