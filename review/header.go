package main

import (
	"fmt"
	"net/http"
	"time"
)

// operations is the number of operations of each user.
const operations = 10

// repeatedHeader lets two users of one tenant send charges. Their program numbers each user's charges in a
// header of its own, Idempotency-Key, which is meant for the targets. Each request has its own ID, and one is
// answered before the next one is sent.
func repeatedHeader(d *deployment, trouble bool) (int, error) {
	if err := d.begin(3, 2); err != nil {
		return couldNotRun, err
	}
	for _, t := range d.of("bills") {
		t.serve = func(t *target, w http.ResponseWriter, r *http.Request, _ int64) {
			id := r.Header.Get("X-Request-Id")
			w.Header().Set("X-Response-Signature", "signed-"+id)
			_, _ = fmt.Fprintf(w, "receipt for %s: request %s ran at %s", r.Header.Get("Authorization"), id, t.id)
		}
	}
	wrong := 0
	for n := range operations {
		for i, user := range []string{"Basic user-1", "Basic user-2"} {
			id := newID()
			h := clientHeader(id, 4*time.Second)
			h.Set("Authorization", user)
			if trouble {
				h.Set("Idempotency-Key", fmt.Sprintf("charge-%d", n+1))
			}
			answered := http.Header{}
			status, text := callWithAnswer(d.edges[i].at(frontendPort), http.MethodPut, "/charge/7", "12.50", h, 4*time.Second, &answered)
			signature := answered.Get("X-Response-Signature")
			runs := 0
			for _, t := range d.of("bills") {
				t.mutex.Lock()
				runs += t.runs[id]
				t.mutex.Unlock()
			}
			d.logf("%s: PUT %s, charge-%d: %d, signature %q, run by %d targets: %s", user, id, n+1, status, signature, runs, text)
			if status >= 200 && status < 300 && signature != "signed-"+id {
				wrong++
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	d.logf("%d requests got a success without the target's signature, with the answer to another user's request", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
