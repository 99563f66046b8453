package detector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// network simulates the links to the targets and the time.
type network struct {
	*Detector
	now     time.Duration
	targets []*parser.Target
	mutex   sync.Mutex
	// dead holds the addresses that can't be reached; cut means that none can, and hang that dials
	// then take until their timeout.
	dead      map[string]bool
	cut, hang bool
	dials     int
}

// newNetwork returns a network with a number of targets for each service.
func newNetwork(services ...int) *network {
	n := &network{dead: map[string]bool{}, now: time.Hour}
	for s, count := range services {
		for i := range count {
			name := "s" + strconv.Itoa(s) + "-" + strconv.Itoa(i)
			n.targets = append(n.targets, &parser.Target{
				Name: name, Address: name, Service: "s" + strconv.Itoa(s), AvailabilityZone: "z" + strconv.Itoa(i%3),
			})
		}
	}
	n.Detector = NewDetector(Config{
		Clock: timekeeper.Clock{Now: func() time.Duration { return n.now }}, Scope: tally.NoopScope,
		Targets: func() []*parser.Target { return n.targets }, Probe: n.probeTarget,
	})
	return n
}

func (n *network) probeTarget(ctx context.Context, address string) error {
	n.mutex.Lock()
	n.dials++
	cut, failed := n.cut, n.cut || n.dead[address]
	n.mutex.Unlock()
	if cut && n.hang {
		select {
		case <-ctx.Done():
		case <-time.After(dialTimeout):
		}
	}
	if failed {
		return errors.New("unreachable")
	}
	return nil
}

// step sends a request to each target, if any, and runs the rounds that become due in the given time.
func (n *network) step(d time.Duration, targets ...*parser.Target) {
	for end := n.now + d; n.now < end; n.now += 50 * time.Millisecond {
		for _, t := range targets {
			n.Record(t, !n.cut && !n.dead[t.Address])
		}
		if wait, needed := n.nextRound(); needed && wait <= 0 {
			n.probe(context.Background())
		}
	}
}

func (n *network) kill(service string) {
	for _, t := range n.targets {
		if t.Service == service {
			n.dead[t.Address] = true
		}
	}
}

// TestPartialFailure checks that dead targets isolate no entry while others live, and that they
// cause few dials.
func TestPartialFailure(t *testing.T) {
	cases := []struct {
		name  string
		kill  func(n *network)
		dials int
	}{
		{"all live", func(*network) {}, 0},
		{"one dead target", func(n *network) { n.dead["s0-0"] = true }, 0},
		{"a dead service", func(n *network) { n.kill("s0") }, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(6, 6)
			c.kill(n)
			for range 20 {
				n.step(time.Second, n.targets[:6]...) // requests of the first service only
				is.True(!n.IsIsolated())
			}
			is.True(n.dials <= c.dials)
		})
	}
}

// TestCut checks that an entry cut from all targets counts as isolated soon, and as reachable again
// only once its targets are reached steadily.
func TestCut(t *testing.T) {
	for _, hang := range []bool{false, true} {
		t.Run(map[bool]string{false: "refused", true: "hung"}[hang], func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(6, 6)
			n.cut, n.hang = true, hang
			n.Record(n.targets[0], false)
			n.step(time.Second)
			is.True(!n.IsIsolated()) // one target is no evidence
			is.Equal(n.dials, 0)
			n.step(time.Second, n.targets...)
			is.True(n.IsIsolated())
			n.cut = false
			n.Record(n.targets[0], true)
			is.True(n.IsIsolated()) // one late response is not enough
			n.step(1500 * time.Millisecond)
			is.True(!n.IsIsolated())
			dials := n.dials
			n.step(time.Minute, n.targets...)
			is.Equal(n.dials, dials)
		})
	}
}

// TestFlapping checks that links that come and go change the state only once.
func TestFlapping(t *testing.T) {
	is := is.New(t)
	n := newNetwork(6, 6)
	changes, last := 0, false
	for i := range 40 {
		n.cut = i%2 == 0
		n.step(500*time.Millisecond, n.targets...)
		if n.IsIsolated() != last {
			changes, last = changes+1, n.IsIsolated()
		}
	}
	is.Equal(changes, 1)
}

