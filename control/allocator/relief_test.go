package allocator

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

type rows = map[string]map[string]float64

// TestRelieve checks which demand moves when one region is strained, or has room again.
func TestRelieve(t *testing.T) {
	slots := map[string]float64{"south": 50, "north": 40, "west": 10}
	home := rows{"south": {"south": 1}, "north": {"north": 1}, "west": {"west": 0.4, "north": 0.6}}
	cases := []struct {
		name      string
		fractions rows
		demand    demand
		want      rows
	}{
		{"nobody is strained", home, demand{free: map[string]float64{"south": 29, "north": 15, "west": 16}}, home},
		{"a region sheds what it can't serve", home, demand{free: map[string]float64{"south": 40, "north": 6, "west": 14}},
			rows{"south": {"south": 0.863, "north": 0.125, "west": 0.012}, "north": home["north"], "west": home["west"]}},
		{"its targets shed the same of all callers", home, demand{free: map[string]float64{"south": 14, "north": 32, "west": 14}},
			rows{"south": home["south"], "north": {"north": 0.683, "south": 0.298, "west": 0.019}, "west": {"west": 0.411, "north": 0.41, "south": 0.179}}},
		{"a region with room takes its requests back", home, demand{free: map[string]float64{"south": 30, "north": 22, "west": 8}},
			rows{"south": home["south"], "north": home["north"], "west": {"west": 0.776, "north": 0.224}}},
		{"requests that only a region may serve come first", home, demand{free: map[string]float64{"south": 26, "north": 20, "west": 8}, bound: map[string]float64{"west": 6}},
			rows{"south": home["south"], "north": home["north"], "west": {"west": 0.113, "north": 0.671, "south": 0.216}}},
		{"a region without targets any more", rows{"south": {"south": 0.5, "east": 0.5}, "north": {"north": 1}, "west": {"west": 1}},
			demand{free: map[string]float64{"south": 33, "north": 22, "west": 5}}, rows{"south": {"south": 1}, "north": {"north": 1}, "west": {"west": 1}}},
		{"a region with its first targets", rows{"south": {"south": 1}, "north": {"north": 1}},
			demand{free: map[string]float64{"south": 33, "north": 22, "west": 5}}, rows{"south": {"south": 1}, "north": {"north": 1}, "west": {"west": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _ := relieve(c.fractions, c.demand, c.demand, slots)
			for from, row := range got {
				checkSumsToOne(t, row)
				for to, part := range row {
					if math.Abs(part-c.want[from][to]) > 0.01 {
						t.Errorf("%s to %s: %.3f, want %.3f", from, to, part, c.want[from][to])
					}
				}
			}
		})
	}
}

// TestWaveRoundTheRegions simulates demand that moves round the regions and strains each in turn. Once each
// has shed what it can't serve at its peak, few requests of the small region may move between the others,
// whose targets would find their objects cold.
func TestWaveRoundTheRegions(t *testing.T) {
	const period = 36 * time.Second
	is := is.New(t)
	m := newModel()
	m.play(1, 0, time.Second)
	begun, before, moved := m.now, -1.0, 0.0
	for ; m.now < begun+2*period; m.now += 250 * time.Millisecond {
		for i, region := range m.order {
			phase := float64(m.now-begun)/float64(period) + float64(i)/3
			m.poll(1, region, &wire.ServiceDemand{Service: "drafts", Load: 9 * (1 + 0.55*math.Sin(2*math.Pi*phase))})
		}
		if m.now >= begun+period {
			if before >= 0 {
				moved += math.Abs(m.part("west", "south") - before)
			}
			before = m.part("west", "south")
		}
	}
	t.Logf("%.2f of the requests moved", moved)
	is.True(moved <= 0.1)
}

// TestLostZone simulates a region that loses most of its targets. What it served of the small region's
// requests has to leave it as fast as fractions may change, also to the small region's own targets.
func TestLostZone(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.play(1, 0, time.Second)
	m.play(1, 8, 10*time.Second)
	before := m.part("west", "south")
	m.slots["drafts"] = map[string]float64{"south": 6, "north": 24, "west": 12}
	m.play(1, 8, 5*time.Second)
	is.True(before-m.part("west", "south") >= 0.15)
}
