package collector

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

func poll(run, sequence, window, count uint64, at time.Time) *wire.PollRequest {
	return &wire.PollRequest{
		Member: &wire.EntryMember{Name: "e", Incarnation: run},
		Usage: &wire.UsageReport{Sequence: sequence, UnixMilliseconds: at.UnixMilli(), Windows: []*wire.UsageWindow{
			{Number: window, Counts: map[string]uint64{"a": count}},
		}},
	}
}

// TestAdd guards against counts that grow or shrink by reports that are repeated or overtaken.
func TestAdd(t *testing.T) {
	is := is.New(t)
	c, at := NewCollector(), time.Unix(100, 0)
	c.Add(1, poll(1, 1, 20, 5, at))
	c.Add(1, poll(1, 3, 20, 7, at))
	c.Add(1, poll(1, 2, 20, 6, at)) // late
	c.Add(1, poll(1, 3, 20, 7, at)) // repeated
	c.Add(1, poll(2, 1, 20, 1, at)) // the entry after a restart
	is.Equal(c.Counts(20), map[string]uint64{"a": 8})
	is.Equal(c.Add(1, &wire.PollRequest{}).GetDecided(), uint64(0))
	c.Reset(1, 20)
	c.Add(1, poll(1, 4, 20, 9, at))
	is.Equal(c.Counts(20), map[string]uint64{}) // decided
	is.Equal(c.Add(1, &wire.PollRequest{}).GetDecided(), uint64(20))
	c.Add(2, poll(1, 5, 21, 3, at))
	c.Add(1, poll(1, 6, 21, 4, at)) // to the leader before
	is.Equal(c.Counts(21), map[string]uint64{"a": 3})
}

func TestIsComplete(t *testing.T) {
	is := is.New(t)
	c, at := NewCollector(), time.Unix(100, 0)
	entries := map[string]*wire.EntryMember{"e": {Name: "e", Incarnation: 2}}
	c.Add(1, poll(1, 1, 20, 5, at.Add(time.Second)))
	is.True(!c.IsComplete(entries, nil, at.Add(-time.Second), at)) // of an earlier run
	c.Add(1, poll(2, 1, 20, 5, at.Add(-time.Millisecond)))
	is.True(!c.IsComplete(entries, nil, at.Add(-time.Second), at))
	c.Add(1, poll(2, 2, 20, 5, at))
	is.True(c.IsComplete(entries, nil, at.Add(-time.Second), at))
	silent := map[string]*wire.EntryMember{"e": {Name: "e", Incarnation: 3}}
	c.Add(1, poll(3, 1, 20, 5, at.Add(-2*time.Second)))
	is.True(c.IsComplete(entries, silent, at.Add(-time.Second), at)) // silent since before
	c.Add(1, poll(3, 2, 20, 5, at.Add(-time.Second)))
	is.True(!c.IsComplete(entries, silent, at.Add(-time.Second), at))
	c.Reset(1, 20)
	c.DropEnded(entries, silent)
	is.Equal(len(c.runs), 2) // the first run ended and has nothing left to count
}

// BenchmarkReports measures what the reports of many entries on one window cost the leader, with 82 teams.
func BenchmarkReports(b *testing.B) {
	const entries, teams = 5700, 82
	counts := map[string]uint64{}
	for i := range teams {
		counts[fmt.Sprint("team", i)] = uint64(100 + i)
	}
	u := &wire.UsageReport{Sequence: 1, UnixMilliseconds: 1e12, Windows: []*wire.UsageWindow{{Number: 20, Counts: counts}}}
	encoded, err := proto.Marshal(u)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var c *Collector
	for b.Loop() {
		c = NewCollector()
		for i := range uint64(entries) {
			q := &wire.PollRequest{Member: &wire.EntryMember{Name: "e", Incarnation: i}, Usage: &wire.UsageReport{}}
			if err := proto.Unmarshal(encoded, q.Usage); err != nil {
				b.Fatal(err)
			}
			c.Add(1, q)
		}
		c.Counts(20)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*entries), "us/report")
	b.ReportMetric(float64(len(encoded)), "bytes/report")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "bytes/entry")
	runtime.KeepAlive(c)
}
