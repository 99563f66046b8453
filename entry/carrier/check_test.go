package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/peeker"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

const (
	healthPath = "/health"
	// keptFor is the idle timeout that a checkedTarget states.
	keptFor   = 10 * time.Second
	keepAlive = "Keep-Alive: timeout=10\r\n"
	healthy   = "HTTP/1.1 200 OK\r\n" + keepAlive + "Content-Length: 4\r\n\r\nwarm"
)

// checkedTarget records what it reads, in the form "connection request", where a check is "check".
type checkedTarget struct {
	address string
	mutex   sync.Mutex
	read    []string
}

// newCheckedTarget starts a target that responds with answer until that returns false.
func newCheckedTarget(t *testing.T, answer func(c net.Conn, id string) bool) *checkedTarget {
	t.Helper()
	s := &checkedTarget{}
	s.address, _ = newTarget(t, func(b *bufio.Reader, c net.Conn, n int64) {
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if r.RequestURI == healthPath {
				id = "check"
			}
			s.record(fmt.Sprint(n, " ", id))
			if !answer(c, id) {
				return
			}
		}
	})
	return s
}

func (s *checkedTarget) record(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.read = append(s.read, text)
}

// list returns what the target has read.
func (s *checkedTarget) list() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.read)
}

// answersAll responds to checks and requests.
func answersAll(c net.Conn, id string) bool {
	if id == "check" {
		_, _ = io.WriteString(c, healthy)
	} else {
		writeResponse(c, id, keepAlive+"Content-Length: 5\r\n", "right")
	}
	return true
}

// answersCheck responds to checks with a text, and to requests.
func answersCheck(text string) func(c net.Conn, id string) bool {
	return func(c net.Conn, id string) bool {
		if id == "check" {
			_, _ = io.WriteString(c, text)
			return true
		}
		return answersAll(c, id)
	}
}

// newCheckedRequest returns a request with a check.
func newCheckedRequest(id string, need CheckNeed, passes bool) *Request {
	r := newRequest(id)
	r.Check = &Check{URI: healthPath, Host: "x", Header: http.Header{}, Need: need, Timeout: 2 * time.Second, Passes: func(*Response) bool { return passes }}
	return r
}

// isAnswered asserts that a request got its own response.
func isAnswered(is *is.I, a *Response, failure *Failure) {
	is.Helper()
	is.True(failure == nil)
	is.Equal(string(a.Body), "right")
}

// isWithheld asserts that a request was not sent after its check.
func isWithheld(is *is.I, a *Response, failure *Failure) {
	is.Helper()
	is.True(a == nil)
	is.True(failure.Withheld)
	is.True(!failure.Sent && !failure.Stopped && !failure.Refused)
	is.True(failure.Origin.Dialed)
}

// waitForEnd waits until the kept connection to an address has ended.
func waitForEnd(t *testing.T, c *Carrier, address string) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); peeker.Peek(c.idle[address][0].socket) != peeker.Ended; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the target did not close the connection")
		}
	}
}

// TestCheckNeed guards against a request to a target that may have restarted without a check before it on the same
// connection, and against a check of a target whose connections show that it has not.
func TestCheckNeed(t *testing.T) {
	const (
		reused  = "1 two"
		checked = "2 check, 2 two"
		dialed  = "2 two"
	)
	cases := []struct {
		name string
		// closes tells whether the target ends the kept connection, and idle how old that is then.
		closes bool
		idle   time.Duration
		// want is what the target reads, by need.
		want map[CheckNeed]string
	}{
		{"open", false, 0, map[CheckNeed]string{Never: reused, IfBroken: reused, UnlessOpen: reused, Always: checked}},
		{"open, idle too long", false, keptFor * 7 / 10, map[CheckNeed]string{Never: dialed, IfBroken: dialed, UnlessOpen: dialed, Always: checked}},
		{"broke", true, 0, map[CheckNeed]string{Never: dialed, IfBroken: checked, UnlessOpen: checked, Always: checked}},
		{"broke, idle too long", true, keptFor * 7 / 10, map[CheckNeed]string{Never: dialed, IfBroken: checked, UnlessOpen: checked, Always: checked}},
		{"ended at the idle timeout", true, keptFor, map[CheckNeed]string{Never: dialed, IfBroken: dialed, UnlessOpen: checked, Always: checked}},
	}
	for _, c := range cases {
		for need, want := range c.want {
			t.Run(fmt.Sprint(c.name, ", ", need), func(t *testing.T) {
				is := is.New(t)
				s := newCheckedTarget(t, func(conn net.Conn, id string) bool { return answersAll(conn, id) && (id != "one" || !c.closes) })
				var now atomic.Int64
				n := NewCarrier(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return time.Duration(now.Load()) }}, RequestHeader: "X-Id"})
				t.Cleanup(n.Close)
				a, failure := n.Exchange(context.Background(), s.address, newRequest("one"))
				isAnswered(is, a, failure)
				if c.closes {
					waitForEnd(t, n, s.address)
				}
				now.Add(int64(c.idle))
				a, failure = n.Exchange(context.Background(), s.address, newCheckedRequest("two", need, true))
				isAnswered(is, a, failure)
				is.Equal(strings.Join(s.list(), ", "), "1 one, "+want)
				is.Equal(a.Origin.Dialed, want != reused)
			})
		}
	}
}

