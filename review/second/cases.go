package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// host is the name that clients ask for.
const host = "jepu9.example"

// configure sends the first configuration.
func configure(d *deployment, services []string, routes ...map[string]any) error {
	var backends []map[string]any
	for _, s := range services {
		backends = append(backends, service(s))
	}
	err := d.order(map[string]any{
		"upsert": map[string]any{"routes": routes, "tenants": []any{}, "backends": backends, "limits": limits()},
		"delete": map[string]any{"routes": []any{}},
	})
	if err != nil {
		return err
	}
	return d.waitReady()
}

// head returns a client's request without a body.
func head(path, id string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
}

// Parameters of the case of a broken answer on a kept connection.
const (
	// bigBytes is the size of the long answers, and breakBytes is where some of them break off.
	bigBytes   = 96 << 10
	breakBytes = 88 << 10
	// pipelined is the number of requests that a client sends at a time.
	pipelined   = 8
	troubleTime = 5500 * time.Millisecond
	// garbledEvery is how many answers there are to one that breaks off: a share of 0.05.
	garbledEvery = 20
	// allowedLosses is the bound of the rule LOST.
	allowedLosses = 3
)

// playPipelined lets clients send requests behind others on kept connections while half of the targets of one service
// break off some of their answers. All targets of the other service are sound.
func playPipelined(d *deployment, trouble bool) (bool, string, error) {
	var until atomic.Int64
	for i := range 2 * len(zones) {
		z, answers, garbles := zones[i%len(zones)][0], 0, trouble && i%2 == 0
		big := func(t *target, c net.Conn, q *http.Request) bool {
			t.mutex.Lock()
			answers++
			n := answers
			t.mutex.Unlock()
			size := bigBytes
			if garbles && time.Now().UnixNano() < until.Load() && n%garbledEvery == 0 {
				size = breakBytes
				t.record.line("target %s breaks off its answer to %s", t.id, q.Header.Get("X-Request-Id"))
			}
			return answerUnframed(t, c, q, size, size < bigBytes)
		}
		if _, err := d.addTarget(fmt.Sprintf("i-reports-%d", i+1), "reports", z, 20*time.Millisecond, big); err != nil {
			return false, "", err
		}
		if _, err := d.addTarget(fmt.Sprintf("i-lamps-%d", i+1), "lamps", z, 100*time.Millisecond, answerWhole); err != nil {
			return false, "", err
		}
	}
	err := configure(d, []string{"reports", "lamps"}, route("r-reports", host, "/reports/", "safe", "reports", 1500*time.Millisecond),
		route("r-lamps", host, "/lamps/", "safe", "lamps", 1500*time.Millisecond))
	if err != nil {
		return false, "", err
	}
	until.Store(time.Now().Add(troubleTime).UnixNano())
	p := &pipelineClients{d: d, end: time.Now().Add(troubleTime)}
	var all sync.WaitGroup
	for _, m := range d.edges() {
		for k := range 2 {
			all.Add(1)
			go p.run(&all, m, k)
		}
	}
	all.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, id := range p.unanswered {
		for _, t := range d.targets {
			t.mutex.Lock()
			if n := t.runs[id]; n != nil && t.service == "lamps" && !n.cut {
				lost++
				d.record.line("lost: %s was passed on to the sound target %s, which answered it, and its connection ended without an answer", id, t.id)
			} else if n != nil && t.service == "lamps" {
				lost++
				d.record.line("lost: %s was passed on to the sound target %s and broken off there, and its connection ended without an answer", id, t.id)
			}
			t.mutex.Unlock()
		}
	}
	seen := fmt.Sprintf("%d requests, %d without a whole answer, of which %d had been passed on to a sound target; %d are allowed",
		p.sent.Load(), len(p.unanswered), lost, allowedLosses)
	return lost <= allowedLosses, seen, nil
}

// pipelineClients are clients that send further requests before the first has been answered.
type pipelineClients struct {
	d          *deployment
	end        time.Time
	sent       atomic.Int64
	mutex      sync.Mutex
	unanswered []string
}

func (p *pipelineClients) run(all *sync.WaitGroup, m *machine, k int) {
	defer all.Done()
	for n := 0; time.Now().Before(p.end); n++ {
		c, err := net.Dial("tcp", m.frontend())
		if err != nil {
			return
		}
		p.useConnection(c, fmt.Sprintf("%s-%d-%d", m.name, k, n))
		_ = c.Close()
	}
}

