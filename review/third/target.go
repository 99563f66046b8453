package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// target is a sound target: it runs what is meant for it and says so in its answer.
type target struct {
	id string
	// work handles a request whose body was read, and returns the body of the answer.
	work    func(r *http.Request, body []byte) []byte
	running atomic.Int64
	server  *http.Server
}

func (d *deployment) addTarget(i int, service, zone string, work func(*http.Request, []byte) []byte) error {
	return d.addVersion(i, service, "v1", zone, work)
}

// addVersion starts a target of one version of its service.
func (d *deployment) addVersion(i int, service, version, zone string, work func(*http.Request, []byte) []byte) error {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := &target{id: fmt.Sprintf("i-%06x", 0xa1b200+i), work: work}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(n) }()
	d.targets = append(d.targets, t)
	d.list.add(listEntry{
		ID: t.id, Backend: service, Address: n.Addr().String(), Version: version, Slots: 6, State: "ready", Warmup: "0ms",
		Born: time.Now().UnixMilli(), zone: zone,
	})
	return nil
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	switch expected := r.Header.Get("X-Expected-Instance"); {
	case expected != "" && expected != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil:
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	running := t.running.Add(1)
	answer := t.work(r, body)
	t.running.Add(-1)
	w.Header().Set("X-Response-Signature", "s-"+t.id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,6", running))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if answer == nil {
		w.WriteHeader(http.StatusInternalServerError) // the target's own failure, which counts as run
		return
	}
	_, _ = w.Write(answer)
}

// release replaces the oldest targets. The new ones start first, and the old ones drain and end.
func (d *deployment) release(count, next int) {
	old := d.targets[:count]
	d.targets = append([]*target{}, d.targets[count:]...)
	for i := next; i < next+count; i++ {
		if err := d.addTarget(i, "huvo11a", zoneNames[i%len(zoneNames)], old[0].work); err != nil {
			d.printf("no new target: %v", err)
		}
	}
	for _, t := range old {
		d.list.setLeaving(t.id)
		time.AfterFunc(drainTime, func() {
			d.list.remove(t.id)
			_ = t.server.Close()
		})
	}
}

// drainTime is how long a target that leaves still serves: drain, 3 s, and a little longer.
const drainTime = 5 * time.Second
