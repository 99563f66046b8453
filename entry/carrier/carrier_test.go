package carrier

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// newTarget starts a target that runs serve on each connection, with the connection's number, and
// counts the connections.
func newTarget(t *testing.T, serve func(b *bufio.Reader, c net.Conn, n int64)) (address string, connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := connections.Add(1)
			go func() {
				defer c.Close()
				serve(bufio.NewReader(c), c, n)
			}()
		}
	}()
	return l.Addr().String(), connections
}

func newCarrier(t *testing.T) *Carrier {
	t.Helper()
	c := NewCarrier(Config{Clock: timekeeper.NewClock(), RequestHeader: "X-Id"})
	t.Cleanup(c.Close)
	return c
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/a?b", Host: "x", Header: http.Header{"X-Id": {id}}, ID: id}
}

// writeResponse writes a response with a request's ID.
func writeResponse(c net.Conn, id, header, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n"+header+"\r\n"+body)
}

// TestConnections checks which connections are reused.
func TestConnections(t *testing.T) {
	cases := []struct {
		name string
		// head and body are those of every response.
		head, body  string
		wait        time.Duration
		once        bool
		connections int64
	}{
		{"kept", "Content-Length: 2\r\n", "ab", 0, false, 1},
		{"kept, once", "Content-Length: 2\r\n", "ab", 0, true, 1},
		{"chunked", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n", 0, false, 1},
		{"closing", "Connection: close\r\nContent-Length: 2\r\n", "ab", 0, false, 2},
		{"extra bytes", "Content-Length: 2\r\n", "abHTTP/1.1 200 OK\r\n\r\n", 20 * time.Millisecond, false, 2},
		{"idle too long", "Keep-Alive: timeout=1\r\nContent-Length: 2\r\n", "ab", 700 * time.Millisecond, false, 2},
		{"idle too long, once", "Keep-Alive: timeout=1\r\nContent-Length: 2\r\n", "ab", 400 * time.Millisecond, true, 2},
		{"a second status line", "Via: HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "ab", 0, false, 2},
		{"idle, not too long", "Keep-Alive: timeout=1\r\nContent-Length: 2\r\n", "ab", 400 * time.Millisecond, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, connections := newTarget(t, func(b *bufio.Reader, conn net.Conn, _ int64) {
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					writeResponse(conn, r.Header.Get("X-Id"), c.head, c.body)
				}
			})
			n := newCarrier(t)
			for _, id := range []string{"one", "two"} {
				r := newRequest(id)
				r.AtMostOnce = c.once
				a, failure := n.Exchange(context.Background(), address, r)
				is.True(failure == nil)
				is.Equal(string(a.Body), "ab")
				time.Sleep(c.wait)
			}
			is.Equal(connections.Load(), c.connections)
		})
	}
}

// TestStoppedRequestKeepsConnectionAge guards against a request that is lost on a connection that the
// target is about to close: a request that was stopped before its first byte does not make an idle
// connection look recently used.
func TestStoppedRequestKeepsConnectionAge(t *testing.T) {
	is := is.New(t)
	address, connections := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			writeResponse(c, r.Header.Get("X-Id"), "Keep-Alive: timeout=1\r\nContent-Length: 0\r\n", "")
		}
	})
	n := newCarrier(t)
	_, failure := n.Exchange(context.Background(), address, newRequest("one"))
	is.True(failure == nil)
	time.Sleep(400 * time.Millisecond)
	stopped := newRequest("two")
	stopped.BeforeSend = func() bool { return false }
	_, failure = n.Exchange(context.Background(), address, stopped)
	is.True(failure.Stopped)
	once := newRequest("three")
	once.AtMostOnce = true
	_, failure = n.Exchange(context.Background(), address, once)
	is.True(failure == nil)
	is.Equal(connections.Load(), int64(2)) // the idle connection is too old for it
}

