package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyBytes is within the limit max_body_bytes of the configuration, 64 MiB.
	bodyBytes = 60 << 20
	// uploads is the number of large bodies that clients send to a machine at the same time.
	uploads = 3
	// charges is the number of small requests that are under way to a machine meanwhile.
	charges = 5
)

// largeBodies lets four clients at a time send large bodies to each of two edge machines. Other clients have
// small requests under way. A machine that uses more memory than its limit is killed, as the platform does.
func largeBodies(d *deployment, trouble bool) (int, error) {
	if err := d.begin(3, 2); err != nil {
		return couldNotRun, err
	}
	for _, t := range d.of("bills") {
		t.serve = func(t *target, w http.ResponseWriter, r *http.Request, size int64) {
			t.answerWell(w, r.Header.Get("X-Request-Id"), size, time.Second)
		}
	}
	size := 1 << 10
	if trouble {
		size = bodyBytes
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for _, m := range d.edges {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			m.enforceMemory(stop)
		}()
	}
	var mutex sync.Mutex
	var lost []string
	body := strings.Repeat("x", size)
	for range 3 {
		for _, m := range d.edges {
			if !d.until(10*time.Second, func() bool { return d.request(m, http.MethodGet, "/status/1", "", time.Second).status == 200 }) {
				return couldNotRun, errSetup
			}
			var clients sync.WaitGroup
			for range charges {
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := d.request(m, http.MethodPut, "/charge/7", "12.50", 4*time.Second)
					d.logf("client: PUT %s to %s: %d %s", a.id, m.name, a.status, a.text)
					if a.status == 0 {
						mutex.Lock()
						lost = append(lost, a.id)
						mutex.Unlock()
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
			for range uploads {
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := d.request(m, http.MethodPost, "/status/1", body, 4*time.Second)
					d.logf("client: POST %s with %d bytes to %s: %d %s", a.id, size, m.name, a.status, a.text)
				}()
			}
			clients.Wait()
			time.Sleep(500 * time.Millisecond)
		}
	}
	close(stop)
	watchers.Wait()
	ran := map[string]bool{}
	for _, t := range d.of("bills") {
		t.mutex.Lock()
		for id := range t.runs {
			ran[id] = true
		}
		t.mutex.Unlock()
	}
	unanswered := 0
	for _, id := range lost {
		if ran[id] {
			unanswered++
			d.logf("request %s of another client ran and got no answer", id)
		}
	}
	d.logf("%d requests of other clients ran and got no answer", unanswered)
	for _, m := range d.edges {
		d.logf("%s was killed %d times for its memory", m.name, m.kills)
	}
	if d.edges[0].kills >= 3 && d.edges[1].kills >= 3 {
		return broken, nil
	}
	return held, nil
}

// enforceMemory kills the process of a machine whenever it uses more than memory_mb, and starts it again
// after a short delay.
func (m *machine) enforceMemory(stop chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			m.d.logf("%s used %d MB at most", m.name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := m.residentMB()
		peak = max(peak, used)
		if used <= m.d.memoryMB {
			continue
		}
		m.d.logf("%s uses %d MB, more than %d", m.name, used, m.d.memoryMB)
		m.kills++
		m.signal(syscall.SIGKILL)
		m.wait()
		time.Sleep(300 * time.Millisecond)
		if err := m.start(); err != nil {
			m.d.logf("%s does not start: %v", m.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of the machine's process.
func (m *machine) residentMB() int {
	m.mutex.Lock()
	pid := m.command.Process.Pid
	m.mutex.Unlock()
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty if the process has ended
	for line := range bytes.Lines(b) {
		if f := bytes.Fields(line); len(f) > 1 && string(f[0]) == "VmRSS:" {
			kb, _ := strconv.Atoi(string(f[1])) // the kernel writes a number
			return kb >> 10
		}
	}
	return 0
}
