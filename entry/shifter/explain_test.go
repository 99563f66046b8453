package shifter

import (
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestSides checks the sides of a move that an explanation shows, in each of its stages, and that asking counts nothing.
func TestSides(t *testing.T) {
	move := &parser.Move{Name: "m", Service: "lamps", From: "v1", To: "v2", Cap: 0.2}
	cases := []struct {
		name    string
		record  *wire.MoveRecord
		stopped bool
		// shares are those by version.
		shares map[string]float64
	}{
		{"not begun", &wire.MoveRecord{}, false, map[string]float64{"v1": 1}},
		{"a small share", &wire.MoveRecord{Share: 0.25}, false, map[string]float64{"v1": 0.75, "v2": 0.25}},
		{"a large share", &wire.MoveRecord{Share: 0.75}, false, map[string]float64{"v2": 0.75, "v1": 0.25}},
		{"stopped here", &wire.MoveRecord{Share: 0.25}, true, map[string]float64{"v1": 1}},
		{"done", &wire.MoveRecord{Share: 1, Stage: wire.MoveStage_MOVE_STAGE_DONE}, false, map[string]float64{"v2": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewShifter(Config{Scope: tally.NoopScope, Region: "north"})
			v := newView(1, move, c.record)
			e := send(s, v, "status", "/lamps/7")
			s.state.Load().moves["lamps"].routes["status"].stopped.Store(c.stopped)
			e.Selection.Version = "v1"
			before := s.state.Load().moves["lamps"].routes["status"].requests.Load()
			shares, last := map[string]float64{}, 1.0
			for _, x := range s.Sides(e) {
				shares[x.Selection.Version] = x.Share
				is.True(x.Share <= last && x.Reason != "")
				last = x.Share
			}
			is.Equal(shares, c.shares)
			is.Equal(s.state.Load().moves["lamps"].routes["status"].requests.Load(), before)
		})
	}
}
