package acceptor

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/peeker"
)

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (caller, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// TestFinishWhileResponseEnds guards against a response that a reset cuts off: the connection is taken
// for idle and is closed without lingering, since its last response ends while that is checked.
func TestFinishWhileResponseEnds(t *testing.T) {
	is := is.New(t)
	a, _, _ := newServer(t, echo)
	caller, socket := connectedPair(t)
	c := newConnection(a, socket)
	c.inFlight = 1
	_, err := io.WriteString(caller, "unread")
	is.NoErr(err)
	for peeker.Peek(socket) != peeker.HasInput {
		time.Sleep(time.Millisecond)
	}
	c.mutex.Lock()
	var done sync.WaitGroup
	done.Go(c.finish)
	time.Sleep(20 * time.Millisecond)
	done.Go(func() {
		c.mutex.Lock()
		c.closing, c.inFlight = true, 0
		c.mutex.Unlock()
	})
	time.Sleep(20 * time.Millisecond)
	c.mutex.Unlock()
	c.mutex.Lock() // a waiter that has to wait again makes the mutex fair
	time.Sleep(20 * time.Millisecond)
	c.mutex.Unlock()
	_, err = io.ReadAll(caller)
	is.NoErr(err) // not a reset
	_ = caller.Close()
	done.Wait()
}
