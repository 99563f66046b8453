// Package relayer stands on a path between two processes on loopback and spoils the
// connections through it, as a broken network does.
package relayer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the connection to the far side.
	dialTimeout = time.Second
	// look is how often held bytes ask whether they may go on.
	look = 5 * time.Millisecond
	// bufferBytes is the size of what is passed on at once.
	bufferBytes = 32 << 10
)

// Mode is what a Relay does to bytes.
type Mode int

// Modes of a Relay.
const (
	Passing Mode = iota
	// Swallowing loses all bytes.
	Swallowing
	// Silent holds all bytes until another mode, OneWay those back to who connected.
	Silent
	OneWay
	// Refusing resets new connections.
	Refusing
)

// Relay passes connections on to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	mutex    sync.Mutex
	mode     Mode
	delay    time.Duration
	links    map[*link]bool
	closed   bool
}

// link is one connection through a Relay; far is nil until it is made.
type link struct {
	near, far net.Conn
}

// NewRelay listens at an address and passes on to a target.
func NewRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, links: map[*link]bool{}}
	go r.run()
	return r, nil
}

// Address returns where the Relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Bytes returns the number of bytes that arrived, in both directions.
func (r *Relay) Bytes() int64 {
	return r.bytes.Load()
}

// Set changes what happens to bytes from now on; held ones go on once it passes again.
func (r *Relay) Set(m Mode, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mode, r.delay = m, delay
}

// Reset ends all connections at once.
func (r *Relay) Reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k := range r.links {
		k.reset()
	}
}

// Close ends the Relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // it may be closed already
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.Reset()
}

func (r *Relay) state() (m Mode, delay time.Duration, closed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mode, r.delay, r.closed
}

func (r *Relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return // closed
		}
		go r.loop(&link{near: near})
	}
}

// loop joins one connection with one to the target.
func (r *Relay) loop(k *link) {
	if m, _, closed := r.state(); m == Refusing || closed {
		k.reset()
		return
	}
	far, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		k.reset()
		return
	}
	k.far = far
	defer k.close()
	r.keep(k, true)
	defer r.keep(k, false)
	var both sync.WaitGroup
	both.Go(func() { r.pass(far, k.near, false) })
	both.Go(func() { r.pass(k.near, far, true) })
	both.Wait()
}

func (r *Relay) keep(k *link, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open {
		r.links[k] = true
		return
	}
	delete(r.links, k)
}

// pass hands bytes on as the mode says, until one side ends.
func (r *Relay) pass(to, from net.Conn, back bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		r.bytes.Add(int64(n))
		lost, closed := r.hold(back)
		if closed {
			return
		}
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close() // the other direction ends with it
				return
			}
		}
		if err == io.EOF {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite() // it may be closed already
			}
			return
		}
		if err != nil {
			_ = to.Close() // it may be closed already
			return
		}
	}
}

// hold waits until bytes may go on, and tells whether they are lost.
func (r *Relay) hold(back bool) (lost, closed bool) {
	for {
		m, delay, closed := r.state()
		switch {
		case closed:
			return true, true
		case m == Silent, m == OneWay && back:
			time.Sleep(look)
		default:
			time.Sleep(delay)
			return m == Swallowing, false
		}
	}
}

func (k *link) close() {
	_ = k.near.Close() // it may be closed already
	_ = k.far.Close()  // it may be closed already
}

func (k *link) reset() {
	for _, c := range []net.Conn{k.near, k.far} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset instead of an end
			_ = t.Close()      // it may be closed already
		}
	}
}
