package mover

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Begin returns the first record of a move; old may be nil. A changed schedule of a move under way goes
// on where the old one stood; one that was taken back begins anew.
func Begin(m *parser.Move, list []Stage, old *wire.MoveRecord, now time.Time) *wire.MoveRecord {
	n := &wire.MoveRecord{
		Name: m.Name, Definition: m.Definition, Course: m.Course(), Change: old.GetChange() + 1,
		BegunUnixMilliseconds: now.UnixMilli(), SteppedUnixMilliseconds: now.UnixMilli(), Reason: "begun",
	}
	goesOn := old.GetCourse() == m.Course() && old.GetStage() != wire.MoveStage_MOVE_STAGE_TAKEN_BACK
	if goesOn {
		n.Step = uint32(stepOf(list, old.GetShare(), old.GetOnceShare()))
		n.Reason = "goes on under a changed schedule"
	}
	enter(n, list)
	return n
}

// enter sets what belongs to the record's step.
func enter(n *wire.MoveRecord, list []Stage) {
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

// Advance returns the next record of a move, or nil if it stays; held says why it stays
// although its time has come.
func Advance(m *parser.Move, list []Stage, r *wire.MoveRecord, j *Judge, now time.Time) (next *wire.MoveRecord, held string) {
	if over(r) {
		return nil, ""
	}
	_, v := j.worst()
	against := j.against(v)
	if against >= j.bound(r) {
		return takeBack(r, j, now), ""
	}
	// Worked out from the shares, since a changed text may have changed the steps.
	step := min(stepOf(list, r.GetShare(), r.GetOnceShare()), len(list)-2)
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
	last := !now.Before(lastChance(m, list, step, begun))
	if j.fails(r, against, forced) {
		return takeBack(r, j, now), "" // what can't be undone needs more than a deadline
	}
	if why := j.objection(list[step], forced, last); why != "" {
		return nil, why
	}
	n := proto.CloneOf(r)
	n.Step = uint32(step + 1)
	n.Change++
	n.SteppedUnixMilliseconds = now.UnixMilli()
	n.Reason = "by schedule"
	if forced {
		n.Reason = "forced by the deadline"
	}
	enter(n, list)
	return n, ""
}

// bound is the evidence at which a move is taken back. A guarded one gives way sooner while
// the new side has most of the traffic.
func (j *Judge) bound(r *wire.MoveRecord) float64 {
	if j.inTrial(r) {
		return trialLimit
	}
	return j.limit
}

// fails tells whether a guarded move must not go on, now that its time has come.
func (j *Judge) fails(r *wire.MoveRecord, against float64, forced bool) bool {
	trial := j.inTrial(r)
	inDoubt := j.move.Exposure > 0 && (forced || trial) && against >= trialDoubt
	return inDoubt || (trial && j.failsTrial())
}

// inTrial tells whether the new side of a guarded move has more than its first exposure.
func (j *Judge) inTrial(r *wire.MoveRecord) bool {
	return j.move.Exposure > 0 && r.GetShare() > j.move.Exposure
}

// lastChance is when a step must be left for the rest to reach the deadline in haste.
func lastChance(m *parser.Move, list []Stage, step int, begun time.Time) time.Time {
	left := time.Duration(0)
	if step < len(list)-2 {
		left = bakeTime(m, begun) + time.Duration(len(list)-2-step)*minHold
	}
	return begun.Add(list[len(list)-1].Forced - left)
}

// objection says why a step must not be left yet, or "". The schedule overrules a lack of
// answers, only the last chance overrules a doubt, and nothing overrules that the new side
// does not take its share.
func (j *Judge) objection(s Stage, forced, last bool) string {
	if j.untaken(s) {
		return "the new side takes too little of its share"
	}
	if route, v := j.worst(); !last && j.against(v) >= doubtful {
		return fmt.Sprintf("in doubt about route %s: evidence %.0f of %.0f", route, j.against(v), j.limit)
	}
	if route := j.lacking(s); !forced && route != "" {
		return "too few answers yet on route " + route
	}
	return ""
}

func takeBack(r *wire.MoveRecord, j *Judge, now time.Time) *wire.MoveRecord {
	route, v := j.worst()
	n := proto.CloneOf(r)
	n.Change++
	n.Stage = wire.MoveStage_MOVE_STAGE_TAKEN_BACK
	n.Share, n.OnceShare = 0, 0
	n.SteppedUnixMilliseconds = now.UnixMilli()
	n.Reason = fmt.Sprintf("route %s: the new side failed %d and was slow %d times in %d, the old one %d and %d in %d",
		route, v.New.Failed, v.NewSlow, v.New.Count, v.Old.Failed, v.OldSlow, v.Old.Count)
	return n
}

// over tells whether nothing happens to a move any more.
func over(r *wire.MoveRecord) bool {
	return r.GetStage() == wire.MoveStage_MOVE_STAGE_DONE || r.GetStage() == wire.MoveStage_MOVE_STAGE_TAKEN_BACK
}
