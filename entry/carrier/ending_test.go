package carrier

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

const (
	// uploadBytes is more than the system takes from a sender whose peer does not read.
	uploadBytes = 32 << 20
	// noticeTime covers the time until a sender has noticed the end of its connection.
	noticeTime = 50 * time.Millisecond
	// endingRounds is how often a case is tried whose order of reads and writes is open.
	endingRounds = 10
)

// ending is a way in which a target ends its connection behind a body without a length.
type ending struct {
	name string
	end  func(c *net.TCPConn)
	// isWhole means that all of the body arrives first.
	isWhole bool
}

var endings = []ending{
	{"reset", resetConnection, false},
	{"closed with unread input", func(c *net.TCPConn) { _ = c.Close() }, false},
	{"half closed, then silent", func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
	{"half closed, then read on", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}, true},
	{"half closed, then reset", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(noticeTime)
		resetConnection(c)
	}, true},
}

func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// newEarlyTarget starts a target that answers each request before it has read the body, with a body of the given size
// and without a length. It then waits for a value of proceed, ends the connection and sends one on ended.
func newEarlyTarget(t *testing.T, size int, e ending) (address string, proceed, ended chan struct{}) {
	proceed, ended = make(chan struct{}, 1), make(chan struct{}, 1)
	left := make(chan struct{})
	t.Cleanup(func() { close(left) })
	address, _ = newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
		_, _ = http.ReadRequest(b)
		writeResponse(c, "one", "", string(make([]byte, size)))
		select {
		case <-proceed:
			e.end(c.(*net.TCPConn))
			ended <- struct{}{}
			<-left
		case <-left:
		}
	})
	return address, proceed, ended
}

func newUpload() *Request {
	r := newRequest("one")
	r.Method, r.Body = http.MethodPost, make([]byte, uploadBytes)
	return r
}

// TestBufferedBodyEndsWithItsConnection guards against a part of a body that is taken for the whole: the write of a long
// request took the error of a reset, and the read then found a plain end.
func TestBufferedBodyEndsWithItsConnection(t *testing.T) {
	const size = 1000
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			address, proceed, ended := newEarlyTarget(t, size, e)
			for range endingRounds {
				time.AfterFunc(noticeTime, func() { proceed <- struct{}{} })
				a, failure := newCarrier(t).Exchange(context.Background(), address, newUpload())
				if failure != nil {
					t.Log(failure.Err)
				}
				is.Equal(failure == nil, e.isWhole)
				if e.isWhole {
					is.Equal(len(a.Body), size)
				} else {
					is.True(failure.Sent)
				}
				<-ended
			}
		})
	}
}

// TestStreamedBodyEndsWithItsConnection guards against the same while the caller reads slowly, so that the write notices
// the end of the connection before the read does.
func TestStreamedBodyEndsWithItsConnection(t *testing.T) {
	const size = maxUnverifiedBytes + 1000
	for _, e := range endings {
		t.Run(e.name, func(t *testing.T) {
			is := is.New(t)
			address, proceed, ended := newEarlyTarget(t, size, e)
			a, failure := newCarrier(t).Exchange(context.Background(), address, newUpload())
			is.True(failure == nil && a.Remainder != nil)
			proceed <- struct{}{}
			<-ended
			time.Sleep(noticeTime)
			rest, err := io.ReadAll(a.Remainder)
			is.True(bytes.HasPrefix(make([]byte, size), rest))
			is.Equal(err == nil, e.isWhole)
			if e.isWhole {
				is.Equal(len(a.Body)+len(rest), size)
			}
		})
	}
}

// TestTimedOutConnectionEndsNoBody guards against the same with a connection that the own system ends, since the target
// reads nothing.
func TestTimedOutConnectionEndsNoBody(t *testing.T) {
	is := is.New(t)
	address, _, _ := newEarlyTarget(t, 1000, ending{})
	failures := make(chan *Failure, endingRounds)
	for range endingRounds {
		n := newCarrier(t)
		go func() {
			_, failure := n.Exchange(context.Background(), address, newUpload())
			failures <- failure
		}()
	}
	for range endingRounds {
		failure := <-failures
		is.True(failure != nil && failure.Sent)
	}
}

// TestSlowCallerGetsWhatArrived guards against a whole answer that is cut off, since its caller reads the rest later than
// userTimeout after the write of the request failed.
func TestSlowCallerGetsWhatArrived(t *testing.T) {
	const size = maxUnverifiedBytes + 32<<10
	cases := []struct {
		name, header string
		end          func(c *net.TCPConn)
	}{
		{"without a length", "", endings[len(endings)-1].end},
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n", size), resetConnection},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			proceed, ended := make(chan struct{}), make(chan struct{})
			address, _ := newTarget(t, func(b *bufio.Reader, conn net.Conn, _ int64) {
				_, _ = http.ReadRequest(b)
				writeResponse(conn, "one", c.header, string(make([]byte, size)))
				<-proceed
				c.end(conn.(*net.TCPConn))
				close(ended)
			})
			n := NewCarrier(Config{Clock: timekeeper.NewClock(), RequestHeader: "X-Id", IsOwnResponse: func(int, http.Header) bool { return false }})
			defer n.Close()
			a, failure := n.Exchange(context.Background(), address, newUpload())
			is.True(failure == nil && a.Remainder != nil)
			time.Sleep(noticeTime)
			close(proceed)
			<-ended
			time.Sleep(userTimeout + noticeTime)
			rest, err := io.ReadAll(a.Remainder)
			is.NoErr(err)
			is.Equal(len(a.Body)+len(rest), size)
		})
	}
}
