package acceptor

import (
	"bufio"
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
)

// waitLimit ends a test that hangs. It checks no speed.
const waitLimit = 10 * time.Second

// newServer serves a handler and returns a connection to it.
func newServer(t *testing.T, h http.HandlerFunc) (*Acceptor, net.Conn, *bufio.Reader) {
	t.Helper()
	return newServerWithSoftLimit(t, h, 0)
}

// newServerWithSoftLimit is newServer with a number of connections above which callers are asked
// to close.
func newServerWithSoftLimit(t *testing.T, h http.HandlerFunc, softLimit int) (*Acceptor, net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: waitLimit}
	a := NewAcceptor(Config{Handler: h, Limits: func() Limits { return limits }, SoftMaxConnections: softLimit})
	go func() { _ = a.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = a.Shutdown(ctx)
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	return a, c, bufio.NewReader(c)
}

// checkResponse reads one response and compares its status and body.
func checkResponse(t *testing.T, b *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	is := is.New(t)
	r, err := http.ReadResponse(b, nil)
	is.NoErr(err)
	got, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(r.StatusCode, status)
	if body != "" {
		is.Equal(string(got), body)
	}
	return r
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(b))
}

// TestPipelining checks that pipelined requests run concurrently and are answered in order.
func TestPipelining(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/first":
			<-second // blocks until the second request runs
		case "/second":
			close(second)
		}
		echo(w, r)
	})
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n"+
		"POST /third HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nTrailer: 1\r\n\r\nGET /fourth HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	checkResponse(t, b, http.StatusOK, "GET /first ")
	checkResponse(t, b, http.StatusOK, "GET /second ")
	checkResponse(t, b, http.StatusOK, "POST /third abc")
	checkResponse(t, b, http.StatusOK, "GET /fourth ")
}

// TestCallerLeaves guards against requests that continue to run after their caller has closed the
// connection, with and without pipelined requests after it.
func TestCallerLeaves(t *testing.T) {
	for _, pipelined := range []int{0, 2} {
		t.Run(fmt.Sprint(pipelined, " more requests"), func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}, 3), make(chan struct{}, 3)
			_, c, _ := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
			})
			_, err := io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", pipelined+1))
			is.NoErr(err)
			for range pipelined + 1 {
				<-began
			}
			_ = c.Close()
			for range pipelined + 1 {
				select {
				case <-ended:
				case <-time.After(waitLimit):
					t.Fatal("the request continues")
				}
			}
		})
	}
}

// TestHeads guards against request smuggling: a head that is malformed or can be parsed in two ways
// is rejected and ends the connection, so that no bytes after it are taken for a request.
func TestHeads(t *testing.T) {
	cases := []struct {
		name, head string
		status     int
	}{
		{"length and chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"other encoding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"no request", "nonsense\r\n\r\n", 400},
		{"space in a name", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\nabcde", 400},
		{"too long", "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		{"slow", "GET / HTTP/1.1\r\nHost: x\r\n", 408},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			_, conn, b := newServer(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			_, err := io.WriteString(conn, c.head)
			is.NoErr(err)
			if c.status != 408 {
				_, _ = io.WriteString(conn, "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n")
			}
			r := checkResponse(t, b, c.status, "")
			is.True(r.Close)
			_, err = b.ReadByte()
			is.True(err != nil) // the connection ends
			is.Equal(ran.Load(), int64(0))
		})
	}
}

// TestBodies checks that a request body that is not read ends the connection, which the response
// announces so that the caller sends no further request on it, that 100 Continue is sent, that long responses arrive, and that an aborted response is an error for the caller.
func TestBodies(t *testing.T) {
	t.Run("unread", func(t *testing.T) {
		is := is.New(t)
		_, c, b := newServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 26\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		is.True(checkResponse(t, b, http.StatusForbidden, "").Close)
		_, err = b.ReadByte()
		is.Equal(err, io.EOF)
	})
	t.Run("expect continue", func(t *testing.T) {
		is := is.New(t)
		_, c, b := newServer(t, echo)
		_, err := io.WriteString(c, "PUT /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		is.NoErr(err)
		checkResponse(t, b, http.StatusContinue, "")
		_, err = io.WriteString(c, "ab")
		is.NoErr(err)
		checkResponse(t, b, http.StatusOK, "PUT /x ab")
	})
	t.Run("long response", func(t *testing.T) {
		long := strings.Repeat("0123456789", 100_000)
		_, c, b := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")
		checkResponse(t, b, http.StatusOK, long)
		checkResponse(t, b, http.StatusOK, long)
	})
	t.Run("aborted", func(t *testing.T) {
		is := is.New(t)
		_, c, b := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			panic(http.ErrAbortHandler)
		})
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		r, err := http.ReadResponse(b, nil)
		is.NoErr(err)
		_, err = io.ReadAll(r.Body)
		is.True(err != nil) // the response must not look complete
	})
}

// TestDrain checks that idle connections end at once, that a running request is answered first, and
// that its response announces the end of the connection.
func TestDrain(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 1), make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		echo(w, r)
	})
	idle, err := net.Dial("tcp", c.RemoteAddr().String())
	is.NoErr(err)
	defer idle.Close()
	_, _ = io.WriteString(c, "GET /late HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began
	a.Drain()
	late, err := net.Dial("tcp", c.RemoteAddr().String())
	is.NoErr(err)
	defer late.Close()
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(late, "GET /new HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began // a connection that is opened now still gets a response
	_ = idle.SetReadDeadline(time.Now().Add(waitLimit))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(release)
	r := checkResponse(t, b, http.StatusOK, "GET /late ")
	is.True(r.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	is.NoErr(a.Shutdown(ctx))
}

// TestCrowd checks that, above the soft limit of connections, responses ask callers to close and
// the connections end, and that connections are kept below it.
func TestCrowd(t *testing.T) {
	is := is.New(t)
	a, first, b := newServerWithSoftLimit(t, echo, 2)
	ask := func(c net.Conn, b *bufio.Reader) bool {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		return checkResponse(t, b, http.StatusOK, "GET / ").Close
	}
	is.True(!ask(first, b))
	var others []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", first.RemoteAddr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		others = append(others, c)
	}
	for a.connectionCount.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	is.True(ask(others[0], bufio.NewReader(others[0])))
	_ = others[0].Close()
	for a.connectionCount.Load() > 2 {
		time.Sleep(time.Millisecond)
	}
	is.True(!ask(others[1], bufio.NewReader(others[1])))
	is.True(!ask(first, b))
}
