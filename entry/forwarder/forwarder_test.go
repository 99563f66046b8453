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

// rawUpstream is a TCP server that handles each connection in a given way and counts requests.
type rawUpstream struct {
	address  string
	requests atomic.Int64
}

func newRawUpstream(t *testing.T, serve func(r *rawUpstream, c net.Conn)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawUpstream{address: l.Addr().String()}
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

// readRequest reads a request and counts it as run.
func (r *rawUpstream) readRequest(b *bufio.Reader) bool {
	q, err := http.ReadRequest(b)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.requests.Add(1)
	return true
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// upstreamBehaviors are the ways in which an upstream handles a connection.
var upstreamBehaviors = map[string]func(r *rawUpstream, c net.Conn){
	"answers": func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		for b := bufio.NewReader(c); r.readRequest(b); {
			_, _ = io.WriteString(c, completeResponse)
		}
	},
	"answers once, then closes after reading": func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		b := bufio.NewReader(c)
		if r.readRequest(b) {
			_, _ = io.WriteString(c, completeResponse)
		}
		r.readRequest(b)
	},
	"closes after reading": func(r *rawUpstream, c net.Conn) {
		r.readRequest(bufio.NewReader(c))
		_ = c.Close()
	},
	"truncates the body": func(r *rawUpstream, c net.Conn) {
		r.readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole")
		_ = c.Close()
	},
	"answers for another request": func(r *rawUpstream, c net.Conn) {
		r.readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFilberthoist-Request: other\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"refuses": func(_ *rawUpstream, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nFilberthoist-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"fails": func(r *rawUpstream, c net.Conn) {
		r.readRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
		_ = c.Close()
	},
	"stays silent": func(r *rawUpstream, c net.Conn) {
		r.readRequest(bufio.NewReader(c))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	},
}

// TestOutcomes checks the outcome for the caller against what the upstream did.
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
		{"truncates the body", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonUpstream, true},
		{"answers for another request", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonUnmatched, true},
		{"refuses", parser.ClassAtMostOnce, handler.NotRun, handler.ReasonNoCapacity, true},
		{"fails", parser.ClassAtMostOnce, handler.Done, "", true},
		{"stays silent", parser.ClassAtMostOnce, handler.Unknown, handler.ReasonDeadline, true},
		{"answers", parser.ClassIdempotent, handler.Done, "", false},
		{"stays silent", parser.ClassIdempotent, handler.Unknown, handler.ReasonDeadline, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, %s", c.upstream, c.class), func(t *testing.T) {
			is := is.New(t)
			r := newRawUpstream(t, upstreamBehaviors[c.upstream])
			f := newForwarder(t, true)
			e, _ := newExchange(c.class, http.MethodPost, "12.50")
			o, result := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(o.Run, c.run)
			is.Equal(o.Reason, c.reason)
			is.Equal(result.Failed, c.failed)
			if o.Run == handler.NotRun {
				is.Equal(r.requests.Load(), int64(0)) // the upstream did not run it
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(t, true)
		e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: "127.0.0.1:1"})
		is.Equal(o.Run, handler.NotRun)
	})
	t.Run("the lease expired", func(t *testing.T) {
		is := is.New(t)
		r := newRawUpstream(t, upstreamBehaviors["answers"])
		f := newForwarder(t, false)
		e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
		is.Equal(o, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale))
		is.Equal(r.requests.Load(), int64(0))
	})
	t.Run("the lease expires between the check and the first byte", func(t *testing.T) {
		is := is.New(t)
		r := newRawUpstream(t, upstreamBehaviors["answers"])
		var checks atomic.Int64
		f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return checks.Add(1) == 1 }})
		t.Cleanup(f.Close)
		for _, class := range []parser.Class{parser.ClassAtMostOnce, parser.ClassIdempotent} {
			checks.Store(0)
			e, _ := newExchange(class, http.MethodPost, "12.50")
			o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(o.Run, handler.NotRun)
		}
		is.Equal(r.requests.Load(), int64(0))
	})
}

