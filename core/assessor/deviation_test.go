package assessor

import (
	"testing"

	"github.com/matryer/is"
)

// TestDeviation checks the range of the deviation for typical counts.
func TestDeviation(t *testing.T) {
	cases := []struct {
		name      string
		old, next Tally
		low, high float64
	}{
		{"no answers", Tally{}, Tally{}, -1, 0},
		{"equal versions", Tally{Count: 100, Failed: 25}, Tally{Count: 100, Failed: 25}, -1, 0},
		{"within the tolerance", Tally{Count: 1000, Failed: 200}, Tally{Count: 1000, Failed: 230}, -1, 0},
		{"three fifths against two fifths", Tally{Count: 92, Failed: 36}, Tally{Count: 83, Failed: 50}, 1.9, 2.2},
		{"all fail", Tally{Count: 50}, Tally{Count: 50, Failed: 50}, 4, 10},
		{"a single failure", Tally{Count: 50}, Tally{Count: 50, Failed: 1}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Deviation(c.old, c.next)
			is.New(t).True(d >= c.low && d <= c.high)
		})
	}
}
