// Package peeker reports what the system holds for a socket, without waiting. An expired deadline
// makes Go's reads and accepts fail even if input is there.
package peeker

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection holds for its reader.
type State int

// Values of State.
const (
	// Quiet means that nothing has arrived.
	Quiet State = iota
	// HasInput means that bytes can be read.
	HasInput
	// Ended means that the peer has closed the connection or that it failed.
	Ended
)

// Peek returns the state of a connection. A connection that is not backed by a socket is Quiet.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
			state = Quiet
		case err == nil && n > 0:
			state = HasInput
		}
	})
	if err != nil {
		return Ended
	}
	return state
}

// Receive reads what has arrived on a connection whatever its deadline, and returns 0 if nothing has
// or if the connection is not backed by a socket.
func Receive(c net.Conn, b []byte) int {
	s, ok := c.(syscall.Conn)
	if !ok || len(b) == 0 {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	received := 0
	_ = raw.Control(func(fd uintptr) { // fails only when closed
		if n, _, err := unix.Recvfrom(int(fd), b, unix.MSG_DONTWAIT); err == nil {
			received = n
		}
	})
	return received
}

// HasPending reports whether a connection waits to be accepted. It is false for a listener that is
// not backed by a socket.
func HasPending(l net.Listener) bool {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		pending = err == nil && n > 0 && p[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