// TestUncertainRefusals guards against a promise that a request has not run, made by a response without an ID on a
// connection on which an earlier request may have got two.
func TestUncertainRefusals(t *testing.T) {
	const refusal = "HTTP/1.1 503 No\r\nFilberthoist-Outcome: notRun\r\nContent-Length: 0\r\n\r\n"
	r := newRawUpstream(t, func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		b := bufio.NewReader(c)
		if r.readRequest(b) {
			_, _ = io.WriteString(c, completeResponse)
		}
		if r.readRequest(b) {
			_, _ = io.WriteString(c, refusal+completeResponse)
		}
	})
	f := newForwarder(t, true)
	for _, want := range []handler.Run{handler.Done, handler.Unknown} {
		is := is.New(t)
		e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
		o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
		is.Equal(o.Run, want)
	}
}

// TestFailuresPromiseNothing guards against a promise that a request has not run, read by the caller from the status
// of a target that ran it.
func TestFailuresPromiseNothing(t *testing.T) {
	d := handler.Dialect{
		RequestID: "Id", Signature: "Signature", NotRun: "Not-Run", ExpectedTarget: "Target",
		NotRunStatuses: []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable},
	}
	cases := []struct {
		status int
		header string
		class  parser.Class
		run    handler.Run
	}{
		{http.StatusServiceUnavailable, "", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusServiceUnavailable, "Signature: s\r\n", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusTooManyRequests, "", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusRequestTimeout, "", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusInternalServerError, "", parser.ClassAtMostOnce, handler.Done},
		{http.StatusServiceUnavailable, "Not-Run: full\r\n", parser.ClassAtMostOnce, handler.NotRun},
		{http.StatusServiceUnavailable, "Not-Run: full\r\nSignature: s\r\n", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusServiceUnavailable, "Not-Run: full\r\nSignature: s\r\n", parser.ClassIdempotent, handler.Unknown},
		{http.StatusMisdirectedRequest, "", parser.ClassAtMostOnce, handler.NotRun},
		{http.StatusMisdirectedRequest, "Signature: s\r\n", parser.ClassAtMostOnce, handler.Unknown},
		{http.StatusMisdirectedRequest, "Signature: s\r\n", parser.ClassIdempotent, handler.Unknown},
		{http.StatusServiceUnavailable, "", parser.ClassIdempotent, handler.Done},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d %q %s", c.status, c.header, c.class), func(t *testing.T) {
			is := is.New(t)
			r := newRawUpstream(t, func(r *rawUpstream, n net.Conn) {
				defer n.Close()
				r.readRequest(bufio.NewReader(n))
				_, _ = fmt.Fprintf(n, "HTTP/1.1 %d Failed\r\n%sContent-Length: 0\r\n\r\n", c.status, c.header)
			})
			f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &d})
			t.Cleanup(f.Close)
			e, _ := newExchange(c.class, http.MethodPost, "12.50")
			o, _ := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(o.Run, c.run)
		})
	}
}

// TestStoppedRequests checks what a caller is told of a request that still runs, or was not sent yet,
// when the process stops.
func TestStoppedRequests(t *testing.T) {
	r := newRawUpstream(t, upstreamBehaviors["stays silent"])
	cases := []struct {
		name  string
		delay time.Duration
		run   handler.Run
	}{
		{"before it is sent", 0, handler.NotRun},
		{"while the upstream is silent", 100 * time.Millisecond, handler.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			if c.delay == 0 {
				cancel(handler.ErrStopping)
			}
			defer time.AfterFunc(c.delay, func() { cancel(handler.ErrStopping) }).Stop()
			e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
			o, result := newForwarder(t, true).Forward(ctx, e, &parser.Target{Address: r.address})
			is.Equal(o.Run, c.run)
			is.Equal(o.Reason, handler.ReasonStopping)
			is.True(!result.Failed) // the target is not to blame
		})
	}
}

