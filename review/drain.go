package main

import (
	"net/http"
	"sync"
	"time"
)

// drain is the bound of the deployment.
const drain = 3 * time.Second

// lateDrain lets targets lose the answers of requests after some seconds, while other targets leave. The
// requests are safe, so they are sent again.
func lateDrain(d *deployment, trouble bool) (int, error) {
	if err := d.begin(3, 2); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	list := d.of("lamps")
	leaving, losing := list[:2], list[2:5]
	for _, t := range losing {
		t.serve = func(t *target, w http.ResponseWriter, r *http.Request, size int64) {
			time.Sleep(4500 * time.Millisecond)
			d.logf("target %s loses the answer of %s", t.id, r.Header.Get("X-Request-Id"))
			loseAnswer(w)
		}
	}
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			a := d.request(d.edges[i%len(d.edges)], http.MethodGet, "/status/1", "", 8*time.Second)
			d.logf("client: GET %s: %d %s", a.id, a.status, a.text)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, t := range leaving {
			d.logf("target %s of zone %s is about to stop", t.id, t.zone)
			t.mutex.Lock()
			t.draining = true
			t.mutex.Unlock()
		}
	}
	clients.Wait()
	late := 0
	for _, t := range leaving {
		t.mutex.Lock()
		for _, a := range t.arrivals {
			if after := a.at.Sub(t.shownAt); trouble && after > drain {
				late++
				d.logf("request %s reached target %s %.2f s after the list showed that it is draining", a.id, t.id, after.Seconds())
			}
		}
		t.mutex.Unlock()
	}
	d.logf("%d requests reached draining targets later than %v", late, drain)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
