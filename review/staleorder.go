package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of a round of staleOrder.
const (
	staleRounds = 6
	// settleTime is the bounds contact (3 s) and evacuate (5 s) with a margin.
	settleTime = 9 * time.Second
	watchTime  = 1500 * time.Millisecond
)

// staleOrder freezes a core machine while it is sent the withdrawal of an evacuation. The operator gets no
// answer and sends the order again to another machine, which acknowledges it. Later the operator evacuates
// the zone once more, and the core machine wakes.
func staleOrder(d *deployment, trouble bool) (int, error) {
	const zone = "north-b"
	if err := d.begin(5, 3); err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second) // the bound contact, and one second
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range d.edges {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.askUntil(m, stop)
		}()
	}
	defer clients.Wait()
	defer close(stop)
	for n := range staleRounds {
		late, err := d.staleRound(zone, trouble)
		if err != nil {
			return couldNotRun, err
		}
		d.logf("round %d: %d requests reached targets of the evacuated zone later than %v after the acknowledgement", n+1, late, settleTime)
		if late > 0 {
			return broken, nil
		}
	}
	return held, nil
}

func (d *deployment) askUntil(m *machine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		a := d.request(m, http.MethodGet, "/status/1", "", 8*time.Second)
		d.logf("client: GET %s to %s: %d %s", a.id, m.name, a.status, a.text)
	}
}

// staleRound returns how many requests reached the zone although it is evacuated.
func (d *deployment) staleRound(zone string, trouble bool) (late int, err error) {
	x, others := d.splitByRole()
	if x == nil {
		return 0, errSetup
	}
	path := "/evacuation/" + zone
	if _, ok := d.accept([]*machine{x}, http.MethodPost, path, ""); !ok {
		return 0, errSetup
	}
	time.Sleep(time.Second)
	if trouble {
		x.signal(syscall.SIGSTOP)
	}
	if status, _ := d.order(x, http.MethodDelete, path, ""); status != http.StatusOK {
		if _, ok := d.accept(others, http.MethodDelete, path, ""); !ok {
			return 0, errSetup
		}
	}
	time.Sleep(300 * time.Millisecond)
	if _, ok := d.accept(others, http.MethodPost, path, ""); !ok {
		return 0, errSetup
	}
	acknowledged := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		x.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(acknowledged.Add(settleTime)))
	from := time.Now()
	time.Sleep(watchTime)
	for _, t := range d.targets {
		t.mutex.Lock()
		for _, a := range t.arrivals {
			if t.zone == zone && a.at.After(from) {
				late++
				d.logf("target %s in %s ran %s, %.1f s after the evacuation was acknowledged", t.id, t.zone, a.id, a.at.Sub(acknowledged).Seconds())
			}
		}
		t.mutex.Unlock()
	}
	return late, nil
}

// splitByRole returns a core machine that does not lead, and the others. Its report tells whether one leads.
func (d *deployment) splitByRole() (x *machine, others []*machine) {
	for i := len(d.cores) - 1; i >= 0; i-- {
		if m := d.cores[i]; x == nil && !d.leads(m) {
			x = m
			continue
		}
		others = append(others, d.cores[i])
	}
	return x, others
}
