package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// TestUncertainStatements guards against a target that gets no requests because of a Retry-After or load that it stated long
// before, in an additional response.
func TestUncertainStatements(t *testing.T) {
	is := is.New(t)
	r := newRawUpstream(t, func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		for b := bufio.NewReader(c); r.readRequest(b); {
			_, _ = io.WriteString(c, completeResponse)
			if r.readRequest(b) {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nFilberthoist-Outcome: notRun\r\nRetry-After: 60\r\nLoad: 9,9,9\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	d := handler.DefaultDialect()
	d.Load, d.Leaving = "Load", "Leaving"
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &d})
	t.Cleanup(f.Close)
	for range 2 {
		e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		s := f.Send(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
		is.Equal(s.TurnedAway, time.Duration(0))
		is.Equal(s.LeavingTarget, "")
		is.True(s.Load == nil)
	}
}

// TestAnswersBehindUncertainRefusals guards against the answer of one request being passed on as that of the next: an
// upstream without IDs sends it behind an additional refusal, once the next request is on its way.
func TestAnswersBehindUncertainRefusals(t *testing.T) {
	is := is.New(t)
	const delay = 30 * time.Millisecond
	r := newRawUpstream(t, func(_ *rawUpstream, c net.Conn) {
		defer c.Close()
		b := bufio.NewReader(c)
		for i := 0; ; i++ {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			if i == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nFilberthoist-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
			}
			if i > 0 {
				time.Sleep(delay)
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.RequestURI), q.RequestURI)
		}
	})
	f := newForwarder(t, true)
	for i, want := range []handler.Run{handler.Done, handler.Unknown, handler.Done} {
		e, w := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		e.Request.RequestURI = fmt.Sprint("/charges/", i)
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
		is.Equal(o.Run, want)
		is.True(want != handler.Done || w.Body.String() == e.Request.RequestURI)
	}
}
