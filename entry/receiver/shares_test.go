package receiver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestShareReports checks what a response changes, which demands are reported, and which changes
// are logged.
func TestShareReports(t *testing.T) {
	response := func(number uint64, list ...*wire.TeamShare) *wire.PollResponse {
		return &wire.PollResponse{SharesNumber: number, Shares: list}
	}
	rates := map[string]float64{"large": 50, "thin": 1}
	t.Run("teams whose tokens are lent are not reported", func(t *testing.T) {
		is := is.New(t)
		s := &Shares{}
		is.Equal(len(s.Demands(rates, 0, "control1")), 2)
		s.Apply(response(1, &wire.TeamShare{Team: "large", Share: 0.3}, &wire.TeamShare{Team: "thin", Lent: true}), 0, true, "control1")
		is.Equal(len(s.Demands(rates, 0, "control1")), 1)
		is.Equal(s.Demands(rates, 0, "control1")[0].GetShare(), 0.3)
		is.Equal(s.LentFor("thin", 3*time.Second), uint32(3000))
		again := s.Demands(rates, 3*time.Second, "control2") // a member without the last report
		is.Equal(len(again), 2)
		is.Equal(again[1].GetLentMilliseconds(), uint32(3000))
		s.MarkDivided("thin")
		is.Equal(len(s.Demands(rates, 0, "control1")), 2)
	})
	t.Run("small changes are not logged", func(t *testing.T) {
		is := is.New(t)
		s := &Shares{}
		is.Equal(s.Apply(response(1, &wire.TeamShare{Team: "large", Share: 0.3}), 0, true, "control1"), []string{"large 0.300"})
		is.Equal(len(s.Apply(response(2, &wire.TeamShare{Team: "large", Share: 0.35}), 0, true, "control1")), 0)
		is.Equal(s.Apply(response(3, &wire.TeamShare{Team: "large", Share: 0.41}), 0, true, "control1"), []string{"large 0.410"})
		is.Equal(s.Apply(response(4, &wire.TeamShare{Team: "large", Lent: true}), 0, true, "control1"), []string{"large lent"})
	})
	t.Run("after the lease a fraction is left", func(t *testing.T) {
		is := is.New(t)
		s := &Shares{}
		s.Apply(response(1, &wire.TeamShare{Team: "large", Share: 0.3}), 0, true, "control1")
		is.Equal(s.Of("large", timekeeper.ShareLease), 0.3)
		is.Equal(s.Of("large", timekeeper.ShareLease+time.Millisecond), 0.075)
	})
}

// TestLeastEntries checks that the least number of entries is kept as long as shares assigned under
// it may be in use.
func TestLeastEntries(t *testing.T) {
	is := is.New(t)
	s := &Shares{}
	span := timekeeper.ShareLease + entryCountMargin
	is.Equal(s.LeastEntries(0, 12), 12)
	is.Equal(s.LeastEntries(time.Second, 4), 4)
	is.Equal(s.LeastEntries(2*time.Second, 9), 4)
	is.Equal(s.LeastEntries(3*time.Second, 24), 4)
	is.Equal(s.LeastEntries(2*time.Second+span, 24), 4)
	is.Equal(s.LeastEntries(2*time.Second+span+1, 24), 9)
	is.Equal(s.LeastEntries(time.Minute, 24), 24)
}
