package assessor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// version is a simulated version: its failures, and the time that its answers take.
type version struct {
	failing float64
	usual   time.Duration
}

func (v version) answer(r *rand.Rand, t *Tally, dependencyDown bool) {
	failing := v.failing
	if dependencyDown {
		failing = 0.7
	}
	t.Add(time.Duration(r.ExpFloat64()*float64(v.usual)), r.Float64() < failing)
}

// judge runs windows of half a second at a rate and a share, and returns the window in
// which the evidence passed the limit, or -1.
func judge(r *rand.Rand, old, after version, rate, share, limit float64, windows int, down func(int) bool) int {
	a := NewAssessor(Config{Windows: windows})
	for w := range windows {
		var o, n Tally
		for range int(rate / 2) {
			if r.Float64() < share {
				after.answer(r, &n, down(w))
			} else {
				old.answer(r, &o, down(w))
			}
		}
		a.Window(o, n)
		if a.Verdict().Evidence() >= limit {
			return w
		}
	}
	return -1
}

func never(int) bool { return false }

// TestFalseAlarms holds the error probability over long runs with many looks.
func TestFalseAlarms(t *testing.T) {
	const runs, bound = 400, 0.05 // of each kind of evidence
	cases := []struct {
		name string
		old  version
		next version
		down func(int) bool
	}{
		{"alike", version{0.01, 20 * time.Millisecond}, version{0.01, 20 * time.Millisecond}, never},
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
					if judge(r, c.old, c.next, 100, share, 1/bound, 200, c.down) >= 0 {
						alarms++
					}
				}
				t.Logf("%d of %d", alarms, runs)
				is.New(t).True(float64(alarms) <= 2*bound*runs+3*math.Sqrt(2*bound*runs))
			})
		}
	}
}

// TestFaultsShow: bad versions are known after so many windows of 300 requests a second.
func TestFaultsShow(t *testing.T) {
	const limit = 1600 // the error budget of 1 in 200 over four routes and two kinds
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
				w := judge(r, good, c.next, 300, c.share, limit, 200, never)
				if w < 0 || w > c.windows {
					late++
				}
				sum += w
			}
			t.Logf("known after %.1f windows on average; %d of 100 later than %d", float64(sum)/100, late, c.windows)
			is.New(t).True(late <= 5)
		})
	}
}

func TestLikelihoodSumsToOne(t *testing.T) {
	is := is.New(t)
	for _, odds := range []float64{0.5, 1, 3, 200} {
		sum := 0.0
		for k := 0; k <= 7; k++ {
			// The term left out cancels between odds; it is C(12,k) C(30,7-k) / C(30,7) here.
			ways := choose(12, k) * choose(30, 7-k) / choose(30, 7)
			sum += ways * math.Exp(logLikelihood(30, 12, 7, k, odds))
		}
		is.True(math.Abs(sum-1) < 1e-9)
	}
}

func choose(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n-i) / float64(i+1)
	}
	return out
}

// BenchmarkWindow is the cost of one window of a busy route.
func BenchmarkWindow(b *testing.B) {
	var o, n Tally
	for i := range 1000 {
		o.Add(20*time.Millisecond, i%50 == 0)
		n.Add(21*time.Millisecond, i%50 == 0)
	}
	a := NewAssessor(Config{Windows: 1000})
	for b.Loop() {
		a.Window(o, n)
	}
}
