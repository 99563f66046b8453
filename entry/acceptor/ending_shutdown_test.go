package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sender is a caller that sends a request at each interval, without waiting for responses.
type sender struct {
	socket   net.Conn
	interval time.Duration
}

// loop sends requests until the connection ends.
func (s *sender) loop() {
	for {
		if _, err := io.WriteString(s.socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return
		}
		time.Sleep(s.interval)
	}
}

// TestShutdownEndsPipelines guards against requests without an answer on a connection whose caller always
// sends ahead: no response is the last one, and the shutdown cuts the connection at its end.
func TestShutdownEndsPipelines(t *testing.T) {
	is := is.New(t)
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	})
	s := &sender{socket: c, interval: 4 * time.Millisecond}
	go s.loop()
	checkResponse(t, b, http.StatusOK, "GET / ")
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- a.Shutdown(ctx) }()
	for begun := time.Now(); ; {
		if checkResponse(t, b, http.StatusOK, "GET / ").Close {
			break
		}
		is.True(time.Since(begun) < time.Second) // a response announces the end of the connection
	}
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(c.Close())
	is.NoErr(<-ended)
}

// TestShutdownAnswersAtItsEnd guards against requests without an answer that still run, or wait inside
// the process, when the time of the shutdown is over.
func TestShutdownAnswersAtItsEnd(t *testing.T) {
	for _, pipelined := range []int{0, 3} {
		t.Run(map[int]string{0: "one request", 3: "pipelined requests"}[pipelined], func(t *testing.T) {
			is := is.New(t)
			began := make(chan struct{}, 4)
			a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-r.Context().Done() // as a request that waits for a target
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			for range pipelined + 1 {
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				is.NoErr(err)
				<-began
			}
			ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- a.Shutdown(ctx) }()
			var last *http.Response
			for range pipelined + 1 {
				last = checkResponse(t, b, http.StatusServiceUnavailable, "")
			}
			is.True(last.Close)
			_, err := b.ReadByte()
			is.Equal(err, io.EOF)
			is.NoErr(<-stopped)
		})
	}
}

// TestShutdownAnswersUnfinishedBodies guards against a request without an answer, and a shutdown that
// counts as failed, since the rest of a body never arrives.
func TestShutdownAnswersUnfinishedBodies(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		_, err := io.ReadAll(r.Body)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		w.WriteHeader(http.StatusRequestTimeout)
	})
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab")
	is.NoErr(err)
	<-began
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- a.Shutdown(ctx) }()
	is.True(checkResponse(t, b, http.StatusRequestTimeout, "").Close)
	_, err = b.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(<-stopped)
}

// TestRequestAfterStop guards against a request that is served although requests have been stopped, so
// that nothing ends it before its connection is cut.
func TestRequestAfterStop(t *testing.T) {
	is := is.New(t)
	a, c, b := newServer(t, echo)
	a.config.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	a.stopRequests()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	checkResponse(t, b, http.StatusServiceUnavailable, "")
}

// TestShutdownBeforeServe guards against a process that does not exit, since its shutdown begins before
// its listener is served.
func TestShutdownBeforeServe(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a := NewAcceptor(Config{Limits: func() Limits { return Limits{} }})
	is.NoErr(a.Shutdown(context.Background()))
	served := make(chan error, 1)
	go func() { served <- a.Serve(l) }()
	select {
	case err := <-served:
		is.NoErr(err)
	case <-time.After(waitLimit):
		t.Fatal("the listener is still served")
	}
	_, err = l.Accept()
	is.True(err != nil) // it is closed
}
