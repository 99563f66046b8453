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

	"github.com/filberthoist/filberthoist/core/peeker"
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
// announces so that the caller sends no further request on it, that 100 Continue is sent, that long
// responses arrive, and that an aborted response is an error for the caller.
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

// write sends a request for a path.
func write(t *testing.T, c net.Conn, path string) {
	t.Helper()
	_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	is.New(t).NoErr(err)
}

// dial opens a further connection to the server of another.
func dial(t *testing.T, c net.Conn) (net.Conn, *bufio.Reader) {
	t.Helper()
	n, err := net.Dial("tcp", c.RemoteAddr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = n.Close() })
	_ = n.SetDeadline(time.Now().Add(waitLimit))
	return n, bufio.NewReader(n)
}

// TestDrain checks that a running request is answered, that its response announces the end of the
// connection, and that a connection that is opened during the drain still gets a response.
func TestDrain(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 1), make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		echo(w, r)
	})
	write(t, c, "/late")
	<-began
	a.Drain()
	late, lateReader := dial(t, c)
	time.Sleep(50 * time.Millisecond)
	write(t, late, "/new")
	<-began
	close(release)
	for _, n := range []struct {
		reader *bufio.Reader
		body   string
	}{{b, "GET /late "}, {lateReader, "GET /new "}} {
		is.True(checkResponse(t, n.reader, http.StatusOK, n.body).Close)
		_, err := n.reader.ReadByte()
		is.Equal(err, io.EOF) // the connection ends at once
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	is.NoErr(a.Shutdown(ctx))
}

// TestDrainAnswersRequestsUnderWay guards against a whole request that gets neither a response nor a
// refusal because its connection is closed as idle while the request is under way.
func TestDrainAnswersRequestsUnderWay(t *testing.T) {
	a, used, usedReader := newServer(t, echo)
	a.config.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	write(t, used, "/first")
	checkResponse(t, usedReader, http.StatusOK, "GET /first ")
	fresh, freshReader := dial(t, used)
	split, splitReader := dial(t, used)
	_, _ = io.WriteString(split, "GET /split HT")
	late, lateReader := dial(t, used)
	write(t, late, "/first")
	checkResponse(t, lateReader, http.StatusOK, "GET /first ")
	a.Drain()
	time.Sleep(50 * time.Millisecond)
	checkLast := func(t *testing.T, c net.Conn, b *bufio.Reader, status int, body string) {
		t.Helper()
		is := is.New(t)
		is.True(checkResponse(t, b, status, body).Close)
		_, err := b.ReadByte()
		is.Equal(err, io.EOF)
		_ = c.Close()
	}
	t.Run("idle connection", func(t *testing.T) {
		write(t, used, "/second")
		checkLast(t, used, usedReader, http.StatusOK, "GET /second ")
	})
	t.Run("connection without a request", func(t *testing.T) {
		write(t, fresh, "/only")
		checkLast(t, fresh, freshReader, http.StatusOK, "GET /only ")
	})
	t.Run("part of a head", func(t *testing.T) {
		_, _ = io.WriteString(split, "TP/1.1\r\nHost: x\r\n\r\n")
		checkLast(t, split, splitReader, http.StatusOK, "GET /split ")
	})
	t.Run("refused once the shutdown begins", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- a.Shutdown(ctx) }()
		for !a.refusing.Load() {
			time.Sleep(time.Millisecond)
		}
		write(t, late, "/late")
		checkLast(t, late, lateReader, http.StatusServiceUnavailable, "")
		is.NoErr(<-ended)
	})
}

// pausedConn is a connection whose reads wait until the pause ends, as in a process that gets no
// processor time.
type pausedConn struct {
	*net.TCPConn
	resume chan struct{}
}

func (p pausedConn) Read(b []byte) (int, error) {
	<-p.resume
	return p.TCPConn.Read(b)
}

// TestDrainAnswersPipelinedRequests guards against a response that announces the end of its connection
// while a pipelined request after it runs, whose caller sends it again elsewhere.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 3), make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		echo(w, r)
	})
	for _, path := range []string{"/first", "/second", "/third"} {
		write(t, c, path)
		<-began
	}
	a.Drain()
	close(release)
	is.True(!checkResponse(t, b, http.StatusOK, "GET /first ").Close)
	is.True(!checkResponse(t, b, http.StatusOK, "GET /second ").Close)
	is.True(checkResponse(t, b, http.StatusOK, "GET /third ").Close)
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
}

// TestShutdownAnswersUnreadRequest guards against a request that waits in the socket when its
// connection is closed as idle.
func TestShutdownAnswersUnreadRequest(t *testing.T) {
	is := is.New(t)
	a, _, _ := newServer(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	_ = caller.SetDeadline(time.Now().Add(waitLimit))
	socket, err := l.Accept()
	is.NoErr(err)
	resume := make(chan struct{})
	n := newConnection(a, pausedConn{socket.(*net.TCPConn), resume})
	a.add(n)
	write(t, caller, "/waiting")
	for peeker.Peek(socket) != peeker.HasInput {
		time.Sleep(time.Millisecond)
	}
	a.Drain()
	a.refusing.Store(true)
	n.setIdleDeadline()
	time.Sleep(idleHold + idleHold/10) // until the deadline has passed
	close(resume)
	is.True(checkResponse(t, bufio.NewReader(caller), http.StatusOK, "GET /waiting ").Close)
}

// TestShutdownClosesIdleConnections checks that connections without requests end by themselves.
func TestShutdownClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	a, _, b := newServer(t, echo)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for a.connectionCount.Load() < 1 && ctx.Err() == nil { // a connection that was never accepted is reset
		time.Sleep(time.Millisecond)
	}
	is.NoErr(a.Shutdown(ctx))
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
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