// TestCheckOfUnknownTarget guards against a request to a target without kept connections, of which nothing is known.
func TestCheckOfUnknownTarget(t *testing.T) {
	for need, want := range map[CheckNeed][]string{
		Never: {"1 one"}, IfBroken: {"1 one"}, UnlessOpen: {"1 check", "1 one"}, Always: {"1 check", "1 one"},
	} {
		t.Run(fmt.Sprint(need), func(t *testing.T) {
			is := is.New(t)
			s := newCheckedTarget(t, answersAll)
			a, failure := newCarrier(t).Exchange(context.Background(), s.address, newCheckedRequest("one", need, true))
			isAnswered(is, a, failure)
			is.Equal(s.list(), want)
		})
	}
}

// TestWithheldRequest guards against a part of a request that reaches a target whose check it does not pass, and
// against a connection that is lost with it.
func TestWithheldRequest(t *testing.T) {
	for _, need := range []CheckNeed{UnlessOpen, Always} {
		t.Run(fmt.Sprint(need), func(t *testing.T) {
			is := is.New(t)
			s := newCheckedTarget(t, answersAll)
			n := newCarrier(t)
			r := newCheckedRequest("one", need, false)
			r.BeforeSend = func() bool {
				t.Error("the request is about to be sent")
				return true
			}
			a, failure := n.Exchange(context.Background(), s.address, r)
			isWithheld(is, a, failure)
			is.Equal(failure.Err, ErrWithheld)
			a, failure = n.Exchange(context.Background(), s.address, newCheckedRequest("two", UnlessOpen, false))
			isAnswered(is, a, failure)
			is.Equal(s.list(), []string{"1 check", "1 two"})
		})
	}
}

// TestFailedChecks guards against a request that follows a check without a usable response, and against one that is
// sent although its caller has gone during the check.
func TestFailedChecks(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		answer  func(c net.Conn, cancel func()) bool
	}{
		{"no response in time", 30 * time.Millisecond, func(net.Conn, func()) bool { return true }},
		{"half a response in time", 30 * time.Millisecond, func(c net.Conn, _ func()) bool {
			_, _ = io.WriteString(c, healthy[:len(healthy)-2])
			return true
		}},
		{"closed without a response", time.Second, func(net.Conn, func()) bool { return false }},
		{"no HTTP", time.Second, func(c net.Conn, _ func()) bool {
			_, _ = io.WriteString(c, "garbage garbage\r\n\r\n")
			return true
		}},
		{"too long", time.Second, func(c net.Conn, _ func()) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("x", 2000000))
			return true
		}},
		{"the caller leaves", time.Second, func(_ net.Conn, cancel func()) bool {
			cancel()
			return true
		}},
		{"the caller leaves right before the response", time.Second, func(c net.Conn, cancel func()) bool {
			cancel()
			_, _ = io.WriteString(c, healthy)
			return true
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newCheckedTarget(t, func(conn net.Conn, _ string) bool { return c.answer(conn, cancel) })
			n := newCarrier(t)
			r := newCheckedRequest("one", Always, true)
			r.Check.Timeout = c.timeout
			begun := time.Now()
			a, failure := n.Exchange(ctx, s.address, r)
			isWithheld(is, a, failure)
			is.True(failure.Err != ErrWithheld)
			is.True(time.Since(begun) < 900*time.Millisecond) // no other bound ended it
			is.Equal(s.list(), []string{"1 check"})
			is.Equal(len(n.idle[s.address]), 0) // what may still arrive must not answer another request
		})
	}
}

// TestClosingAfterCheck guards against a request that is written to a connection that the target closes after the
// check, and against one that is sent twice since that connection ended.
func TestClosingAfterCheck(t *testing.T) {
	const closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name   string
		answer string
		passes bool
		want   []string
	}{
		{"stated", closing, true, []string{"1 check", "2 one"}},
		{"stated, withheld", closing, false, []string{"1 check"}},
		{"ended by close", "HTTP/1.1 200 OK\r\n\r\nwarm", true, []string{"1 check", "2 one"}},
		{"not stated", healthy, true, []string{"1 check"}},
	}
	for _, c := range cases {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", once ", once), func(t *testing.T) {
				is := is.New(t)
				s := newCheckedTarget(t, func(conn net.Conn, id string) bool { return answersCheck(c.answer)(conn, id) && id != "check" })
				r := newCheckedRequest("one", Always, c.passes)
				r.AtMostOnce = once
				a, failure := newCarrier(t).Exchange(context.Background(), s.address, r)
				switch {
				case !c.passes:
					isWithheld(is, a, failure)
				case len(c.want) > 1:
					isAnswered(is, a, failure)
				default:
					is.True(failure.Sent && !failure.Withheld) // the target may have read it before it closed
				}
				is.Equal(s.list(), c.want)
			})
		}
	}
}

// TestCopiesOfCheckResponses guards against an additional response to a check that is taken for that of the request
// behind it.
func TestCopiesOfCheckResponses(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c net.Conn, id string) bool
	}{
		{"at once", answersCheck(healthy + healthy)},
		{"a part at once", answersCheck(healthy + healthy[:20])},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newCheckedTarget(t, c.answer)
			r := newCheckedRequest("one", Always, true)
			r.AtMostOnce = true
			a, failure := newCarrier(t).Exchange(context.Background(), s.address, r)
			isAnswered(is, a, failure)
			is.Equal(s.list(), []string{"1 check", "2 one"})
		})
	}
}