// TestEndedContext guards against a request that is sent although its context has ended, so that the
// target works on what nobody waits for.
func TestEndedContext(t *testing.T) {
	is := is.New(t)
	address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
		for {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			writeResponse(c, r.Header.Get("X-Id"), "Content-Length: 0\r\n", "")
		}
	})
	n := newCarrier(t)
	_, failure := n.Exchange(context.Background(), address, newRequest("one"))
	is.True(failure == nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, failure = n.Exchange(ctx, address, newRequest("two"))
	is.True(failure != nil)
	is.True(!failure.Sent)
	is.True(!failure.Refused) // nothing shows that the target is unreachable
}

// TestStrays guards against a late response to an earlier request being taken for that of the next
// one: it is skipped on a reused connection, and is an error on a new one.
func TestStrays(t *testing.T) {
	is := is.New(t)
	address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, n int64) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if i == 1 || n == 2 {
				writeResponse(c, "earlier", "Content-Length: 5\r\n", "wrong")
			}
			writeResponse(c, r.Header.Get("X-Id"), "Content-Length: 5\r\n", "right")
		}
	})
	n := newCarrier(t)
	for _, id := range []string{"one", "two"} {
		a, failure := n.Exchange(context.Background(), address, newRequest(id))
		is.True(failure == nil)
		is.Equal(string(a.Body), "right")
	}
	n.CloseIdle(address)
	_, failure := n.Exchange(context.Background(), address, newRequest("three"))
	is.Equal(failure.Err, ErrUnmatched)
	is.True(failure.Sent)
}

// TestCopiesOfRefusals guards against a promise that a request has not run, made by an additional response to an
// earlier try, while the target runs the later one.
func TestCopiesOfRefusals(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name string
		// ids are the IDs of the requests that are sent one after the other.
		ids []string
		// copied is the header of the copy with which a target precedes its second response.
		copied string
	}{
		{"the same request comes again", []string{"one", "one"}, "X-Id: one\r\n"},
		{"the same request comes again later", []string{"one", "two", "one"}, "X-Id: one\r\n"},
		{"the copy has no ID", []string{"one", "two"}, ""},
		{"the copy bears the ID of the earlier request", []string{"one", "two"}, "X-Id: one\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			last := len(c.ids) - 1
			var requests atomic.Int64
			address, _ := newTarget(t, func(b *bufio.Reader, conn net.Conn, _ int64) {
				for i := 0; ; i++ {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Id")
					if i == last {
						_, _ = fmt.Fprintf(conn, refusal, c.copied)
					}
					if requests.Add(1) == 1 {
						_, _ = fmt.Fprintf(conn, refusal, "X-Id: "+id+"\r\n")
						continue
					}
					writeResponse(conn, id, "Content-Length: 3\r\n", "ran")
				}
			})
			n := newCarrier(t)
			for i, id := range c.ids {
				a, failure := n.Exchange(context.Background(), address, newRequest(id))
				is.True(failure == nil)
				is.Equal(a.Status == http.StatusOK, i > 0) // the target ran all but the first
			}
		})
	}
}

// TestCarriedIDs guards against a connection that carries an ID twice, and against one that remembers IDs without end.
func TestCarriedIDs(t *testing.T) {
	cases := []struct {
		name        string
		requests    int
		newID       func(i int) string
		connections int64
	}{
		{"the same ID", 3, func(int) string { return "one" }, 3},
		{"another ID", maxCarried, func(i int) string { return fmt.Sprint(i) }, 1},
		{"too many IDs", maxCarried + 1, func(i int) string { return fmt.Sprint(i) }, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, connections := newTarget(t, func(b *bufio.Reader, conn net.Conn, _ int64) {
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					writeResponse(conn, r.Header.Get("X-Id"), "Content-Length: 0\r\n", "")
				}
			})
			n := newCarrier(t)
			for i := range c.requests {
				_, failure := n.Exchange(context.Background(), address, newRequest(c.newID(i)))
				is.True(failure == nil)
			}
			is.Equal(connections.Load(), c.connections)
		})
	}
}

