package applier

import (
	"slices"

	"github.com/filberthoist/filberthoist/core/wire"
)

// MaxPendingReports bounds the decided reports of a duty that wait to be sent.
const MaxPendingReports = 256

// Duty returns the record of a duty, or nil if nobody has held it yet.
func (s *State) Duty(name string) *wire.Duty {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.duty(name)
}

// acquireDuty gives a duty to a new holder. The index of the command is the fence, so that no two
// acquisitions share one, even if a member of an earlier release has lost the record.
func (s *State) acquireDuty(c *wire.AcquireDutyCommand) bool {
	d := s.duty(c.GetName())
	if d == nil {
		d = &wire.Duty{Name: c.GetName(), Decided: c.GetFirstDecided()}
	}
	d.Holder, d.HolderName, d.Fence = c.GetHolder(), c.GetHolderName(), s.index
	return s.put(dutyPrefix+c.GetName(), d)
}

// decideReport fixes the report on a window for good, if the proposer holds the duty and neither this
// window nor a later one is decided.
func (s *State) decideReport(c *wire.DecideReportCommand) bool {
	d := s.duty(c.GetDuty())
	if d == nil || d.GetFence() != c.GetFence() || c.GetWindow().GetNumber() <= d.GetDecided() || len(d.GetPending()) >= MaxPendingReports {
		return false
	}
	d.Decided, d.Pending = c.GetWindow().GetNumber(), append(d.Pending, c.GetWindow())
	return s.put(dutyPrefix+c.GetDuty(), d)
}

// finishReport drops a report that was sent.
func (s *State) finishReport(c *wire.FinishReportCommand) bool {
	d := s.duty(c.GetDuty())
	i := slices.IndexFunc(d.GetPending(), func(w *wire.UsageWindow) bool { return w.GetNumber() == c.GetWindow() })
	if i < 0 || d.GetFence() != c.GetFence() {
		return false
	}
	d.Pending = slices.Delete(d.Pending, i, i+1)
	return s.put(dutyPrefix+c.GetDuty(), d)
}

func (s *State) duty(name string) *wire.Duty {
	r := s.records[dutyPrefix+name]
	if r == nil {
		return nil
	}
	out := &wire.Duty{}
	s.decode(r, out)
	return out
}
