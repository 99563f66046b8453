package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Course of the case.
const (
	// rolloutRate is the number of requests per second that clients send to the service.
	rolloutRate = 5
	rolloutTime = 16 * time.Second
	// badShare is the share of the requests that fail on a bad version.
	badShare = 0.5
	// rollback is the time after the 50th bad answer from which a bad version gets no request, and badAnswers that number.
	rollback    = 5 * time.Second
	badAnswers  = 50
	rolloutEnd  = 100 * time.Second
	versionSize = 6
)

// versionLog holds what the targets of the new version did.
type versionLog struct {
	mutex sync.Mutex
	runs  int
	bad   int
	// fiftieth is when the 50th bad answer was given.
	fiftieth time.Time
	late     int
}

// runRollout brings in a new version of a service that has few requests.
func runRollout(d *deployment, trouble bool) verdict {
	old := func(*http.Request, []byte) []byte { time.Sleep(20 * time.Millisecond); return []byte("done") }
	if !d.startAll(2, versionSize, firstConfig, old) {
		return notRun
	}
	stop := make(chan struct{})
	d.wait.Go(func() { d.sendSteadily(stop) })
	defer close(stop)
	time.Sleep(5 * time.Second)
	oldTargets, l := d.targets, &versionLog{}
	status, text := d.order(http.MethodPost, "/rollouts", `{"backend":"huvo11a","new_version":"v2","duration":"16s"}`, 4*time.Second)
	d.printf("POST /rollouts of huvo11a to v2 in %v: answer %d %s", rolloutTime, status, text)
	if status != http.StatusOK {
		return notRun
	}
	// The platform starts the targets of the new version alongside the old ones once the order is accepted.
	for i := range versionSize {
		err := d.addVersion(versionSize+i, "huvo11a", "v2", zoneNames[i], func(r *http.Request, _ []byte) []byte {
			time.Sleep(20 * time.Millisecond)
			return l.answer(d, r, trouble)
		})
		if err != nil {
			return notRun
		}
	}
	state := ""
	for begun := time.Now(); time.Since(begun) < rolloutEnd; time.Sleep(250 * time.Millisecond) {
		if next := d.rolloutState(); next != state {
			state = next
			l.mutex.Lock()
			d.printf("GET /rollouts/huvo11a: %s; v2 has run %d requests, %d badly", state, l.runs, l.bad)
			l.mutex.Unlock()
			if state == "completed" {
				for _, t := range oldTargets {
					d.list.remove(t.id)
					_ = t.server.Close()
				}
				d.printf("the targets of v1 are stopped")
			}
		}
		l.mutex.Lock()
		late, runs := l.late, l.runs
		l.mutex.Unlock()
		if late > 0 {
			d.printf("the bad version got a request later than %v after its %dth bad answer", rollback, badAnswers)
			return broken
		}
		if state == "rolled_back" || (!trouble && state == "completed" && runs > 150) {
			return held
		}
	}
	return held
}

// answer runs a request on the new version. Each second one fails if the version is bad.
func (l *versionLog) answer(d *deployment, r *http.Request, bad bool) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs++
	fails := bad && l.runs%2 == 0
	if fails {
		l.bad++
	}
	if l.bad == badAnswers && l.fiftieth.IsZero() {
		l.fiftieth = time.Now()
		d.printf("the 50th bad answer of v2")
	}
	if !l.fiftieth.IsZero() && time.Since(l.fiftieth) > rollback+time.Second {
		l.late++
		d.printf("request %s runs on v2 %v after its 50th bad answer", r.Header.Get("X-Request-Id"), time.Since(l.fiftieth))
	}
	if fails {
		return nil
	}
	return []byte("done")
}

func (d *deployment) rolloutState() string {
	status, text := d.call(d.cores[0], http.MethodGet, "/rollouts/huvo11a", "")
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.NewDecoder(strings.NewReader(text)).Decode(&s) != nil {
		return ""
	}
	return s.State
}

// sendSteadily sends requests to the edges in turn.
func (d *deployment) sendSteadily(stop chan struct{}) {
	t := time.NewTicker(time.Second / rolloutRate)
	defer t.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-d.closed:
			return
		case <-t.C:
		}
		id, m := newID(), d.edges[i%len(d.edges)]
		all.Go(func() { d.printf("request %s to %s: answer %d", id, m.name, d.send(m, "/vota118/small", id)) })
	}
}
