package assessor

import "math"

// Deviation returns the number of standard deviations by which the new version's odds of a failure
// exceed the tolerated multiple of the old version's. It tests all given responses once, by the log
// odds ratio with Haldane's correction. It is negative if the new version's odds are below that
// multiple.
func Deviation(oldTally, newTally Tally) float64 {
	oldFailed, oldGood := correctedCount(oldTally.Failed), correctedCount(oldTally.Count-oldTally.Failed)
	newFailed, newGood := correctedCount(newTally.Failed), correctedCount(newTally.Count-newTally.Failed)
	logOdds := math.Log(newFailed * oldGood / (newGood * oldFailed))
	return (logOdds - math.Log(failureTolerance)) / math.Sqrt(1/oldFailed+1/oldGood+1/newFailed+1/newGood)
}

// correctedCount returns a count plus one half, which keeps its logarithm finite.
func correctedCount(n int) float64 {
	return float64(n) + 0.5
}
