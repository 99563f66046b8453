package assessor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// version simulates a version by the probability of a failure and the mean latency.
type version struct {
	failureRate float64
	meanLatency time.Duration
}

// answer draws one response and adds it to a Tally.
func (v version) answer(r *rand.Rand, t *Tally, dependencyDown bool) {
	failing := v.failureRate
	if dependencyDown {
		failing = 0.7
	}
	t.Add(time.Duration(r.ExpFloat64()*float64(v.meanLatency)), r.Float64() < failing)
}

// windowsToAlarm simulates windows of half a second, with a rate in requests per second and the new
// version's share of them. It returns the window in which the evidence reaches the limit, or -1.
func windowsToAlarm(r *rand.Rand, old, next version, rate, share, limit float64, windows int, down func(int) bool) int {
	a := NewAssessor(Config{Windows: windows})
	for w := range windows {
		var o, n Tally
		for range int(rate / 2) {
			if r.Float64() < share {
				next.answer(r, &n, down(w))
			} else {
				old.answer(r, &o, down(w))
			}
		}
		a.AddWindow(o, n)
		if a.Verdict().Evidence() >= limit {
			return w
		}
	}
	return -1
}

func never(int) bool { return false }

// TestFalseAlarms checks the error probability over long runs that are checked in every window.
func TestFalseAlarms(t *testing.T) {
	const runs, bound = 400, 0.05 // the bound holds for each kind of evidence
	cases := []struct {
		name string
		old  version
		next version
		down func(int) bool
	}{
		{"equal versions", version{0.01, 20 * time.Millisecond}, version{0.01, 20 * time.Millisecond}, never},
		{"never failing", version{0, 20 * time.Millisecond}, version{0, 20 * time.Millisecond}, never},
		{"better", version{0.05, 20 * time.Millisecond}, version{0.01, 10 * time.Millisecond}, never},
		{
			"a dependency fails", version{0.001, 20 * time.Millisecond}, version{0.001, 20 * time.Millisecond},
			func(w int) bool { return w%40 > 20 },
		},
	}
	for _, c := range cases {
		for _, share := range []float64{0.01, 0.5, 0.9} {
			t.Run(fmt.Sprint(c.name, " at ", share), func(t *testing.T) {
				r := rand.New(rand.NewPCG(20261204, uint64(share*100)))
				alarms := 0
				for range runs {
					if windowsToAlarm(r, c.old, c.next, 100, share, 1/bound, 200, c.down) >= 0 {
						alarms++
					}
				}
				t.Logf("%d of %d", alarms, runs)
				is.New(t).True(float64(alarms) <= 2*bound*runs+3*math.Sqrt(2*bound*runs))
			})
		}
	}
}

// TestFaultsShow checks that bad versions are detected within a number of windows at 300 requests a
// second.
func TestFaultsShow(t *testing.T) {
	const limit = 1600 // an error probability of 1 in 200 over four routes and two kinds of evidence
	good := version{0.001, 20 * time.Millisecond}
	cases := []struct {
		name    string
		next    version
		share   float64
		windows int
	}{
		{"all fail at 1 %", version{1, 20 * time.Millisecond}, 0.01, 10},
		{"a fifth fails at 1 %", version{0.2, 20 * time.Millisecond}, 0.01, 60},
		{"a fifth fails at 90 %", version{0.2, 20 * time.Millisecond}, 0.9, 6},
		{"ten times slower at 1 %", version{0.001, 200 * time.Millisecond}, 0.01, 40},
		{"ten times slower at 50 %", version{0.001, 200 * time.Millisecond}, 0.5, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(20261204, 1))
			late, sum := 0, 0
			for range 100 {
				w := windowsToAlarm(r, good, c.next, 300, c.share, limit, 200, never)
				if w < 0 || w > c.windows {
					late++
				}
				sum += w
			}
			t.Logf("detected after %.1f windows on average; %d of 100 later than %d", float64(sum)/100, late, c.windows)
			is.New(t).True(late <= 5)
		})
	}
}

// TestLikelihoodSumsToOne checks that the probabilities of all outcomes of a window sum to 1.
func TestLikelihoodSumsToOne(t *testing.T) {
	is := is.New(t)
	for _, odds := range []float64{0.5, 1, 3, 200} {
		sum := 0.0
		for k := 0; k <= 7; k++ {
			// logLikelihood leaves out a term that does not depend on the odds: C(12,k) C(30,7-k) / C(30,7).
			ways := choose(12, k) * choose(30, 7-k) / choose(30, 7)
			sum += ways * math.Exp(logLikelihood(30, 12, 7, k, odds))
		}
		is.True(math.Abs(sum-1) < 1e-9)
	}
}

// choose returns the binomial coefficient C(n,k).
func choose(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n-i) / float64(i+1)
	}
	return out
}

// BenchmarkWindow measures the cost of one window of a busy route.
func BenchmarkWindow(b *testing.B) {
	var o, n Tally
	for i := range 1000 {
		o.Add(20*time.Millisecond, i%50 == 0)
		n.Add(21*time.Millisecond, i%50 == 0)
	}
	a := NewAssessor(Config{Windows: 1000})
	for b.Loop() {
		a.AddWindow(o, n)
	}
}
