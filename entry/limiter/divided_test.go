package limiter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestDivided: over any span an entry admits at most its share of the rate and burst, and
// a share that grows brings no tokens at once.
func TestDivided(t *testing.T) {
	team := &parser.Team{Name: "t", Rate: 100, Burst: 100}
	cases := []struct {
		name string
		// share is the entry's share at a moment; most bounds the requests admitted in 4 s.
		share       func(at time.Duration) float64
		least, most int
	}{
		{"none", func(time.Duration) float64 { return 0 }, 0, 0},
		{"half", func(time.Duration) float64 { return 0.5 }, 240, 260},
		{"shrinks", func(at time.Duration) float64 {
			if at > time.Second {
				return 0.1
			}
			return 0.5
		}, 120, 135},
		{"grows", func(at time.Duration) float64 {
			if at > 2*time.Second {
				return 0.5
			}
			return 0.1
		}, 125, 145},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun := time.Hour
			now := begun
			d := NewDivided(DividedConfig{
				Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
				View:  func() *receiver.View { return &receiver.View{} },
				Share: func(string) float64 { return c.share(now - begun) },
			})
			admitted := 0
			for now < begun+4*time.Second {
				if _, ok := d.take(team); ok {
					admitted++
				}
				now += 2 * time.Millisecond
			}
			t.Log(admitted)
			is.True(admitted >= c.least && admitted <= c.most)
		})
	}
	t.Run("unlimited", func(t *testing.T) {
		is := is.New(t)
		d := NewDivided(DividedConfig{Clock: timekeeper.NewClock(), Share: func(string) float64 { return 0 }})
		is.True(!d.limit(context.Background(), &handler.Exchange{Team: &parser.Team{Unlimited: true}}).Over())
		is.True(!d.limit(context.Background(), &handler.Exchange{}).Over())
	})
	t.Run("refused with a time to come back", func(t *testing.T) {
		is := is.New(t)
		d := NewDivided(DividedConfig{Clock: timekeeper.NewClock(), Share: func(string) float64 { return 0.01 }})
		e := &handler.Exchange{Team: team}
		d.limit(context.Background(), e)
		o := d.limit(context.Background(), e)
		is.Equal(o.Run, handler.NotRun)
		is.True(e.RetryAfter > 0)
	})
}
