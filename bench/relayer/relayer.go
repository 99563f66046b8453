// Package relayer relays TCP connections between two processes on loopback and injects network
// faults: lost, held and delayed bytes, refused and reset connections.
package relayer

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the dial to the target.
	dialTimeout = time.Second
	// holdPollInterval is how often the mode is checked while bytes are held.
	holdPollInterval = 5 * time.Millisecond
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 50 * time.Millisecond
	// bufferBytes is the maximum number of bytes that are forwarded at once.
	bufferBytes = 32 << 10
)

// Mode determines how a Relay treats connections and bytes.
type Mode int

// Modes of a Relay.
const (
	Passing Mode = iota
	// Dropping discards all bytes.
	Dropping
	// Holding holds all bytes until the mode changes, HoldingReplies only those from the target.
	Holding
	HoldingReplies
	// Refusing resets new connections.
	Refusing
)

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener      net.Listener
	target        string
	bytesReceived atomic.Int64
	mutex         sync.Mutex
	mode          Mode
	delay         time.Duration
	connections   map[*connection]bool
	closed        bool
}

// connection is one connection through a Relay. server is nil until the target is connected.
type connection struct {
	client, server net.Conn
}

// NewRelay listens on an address and forwards connections to the address of a target.
func NewRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, connections: map[*connection]bool{}}
	go r.run()
	return r, nil
}

// Address returns the address on which the Relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// BytesReceived returns the number of bytes received, in both directions.
func (r *Relay) BytesReceived() int64 {
	return r.bytesReceived.Load()
}

// SetMode sets the mode, and the delay before the bytes of each read are forwarded. Both apply to
// bytes that are held, too.
func (r *Relay) SetMode(m Mode, delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mode, r.delay = m, delay
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for k := range r.connections {
		k.reset()
	}
}

// Close closes the listener and resets all connections.
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
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // too many open files, for example
			time.Sleep(acceptPause)
			continue
		}
		go r.loop(&connection{client: client})
	}
}

// loop connects to the target and forwards bytes in both directions until both end.
func (r *Relay) loop(k *connection) {
	if m, _, closed := r.state(); m == Refusing || closed {
		k.reset()
		return
	}
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		k.reset()
		return
	}
	k.server = server
	defer k.close()
	r.track(k, true)
	defer r.track(k, false)
	var both sync.WaitGroup
	both.Go(func() { r.forward(server, k.client, false) })
	both.Go(func() { r.forward(k.client, server, true) })
	both.Wait()
}

func (r *Relay) track(k *connection, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open {
		r.connections[k] = true
		return
	}
	delete(r.connections, k)
}

// forward copies bytes in one direction, subject to the mode, until one side closes.
func (r *Relay) forward(to, from net.Conn, isReply bool) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		r.bytesReceived.Add(int64(n))
		drop, closed := r.waitToForward(isReply)
		if closed {
			return
		}
		if n > 0 && !drop {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close() // ends the other direction, too
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

// waitToForward blocks while bytes are held or delayed, and reports whether to drop them.
func (r *Relay) waitToForward(isReply bool) (drop, closed bool) {
	for {
		m, delay, closed := r.state()
		switch {
		case closed:
			return true, true
		case m == Holding, m == HoldingReplies && isReply:
			time.Sleep(holdPollInterval)
		default:
			time.Sleep(delay)
			return m == Dropping, false
		}
	}
}

func (k *connection) close() {
	_ = k.client.Close() // it may be closed already
	_ = k.server.Close() // it may be closed already
}

func (k *connection) reset() {
	for _, c := range []net.Conn{k.client, k.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close sends a reset
			_ = t.Close()      // it may be closed already
		}
	}
}
