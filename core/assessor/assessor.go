// Package assessor is a sequential test of whether a new version of a service is worse than the
// old version that runs beside it. It compares their responses window by window.
//
// The test conditions on the number of responses of each version in a window and on the total
// number of bad responses; only the distribution of the bad responses over the two versions counts.
// A common fault, such as that of a dependency, therefore counts against neither. The number of bad
// responses of the new version follows Fisher's noncentral hypergeometric distribution, and the
// product of the windows' likelihood ratios is a nonnegative supermartingale unless the new version
// is worse by more than the tolerated odds ratio. By Ville's inequality (J. Ville, 1939) it exceeds
// 1/a with a probability of at most a, however often it is checked. Since a version may turn bad
// late, a product starts at every window; the weighted sum of the products, with weights that sum
// to one, is such a supermartingale too.
package assessor

import (
	"math"
)

// Parameters of the test.
const (
	// failureTolerance and slowTolerance are the odds ratios up to which failures and slow
	// responses do not count against a new version.
	failureTolerance = 1.25
	slowTolerance    = 2
	// slowFraction is the fraction of the old version's responses that count as slow.
	slowFraction = 0.05
	// historyDecay is the factor by which the old version's past latencies are weighted down in each
	// window.
	historyDecay = 0.95
	// minHistory is the weighted number of the old version's responses that a threshold requires.
	minHistory = 50
	// firstWeight is the weight of the first product, which starts at the first window; the others
	// share the rest equally.
	firstWeight = 0.5
)

// alternatives are the odds ratios that the test detects, as multiples of the tolerated one.
var alternatives = []float64{2, 4, 16, 128}

// Verdict is the result of a comparison on one route.
type Verdict struct {
	// Failures and Slowness are the evidence against the new version, as likelihood ratios. At 1/a,
	// the new version is worse with an error probability of at most a.
	Failures float64
	Slowness float64
	// Old and New count the responses of all windows.
	Old Tally
	New Tally
	// OldSlow and NewSlow count the slow responses: those above the threshold of their window.
	OldSlow int
	NewSlow int
}

// Evidence returns the stronger of the two kinds of evidence.
func (v Verdict) Evidence() float64 {
	return max(v.Failures, v.Slowness)
}

// Config configures an Assessor.
type Config struct {
	// Windows is the number of windows that a comparison is expected to last. Faults that start
	// after that many windows are detected more slowly.
	Windows int
}

// Assessor compares two versions on one route. It is not safe for concurrent use.
type Assessor struct {
	verdict  Verdict
	failures evidence
	slowness evidence
	// history counts the old version's responses by latency bucket, weighted by age.
	history [Buckets]float64
	// threshold is the bucket above which a response is slow. It is valid if hasThreshold is true.
	threshold    int
	hasThreshold bool
}

// NewAssessor returns an Assessor without evidence.
func NewAssessor(c Config) *Assessor {
	return &Assessor{failures: newEvidence(failureTolerance, c.Windows), slowness: newEvidence(slowTolerance, c.Windows)}
}

// AddWindow adds the responses of the old and the new version from the same span of time.
func (a *Assessor) AddWindow(oldTally, newTally Tally) {
	v := &a.verdict
	v.Old.Merge(oldTally)
	v.New.Merge(newTally)
	a.failures.addWindow(oldTally.Count, oldTally.Failed, newTally.Count, newTally.Failed)
	v.Failures = a.failures.value()
	if a.hasThreshold { // the threshold was set before this window, independently of its responses
		o, n := oldTally.Slower(a.threshold), newTally.Slower(a.threshold)
		v.OldSlow += o
		v.NewSlow += n
		a.slowness.addWindow(oldTally.Count, o, newTally.Count, n)
		v.Slowness = a.slowness.value()
	}
	a.updateThreshold(oldTally)
}

// Verdict returns the result of all windows so far.
func (a *Assessor) Verdict() Verdict {
	return a.verdict
}

// updateThreshold sets the threshold of the next window from the old version's responses.
func (a *Assessor) updateThreshold(oldTally Tally) {
	total := 0.0
	for i := range a.history {
		a.history[i] = a.history[i]*historyDecay + float64(oldTally.Latencies[i])
		total += a.history[i]
	}
	a.hasThreshold = total >= minHistory
	above := 0.0
	for i := Buckets - 1; i >= 0; i-- {
		above += a.history[i]
		if above > total*slowFraction {
			a.threshold = i
			return
		}
	}
}

// evidence is a mixture of likelihood ratios over the alternatives and over the windows at which
// the products start.
type evidence struct {
	// tolerance is the tolerated odds ratio.
	tolerance float64
	// logRatios holds the logarithm of the weighted sum of products, by alternative.
	logRatios []float64
	// startWeight is the logarithm of the weight of each further product, and left is the number of
	// products that have not started.
	startWeight float64
	left        int
}

// newEvidence returns evidence without responses, for an expected number of windows.
func newEvidence(tolerance float64, windows int) evidence {
	e := evidence{tolerance: tolerance, logRatios: make([]float64, len(alternatives)), left: max(0, windows-1)}
	for i := range e.logRatios {
		e.logRatios[i] = math.Log(firstWeight)
	}
	e.startWeight = math.Log((1 - firstWeight) / float64(max(1, e.left)))
	return e
}

// addWindow adds the numbers of responses and of bad responses of each version in a window.
func (e *evidence) addWindow(oldCount, oldBad, newCount, newBad int) {
	bad := oldBad + newBad
	if oldCount == 0 || newCount == 0 || bad == 0 || bad == oldCount+newCount {
		return // the window does not distinguish the versions
	}
	base := logLikelihood(oldCount, newCount, bad, newBad, e.tolerance)
	for i, odds := range alternatives {
		if e.left > 0 {
			e.logRatios[i] = logSum(e.logRatios[i], e.startWeight)
		}
		e.logRatios[i] += logLikelihood(oldCount, newCount, bad, newBad, odds*e.tolerance) - base
	}
	e.left--
}

// value returns the evidence as a factor: the mean over the alternatives.
func (e *evidence) value() float64 {
	sum := 0.0
	for _, l := range e.logRatios {
		sum += math.Exp(l)
	}
	return sum / float64(len(e.logRatios))
}

// logLikelihood returns the logarithm of Fisher's noncentral hypergeometric probability of
// newBad bad responses of the new version, except for a term that does not depend on the odds.
func logLikelihood(oldCount, newCount, bad, newBad int, odds float64) float64 {
	low, high := max(0, bad-oldCount), min(newCount, bad)
	logOdds := math.Log(odds)
	// term is the logarithm of C(newCount,k) C(oldCount,bad-k) odds^k relative to its value at low.
	term, total := 0.0, 0.0
	observed := 0.0
	for k := low; k <= high; k++ {
		if k > low {
			up := float64(newCount-k+1) * float64(bad-k+1)
			down := float64(k) * float64(oldCount-bad+k)
			term += math.Log(up) - math.Log(down) + logOdds
			total = logSum(total, term)
		}
		if k == newBad {
			observed = float64(k-low) * logOdds
		}
	}
	return observed - total
}

// logSum returns log(exp(a) + exp(b)).
func logSum(a, b float64) float64 {
	m := max(a, b)
	return m + math.Log1p(math.Exp(min(a, b)-m))
}
