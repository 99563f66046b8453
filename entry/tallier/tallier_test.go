package tallier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

// newTallier returns a Tallier with windows of 5 s, whose reports are wanted, and its time of day, in the
// middle of window 2.
func newTallier() (*Tallier, *time.Time) {
	now := time.Unix(12, 0)
	u := NewTallier(Config{Now: func() time.Time { return now }, Window: 5 * time.Second})
	u.Confirm(nil, &wire.UsageReceipt{Term: 1})
	return u, &now
}

func countsOf(u *wire.UsageReport, number uint64) map[string]uint64 {
	for _, w := range u.GetWindows() {
		if w.GetNumber() == number {
			return w.GetCounts()
		}
	}
	return nil
}

func TestReports(t *testing.T) {
	t.Run("a lost report is repeated with what came after it", func(t *testing.T) {
		is := is.New(t)
		u, _ := newTallier()
		u.Begin("a")
		is.Equal(countsOf(u.Report(), 2), map[string]uint64{"a": 1})
		u.Begin("a")
		is.Equal(countsOf(u.Report(), 2), map[string]uint64{"a": 2})
		is.True(!u.HandedOver())
	})
	t.Run("only changes are reported to a leader that has the rest", func(t *testing.T) {
		is := is.New(t)
		u, now := newTallier()
		n := u.Begin("a")
		r := u.Report()
		u.Confirm(r, &wire.UsageReceipt{Term: 1})
		u.Confirm(u.Report(), &wire.UsageReceipt{Term: 1})
		is.True(u.HandedOver())
		is.Equal(u.Report(), nil) // none is due
		*now = now.Add(time.Second)
		is.Equal(len(u.Report().GetWindows()), 0)
		u.Cancel("a", n)
		is.Equal(countsOf(u.Report(), 2), map[string]uint64{"a": 0})
	})
	t.Run("another leader gets all windows", func(t *testing.T) {
		is := is.New(t)
		u, now := newTallier()
		u.Begin("a")
		u.Confirm(u.Report(), &wire.UsageReceipt{Term: 1})
		*now = now.Add(5 * time.Second)
		u.Begin("a")
		u.Confirm(u.Report(), &wire.UsageReceipt{Term: 2})
		is.Equal(countsOf(u.Report(), 2), map[string]uint64{"a": 1})
	})
	t.Run("decided windows are dropped", func(t *testing.T) {
		is := is.New(t)
		u, _ := newTallier()
		u.Begin("a")
		u.Confirm(nil, &wire.UsageReceipt{Term: 1, Decided: 2})
		is.Equal(countsOf(u.Report(), 2), nil)
	})
	t.Run("counts are kept while control wants no reports", func(t *testing.T) { // of an earlier release
		is := is.New(t)
		u, now := newTallier()
		for range 2 * keptWindows {
			u.Begin("a")
			u.Confirm(u.Report(), nil)
			*now = now.Add(5 * time.Second)
		}
		is.Equal(u.Report(), nil)
		is.True(!u.HandedOver())
		u.Confirm(nil, &wire.UsageReceipt{Term: 1})
		is.Equal(len(u.Report().GetWindows()), keptWindows)
	})
}
