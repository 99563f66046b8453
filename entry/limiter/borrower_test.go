package limiter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// fakeLender replaces the control leader's buckets.
type fakeLender struct {
	mutex sync.Mutex
	left  uint32
	asked []*wire.TokenDemand
	down  bool
	// noSpare lends tokens only to requests that wait.
	noSpare bool
	calls   int
	// release blocks calls until it is closed; nil lets all calls through.
	release chan struct{}
}

func (k *fakeLender) call(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	if k.release != nil {
		select {
		case <-k.release:
		case <-ctx.Done():
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.down {
		return nil, errors.New("no leader")
	}
	out := &wire.BorrowResponse{}
	k.calls++
	for _, d := range demands {
		k.asked = append(k.asked, d)
		n := min(k.left, d.GetNeeded()+d.GetWanted())
		if k.noSpare {
			n = min(n, d.GetNeeded())
		}
		k.left -= n
		l := &wire.TokenLoan{Team: d.GetTeam(), Tokens: n}
		if n < d.GetNeeded() {
			l.WaitMilliseconds = 300
		}
		out.Loans = append(out.Loans, l)
	}
	return out, nil
}

func startBorrower(t *testing.T, k *fakeLender) *Borrower {
	t.Helper()
	b := NewBorrower(BorrowerConfig{Clock: timekeeper.NewClock(), Scope: tally.NoopScope, Call: k.call})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Run(ctx) // ends with the context
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

func TestBorrower(t *testing.T) {
	team := &parser.Team{Name: "lamps", Rate: 20, Burst: 20}
	ctx, left := context.Background(), 8*time.Second
	t.Run("a request waits for its token", func(t *testing.T) {
		is := is.New(t)
		b := startBorrower(t, &fakeLender{left: 1})
		is.True(b.Take(ctx, team, left).Admitted)
		v := b.Take(ctx, team, left)
		is.True(!v.Admitted && !v.Unreachable && v.RetryAfter > 0)
	})
	t.Run("concurrent requests share calls", func(t *testing.T) {
		is := is.New(t)
		k := &fakeLender{left: 100, release: make(chan struct{})}
		b := startBorrower(t, k)
		first := make(chan TakeResult, 1)
		go func() { first <- b.Take(ctx, team, left) }()
		for !b.hasWaiters() {
			time.Sleep(time.Millisecond)
		}
		const many = 50
		out := make(chan TakeResult, many)
		for range many {
			go func() { out <- b.Take(ctx, team, left) }()
		}
		for waiterCount(b) < many {
			time.Sleep(time.Millisecond)
		}
		close(k.release)
		is.True((<-first).Admitted)
		for range many {
			is.True((<-out).Admitted)
		}
		is.True(len(k.asked) <= 4)
	})
	t.Run("a team far over its limit causes few calls", func(t *testing.T) {
		is := is.New(t)
		k := &fakeLender{}
		b := startBorrower(t, k)
		begun := time.Now()
		for range 1000 {
			is.True(!b.Take(ctx, team, left).Admitted)
		}
		is.True(len(k.asked) <= 2+2*int(time.Since(begun)/askBackoff))
	})
	t.Run("many teams of which control has no token to spare cause few calls", func(t *testing.T) {
		is := is.New(t)
		k := &fakeLender{left: 1000, noSpare: true}
		b := startBorrower(t, k)
		const teams = 20
		begun := time.Now()
		for i := range teams {
			is.True(b.Take(ctx, &parser.Team{Name: fmt.Sprint(i), Rate: 20, Burst: 20}, left).Admitted)
		}
		time.Sleep(2 * time.Second)
		k.mutex.Lock()
		defer k.mutex.Unlock()
		is.True(k.calls <= teams+1+int(time.Since(begun)/lazyPause))
	})
	t.Run("tokens of a team with many requests are borrowed in advance at once", func(t *testing.T) {
		is := is.New(t)
		k := &fakeLender{left: 1000}
		b := startBorrower(t, k)
		for range 20 {
			is.True(b.Take(ctx, team, left).Admitted)
		}
		time.Sleep(3 * refillInterval)
		is.True(heldTokens(b) > 1)
	})
	t.Run("without control a request waits for a bounded time only", func(t *testing.T) {
		is := is.New(t)
		b := startBorrower(t, &fakeLender{down: true})
		begun := time.Now()
		v := b.Take(ctx, team, 400*time.Millisecond)
		is.True(v.Unreachable)
		is.True(time.Since(begun) >= 100*time.Millisecond)
	})
	t.Run("tokens lent under another limit are dropped", func(t *testing.T) {
		is := is.New(t)
		k := &fakeLender{left: 2}
		b := startBorrower(t, k)
		is.True(b.Take(ctx, team, left).Admitted)
		for heldTokens(b) == 0 {
			time.Sleep(time.Millisecond)
		}
		is.True(!b.Take(ctx, &parser.Team{Name: "lamps", Rate: 10, Burst: 10}, left).Admitted)
	})
}

func waiterCount(b *Borrower) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.loans["lamps"].waiters)
}

func heldTokens(b *Borrower) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.loans["lamps"].tokens
}

// TestFirstShare checks that a request of a team whose rate is divided waits for this entry's
// first share, but only for a bounded time.
func TestFirstShare(t *testing.T) {
	divided := func(_ context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
		return &wire.BorrowResponse{Loans: []*wire.TokenLoan{{Team: demands[0].GetTeam(), Divided: true}}}, nil
	}
	for _, arrives := range []bool{true, false} {
		t.Run(map[bool]string{true: "arrives", false: "does not arrive"}[arrives], func(t *testing.T) {
			is := is.New(t)
			b := NewBorrower(BorrowerConfig{Clock: timekeeper.NewClock(), Scope: tally.NoopScope, Call: divided})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = b.Run(ctx) }() // ends with the context
			var share atomic.Int64
			changed, clock := make(chan struct{}), timekeeper.NewClock()
			d := NewShareLimiter(ShareLimiterConfig{
				Clock: clock, Borrower: b, View: func() *receiver.View { return &receiver.View{} },
				Share:        func(string) float64 { return float64(share.Load()) },
				ShareChanged: func() <-chan struct{} { return changed },
			})
			if arrives {
				time.AfterFunc(50*time.Millisecond, func() {
					share.Store(1)
					close(changed)
				})
			}
			e := &handler.Exchange{Team: &parser.Team{Name: "lamps", Rate: 200, Burst: 200}, Deadline: clock.Now() + time.Second}
			o := d.limit(ctx, e)
			is.Equal(o.IsFinal(), !arrives)
			is.True(arrives || e.RetryAfter > 0)
		})
	}
}
