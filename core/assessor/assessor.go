// Package assessor compares a new version of a service with the old one that runs beside
// it, window by window, and tells when the new one is surely worse.
//
// Within a window the answers of both versions are given, and so is the number of bad ones
// among them; only how the bad ones fall on the two versions is judged. A fault that both
// show, such as a dependency's, so speaks against neither. The number of bad answers of the
// new version then follows Fisher's noncentral hypergeometric distribution, and the product
// of the windows' likelihood ratios is a nonnegative supermartingale as long as the new
// version is not worse by more than the tolerated odds (J. Ville, 1939: it exceeds 1/a
// with a probability of at most a, however often one looks). Since a version may turn bad
// late, a product begins with every window; the sum of them, with weights that sum to one,
// is such a supermartingale too.
package assessor

import (
	"math"
)

// Parameters of the test.
const (
	// failureTolerance and slowTolerance are the odds ratios up to which a new version's
	// failures and slow answers are not held against it.
	failureTolerance = 1.25
	slowTolerance    = 2
	// slowPart is the part of the old version's answers that count as slow.
	slowPart = 0.05
	// historyDecay is the part of the old version's latencies kept from window to window.
	historyDecay = 0.95
	// minHistory is the number of the old version's answers that a threshold needs.
	minHistory = 50
	// firstWeight is the weight of the product that begins with the first window; those of
	// later windows share the rest.
	firstWeight = 0.5
)

// alternatives are the odds ratios that the test is looking for, beyond the tolerance.
var alternatives = []float64{2, 4, 16, 128}

// Verdict is what an Assessor knows of one route.
type Verdict struct {
	// Failures and Slowness are the evidence against the new version, as factors; at
	// 1/a it is worse with an error probability of at most a.
	Failures float64
	Slowness float64
	// Old and New count the answers taken in.
	Old Tally
	New Tally
	// OldSlow and NewSlow count the answers slower than the old version's usual ones.
	OldSlow int
	NewSlow int
}

// Evidence returns the stronger of the two kinds of evidence.
func (v Verdict) Evidence() float64 {
	return max(v.Failures, v.Slowness)
}

// Config sets up an Assessor.
type Config struct {
	// Windows is how many windows a comparison is expected to last. Faults that show only
	// after more windows are found more slowly.
	Windows int
}

// Assessor compares two versions on one route. It is not safe for concurrent use.
type Assessor struct {
	verdict   Verdict
	failures  evidence
	slowness  evidence
	history   [Buckets]float64
	threshold int
	known     bool
}

// NewAssessor returns an Assessor without evidence.
func NewAssessor(c Config) *Assessor {
	return &Assessor{failures: newEvidence(failureTolerance, c.Windows), slowness: newEvidence(slowTolerance, c.Windows)}
}

// Window takes in what both versions answered in the same time.
func (a *Assessor) Window(before, after Tally) {
	v := &a.verdict
	v.Old.Merge(before)
	v.New.Merge(after)
	a.failures.window(before.Count, before.Failed, after.Count, after.Failed)
	v.Failures = a.failures.value()
	if a.known { // by a threshold that was set before this window
		o, n := before.Slower(a.threshold), after.Slower(a.threshold)
		v.OldSlow += o
		v.NewSlow += n
		a.slowness.window(before.Count, o, after.Count, n)
		v.Slowness = a.slowness.value()
	}
	a.learn(before)
}

// Verdict returns what is known by now.
func (a *Assessor) Verdict() Verdict {
	return a.verdict
}

// learn sets the threshold of the next window from the old version's answers.
func (a *Assessor) learn(before Tally) {
	total := 0.0
	for i := range a.history {
		a.history[i] = a.history[i]*historyDecay + float64(before.Latencies[i])
		total += a.history[i]
	}
	a.known = total >= minHistory
	above := 0.0
	for i := Buckets - 1; i >= 0; i-- {
		above += a.history[i]
		if above > total*slowPart {
			a.threshold = i
			return
		}
	}
}

// evidence is a mixture of likelihood ratios over the alternatives and the windows that
// they begin with, as logarithms.
type evidence struct {
	tolerance float64
	logs      []float64
	// begin is the logarithm of the weight of the next window to begin with, of which
	// there are so many left.
	begin float64
	left  int
}

func newEvidence(tolerance float64, windows int) evidence {
	e := evidence{tolerance: tolerance, logs: make([]float64, len(alternatives)), left: max(0, windows-1)}
	for i := range e.logs {
		e.logs[i] = math.Log(firstWeight)
	}
	e.begin = math.Log((1 - firstWeight) / float64(max(1, e.left)))
	return e
}

// window takes in how many answers of each version there were, and how many were bad.
func (e *evidence) window(before, beforeBad, after, afterBad int) {
	bad := beforeBad + afterBad
	if before == 0 || after == 0 || bad == 0 || bad == before+after {
		return // nothing to tell the versions apart by
	}
	base := logLikelihood(before, after, bad, afterBad, e.tolerance)
	for i, odds := range alternatives {
		if e.left > 0 {
			e.logs[i] = logSum(e.logs[i], e.begin)
		}
		e.logs[i] += logLikelihood(before, after, bad, afterBad, odds*e.tolerance) - base
	}
	e.left--
}

func (e *evidence) value() float64 {
	sum := 0.0
	for _, l := range e.logs {
		sum += math.Exp(l)
	}
	return sum / float64(len(e.logs))
}

// logLikelihood returns the logarithm of Fisher's noncentral hypergeometric probability
// of afterBad bad answers on the new side, up to a term that does not depend on the odds.
func logLikelihood(before, after, bad, afterBad int, odds float64) float64 {
	low, high := max(0, bad-before), min(after, bad)
	logOdds := math.Log(odds)
	// term is the log of C(after,k) C(before,bad-k) odds^k against the one at low.
	term, total := 0.0, 0.0
	observed := 0.0
	for k := low; k <= high; k++ {
		if k > low {
			up := float64(after-k+1) * float64(bad-k+1)
			down := float64(k) * float64(before-bad+k)
			term += math.Log(up) - math.Log(down) + logOdds
			total = logSum(total, term)
		}
		if k == afterBad {
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
