package endtoend

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relay is a loopback proxy that spoils the connections through it.
type relay struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	mode     relayMode
	delay    time.Duration
	links    map[*link]bool
	closed   bool
}

// relayMode is what a relay does to bytes.
type relayMode int

const (
	passing relayMode = iota
	// silent holds all bytes, oneWay those back to who connected.
	silent
	oneWay
	// refusing resets new connections.
	refusing
)

// link is one connection through a relay.
type link struct {
	near, far net.Conn
}

func newRelay(t testing.TB, address, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, links: map[*link]bool{}}
	go r.run()
	t.Cleanup(r.close)
	return r
}

// set changes what happens to bytes from now on; held ones go on once it passes again.
func (r *relay) set(m relayMode, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mode, r.delay = m, delay
}

// reset ends all connections at once.
func (r *relay) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k := range r.links {
		k.reset()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.reset()
}

func (r *relay) state() (relayMode, time.Duration, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mode, r.delay, r.closed
}

func (r *relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.loop(near)
	}
}

func (r *relay) loop(near net.Conn) {
	k := &link{near: near}
	if mode, _, _ := r.state(); mode == refusing {
		k.reset()
		return
	}
	far, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		k.reset()
		return
	}
	k.far = far
	r.mutex.Lock()
	r.links[k] = true
	r.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near, false) })
	both.Go(func() { r.copy(near, far, true) })
	both.Wait()
	k.reset()
	r.mutex.Lock()
	delete(r.links, k)
	r.mutex.Unlock()
}

// copy passes bytes on as the relay's mode says, until one side ends.
func (r *relay) copy(to, from net.Conn, back bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for {
			mode, delay, closed := r.state()
			if closed {
				return
			}
			if mode == silent || (mode == oneWay && back) {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			time.Sleep(delay)
			break
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (k *link) reset() {
	for _, c := range []net.Conn{k.near, k.far} {
		if t, ok := c.(*net.TCPConn); ok && t != nil {
			_ = t.SetLinger(0)
			_ = t.Close()
		}
	}
}
