package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evacuateBound is the bound evacuate of the deployment.
	evacuateBound = 5 * time.Second
	// work is the time that a request of the service takes, and slowFactor by how much longer it takes at a
	// slow target.
	work       = 500 * time.Millisecond
	slowFactor = 12
	// slowTargets of ten targets are slow; they lose two answers of five.
	slowTargets = 4
)

// lateEvacuation lets some targets be slow and lose answers of safe requests. A zone is evacuated while these
// run.
func lateEvacuation(d *deployment, trouble bool) (int, error) {
	const zone = "north-b"
	for _, z := range []string{"north-a", "north-a", "south-a", "south-a"} {
		if err := d.addTarget("lamps", z); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.begin(3, 2); err != nil {
		return couldNotRun, err
	}
	time.Sleep(5 * time.Second) // the bound contact of the site, and one second
	var evacuated []*target
	slow := 0
	for _, t := range d.of("lamps") {
		if t.zone == zone {
			evacuated = append(evacuated, t)
		}
		took := work
		loses := false
		if t.zone == "north-a" && slow < slowTargets {
			slow++
			took, loses = slowFactor*work, trouble
		}
		var count atomic.Int64
		t.serve = func(t *target, w http.ResponseWriter, r *http.Request, size int64) {
			id := r.Header.Get("X-Request-Id")
			if n := count.Add(1) % 5; !loses || (n != 0 && n != 3) {
				t.answerWell(w, id, size, took)
				return
			}
			time.Sleep(took)
			d.logf("target %s in %s loses the answer of %s", t.id, t.zone, id)
			loseAnswer(w)
		}
	}
	var clients sync.WaitGroup
	for i := range 80 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := d.request(d.edges[i%len(d.edges)], http.MethodGet, "/status/1", "", 8*time.Second)
			d.logf("client: GET %s: %d %s", a.id, a.status, a.text)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if _, ok := d.accept(d.cores, http.MethodPost, "/evacuation/"+zone, ""); !ok {
		return couldNotRun, errSetup
	}
	acknowledged := time.Now()
	clients.Wait()
	late := 0
	for _, t := range evacuated {
		t.mutex.Lock()
		for _, a := range t.arrivals {
			if after := a.at.Sub(acknowledged); after > evacuateBound {
				late++
				d.logf("request %s reached target %s in %s %.2f s after the evacuation was acknowledged", a.id, t.id, t.zone, after.Seconds())
			}
		}
		t.mutex.Unlock()
	}
	d.logf("%d requests reached targets of the evacuated zone later than %v", late, evacuateBound)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
