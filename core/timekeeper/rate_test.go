package timekeeper

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRate(t *testing.T) {
	is := is.New(t)
	r, now := DecayingRate{TimeConstant: 2 * time.Second}, time.Hour
	is.Equal(r.At(now), 0.0)
	for range 10_000 { // 100 per second, long enough to reach the average
		now += 10 * time.Millisecond
		r.Add(now, 1)
	}
	is.True(math.Abs(r.At(now)-100) < 1)
	at := r.At(now)
	is.True(math.Abs(r.At(now+2*time.Second)-at/math.E) < 1e-9)
	is.Equal(r.At(now), r.At(now+2*time.Second)) // an earlier time returns the latest rate
}