// TestLateRequestsBlameNobody checks that a missed deadline counts as a failure of the target
// only if at least half of the route's timeout was left when the request was sent.
func TestLateRequestsBlameNobody(t *testing.T) {
	for timeout, failed := range map[time.Duration]bool{400 * time.Millisecond: true, 10 * time.Second: false} {
		t.Run(timeout.String(), func(t *testing.T) {
			is := is.New(t)
			r := newRawUpstream(t, upstreamBehaviors["stays silent"])
			f := newForwarder(t, true)
			e, _ := newExchange(parser.ClassIdempotent, http.MethodGet, "")
			e.Route.Timeout = timeout
			_, result := f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			is.Equal(result.Failed, failed)
		})
	}
}

// TestNoReplay guards against replays by a transport: net/http's sends a request again if the
// upstream closed the connection after reading it, provided that the request has an
// Idempotency-Key and a body that can be sent again. At-most-once requests must not run twice.
func TestNoReplay(t *testing.T) {
	for _, body := range []string{"", "12.50"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			r := newRawUpstream(t, upstreamBehaviors["answers once, then closes after reading"])
			f := newForwarder(t, true)
			for range 2 {
				e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, body)
				e.Request.Header.Set("Idempotency-Key", "one")
				_, _ = f.Forward(context.Background(), e, &parser.Target{Address: r.address})
			}
			is.Equal(r.requests.Load(), int64(2)) // each request once
		})
	}
}

func TestHeaders(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Clone() }))
	defer s.Close()
	f := newForwarder(t, true)
	e, w := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
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

// TestRecord checks which exchanges show that a target was reached or not.
func TestRecord(t *testing.T) {
	cases := []struct {
		upstream string
		recorded []bool
	}{
		{"answers", []bool{true}},
		{"refuses", []bool{true}},
		{"fails", []bool{true}},
		{"answers for another request", []bool{true}},
		{"closes after reading", []bool{false}},
		{"stays silent", []bool{false}},
		{"accepts no connection", []bool{false}},
		{"caller gone", nil},
	}
	for _, c := range cases {
		t.Run(c.upstream, func(t *testing.T) {
			is := is.New(t)
			target := &parser.Target{Address: "127.0.0.1:1"}
			if serve := upstreamBehaviors[c.upstream]; serve != nil {
				target.Address = newRawUpstream(t, serve).address
			}
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if c.upstream == "caller gone" {
				leave()
			}
			var recorded []bool
			f := newForwarder(t, true)
			f.config.Record = func(_ *parser.Target, reached bool) { recorded = append(recorded, reached) }
			e, _ := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
			f.Forward(ctx, e, target)
			is.Equal(recorded, c.recorded)
		})
	}
}

// TestLongResponse guards against a response that breaks off where its buffered part ends.
func TestLongResponse(t *testing.T) {
	for name, chunked := range map[string]bool{"sized": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", 3<<20)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !chunked {
					w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				}
				_, _ = io.WriteString(w, body)
			}))
			defer s.Close()
			e, w := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
			e.Deadline += 10 * time.Second
			o, _ := newForwarder(t, true).Forward(context.Background(), e, &parser.Target{Address: s.Listener.Addr().String()})
			is.Equal(o.Run, handler.Done)
			is.True(w.Body.String() == body)
		})
	}
}

func newForwarder(t *testing.T, fresh bool) *Forwarder {
	t.Helper()
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return fresh }})
	t.Cleanup(f.Close)
	return f
}

// exchangeCount numbers the exchanges, so that each has an ID of its own.
var exchangeCount atomic.Int64

// newExchange returns an exchange with 300 ms left and the recorder of its response.
func newExchange(class parser.Class, method, body string) (*handler.Exchange, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	now := timekeeper.NewClock().Now()
	return &handler.Exchange{
		Writer: w, Request: httptest.NewRequest(method, "/charges/7", strings.NewReader(body)),
		ID: fmt.Sprint("request", exchangeCount.Add(1)), Start: now, Deadline: now + 300*time.Millisecond,
		Route: &parser.Route{Class: class}, Body: []byte(body),
	}, w
}