// TestMostTargetsDead checks that the isolation ends although most targets stay dead.
func TestMostTargetsDead(t *testing.T) {
	is := is.New(t)
	n := newNetwork(5)
	n.cut = true
	n.step(time.Second, n.targets...)
	is.True(n.IsIsolated())
	n.cut = false
	for _, t := range n.targets[1:] {
		n.dead[t.Address] = true
	}
	n.step(4 * time.Second)
	is.True(!n.IsIsolated())
}

// TestFewTargets checks that a deployment with a single target is never isolated, and that one with
// two is, since it can't be told from dead targets and other entries may know better.
func TestFewTargets(t *testing.T) {
	for count, isolated := range []bool{false, false, true} {
		t.Run(strconv.Itoa(count), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(count)
			n.cut = true
			n.step(5*time.Second, n.targets...)
			is.Equal(n.IsIsolated(), isolated)
			n.targets = nil
			n.step(time.Second)
			is.True(!n.IsIsolated())
		})
	}
}

// TestChoose checks that probes cover all services and availability zones.
func TestChoose(t *testing.T) {
	is := is.New(t)
	services, zones := map[string]bool{}, map[string]bool{}
	list := choose(newNetwork(30, 3, 3).targets)
	is.Equal(len(list), probesPerRound)
	for _, t := range list {
		services[t.Service], zones[t.AvailabilityZone] = true, true
	}
	is.Equal(len(services), 3)
	is.Equal(len(zones), 3)
}

// TestRun checks that the loop probes without further requests, and stops with its context.
func TestRun(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3)
	n.config.Clock, n.cut = timekeeper.NewClock(), true
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	n.Record(n.targets[0], false)
	n.Record(n.targets[1], false)
	for end := time.Now().Add(5 * time.Second); !n.IsIsolated() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(n.IsIsolated())
	cancel()
	is.Equal(<-done, context.Canceled)
}

// TestProbe checks that a target is reached only if it responds, and that probes can't run there.
func TestProbe(t *testing.T) {
	cases := []struct {
		name    string
		serve   func(c *net.TCPConn) error
		reached bool
	}{
		{"silent", func(*net.TCPConn) error { return nil }, false},
		{"a byte", func(c *net.TCPConn) error { _, err := c.Write([]byte{1}); return err }, true},
		{"closed", (*net.TCPConn).Close, false},
		{"closed late", func(c *net.TCPConn) error { time.Sleep(10 * time.Millisecond); return c.Close() }, false},
		{"closed after the request", func(c *net.TCPConn) error { _, _ = c.Read(make([]byte, 1)); return c.Close() }, false},
		{"reset", func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }, false},
		{"reset after the request", func(c *net.TCPConn) error {
			time.Sleep(100 * time.Millisecond)
			return errors.Join(c.SetLinger(0), c.Close())
		}, false},
	}
	probe := httpProbe{probeRequest("")}.probe
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(probe(context.Background(), serveOnce(t, c.serve)) == nil, c.reached)
		})
	}
	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		is.True(probe(context.Background(), l.Addr().String()) != nil)
	})
	for header, path := range map[string]string{"": "/health", "X-Expected-Target": "/"} {
		t.Run("request with "+header, func(t *testing.T) {
			is := is.New(t)
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(probeRequest(header))))
			is.NoErr(err)
			is.Equal(r.URL.Path, path)
			is.True(header == "" || r.Header.Get(header) != "")
		})
	}
}

// serveOnce returns an address at which one connection is accepted. It stays open until the test ends
// unless serve closes it.
func serveOnce(t *testing.T, serve func(c *net.TCPConn) error) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan net.Conn, 1)
	go func() {
		defer close(done)
		if c, err := l.Accept(); err == nil {
			_ = serve(c.(*net.TCPConn)) // the dialer may have closed it
			done <- c
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		if c := <-done; c != nil {
			_ = c.Close() // it may be closed already
		}
	})
	return l.Addr().String()
}
