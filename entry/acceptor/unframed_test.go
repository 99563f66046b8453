package acceptor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnframedResponses guards against a response to a caller of HTTP/1.0 in chunks, which that caller takes for content,
// and against one that is cut off and looks complete to it: only a reset tells.
func TestUnframedResponses(t *testing.T) {
	const size = maxBufferedBytes + 1000
	cases := []struct {
		name, header string
		// end runs once a part of the body is sent; nil sends the rest.
		end func(a *Acceptor, c *connection)
	}{
		{"whole", "", nil},
		{"whole, to be kept", "Connection: keep-alive\r\n", nil},
		{"the handler aborts", "", func(*Acceptor, *connection) { panic(http.ErrAbortHandler) }},
		{"the seat is lost", "", func(_ *Acceptor, c *connection) { c.loseSeat() }},
		{"the shutdown ends", "", func(a *Acceptor, _ *connection) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			go func() { _ = a.Shutdown(ctx) }()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var server *Acceptor
			server, caller, _ := newServer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write(make([]byte, size))
				if c.end == nil {
					_, _ = w.Write(make([]byte, size))
					return
				}
				time.Sleep(50 * time.Millisecond)
				c.end(server, w.(*exchange).connection)
				<-r.Context().Done()
			})
			_, err := io.WriteString(caller, "GET / HTTP/1.0\r\n"+c.header+"\r\n")
			is.NoErr(err)
			b, err := io.ReadAll(caller)
			_, content, hasHead := bytes.Cut(b, []byte("\r\n\r\n"))
			is.True(hasHead)
			is.True(bytes.HasPrefix(make([]byte, 2*size), content)) // nothing but the body
			is.Equal(err == nil, c.end == nil)
			if c.end == nil {
				is.Equal(len(content), 2*size)
			}
		})
	}
}
