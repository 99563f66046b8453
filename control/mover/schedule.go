package mover

import (
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of a schedule. Fractions are of the time from the start to the deadline unless a
// comment says otherwise.
const (
	// maxBakingOldShare is the largest share that stays on the old side while the new one bakes.
	maxBakingOldShare = 0.2
	// minHold is the minimum time between two steps.
	minHold = time.Second
	// latestFraction is the fraction after which a move is late; its last step is forced then.
	latestFraction = 0.95
	// maxWatchFraction is the fraction after which the last step of an unguarded move no longer waits for evidence of
	// the present leader.
	maxWatchFraction = 0.98
	// maxBakeFraction bounds the bake time when the deadline is near.
	maxBakeFraction = 1.0 / 3
	// trialShare is the share of a guarded move's new side before all traffic moves. The rest
	// stays on the old side for comparison.
	trialShare = 0.5
	// trialPlannedFraction and trialForcedFraction are the fractions after which a guarded move
	// starts its trial with and without enough evidence on each route.
	trialPlannedFraction = 0.5
	trialForcedFraction  = 0.62
	// maxTrialFraction bounds the length of the trial when the deadline is near.
	maxTrialFraction = 0.18
	// trialEvidenceLimit is the evidence at which a guarded move is taken back in its trial.
	trialEvidenceLimit = 8
	// trialDoubtEvidence is the evidence from which a guarded move is taken back when its next step
	// is forced, or is due in its trial.
	trialDoubtEvidence = 2.2
	// maxTrialDeviation is the number of standard deviations from which the responses of a trial,
	// taken as a whole, fail the new side: one-sided 2.3 % a route, tested once.
	maxTrialDeviation = 2
	// guardedDoneFraction is the fraction after which a guarded move must be done, since requests
	// on the old side need time to end.
	guardedDoneFraction = 0.8
	// maxWaitFraction is the fraction of the ramp's time that a step may wait for evidence.
	maxWaitFraction = 0.25
)

// Step is one step of a schedule.
type Step struct {
	Share     float64
	OnceShare float64
	// Planned is when the step is due if there is enough evidence, and Forced is when it is due
	// without, both counted from the start of the move.
	Planned time.Duration
	Forced  time.Duration
}

// Schedule returns the steps of a move, timed backwards from its deadline. Requests that run
// at most once follow the others, since their failures can't be repaired.
func Schedule(m *parser.Move, routes []*parser.Route, begun time.Time) []Step {
	if m.Exposure > 0 {
		return guardedSteps(m, begun)
	}
	ramp := rampShares(m.Cap)
	var out []Step
	for _, s := range ramp {
		out = append(out, Step{Share: s, OnceShare: s})
	}
	if retryable, once := routeClasses(routes); retryable && once {
		out = onceAfterRetryable(ramp)
	}
	out = append(out, Step{Share: 1, OnceShare: 1})
	setTimes(out, m, begun)
	return out
}

// guardedSteps returns steps that keep the new side at its exposure until there is evidence for
// it, then give it trialShare of the traffic for a short time, since some faults show only
// under load, and then all of it.
func guardedSteps(m *parser.Move, begun time.Time) []Step {
	span := max(0, m.Deadline.Sub(begun))
	at := func(fraction float64) time.Duration { return time.Duration(fraction * float64(span)) }
	return []Step{
		{Share: m.Exposure, OnceShare: m.Exposure},
		{Share: trialShare, OnceShare: trialShare, Planned: at(trialPlannedFraction), Forced: at(trialForcedFraction)},
		{Share: 1, OnceShare: 1, Planned: at(trialPlannedFraction), Forced: at(guardedDoneFraction)},
	}
}

// onceAfterRetryable returns steps in which requests that run at most once follow the others.
func onceAfterRetryable(ramp []float64) []Step {
	var out []Step
	for _, s := range ramp {
		out = append(out, Step{Share: s})
	}
	for _, s := range ramp {
		out = append(out, Step{Share: ramp[len(ramp)-1], OnceShare: s})
	}
	return out
}

// rampShares returns the shares of the ramp, each at most cap above the one before.
func rampShares(limit float64) []float64 {
	top := 1 - min(limit, maxBakingOldShare)
	out := []float64{min(limit, wire.MaxFirstShare, top)}
	for out[len(out)-1] < top {
		out = append(out, min(out[len(out)-1]+limit, top))
	}
	return out
}

// routeClasses reports whether there are routes whose requests may be retried, and routes whose
// requests run at most once.
func routeClasses(routes []*parser.Route) (retryable, once bool) {
	for _, r := range routes {
		retryable = retryable || r.Retryable()
		once = once || !r.Retryable()
	}
	return retryable, once
}

// setTimes spreads the ramp over the time that is left before the bake.
func setTimes(out []Step, m *parser.Move, begun time.Time) {
	span := max(0, m.Deadline.Sub(begun))
	ramp := time.Duration(latestFraction*float64(span)) - bakeTime(m, begun)
	last := len(out) - 1
	for i := range out[:last] {
		fraction := float64(i) / float64(max(1, last-1))
		out[i].Planned = time.Duration((1 - maxWaitFraction) * fraction * float64(ramp))
		out[i].Forced = time.Duration(((1-maxWaitFraction)*fraction + maxWaitFraction) * float64(ramp))
	}
	out[last].Planned = out[last-1].Planned
	out[last].Forced = time.Duration(latestFraction * float64(span))
}

// bakeTime returns how long a move bakes, or how long the trial of a guarded one lasts, to wait
// for late faults.
func bakeTime(m *parser.Move, begun time.Time) time.Duration {
	span, maxFraction := max(0, m.Deadline.Sub(begun)), maxBakeFraction
	if m.Exposure > 0 {
		maxFraction = maxTrialFraction
	}
	return min(m.Bake, time.Duration(maxFraction*float64(span)))
}

// stepAt returns the index of the last step whose shares are not above the given ones.
func stepAt(list []Step, share, onceShare float64) int {
	step := 0
	for i, s := range list {
		if s.Share <= share+shareTolerance && s.OnceShare <= onceShare+shareTolerance {
			step = i
		}
	}
	return step
}

// shareTolerance is smaller than any difference between shares that matters.
const shareTolerance = 1e-9
