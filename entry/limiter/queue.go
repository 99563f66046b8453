package limiter

import (
	"context"
	"sync"
	"time"
)

// waitQueue holds the requests that wait for tokens, the oldest first. It is guarded by the mutex
// of the struct that holds it.
type waitQueue []*waiter

// waiter is one request that waits for tokens.
type waiter struct {
	needed    float64
	result    chan TakeResult
	abandoned bool
}

func newWaiter(needed float64) *waiter {
	return &waiter{needed: needed, result: make(chan TakeResult, 1)}
}

// await waits for a result, at most for the given time; ok is false if none arrived. mutex is the
// one that guards the waiter's queue.
func (w *waiter) await(ctx context.Context, mutex sync.Locker, bound time.Duration) (v TakeResult, ok bool) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case v = <-w.result:
		return v, true
	case <-timer.C:
	case <-ctx.Done():
	}
	mutex.Lock()
	defer mutex.Unlock()
	w.abandoned = true
	select {
	case v = <-w.result: // the result arrived together with the timeout
		return v, true
	default:
		return TakeResult{}, false
	}
}

// resolveFirst sends the oldest request its result and removes it from the queue.
func (l *waitQueue) resolveFirst(v TakeResult) {
	(*l)[0].result <- v
	*l = (*l)[1:]
}

// dropAbandoned removes the requests that no longer wait.
func (l *waitQueue) dropAbandoned() {
	live := (*l)[:0]
	for _, w := range *l {
		if !w.abandoned {
			live = append(live, w)
		}
	}
	*l = live
}