// TestMergedHeads guards against a response that consists of the status of an additional one, which breaks off in
// its head, and the ID of the response that follows.
func TestMergedHeads(t *testing.T) {
	for _, cut := range []string{" ", " Serv", " Full\r\nX-Not-Run: f", " Full\r\nX-Not-Run: full\r\nServer: "} {
		t.Run(fmt.Sprintf("%q", cut), func(t *testing.T) {
			is := is.New(t)
			address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
				for i := 0; ; i++ {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					if i > 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 503"+cut)
					}
					writeResponse(c, r.Header.Get("X-Id"), "Content-Length: 0\r\n", "")
				}
			})
			n := newCarrier(t)
			_, failure := n.Exchange(context.Background(), address, newRequest("one"))
			is.True(failure == nil)
			_, failure = n.Exchange(context.Background(), address, newRequest("two"))
			is.Equal(failure.Err, ErrUnmatched)
			is.True(failure.Sent)
		})
	}
}

// TestMatch checks what is recorded about how a response was matched to its request.
func TestMatch(t *testing.T) {
	is := is.New(t)
	address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if i > 0 {
				writeResponse(c, "stray", "Content-Length: 0\r\n", "")
			}
			writeResponse(c, r.Header.Get("X-Id"), "Content-Length: 0\r\n", "")
		}
	})
	n := newCarrier(t)
	var skipped []string
	n.config.Skipped = func(_ string, r *Request, a *Response) { skipped = append(skipped, r.ID+" "+a.Match.ID) }
	for i, want := range []Match{{ID: "one"}, {ID: "two", Earlier: 1, Skipped: 1}, {ID: "three", Earlier: 2, Skipped: 1}} {
		a, failure := n.Exchange(context.Background(), address, newRequest([]string{"one", "two", "three"}[i]))
		is.True(failure == nil)
		is.Equal(a.Match, want)
	}
	is.Equal(skipped, []string{"two stray", "three stray"})
}

// TestBroken checks that an incomplete, malformed or unmatched response is a failure, that the request
// counts as sent, and that it is not sent again.
func TestBroken(t *testing.T) {
	cases := map[string]string{
		"nothing":                   "",
		"half a head":               "HTTP/1.1 200 O",
		"no response":               "garbage garbage\r\n\r\n",
		"short body":                "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 9\r\n\r\nabc",
		"truncated chunks":          "HTTP/1.1 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"another id":                "HTTP/1.1 200 OK\r\nX-Id: two\r\nContent-Length: 0\r\n\r\n",
		"endless interim responses": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20),
		"endless head":              "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<17),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, connections := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
				_, _ = http.ReadRequest(b)
				_, _ = io.WriteString(c, text)
			})
			a, failure := newCarrier(t).Exchange(context.Background(), address, newRequest("one"))
			is.True(a == nil)
			is.True(failure.Sent)
			is.Equal(connections.Load(), int64(1)) // not sent again
		})
	}
	t.Run("ended by close", func(t *testing.T) {
		is := is.New(t)
		address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
			_, _ = http.ReadRequest(b)
			writeResponse(c, "one", "", "whole")
		})
		a, failure := newCarrier(t).Exchange(context.Background(), address, newRequest("one"))
		is.True(failure == nil)
		is.Equal(string(a.Body), "whole")
	})
	t.Run("ended by reset", func(t *testing.T) {
		is := is.New(t)
		address, _ := newTarget(t, func(b *bufio.Reader, c net.Conn, _ int64) {
			_, _ = http.ReadRequest(b)
			writeResponse(c, "one", "", "half")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, failure := newCarrier(t).Exchange(context.Background(), address, newRequest("one"))
		is.True(failure != nil && failure.Sent)
	})
}

// TestEarlyAnswer guards against the next request being sent in place of the rest of a body: a
// target that responds before it has read a long body gets no further request on the connection.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	got := make(chan int64, 2)
	address, connections := newTarget(t, func(b *bufio.Reader, c net.Conn, n int64) {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if n == 1 {
			writeResponse(c, "one", "Content-Length: 0\r\n", "")
			time.Sleep(200 * time.Millisecond)
		}
		read, _ := io.Copy(io.Discard, r.Body)
		got <- read
		writeResponse(c, "two", "Content-Length: 0\r\n", "")
	})
	n := newCarrier(t)
	for _, id := range []string{"one", "two"} {
		r := newRequest(id)
		r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
		_, failure := n.Exchange(context.Background(), address, r)
		is.True(failure == nil)
	}
	is.Equal(connections.Load(), int64(2))
	is.True(<-got <= 32<<20)
}