// useConnection keeps a connection and sends several requests on it at a time until it ends.
func (p *pipelineClients) useConnection(c net.Conn, name string) {
	reader := bufio.NewReader(c)
	for n := 0; time.Now().Before(p.end); n++ {
		var ids []string
		text := ""
		for i := range pipelined {
			id, path := fmt.Sprintf("%s-%d-%d", name, n, i), "/lamps/7"
			if i == 0 {
				path = "/reports/7"
			}
			ids, text = append(ids, id), text+head(path, id, 4*time.Second)
			p.d.record.line("client sends %s %s", id, path)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		p.sent.Add(pipelined)
		for i, id := range ids {
			r, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
			if err != nil {
				p.d.record.line("client: the connection ends with the answer to %s: %v", id, err)
				p.mutex.Lock()
				p.unanswered = append(p.unanswered, ids[i:]...)
				p.mutex.Unlock()
				return
			}
			p.d.record.line("client gets %d for %s", r.StatusCode, id)
			if r.Close {
				return
			}
		}
	}
}

// playLeft lets clients send many requests on one connection and leave.
func playLeft(d *deployment, trouble bool) (bool, string, error) {
	for _, z := range zones {
		if _, err := d.addTarget("i-"+z[0], "lamps", z[0], 800*time.Millisecond, answerWhole); err != nil {
			return false, "", err
		}
	}
	if err := configure(d, []string{"lamps"}, route("r-small", host, "/lamps/", "safe", "lamps", 1500*time.Millisecond)); err != nil {
		return false, "", err
	}
	const requests = 96
	m := d.edges()[0]
	c, err := net.Dial("tcp", m.frontend())
	if err != nil {
		return false, "", err
	}
	for i := range requests {
		_, _ = io.WriteString(c, head("/lamps/7", fmt.Sprintf("left-%d", i), 4*time.Second))
	}
	closed := time.Now().Add(time.Hour)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		closed = time.Now()
		_ = c.Close()
		d.record.line("the client closes its connection")
	}
	time.Sleep(6 * time.Second)
	late, atWork := 0, 0
	for _, t := range d.targets {
		t.mutex.Lock()
		for _, n := range t.runs {
			if n.begun.After(closed.Add(500 * time.Millisecond)) {
				late++
			}
			if n.begun.Before(closed) && n.end.After(closed.Add(500*time.Millisecond)) {
				atWork++
			}
		}
		t.mutex.Unlock()
	}
	_ = c.Close()
	return late <= 3, fmt.Sprintf("%d of %d requests reached a target over half a second after their client had closed its connection; %d others were still at work then", late, requests, atWork), nil
}

// playEncoded sends a path with an encoded slash.
func playEncoded(d *deployment, trouble bool) (bool, string, error) {
	for _, z := range zones {
		for _, s := range []string{"lamps", "billing"} {
			if _, err := d.addTarget("i-"+s+"-"+z[0], s, z[0], 5*time.Millisecond, answerWhole); err != nil {
				return false, "", err
			}
		}
	}
	err := configure(d, []string{"lamps", "billing"}, route("r-lamps", host, "/a/", "safe", "lamps", 1500*time.Millisecond),
		route("r-billing", host, "/a/b/", "unsafe", "billing", 1500*time.Millisecond))
	if err != nil {
		return false, "", err
	}
	path := "/a/b-7"
	if trouble {
		path = "/a/b%2F7"
	}
	wrong := 0
	for i, m := range d.edges() {
		c, err := net.Dial("tcp", m.frontend())
		if err != nil {
			return false, "", err
		}
		_, _ = io.WriteString(c, head(path, fmt.Sprintf("encoded-%d", i), 4*time.Second))
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return false, "", err
		}
		b, _ := io.ReadAll(r.Body)
		d.record.line("answer %d %s", r.StatusCode, b)
		_ = c.Close()
	}
	for _, t := range d.targets {
		t.mutex.Lock()
		if t.service == "billing" {
			wrong += len(t.runs)
		}
		t.mutex.Unlock()
	}
	return wrong == 0, fmt.Sprintf("%d requests for %s ran at the service of the route /a/b/", wrong, path), nil
}
