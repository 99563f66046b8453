package limiter

import (
	"context"
	"sync"
	"time"
)

// line holds the requests that wait for tokens, the first one first. Its owner's mutex guards it.
type line []*waiter

// waiter is a request that waits for tokens.
type waiter struct {
	need float64
	told chan Verdict
	gone bool
}

func newWaiter(need float64) *waiter {
	return &waiter{need: need, told: make(chan Verdict, 1)}
}

// await waits for a verdict for a bounded time; ok is false if none came. The mutex is the line's.
func (w *waiter) await(ctx context.Context, mutex sync.Locker, bound time.Duration) (v Verdict, ok bool) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case v = <-w.told:
		return v, true
	case <-timer.C:
	case <-ctx.Done():
	}
	mutex.Lock()
	defer mutex.Unlock()
	w.gone = true
	select {
	case v = <-w.told: // it came at the last moment
		return v, true
	default:
		return Verdict{}, false
	}
}

// next gives the first request its verdict.
func (l *line) next(v Verdict) {
	(*l)[0].told <- v
	*l = (*l)[1:]
}

// dropGone forgets the requests that wait no more.
func (l *line) dropGone() {
	live := (*l)[:0]
	for _, w := range *l {
		if !w.gone {
			live = append(live, w)
		}
	}
	*l = live
}
