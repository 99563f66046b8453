package control

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// lingerTime is how long calls are still taken once a stop begins. Their responses end the
	// connections, so that no call crosses a close.
	lingerTime = 400 * time.Millisecond
	// answerTimeout limits the wait for responses once the contexts of calls have ended.
	answerTimeout = 500 * time.Millisecond
)

// drainer counts the calls of operators and entries, and ends them when the process stops. Calls of
// other members don't pass through it, since orders can be committed only as long as those arrive.
type drainer struct {
	mutex    sync.Mutex
	stage    drainStage
	underWay int
	// ended is signaled when a call ends.
	ended *sync.Cond
	// expired ends when calls under way must respond.
	expired context.Context
	expire  context.CancelFunc
}

// drainStage is how far a stop is.
type drainStage int

const (
	// serving takes calls, closing takes them as the last ones of their connections, and refusing
	// takes none.
	serving drainStage = iota
	closing
	refusing
)

func newDrainer() *drainer {
	d := &drainer{}
	d.ended = sync.NewCond(&d.mutex)
	d.expired, d.expire = context.WithCancel(context.Background())
	return d
}

// wrap returns a handler whose calls the drainer counts.
func (d *drainer) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		stage := d.begin()
		if stage != serving {
			w.Header().Set("Connection", "close")
		}
		if stage == refusing {
			http.Error(w, "this control member is stopping; nothing was done", http.StatusServiceUnavailable)
			return
		}
		defer d.end()
		ctx, cancel := context.WithCancel(q.Context())
		defer cancel()
		defer context.AfterFunc(d.expired, cancel)()
		h.ServeHTTP(w, q.WithContext(ctx))
	})
}

// begin counts a call unless calls are refused.
func (d *drainer) begin() drainStage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.stage != refusing {
		d.underWay++
	}
	return d.stage
}

func (d *drainer) end() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.underWay--
	d.ended.Broadcast()
}

// drain takes no more calls after lingerTime, and returns once those under way have ended. Those that
// last longer than drainTimeout get answerTimeout to respond that their outcome is unknown.
func (d *drainer) drain() {
	d.enter(closing)
	time.Sleep(lingerTime)
	d.enter(refusing)
	expiry := time.AfterFunc(drainTimeout, d.expire)
	defer expiry.Stop()
	limit := time.AfterFunc(drainTimeout+answerTimeout, d.abandon)
	defer limit.Stop()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for d.underWay > 0 {
		d.ended.Wait()
	}
}

func (d *drainer) enter(s drainStage) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stage = s
}

// abandon stops counting the calls that are still under way.
func (d *drainer) abandon() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.underWay = 0
	d.ended.Broadcast()
}
