package peeker

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitLimit ends a test that hangs. It checks no speed.
const waitLimit = 10 * time.Second

// waitFor waits for a condition.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition does not become true")
		}
	}
}

// TestExpiredDeadline checks that input and pending connections are reported where reads and
// accepts fail because their deadline has expired.
func TestExpiredDeadline(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	is.True(!HasPending(l))
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	waitFor(t, func() bool { return HasPending(l) })
	is.NoErr(l.(*net.TCPListener).SetDeadline(time.Now().Add(-time.Second)))
	_, err = l.Accept()
	is.True(err != nil)
	is.True(HasPending(l))
	is.NoErr(l.(*net.TCPListener).SetDeadline(time.Time{}))
	c, err := l.Accept()
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetReadDeadline(time.Now().Add(-time.Second)))
	is.Equal(Peek(c), Quiet)
	_, err = caller.Write([]byte("x"))
	is.NoErr(err)
	waitFor(t, func() bool { return Peek(c) == HasInput })
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(Peek(c), HasInput)
	is.Equal(Receive(c, make([]byte, 2)), 1)
	is.Equal(Receive(c, make([]byte, 2)), 0)
	is.NoErr(caller.Close())
	waitFor(t, func() bool { return Peek(c) == Ended })
}
