package applier

import (
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

func acquireDuty(holder uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_AcquireDuty{AcquireDuty: &wire.AcquireDutyCommand{Name: "usage", Holder: holder, FirstDecided: 9}}}
}

func decideReport(fence, window, count uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_DecideReport{DecideReport: &wire.DecideReportCommand{
		Duty: "usage", Fence: fence, Window: &wire.UsageWindow{Number: window, Counts: map[string]uint64{"a": count}},
	}}}
}

func finishReport(fence, window uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_FinishReport{FinishReport: &wire.FinishReportCommand{Duty: "usage", Fence: fence, Window: window}}}
}

// TestDuties guards against a second content of one window, and against commands of a holder that was
// replaced meanwhile.
func TestDuties(t *testing.T) {
	is := is.New(t)
	s := NewState(asserter.NewPanicking())
	steps := []struct {
		command *wire.Command
		done    bool
		decided uint64
		pending int
	}{
		{decideReport(0, 10, 1), false, 0, 0}, // nobody holds the duty
		{acquireDuty(7), true, 9, 0},          // index 2
		{decideReport(2, 9, 1), false, 9, 0},
		{decideReport(2, 10, 1), true, 10, 1},
		{decideReport(2, 10, 2), false, 10, 1},
		{acquireDuty(8), true, 10, 1},          // index 6
		{decideReport(2, 11, 1), false, 10, 1}, // of the former holder
		{finishReport(2, 10), false, 10, 1},
		{decideReport(6, 11, 1), true, 11, 2},
		{finishReport(6, 10), true, 11, 1},
		{finishReport(6, 10), false, 11, 1},
		{decideReport(6, 10, 5), false, 11, 1},
	}
	for _, n := range steps {
		is.Equal(apply(t, s, n.command).Done, n.done) // step
		d := s.Duty("usage")
		is.Equal(d.GetDecided(), n.decided)
		is.Equal(len(d.GetPending()), n.pending)
		s = restoreCopy(t, s)
	}
	is.Equal(s.Duty("usage").GetFence(), uint64(6))
	is.Equal(s.Duty("usage").GetPending()[0].GetCounts(), map[string]uint64{"a": 1})
	for i := range uint64(2 * MaxPendingReports) {
		apply(t, s, decideReport(6, 12+i, 1))
	}
	is.Equal(len(s.Duty("usage").GetPending()), MaxPendingReports)
	is.True(!Distributed(dutyPrefix + "usage"))
}
