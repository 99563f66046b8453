package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of a second rollout.
const (
	rolloutService = "lamps"
	// rolloutDuration is that of the days of the site file.
	rolloutDuration = 16 * time.Second
	// lateness is how long the platform goes on asking for the state of a rollout that is late.
	lateness = 8 * time.Second
	// pollPause is the pause of the platform between two questions after a rollout's state.
	pollPause = 100 * time.Millisecond
	// exposureShare and exposureSlack are the bounds of the rule EXPOSURE.
	exposureShare = 0.1
	exposureSlack = 50
	// clients is the number of clients, and clientPause the pause of each between two requests.
	clients     = 40
	clientPause = 150 * time.Millisecond
	objects     = 400
	// failureEvery is how many answers of the bad version there are to one failure: a share of 0.5.
	failureEvery = 2
	targetCount  = 6
)

// playRollout brings in a good version and then, as the trouble, a bad one of the same service. The platform starts the
// targets of a new version with the order, asks for the state of the rollout, and stops the old targets at "completed".
// Without the trouble, the bad version is the first that is brought in.
func playRollout(d *deployment, trouble bool) (bool, string, error) {
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
	if trouble {
		state, err := d.rollOut("v2", answerWhole)
		if err != nil || state != "completed" {
			return false, "", fmt.Errorf("the first rollout ended as %q: %v", state, err)
		}
		time.Sleep(3 * time.Second)
	}
	var answers atomic.Int64
	bad := func(t *target, c net.Conn, q *http.Request) bool {
		if answers.Add(1)%failureEvery != 0 {
			return answerWhole(t, c, q)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Request-Id"))
		return err == nil
	}
	ordered := time.Now()
	w.reset()
	state, err := d.rollOut("v3", bad)
	if err != nil {
		return false, "", err
	}
	time.Sleep(time.Until(ordered.Add(rolloutDuration)))
	w.stop()
	exposed, all := d.countRuns("v3", ordered)
	seen := fmt.Sprintf("first end of the rollout of the bad version: %s; %d of %d requests that reached the service ran on the bad version; %.0f are allowed; clients got %s",
		state, exposed, all, exposureShare*float64(all)+exposureSlack, w.describe())
	return float64(exposed) <= exposureShare*float64(all)+exposureSlack, seen, nil
}

// startVersion starts targets of a version.
func (d *deployment) startVersion(version string, answer func(*target, net.Conn, *http.Request) bool) error {
	for i := range targetCount {
		t, err := d.addTarget(fmt.Sprintf("i-%s-%d", version, i+1), rolloutService, zones[i%len(zones)][0], 30*time.Millisecond, answer)
		if err != nil {
			return err
		}
		d.mutex.Lock()
		t.version, t.slots = version, 16
		d.mutex.Unlock()
	}
	return nil
}

// rollOut orders a rollout, starts the targets of the version as it is acknowledged, and follows its state until it is no
// longer "running", or until its time is over. At "completed" it stops the targets of all other versions at once.
func (d *deployment) rollOut(version string, answer func(*target, net.Conn, *http.Request) bool) (string, error) {
	if err := d.orderRollout(version); err != nil {
		return "", err
	}
	d.record.line("platform: the rollout to %s is acknowledged", version)
	if err := d.startVersion(version, answer); err != nil {
		return "", err
	}
	last := ""
	for end := time.Now().Add(rolloutDuration + lateness); time.Now().Before(end); time.Sleep(pollPause) {
		state, named := d.rolloutState()
		if state != last && state != "" {
			last = state
			d.record.line("platform: the rollout of %s is %s", named, state)
		}
		if named != version {
			continue
		}
		switch state {
		case "completed":
			d.stopOthers(version)
			return state, nil
		case "rolled_back":
			return state, nil
		}
	}
	return last, nil
}

// orderRollout sends the order until it is acknowledged. It follows redirects twice.
func (d *deployment) orderRollout(version string) error {
	b, _ := json.Marshal(map[string]any{"backend": rolloutService, "new_version": version, "duration": fmt.Sprintf("%dms", rolloutDuration.Milliseconds())})
	client := &http.Client{Timeout: time.Second}
	for i := range 20 {
		q, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s.%d.1:%d/rollouts", d.network, i%len(zones)+1, controlPort), bytes.NewReader(b))
		q.Header.Set("Content-Type", "application/json")
		r, err := client.Do(q)
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the rollout was not acknowledged")
}

func (d *deployment) rolloutState() (state, version string) {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s.1.1:%d/rollouts/%s", d.network, controlPort, rolloutService))
	if err != nil {
		return "", ""
	}
	defer r.Body.Close()
	var out struct {
		State      string `json:"state"`
		NewVersion string `json:"new_version"`
	}
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&out) != nil {
		return "", ""
	}
	return out.State, out.NewVersion
}

// stopOthers stops the targets of other versions, without draining.
func (d *deployment) stopOthers(version string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, t := range d.targets {
		if t.version != version && !t.stopped {
			t.stopped = true
			t.close()
			d.record.line("platform: target %s of %s stops", t.id, t.version)
		}
	}
}

// countRuns returns how many requests ran on a version since a moment, and on all versions.
func (d *deployment) countRuns(version string, since time.Time) (of, all int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, t := range d.targets {
		t.mutex.Lock()
		for _, n := range t.runs {
			if n.begun.After(since) {
				all++
				if t.version == version {
					of++
				}
			}
		}
		t.mutex.Unlock()
	}
	return of, all
}

// walkers are clients that keep a connection each and send one request after the other.
type walkers struct {
	d       *deployment
	end     chan struct{}
	once    sync.Once
	all     sync.WaitGroup
	mutex   sync.Mutex
	answers map[int]int
}

func (w *walkers) stop() {
	w.once.Do(func() { close(w.end) })
	w.all.Wait()
}

func (w *walkers) reset() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answers = map[int]int{}
}

func (w *walkers) describe() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprint(w.answers)
}

func (w *walkers) run(m *machine, k int) {
	defer w.all.Done()
	for n := 0; ; {
		c, err := net.Dial("tcp", m.frontend())
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for keep := true; keep; n++ {
			select {
			case <-w.end:
				_ = c.Close()
				return
			case <-time.After(clientPause):
			}
			id := fmt.Sprintf("w-%d-%d", k, n)
			_, _ = fmt.Fprintf(c, "GET /lamps/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nCookie: X-Affinity-Key=%d\r\n\r\n", k, host, id, (k*97+n*13)%objects)
			r, err := http.ReadResponse(reader, nil)
			status := 0
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
				status, keep = r.StatusCode, !r.Close
			}
			w.d.record.line("client: %s gets %d", id, status)
			w.mutex.Lock()
			if w.answers != nil {
				w.answers[status]++
			}
			w.mutex.Unlock()
			keep = keep && err == nil
		}
		_ = c.Close()
	}
}
