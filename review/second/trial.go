package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case of a change of leader during a rollout.
const (
	// loadedRate is the number of requests a second from which a target of the bad version fails each second one.
	loadedRate = 20
	// raisedRate is the number of requests in raisedSpan from which the bad version's share counts as raised.
	raisedRate = 25
	raisedSpan = 400 * time.Millisecond
	// earliestRaise is how long the platform waits for the end of the first requests to each new target.
	earliestRaise = 4 * time.Second
	// downTime is how long the core has no power.
	downTime = 2 * time.Second
	// contact and rollback are the bounds of the same names, and contactMargin is added to contact.
	contact       = 3 * time.Second
	contactMargin = time.Second
	rollback      = 5 * time.Second
	// badAnswers is the number of bad answers after which rollback begins.
	badAnswers = 50
	// watchTime is how long requests are watched after the core is back.
	watchTime = 18 * time.Second
)

// badVersion counts the requests and the bad answers of a version that fails under load.
type badVersion struct {
	mutex    sync.Mutex
	arrivals []time.Time
	byTarget map[string][]time.Time
	failures []time.Time
}

// answer answers each second request with a failure while its target is loaded.
func (b *badVersion) answer(t *target, c net.Conn, q *http.Request) bool {
	now := time.Now()
	b.mutex.Lock()
	b.arrivals = append(b.arrivals, now)
	list := append(b.byTarget[t.id], now)
	b.byTarget[t.id] = list
	recent := countSince(list, now.Add(-time.Second))
	fails := recent >= loadedRate && len(list)%failureEvery == 0
	if fails {
		b.failures = append(b.failures, now)
	}
	b.mutex.Unlock()
	if !fails {
		return answerWhole(t, c, q)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Request-Id"))
	return err == nil
}

func countSince(list []time.Time, since time.Time) int {
	n := 0
	for i := len(list) - 1; i >= 0 && list[i].After(since); i-- {
		n++
	}
	return n
}

// isRaised reports whether the version's share was raised.
func (b *badVersion) isRaised() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return countSince(b.arrivals, time.Now().Add(-raisedSpan)) >= raisedRate
}

// lateRequests returns the number of bad answers since a moment, and the number of requests that ran later than rollback
// after the 50th of them.
func (b *badVersion) lateRequests(since time.Time) (failures, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var fiftieth time.Time
	for _, at := range b.failures {
		if at.Before(since) {
			continue
		}
		if failures++; failures == badAnswers {
			fiftieth = at
		}
	}
	if fiftieth.IsZero() {
		return failures, 0
	}
	return failures, countSince(b.arrivals, fiftieth.Add(rollback))
}

// playTrial rolls out a version that fails under load. As the trouble, the core loses power for a moment as soon as the
// version gets more than its first share.
func playTrial(d *deployment, trouble bool) (bool, string, error) {
	if err := d.startVersion("v1", answerWhole); err != nil {
		return false, "", err
	}
	r := route("r-lamps", host, "/lamps/", "safe", rolloutService, 1500*time.Millisecond)
	r["session_affinity"] = true
	if err := configure(d, []string{rolloutService}, r); err != nil {
		return false, "", err
	}
	w := &walkers{d: d, end: make(chan struct{})}
	for i := range clients {
		w.all.Add(1)
		go w.run(d.edges()[i%len(d.edges())], i)
	}
	defer w.stop()
	time.Sleep(2 * time.Second)
	b := &badVersion{byTarget: map[string][]time.Time{}}
	states := make(chan string, 1)
	begun := time.Now()
	go func() {
		state, err := d.rollOut("v2", b.answer)
		if err != nil {
			state = err.Error()
		}
		states <- state
	}()
	time.Sleep(earliestRaise)
	for !b.isRaised() {
		if time.Since(begun) > rolloutDuration {
			return false, "", fmt.Errorf("the share of the version was never raised")
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.record.line("platform: the share of v2 is raised")
	since := time.Now()
	if trouble {
		if err := d.restartCore(); err != nil {
			return false, "", err
		}
		since = time.Now().Add(contact + contactMargin)
	}
	state := "running"
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(pollPause) {
		select {
		case state = <-states:
		default:
		}
	}
	w.stop()
	failures, late := b.lateRequests(since)
	seen := fmt.Sprintf("end of the rollout of the bad version: %s; %d bad answers since the core was stable; %d requests ran on it later than %v after the %dth",
		state, failures, late, rollback, badAnswers)
	return late == 0, seen, nil
}

// restartCore ends all core processes at the same moment, and starts them again after downTime.
func (d *deployment) restartCore() error {
	var core []*machine
	for _, m := range d.machines {
		if m.class == "core" {
			core = append(core, m)
			_ = m.command.Process.Kill()
		}
	}
	d.record.line("platform: the core has no power")
	for _, m := range core {
		_ = m.command.Wait()
		_ = m.log.Close()
	}
	time.Sleep(downTime)
	for _, m := range core {
		if err := d.start(m, false); err != nil {
			return err
		}
	}
	d.record.line("platform: the core is started again")
	return nil
}
