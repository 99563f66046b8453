package limiter

import (
	"context"
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

// bank is a stand-in for the control leader's buckets.
type bank struct {
	mutex sync.Mutex
	left  uint32
	asked []*wire.TokenDemand
	down  bool
	// held is closed to let calls through; nil lets all through.
	held chan struct{}
}

func (k *bank) call(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	if k.held != nil {
		select {
		case <-k.held:
		case <-ctx.Done():
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.down {
		return nil, errors.New("no leader")
	}
	out := &wire.BorrowResponse{}
	for _, d := range demands {
		k.asked = append(k.asked, d)
		n := min(k.left, d.GetNeeded()+d.GetWanted())
		k.left -= n
		l := &wire.TokenLoan{Team: d.GetTeam(), Tokens: n}
		if n < d.GetNeeded() {
			l.WaitMilliseconds = 300
		}
		out.Loans = append(out.Loans, l)
	}
	return out, nil
}

func newBorrowing(t *testing.T, k *bank) *Borrower {
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
		b := newBorrowing(t, &bank{left: 1})
		is.True(b.Take(ctx, team, left).Admitted)
		v := b.Take(ctx, team, left)
		is.True(!v.Admitted && !v.Unreachable && v.Wait > 0)
	})
	t.Run("many at once take one call", func(t *testing.T) {
		is := is.New(t)
		k := &bank{left: 100, held: make(chan struct{})}
		b := newBorrowing(t, k)
		first := make(chan Verdict, 1)
		go func() { first <- b.Take(ctx, team, left) }()
		for !b.waiting() {
			time.Sleep(time.Millisecond)
		}
		const many = 50
		out := make(chan Verdict, many)
		for range many {
			go func() { out <- b.Take(ctx, team, left) }()
		}
		for waiters(b) < many {
			time.Sleep(time.Millisecond)
		}
		close(k.held)
		is.True((<-first).Admitted)
		for range many {
			is.True((<-out).Admitted)
		}
		is.True(len(k.asked) <= 4)
	})
	t.Run("a team far over its limit costs few calls", func(t *testing.T) {
		is := is.New(t)
		k := &bank{}
		b := newBorrowing(t, k)
		begun := time.Now()
		for range 1000 {
			is.True(!b.Take(ctx, team, left).Admitted)
		}
		is.True(len(k.asked) <= 2+2*int(time.Since(begun)/askAgain))
	})
	t.Run("without control a request waits for a bounded time only", func(t *testing.T) {
		is := is.New(t)
		b := newBorrowing(t, &bank{down: true})
		begun := time.Now()
		v := b.Take(ctx, team, 400*time.Millisecond)
		is.True(v.Unreachable)
		is.True(time.Since(begun) >= 100*time.Millisecond)
	})
	t.Run("tokens of a lower limit are given up", func(t *testing.T) {
		is := is.New(t)
		k := &bank{left: 2}
		b := newBorrowing(t, k)
		is.True(b.Take(ctx, team, left).Admitted)
		for held(b) == 0 {
			time.Sleep(time.Millisecond)
		}
		is.True(!b.Take(ctx, &parser.Team{Name: "lamps", Rate: 10, Burst: 10}, left).Admitted)
	})
}

func waiters(b *Borrower) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.loans["lamps"].waiters)
}

func held(b *Borrower) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.loans["lamps"].tokens
}

// TestFirstShare: a request of a team whose rate is divided waits for this entry's first share
// of it, for a bounded time only.
func TestFirstShare(t *testing.T) {
	divided := func(_ context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
		return &wire.BorrowResponse{Loans: []*wire.TokenLoan{{Team: demands[0].GetTeam(), Divided: true}}}, nil
	}
	for _, comes := range []bool{true, false} {
		t.Run(map[bool]string{true: "comes", false: "does not come"}[comes], func(t *testing.T) {
			is := is.New(t)
			b := NewBorrower(BorrowerConfig{Clock: timekeeper.NewClock(), Scope: tally.NoopScope, Call: divided})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = b.Run(ctx) }() // ends with the context
			var share atomic.Int64
			changed, clock := make(chan struct{}), timekeeper.NewClock()
			d := NewDivided(DividedConfig{
				Clock: clock, Borrower: b, View: func() *receiver.View { return &receiver.View{} },
				Share:        func(string) float64 { return float64(share.Load()) },
				ShareChanged: func() <-chan struct{} { return changed },
			})
			if comes {
				time.AfterFunc(50*time.Millisecond, func() {
					share.Store(1)
					close(changed)
				})
			}
			e := &handler.Exchange{Team: &parser.Team{Name: "lamps", Rate: 200, Burst: 200}, Deadline: clock.Now() + time.Second}
			o := d.limit(ctx, e)
			is.Equal(o.Over(), !comes)
			is.True(comes || e.RetryAfter > 0)
		})
	}
}
