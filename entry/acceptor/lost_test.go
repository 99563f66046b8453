package acceptor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/logger"
)

// logBuffer collects log lines.
type logBuffer struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

// Write appends a line.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.Write(p)
}

// find returns the first line with an event, and waits for it.
func (b *logBuffer) find(t *testing.T, event string) string {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if l := b.line(event); l != "" {
			return l
		}
	}
	t.Fatalf("no line of %s", event)
	return ""
}

func (b *logBuffer) line(event string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for l := range strings.Lines(b.lines.String()) {
		if strings.Contains(l, `"`+event+`"`) {
			return l
		}
	}
	return ""
}

// newLoggedServer returns an Acceptor that logs to a buffer, and a connection to it.
func newLoggedServer(t *testing.T, h http.HandlerFunc) (*Acceptor, *net.TCPConn, *logBuffer) {
	t.Helper()
	b := &logBuffer{}
	limits := Limits{HeaderBytes: 4096, HeaderTimeout: waitLimit, IdleTimeout: waitLimit}
	a := NewAcceptor(Config{
		Handler: h, Limits: func() Limits { return limits }, RequestHeader: "X-Request-Id",
		Logger: logger.NewLogger(logger.Config{Writer: b, Level: "info"}),
	})
	caller, socket := connectedPair(t)
	a.add(newConnection(a, socket))
	return a, caller, b
}

// TestLostResponsesAreLogged guards against requests that were read and whose missing response leaves
// no line that tells who ended the connection.
func TestLostResponsesAreLogged(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n\r\n"
	cases := []struct {
		name  string
		cause endCause
		end   func(a *Acceptor, caller *net.TCPConn, release func())
	}{
		{"the caller closes", callerClosed, func(_ *Acceptor, caller *net.TCPConn, _ func()) { _ = caller.Close() }},
		{"the handler aborts", handlerAborted, func(_ *Acceptor, _ *net.TCPConn, release func()) { release() }},
		{"the shutdown ends", shutdownEnded, func(a *Acceptor, _ *net.TCPConn, _ func()) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = a.Shutdown(ctx)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			running, released := make(chan struct{}), make(chan struct{})
			a, caller, b := newLoggedServer(t, func(_ http.ResponseWriter, r *http.Request) {
				close(running)
				select {
				case <-released:
					panic(http.ErrAbortHandler)
				case <-r.Context().Done():
				}
			})
			_, err := io.WriteString(caller, request)
			is.NoErr(err)
			<-running
			c.end(a, caller, func() { close(released) })
			line := b.find(t, "responseLost")
			is.True(strings.Contains(line, `"request":"r1"`))
			is.True(strings.Contains(line, `"cause":"`+string(c.cause)+`"`))
		})
	}
}

// TestIdleConnectionsClosedByCallers guards against connections that their callers closed and that
// count as closed by this side.
func TestIdleConnectionsClosedByCallers(t *testing.T) {
	is := is.New(t)
	a, caller, b := newLoggedServer(t, echo)
	is.NoErr(caller.Close())
	a.connectionsDone.Wait()
	is.Equal(b.line("idleClosed"), "")
}
