package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// passedTimeout is a timeout that has passed before the server reads, as if the process got no
// processor time meanwhile.
const passedTimeout = time.Nanosecond

// pendingServer is a server whose callers connect and send before it accepts and reads.
type pendingServer struct {
	acceptor *Acceptor
	listener *net.TCPListener
}

// newPendingServer opens a listener without accepting on it. Timeouts of 0 are replaced by long ones.
func newPendingServer(t *testing.T, h http.HandlerFunc, header, idle time.Duration) *pendingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{HeaderBytes: 64 << 10, HeaderTimeout: header, IdleTimeout: idle}
	if header == 0 {
		limits.HeaderTimeout = waitLimit
	}
	if idle == 0 {
		limits.IdleTimeout = waitLimit
	}
	s := &pendingServer{
		acceptor: NewAcceptor(Config{Handler: h, Limits: func() Limits { return limits }}),
		listener: l.(*net.TCPListener),
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.acceptor.Shutdown(ctx)
		_ = l.Close()
	})
	return s
}

// send connects and sends text.
func (s *pendingServer) send(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

func (s *pendingServer) start() {
	go func() { _ = s.acceptor.Serve(s.listener) }()
}

// TestIdleTimeoutWithPendingRequest guards against a connection that is closed with no response since
// its idle timeout passed before the request in its socket was read.
func TestIdleTimeoutWithPendingRequest(t *testing.T) {
	s := newPendingServer(t, echo, 0, passedTimeout)
	_, b := s.send(t, "GET /pending HTTP/1.1\r\nHost: x\r\n\r\n")
	s.start()
	checkResponse(t, b, http.StatusOK, "GET /pending ")
}

// TestHeaderTimeoutWithPendingHead guards against a head that is rejected as slow although all of it
// has arrived.
func TestHeaderTimeoutWithPendingHead(t *testing.T) {
	s := newPendingServer(t, echo, passedTimeout, 0)
	_, b := s.send(t, "GET /pending HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 8<<10)+"\r\n\r\n")
	s.start()
	checkResponse(t, b, http.StatusOK, "GET /pending ")
}

// TestBodyTimeoutWithPendingBody guards against a body that is rejected as slow although all of it has
// arrived.
func TestBodyTimeoutWithPendingBody(t *testing.T) {
	body := strings.Repeat("x", 32<<10)
	s := newPendingServer(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(passedTimeout))
		echo(w, r)
	}, 0, 0)
	_, b := s.send(t, fmt.Sprint("POST /pending HTTP/1.1\r\nHost: x\r\nContent-Length: ", len(body), "\r\n\r\n", body))
	time.Sleep(50 * time.Millisecond) // until the body has arrived
	s.start()
	checkResponse(t, b, http.StatusOK, "POST /pending "+body)
}

// TestShutdownWithPendingConnections guards against connections that are reset since the listener
// closes before the acceptor got to accept them.
func TestShutdownWithPendingConnections(t *testing.T) {
	s := newPendingServer(t, echo, 0, 0)
	s.acceptor.listener = s.listener
	var readers []*bufio.Reader
	for i := range 3 {
		_, b := s.send(t, fmt.Sprint("GET /pending/", i, " HTTP/1.1\r\nHost: x\r\n\r\n"))
		readers = append(readers, b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.acceptor.Shutdown(ctx) }()
	time.Sleep(2 * acceptDrainTime)
	s.start()
	for i, b := range readers {
		checkResponse(t, b, http.StatusOK, fmt.Sprint("GET /pending/", i, " "))
	}
	is.New(t).NoErr(<-done)
}

// TestShutdownWithNewConnection guards against a connection that is closed with no response since the
// listener closes while its first request is under way.
func TestShutdownWithNewConnection(t *testing.T) {
	is := is.New(t)
	a, c, b := newServer(t, echo)
	for a.connectionCount.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.Shutdown(ctx) }()
	time.Sleep(2 * acceptDrainTime)
	_, err := io.WriteString(c, "GET /new HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	checkResponse(t, b, http.StatusOK, "GET /new ")
	is.NoErr(<-done)
}

// TestCloseAnnouncedBeforePipelinedRequest guards against a request that runs twice: a response that
// announces the end of the connection tells the caller that the requests behind it were not read.
func TestCloseAnnouncedBeforePipelinedRequest(t *testing.T) {
	is := is.New(t)
	began, release := make(chan struct{}, 2), make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		echo(w, r)
	})
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	<-began
	<-began
	a.Drain()
	close(release)
	r := checkResponse(t, b, http.StatusOK, "GET /first ")
	is.True(!r.Close) // the second request runs
	checkResponse(t, b, http.StatusOK, "GET /second ")
}

// TestDrainAfterHead guards against a request that gets no response since a drain began after the head
// of the response before it, which therefore does not announce the end of the connection.
func TestDrainAfterHead(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes+1)) // sends the head
			<-release
			return
		}
		echo(w, r)
	})
	_, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	r, err := http.ReadResponse(b, nil)
	is.NoErr(err)
	is.True(!r.Close)
	a.Drain()
	_, err = io.WriteString(c, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	close(release)
	n, err := io.Copy(io.Discard, r.Body)
	is.NoErr(err)
	is.Equal(n, int64(maxBufferedBytes+1))
	checkResponse(t, b, http.StatusOK, "GET /second ")
}

// TestLateBytesWhileDraining guards against a response that is cut off by a reset, which the kernel
// sends if the caller's next bytes arrive after the connection was closed.
func TestLateBytesWhileDraining(t *testing.T) {
	const (
		size = 200 << 10 // a response that is written at once
		next = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
	)
	for _, early := range []string{"", next} {
		for i := range 16 { // the close and the linger race
			t.Run(fmt.Sprint(len(early), " bytes before the response, caller ", i), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				began, release := make(chan struct{}, 3), make(chan struct{})
				s := newPendingServer(t, func(w http.ResponseWriter, _ *http.Request) {
					began <- struct{}{}
					<-release
					_, _ = io.WriteString(w, strings.Repeat("x", size))
				}, 0, 0)
				is.NoErr(setBuffer(s.listener, unix.SO_SNDBUF, 1<<20)) // inherited by the connections
				s.start()
				d := net.Dialer{Control: func(_, _ string, r syscall.RawConn) error { return setRawBuffer(r, unix.SO_RCVBUF, 4<<10) }}
				c, err := d.Dial("tcp", s.listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(waitLimit))
				_, err = io.WriteString(c, next)
				is.NoErr(err)
				<-began
				s.acceptor.Drain()
				_, err = io.WriteString(c, early)
				is.NoErr(err)
				time.Sleep(lingerTimeout / 10) // until the server has read it
				close(release)
				time.Sleep(lingerTimeout / 5) // the response is written, but most of it is not received yet
				_, _ = io.WriteString(c, next)
				time.Sleep(lingerTimeout / 5)
				r, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				n, err := io.Copy(io.Discard, r.Body)
				is.NoErr(err)
				is.Equal(n, int64(size))
			})
		}
	}
}

func setBuffer(c syscall.Conn, option, size int) error {
	r, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setRawBuffer(r, option, size)
}

func setRawBuffer(r syscall.RawConn, option, size int) error {
	var err error
	if controlled := r.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size) }); controlled != nil {
		return controlled
	}
	return err
}
