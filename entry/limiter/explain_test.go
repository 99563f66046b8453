package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestStanding guards against a standing that differs from what the next request meets, or that spends a token.
func TestStanding(t *testing.T) {
	is := is.New(t)
	now, share := time.Hour, 0.5
	d := NewShareLimiter(ShareLimiterConfig{
		Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, View: func() *receiver.View { return &receiver.View{} },
		Share: func(string) float64 { return share },
	})
	team := &parser.Team{Name: "good", Rate: 20, Burst: 4}
	for i := range 400 {
		if i == 300 {
			share = 0
		}
		first := d.Explain(team, time.Second)
		is.Equal(d.Explain(team, time.Second), first)
		wait, ok := d.take(team, maxTokenWait)
		is.Equal(first.Admitted, ok)
		is.Equal(first.Wait, wait)
		now += time.Duration(i%5) * 40 * time.Millisecond
	}
	is.True(d.Explain(nil, time.Second).Admitted)
	is.True(d.Explain(&parser.Team{Unlimited: true}, time.Second).Admitted)
}