// TestEnds checks what ends an exchange, and whether the request counts as sent.
func TestEnds(t *testing.T) {
	silent := func(b *bufio.Reader, c net.Conn, _ int64) {
		_, _ = http.ReadRequest(b)
		_, _ = io.Copy(io.Discard, c)
	}
	t.Run("context", func(t *testing.T) {
		is := is.New(t)
		address, _ := newTarget(t, silent)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, failure := newCarrier(t).Exchange(ctx, address, newRequest("one"))
		is.True(failure.Sent && !failure.Refused)
	})
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		_, failure := newCarrier(t).Exchange(context.Background(), "127.0.0.1:1", newRequest("one"))
		is.True(failure.Refused && !failure.Sent)
	})
	t.Run("stopped before the first byte", func(t *testing.T) {
		is := is.New(t)
		address, _ := newTarget(t, silent)
		r := newRequest("one")
		r.BeforeSend = func() bool { return false }
		_, failure := newCarrier(t).Exchange(context.Background(), address, r)
		is.True(failure.Stopped && !failure.Sent)
	})
}

// TestEndlessBytes guards against a target that sends bytes without end, in a head or a body: the
// exchange ends soon, little is buffered, and the connection is closed.
func TestEndlessBytes(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		// socketBufferBytes is what the socket buffers of both sides may hold unread.
		socketBufferBytes = 16 << 20
	)
	cases := []struct {
		name string
		// prefix is sent once, then repeated without end.
		prefix, repeated string
		// limit is the most that is buffered of a response; 0 means that there is none.
		limit int
	}{
		{"no line", "", strings.Repeat("x", 4096), 0},
		{"empty lines", "", "\r\n", 0},
		{"a status line", "HTTP/1.1 200 ", strings.Repeat("y", 4096), 0},
		{"header lines", head, "A: b\r\n", 0},
		{"one header line", head + "A: ", strings.Repeat("z", 4096), 0},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0},
		{"a chunk's size", head + "Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1", 4096), 0},
		{"a trailer", head + "Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 512), 0},
		{"a body without an id", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096), maxUnverifiedBytes},
		{"a body that is not signed", head + "\r\n", strings.Repeat("x", 4096), maxUnverifiedBytes},
		{"a signed body without a length", head + "Signed: yes\r\n\r\n", strings.Repeat("x", 4096), maxUnverifiedBytes},
		{"chunks", head + "Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", maxUnverifiedBytes},
		{"a body with a false length", head + "Signed: yes\r\nContent-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 4096), maxUnverifiedBytes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			address, _ := newTarget(t, func(b *bufio.Reader, conn net.Conn, _ int64) {
				_, _ = http.ReadRequest(b)
				n, err := io.WriteString(conn, c.prefix)
				more := strings.Repeat(c.repeated, 1+4096/len(c.repeated))
				for err == nil {
					var k int
					k, err = io.WriteString(conn, more)
					n += k
				}
				sent <- n
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			n := NewCarrier(Config{
				Clock: timekeeper.NewClock(), RequestHeader: "X-Id",
				IsOwnResponse: func(_ int, h http.Header) bool { return h.Get("Signed") != "" },
			})
			defer n.Close()
			a, failure := n.Exchange(ctx, address, newRequest("r1"))
			if c.limit == 0 {
				is.True(failure != nil && failure.Sent)
			} else {
				is.True(failure == nil && a.Remainder != nil)
				is.True(cap(a.Body) <= 2*c.limit+bytes.MinRead)
				is.NoErr(a.Remainder.Close())
			}
			is.NoErr(ctx.Err())
			select {
			case k := <-sent:
				is.True(k <= socketBufferBytes)
			case <-ctx.Done():
				t.Fatal("the connection is still open")
			}
		})
	}
}
