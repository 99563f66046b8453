package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"),
		goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"))
}

// raw is an upstream that does one thing with each connection.
type raw struct {
	address  string
	requests atomic.Int64
}

func newRaw(t *testing.T, serve func(r *raw, c net.Conn)) *raw {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &raw{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(r, c)
		}
	}()
	return r
}

// readOne reads a request and counts it as run.
func (r *raw) readOne(b *bufio.Reader) bool {
	q, err := http.ReadRequest(b)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.requests.Add(1)
	return true
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// upstreams are what an upstream may do to a request.
var upstreams = map[string]func(r *raw, c net.Conn){
	"answers": func(r *raw, c net.Conn) {
		defer c.Close()
		for b := bufio.NewReader(c); r.readOne(b); {
			_, _ = io.WriteString(c, wholeAnswer)
		}
	},
	"answers once, then closes after reading": func(r *raw, c net.Conn) {
		defer c.Close()
		b := bufio.NewReader(c)
		if r.readOne(b) {
			_, _ = io.WriteString(c, wholeAnswer)
		}
		r.readOne(b)
	},
	"closes after reading": func(r *raw, c net.Conn) {
		r.readOne(bufio.NewReader(c))
		_ = c.Close()
	},
	"cuts the body": func(r *raw, c net.Conn) {
		r.readOne(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole")
		_ = c.Close()
	},
	"answers for another request": func(r *raw, c net.Conn) {
		r.readOne(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFilberthoist-Request: other\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"refuses": func(_ *raw, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nFilberthoist-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"fails": func(r *raw, c net.Conn) {
		r.readOne(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"stays silent": func(r *raw, c net.Conn) {
		r.readOne(bufio.NewReader(c))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	},
}

// TestOutcomes checks what callers are told against what the upstream saw.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		upstream string
		class    parser.Class
		run      handler.Run
		reason   handler.Reason
		failed   bool
	}{
		{"answers", parser.ClassAtMostOnce, handler.Done, "", false},
		{"closes after reading", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonUpstream, true},
		{"cuts the body", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonUpstream, true},
		{"answers for another request", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonUnmatched, true},
		{"refuses", parser.ClassAtMostOnce, handler.NotRun, handler.ReasonNoRoom, true},
		{"fails", parser.ClassAtMostOnce, handler.Done, "", true},
		{"stays silent", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonDeadline, true},
		{"answers", parser.ClassIdempotent, handler.Done, "", false},
		{"stays silent", parser.ClassIdempotent, handler.Unknown, handler.ReasonDeadline, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, %s", c.upstream, c.class), func(t *testing.T) {
			is := is.New(t)
			r := newRaw(t, upstreams[c.upstream])
			f := newForwarder(t, true)
			e, _ := exchange(c.class, http.MethodPost, "12.50")
			o, result := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(o.Run, c.run)
			is.Equal(o.Reason, c.reason)
			is.Equal(result.Failed, c.failed)
			if o.Run == handler.NotRun {
				is.Equal(r.requests.Load(), int64(0)) // "not run" is true
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, true)
		e, _ := exchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: "127.0.0.1:1"})
		is.Equal(o.Run, handler.NotRun)
	})
	t.Run("the lease ran out", func(t *testing.T) {
		is := is.New(t)
		r := newRaw(t, upstreams["answers"])
		f := newForwarder(t, false)
		e, _ := exchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
		is.Equal(o, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale))
		is.Equal(r.requests.Load(), int64(0))
	})
	t.Run("the lease runs out between the check and the first byte", func(t *testing.T) {
		is := is.New(t)
		r := newRaw(t, upstreams["answers"])
		var looks atomic.Int64
		f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return looks.Add(1) == 1 }})
		t.Cleanup(f.Close)
		for _, class := range []parser.Class{parser.ClassAtMostOnce, parser.ClassIdempotent} {
			looks.Store(0)
			e, _ := exchange(class, http.MethodPost, "12.50")
			o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(o.Run, handler.NotRun)
		}
		is.Equal(r.requests.Load(), int64(0))
	})
}

// TestLateRequestsBlameNobody: a deadline speaks against a target only if it had at least
// half of the route's time.
func TestLateRequestsBlameNobody(t *testing.T) {
	for timeout, failed := range map[time.Duration]bool{400 * time.Millisecond: true, 10 * time.Second: false} {
		t.Run(timeout.String(), func(t *testing.T) {
			is := is.New(t)
			r := newRaw(t, upstreams["stays silent"])
			f := newForwarder(t, true)
			e, _ := exchange(parser.ClassIdempotent, http.MethodGet, "")
			e.Route.Timeout = timeout
			_, result := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(result.Failed, failed)
		})
	}
}

// TestNoReplay: net/http's transport sends a request again on a connection that the
// upstream closed after reading it, if the request has an Idempotency-Key and a body that
// it can repeat. That must not happen to at-most-once requests.
func TestNoReplay(t *testing.T) {
	for _, body := range []string{"", "12.50"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			r := newRaw(t, upstreams["answers once, then closes after reading"])
			f := newForwarder(t, true)
			for range 2 {
				e, _ := exchange(parser.ClassAtMostOnce, http.MethodPost, body)
				e.Request.Header.Set("Idempotency-Key", "one")
				_, _ = f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			}
			is.Equal(r.requests.Load(), int64(2)) // each once
		})
	}
}

func TestHeaders(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Clone() }))
	defer s.Close()
	f := newForwarder(t, true)
	e, w := exchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
	e.Team = &parser.Team{Name: "landlords"}
	e.Request.Header.Set(handler.KeyHeader, "secret")
	e.Request.Header.Set(handler.TeamHeader, "forged")
	e.Request.Header.Set("Connection", "X-Hop")
	e.Request.Header.Set("X-Hop", "1")
	o, _ := f.Forward(context.Background(), e, &parser.Target{Address: s.Listener.Addr().String()})
	is.Equal(o.Run, handler.Done)
	is.Equal(seen.Get(handler.KeyHeader), "")
	is.Equal(seen.Get(handler.TeamHeader), "landlords")
	is.Equal(seen.Get("X-Hop"), "")
	is.True(seen.Get(handler.DeadlineHeader) != "")
	is.Equal(w.Header().Get(handler.OutcomeHeader), "done")
}

func newForwarder(t *testing.T, fresh bool) *Forwarder {
	t.Helper()
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return fresh }})
	t.Cleanup(f.Close)
	return f
}

// exchange returns a request with 300 ms left, and where its answer goes.
func exchange(class parser.Class, method, body string) (*handler.Exchange, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	now := timekeeper.NewClock().Now()
	return &handler.Exchange{
		Writer: w, Request: httptest.NewRequest(method, "/charges/7", strings.NewReader(body)),
		ID: "request", Begun: now, Deadline: now + 300*time.Millisecond,
		Route: &parser.Route{Class: class}, Body: []byte(body),
	}, w
}
