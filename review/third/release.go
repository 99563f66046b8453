package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Course of the case.
const (
	// releaseTargets is the number of targets of the service, and releaseRate the requests per second.
	releaseTargets = 338
	releaseRate    = 640
	// lampWork is the mean work of a request.
	lampWork = 1398 * time.Millisecond
	// releaseStep is the number of targets that are replaced at a time, and releaseGap the time between two steps.
	releaseStep = 24
	releaseGap  = 1100 * time.Millisecond
	releaseTime = 70 * time.Second
	// calmTime is the time without requests and without changes before the clients of the check.
	calmTime = 12 * time.Second
	// contact is the time for which at least seven clients try.
	contact      = 4 * time.Second
	checkClients = 8
)

// runRelease replaces the targets of a service while clients send requests. Then, in calm, new clients try to connect.
func runRelease(d *deployment, trouble bool) verdict {
	ok := d.startAll(2, releaseTargets, firstConfig, func(r *http.Request, _ []byte) []byte {
		if r.URL.Path != "/vota118/small" {
			time.Sleep(time.Duration(float64(lampWork) * (0.85 + 0.3*rand.Float64())))
		}
		return []byte("done")
	})
	if !ok {
		return notRun
	}
	m, p := d.edges[0], &pool{deployment: d, edge: d.edges[0], statuses: map[string]int{}}
	stop := make(chan struct{})
	d.wait.Go(func() { p.run(stop) })
	next := releaseTargets
	for begun := time.Now(); time.Since(begun) < releaseTime; time.Sleep(releaseGap) {
		if trouble {
			d.release(releaseStep, next)
			next += releaseStep
			d.printf("targets %d to %d start, and as many older ones leave", next-releaseStep, next-1)
		}
		d.printf("answers so far: %s; the edge process has %d descriptors open", p.summary(), openFiles(m))
	}
	close(stop)
	p.requests.Wait()
	p.close()
	d.printf("all clients have left")
	time.Sleep(calmTime)
	d.printf("the edge process has %d descriptors open", openFiles(m))
	return d.checkConnections(m)
}

// checkConnections has new clients try for contact, and asks the machine whether it is ready.
func (d *deployment) checkConnections(m *member) verdict {
	var clients sync.WaitGroup
	var mutex sync.Mutex
	served := 0
	for i := range checkClients {
		clients.Go(func() {
			for end := time.Now().Add(contact); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				id := newID()
				status := d.send(m, "/vota118/small", id)
				d.printf("client %d: request %s on a new connection: answer %d", i, id, status)
				mutex.Lock()
				if status != 0 {
					served++
				}
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	a, err := operator.Get("http://" + d.address(m, readyPort) + "/ready")
	if err == nil {
		_ = a.Body.Close()
		d.printf("GET /ready: answer %d", a.StatusCode)
	} else {
		d.printf("GET /ready: %v", err)
	}
	status, text := d.lookup(d.edges[1])
	d.printf("GET /lookup of another edge machine: answer %d %s", status, text)
	if served == 0 {
		d.printf("no request on a new connection was answered for %v, while %d clients tried", contact, checkClients)
		return broken
	}
	return held
}

// lookup asks the directory of an edge where to connect.
func (d *deployment) lookup(m *member) (int, string) {
	a, err := operator.Get("http://" + d.address(m, directoryPort) + "/lookup?name=jepu9.example&region=delta&zone=delta-tanta")
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, strings.TrimSpace(string(b))
}

// openFiles returns the number of open descriptors of a member's process.
func openFiles(m *member) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.command.Process.Pid))
	return len(list)
}

// pool sends requests on connections that it keeps for further requests.
type pool struct {
	*deployment
	edge     *member
	requests sync.WaitGroup
	mutex    sync.Mutex
	idle     []*kept
	statuses map[string]int
}

type kept struct {
	net.Conn
	reader *bufio.Reader
}

func (p *pool) run(stop chan struct{}) {
	t := time.NewTicker(time.Second / releaseRate)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-p.closed:
			return
		case <-t.C:
			p.requests.Go(p.request)
		}
	}
}

func (p *pool) request() {
	c := p.take()
	if c == nil {
		n, err := net.DialTimeout("tcp", p.address(p.edge, frontendPort), time.Second)
		if err != nil {
			p.count("no connection")
			return
		}
		c = &kept{n, bufio.NewReader(n)}
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(c, requestText(fmt.Sprintf("/vota118/%x", rand.IntN(1000)), newID()))
	var a *http.Response
	if err == nil {
		a, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	if err != nil {
		p.count("no answer")
		_ = c.Close()
		return
	}
	p.count(a.Status)
	if a.Close {
		_ = c.Close()
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) take() *kept {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) count(result string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.statuses[result]++
}

func (p *pool) summary() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprint(p.statuses)
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
}
