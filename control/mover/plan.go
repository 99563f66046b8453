package mover

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// FirstRecord returns the first record of a move's definition; old may be nil. If the old record is
// of the same course and was not taken back, the move continues at the step that its shares
// have reached; otherwise it starts at the first step.
func FirstRecord(m *parser.Move, list []Step, old *wire.MoveRecord, now time.Time) *wire.MoveRecord {
	n := &wire.MoveRecord{
		Name: m.Name, Definition: m.Definition, Course: m.Course(), Change: old.GetChange() + 1,
		BegunUnixMilliseconds: now.UnixMilli(), SteppedUnixMilliseconds: now.UnixMilli(), Reason: "begun",
	}
	continues := old.GetCourse() == m.Course() && old.GetStage() != wire.MoveStage_MOVE_STAGE_TAKEN_BACK
	if continues {
		n.Step = uint32(stepAt(list, old.GetShare(), old.GetOnceShare()))
		n.Reason = "goes on under a changed schedule"
	}
	setStep(n, list)
	return n
}

// setStep sets the shares and the stage of the record's step.
func setStep(n *wire.MoveRecord, list []Step) {
	s := list[n.GetStep()]
	n.Share, n.OnceShare = s.Share, s.OnceShare
	switch int(n.GetStep()) {
	case len(list) - 1:
		n.Stage = wire.MoveStage_MOVE_STAGE_DONE
	case len(list) - 2:
		n.Stage = wire.MoveStage_MOVE_STAGE_BAKING
	default:
		n.Stage = wire.MoveStage_MOVE_STAGE_RAMPING
	}
}

// NextRecord returns the next record of a move, or nil if nothing changes. held is the reason if
// the next step is due but has to wait.
func NextRecord(m *parser.Move, list []Step, r *wire.MoveRecord, j *Judge, now time.Time) (next *wire.MoveRecord, held string) {
	if IsFinished(r) {
		return nil, ""
	}
	_, v := j.worstRoute()
	evidence := j.relevantEvidence(v)
	if evidence >= j.takeBackLimit(r) {
		return takeBack(r, j, now), ""
	}
	// The step follows from the shares, since a changed text may have changed the steps.
	step := min(stepAt(list, r.GetShare(), r.GetOnceShare()), len(list)-2)
	begun, stepped := time.UnixMilli(r.GetBegunUnixMilliseconds()), time.UnixMilli(r.GetSteppedUnixMilliseconds())
	hold := minHold
	if r.GetStage() == wire.MoveStage_MOVE_STAGE_BAKING {
		hold = max(hold, bakeTime(m, begun))
	}
	due := begun.Add(list[step+1].Planned)
	if now.Before(due) || now.Before(stepped.Add(hold)) {
		return nil, ""
	}
	forced := !now.Before(begun.Add(list[step+1].Forced))
	overdue := !now.Before(latestAdvance(m, list, step, begun))
	if why := j.lackOfReports(hold); why != "" && waitsForReports(m, list, step, begun, now) {
		return nil, why
	}
	if j.failsGuard(r, evidence, forced) {
		return takeBack(r, j, now), "" // a deadline alone does not justify a step that can't be undone
	}
	if why := j.holdReason(list[step], forced, overdue); why != "" {
		return nil, why
	}
	return nextStep(list, r, step+1, forced, now), ""
}

// nextStep returns the record of a move that takes a step.
func nextStep(list []Step, r *wire.MoveRecord, step int, forced bool, now time.Time) *wire.MoveRecord {
	n := proto.CloneOf(r)
	n.Step = uint32(step)
	n.Change++
	n.SteppedUnixMilliseconds = now.UnixMilli()
	n.Reason = "by schedule"
	if forced {
		n.Reason = "forced by the deadline"
	}
	setStep(n, list)
	return n
}

// takeBackLimit returns the evidence at which a move is taken back. In the trial of a guarded
// move it is lower, since the new side then has a large share of the traffic.
func (j *Judge) takeBackLimit(r *wire.MoveRecord) float64 {
	if j.inTrial(r) {
		return trialEvidenceLimit
	}
	return j.limit
}

// failsGuard reports whether a guarded move must be taken back now that its next step is due.
func (j *Judge) failsGuard(r *wire.MoveRecord, evidence float64, forced bool) bool {
	trial := j.inTrial(r)
	inDoubt := j.move.Exposure > 0 && (forced || trial) && evidence >= trialDoubtEvidence
	return inDoubt || (trial && j.failsTrial())
}

// inTrial reports whether the new side of a guarded move has more than its first exposure.
func (j *Judge) inTrial(r *wire.MoveRecord) bool {
	return j.move.Exposure > 0 && r.GetShare() > j.move.Exposure
}

// latestAdvance returns the latest time to leave a step such that the remaining steps, each held
// as briefly as possible, and the bake still end when the last step is forced.
func latestAdvance(m *parser.Move, list []Step, step int, begun time.Time) time.Time {
	left := time.Duration(0)
	if step < len(list)-2 {
		left = bakeTime(m, begun) + time.Duration(len(list)-2-step)*minHold
	}
	return begun.Add(list[len(list)-1].Forced - left)
}

// waitsForReports reports whether a step that lacks reports still waits for them. A guarded move always does: once
// it is done, its old side is stopped. Others wait while they can still be done by the deadline.
func waitsForReports(m *parser.Move, list []Step, step int, begun, now time.Time) bool {
	if m.Exposure > 0 {
		return true
	}
	if step < len(list)-2 {
		return now.Before(latestAdvance(m, list, step, begun))
	}
	span := max(0, m.Deadline.Sub(begun))
	return now.Before(begun.Add(time.Duration(maxWatchFraction * float64(span))))
}

// holdReason returns why a step must not be left yet, or "". A lack of responses does not hold a
// forced step, and doubt does not hold an overdue one. A new side that takes too little of its
// share always holds the step.
func (j *Judge) holdReason(s Step, forced, overdue bool) string {
	if j.takesTooLittle(s) {
		return "the new side takes too little of its share"
	}
	if route, v := j.worstRoute(); !overdue && j.relevantEvidence(v) >= doubtEvidence {
		return fmt.Sprintf("in doubt about route %s: evidence %.0f of %.0f", route, j.relevantEvidence(v), j.limit)
	}
	if route := j.routeLackingResponses(s); !forced && route != "" {
		return "too few answers yet on route " + route
	}
	return ""
}

// takeBack returns the record of a move whose traffic goes back to the old side.
func takeBack(r *wire.MoveRecord, j *Judge, now time.Time) *wire.MoveRecord {
	route, v := j.worstRoute()
	n := proto.CloneOf(r)
	n.Change++
	n.Stage = wire.MoveStage_MOVE_STAGE_TAKEN_BACK
	n.Share, n.OnceShare = 0, 0
	n.SteppedUnixMilliseconds = now.UnixMilli()
	n.Reason = fmt.Sprintf("route %s: the new side failed %d and was slow %d times in %d, the old one %d and %d in %d",
		route, v.New.Failed, v.NewSlow, v.New.Count, v.Old.Failed, v.OldSlow, v.Old.Count)
	return n
}

// IsFinished reports whether a move is done or taken back, and so no longer changes.
func IsFinished(r *wire.MoveRecord) bool {
	return r.GetStage() == wire.MoveStage_MOVE_STAGE_DONE || r.GetStage() == wire.MoveStage_MOVE_STAGE_TAKEN_BACK
}
