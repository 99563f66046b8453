package limiter

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestDivided checks that an entry admits its share of the rate, plus the tokens it saved up to
// its share of the burst. A bucket starts empty, and a share that grows or returns adds no tokens
// at once.
func TestDivided(t *testing.T) {
	team := &parser.Team{Name: "t", Rate: 100, Burst: 100}
	configuration := &parser.Configuration{Teams: map[string]*parser.Team{"t": team}}
	cases := []struct {
		name string
		// share returns the entry's share at a time since the start. Requests arrive from the time
		// from until 4 s. least and most bound the number admitted; 100 ms of the rate may be
		// taken in advance.
		share       func(at time.Duration) float64
		from        time.Duration
		least, most int
	}{
		{"none", func(time.Duration) float64 { return 0 }, 0, 0, 0},
		{"half", func(time.Duration) float64 { return 0.5 }, 0, 200, 205},
		{"half, with some saved up", func(time.Duration) float64 { return 0.5 }, 500 * time.Millisecond, 199, 205},
		{"half, with a whole burst saved up", func(time.Duration) float64 { return 0.5 }, 2 * time.Second, 149, 155},
		{"gone for a while", func(at time.Duration) float64 {
			if at > time.Second && at < 2*time.Second {
				return 0
			}
			return 0.5
		}, 0, 148, 155},
		{"shrinks", func(at time.Duration) float64 {
			if at > time.Second {
				return 0.1
			}
			return 0.5
		}, 0, 78, 85},
		{"grows", func(at time.Duration) float64 {
			if at > 2*time.Second {
				return 0.5
			}
			return 0.1
		}, 0, 119, 126},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun := time.Hour
			now := begun
			d := NewShareLimiter(ShareLimiterConfig{
				Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
				View:  func() *receiver.View { return &receiver.View{Configuration: configuration} },
				Share: func(string) float64 { return c.share(now - begun) },
			})
			admitted, reported := 0, begun
			_, _ = d.take(team, maxTokenWait) // creates the team's bucket
			for now < begun+4*time.Second {
				now += 2 * time.Millisecond
				if now-reported >= 500*time.Millisecond {
					reported = now
					d.RequestRates()
				}
				if now < begun+c.from {
					continue
				}
				if _, ok := d.take(team, maxTokenWait); ok {
					admitted++
				}
			}
			t.Log(admitted)
			is.True(admitted >= c.least && admitted <= c.most)
		})
	}
	t.Run("unlimited", func(t *testing.T) {
		is := is.New(t)
		d := NewShareLimiter(ShareLimiterConfig{Clock: timekeeper.NewClock(), Share: func(string) float64 { return 0 }})
		is.True(!d.limit(context.Background(), &handler.Exchange{Team: &parser.Team{Unlimited: true}}).IsFinal())
		is.True(!d.limit(context.Background(), &handler.Exchange{}).IsFinal())
	})
	t.Run("a refusal sets RetryAfter", func(t *testing.T) {
		is := is.New(t)
		d := NewShareLimiter(ShareLimiterConfig{
			Clock: timekeeper.NewClock(), View: func() *receiver.View { return &receiver.View{} }, Share: func(string) float64 { return 0.01 },
		})
		e := &handler.Exchange{Team: team}
		d.limit(context.Background(), e)
		o := d.limit(context.Background(), e)
		is.Equal(o.Run, handler.NotRun)
		is.True(e.RetryAfter > 0)
	})
}

// TestTokenAfterTheDeadline guards against a request that waits for a token that arrives after its deadline, and that
// takes it from a request which could be served.
func TestTokenAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	team := &parser.Team{Name: "t", Rate: 20, Burst: 20}
	d := NewShareLimiter(ShareLimiterConfig{
		Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
		View:  func() *receiver.View { return &receiver.View{} }, Share: func(string) float64 { return 1 },
	})
	d.bucket(team).share = 1
	late := &handler.Exchange{Team: team, Deadline: now + 10*time.Millisecond}
	o := d.limit(context.Background(), late) // the token arrives in 50 ms
	is.Equal(o, handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit))
	is.Equal(late.RetryAfter, 50*time.Millisecond)
	is.True(!d.limit(context.Background(), &handler.Exchange{Team: team, Deadline: now + time.Second}).IsFinal())
	is.Equal(d.bucket(team).tokens, -1.0) // the only token that was taken
}

// TestOverdraftFollowsShares guards against an overdraft divided by the number of entries, on
// which entries may disagree. Divided by shares, the parts never add up to more than the whole.
func TestOverdraftFollowsShares(t *testing.T) {
	is := is.New(t)
	team := &parser.Team{Name: "t", Rate: 50, Burst: 50}
	configuration := &parser.Configuration{Teams: map[string]*parser.Team{"t": team}}
	admitted := 0
	for _, share := range []float64{0.5, 0.3, 0.15, 0.05} {
		now := time.Hour
		d := NewShareLimiter(ShareLimiterConfig{
			Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
			View:  func() *receiver.View { return &receiver.View{Configuration: configuration} },
			Share: func(string) float64 { return share }, Overdraft: Overdraft{Part: 0.04, Window: 5 * time.Second, Tokens: 8},
		})
		d.RequestRates()
		now += time.Minute
		for {
			if wait, ok := d.take(team, maxTokenWait); !ok || wait > 0 {
				break
			}
			admitted++
		}
	}
	is.True(admitted <= 50+12+8 && admitted >= 50+12+8-4) // four entries admit whole tokens only, so up to 4 are missing
}

// Guards against a request that waited, for instance for an earlier attempt, and fills its team's bucket at the rate
// that the team had at the request's start.
func TestRetryIsChargedAtTheLatestRate(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	before := &parser.Team{Name: "t", Rate: 1000, Burst: 1000}
	latest := &receiver.View{Configuration: &parser.Configuration{Teams: map[string]*parser.Team{"t": {Name: "t", Rate: 2, Burst: 2}}}}
	d := NewShareLimiter(ShareLimiterConfig{
		Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, View: func() *receiver.View { return latest },
		Share: func(string) float64 { return 1 },
	})
	_ = d.RequestRates() // creates the bucket
	_, _ = d.take(before, maxTokenWait)
	now += 10 * time.Second
	admitted := 0
	for range 100 {
		if wait, ok := d.take(before, maxTokenWait); ok && wait == 0 {
			admitted++
		}
	}
	is.Equal(admitted, 2)
	latest = &receiver.View{Configuration: &parser.Configuration{Teams: map[string]*parser.Team{"t": {Name: "t", Unlimited: true}}}}
	is.True(!d.admit(context.Background(), &handler.Exchange{Team: before}).IsFinal())
}
