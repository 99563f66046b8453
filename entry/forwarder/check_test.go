package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/handler"
)

const (
	healthPath     = "/health"
	healthyAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	warmAnswer     = "HTTP/1.1 200 OK\r\nWarmup: 0\r\nContent-Length: 0\r\n\r\n"
	coldAnswer     = "HTTP/1.1 200 OK\r\nWarmup: 2900\r\nContent-Length: 0\r\n\r\n"
	failingAnswer  = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	mistakenAnswer = "HTTP/1.1 421 No\r\nWarmup: 0\r\nContent-Length: 0\r\n\r\n"
)

// TestParseWarmup guards against a cold target that is taken for a warm one, and against a warm-up without end.
func TestParseWarmup(t *testing.T) {
	cases := []struct {
		name   string
		status int
		text   string
		left   time.Duration
		stated bool
	}{
		{"absent, healthy", 200, "", 0, true},
		{"absent, unhealthy", 503, "", 0, false},
		{"absent, no content", 204, "", 0, false},
		{"spaces only, healthy", 200, "  ", 0, true},
		{"spaces only, unhealthy", 503, "  ", 0, false},
		{"over", 200, "0", 0, true},
		{"under way", 200, "2900", 2900 * time.Millisecond, true},
		{"under way, unhealthy", 503, "2900", 2900 * time.Millisecond, true},
		{"spaces around", 200, " 2900\t", 2900 * time.Millisecond, true},
		{"spaces within", 200, "2 900", 0, false},
		{"negative", 200, "-1", 0, false},
		{"a fraction", 200, "0.5", 0, false},
		{"text", 200, "soon", 0, false},
		{"the longest", 200, "600000", maxWarmup, true},
		{"too long", 200, "600001", maxWarmup, true},
		{"longer than a duration", 200, "18446744073709551615", maxWarmup, true},
		{"longer than a number", 200, "18446744073709551616", 0, false},
		{"another target, under way", 421, "2900", 0, false},
		{"another target, over", 421, "0", 0, false},
		{"another target, absent", 421, "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			left, stated := parseWarmup(c.status, http.Header{"Warmup": {c.text}}, "Warmup")
			is.Equal(left, c.left)
			is.Equal(stated, c.stated)
		})
	}
}

// newCheckedUpstream returns an upstream that answers all but checks, which it counts as no requests. It goes on after a
// check if check returns true.
func newCheckedUpstream(t *testing.T, check func(r *http.Request, c net.Conn) bool) *rawUpstream {
	t.Helper()
	return newRawUpstream(t, func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		for b := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if q.RequestURI == healthPath {
				if !check(q, c) {
					return
				}
				continue
			}
			_, _ = io.Copy(io.Discard, q.Body)
			r.requests.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFilberthoist-Request: "+q.Header.Get("Filberthoist-Request")+"\r\nContent-Length: 5\r\n\r\nwhole")
		}
	})
}

// answersChecks responds to checks with a text.
func answersChecks(text string) func(*http.Request, net.Conn) bool {
	return func(_ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, text)
		return true
	}
}

func newCheckedForwarder(t *testing.T, warmup string) *Forwarder {
	t.Helper()
	d := handler.DefaultDialect()
	d.Warmup, d.ExpectedTarget = warmup, "Target"
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &d})
	t.Cleanup(f.Close)
	return f
}

// statement is what a target answered when it was asked for its warm-up.
type statement struct {
	left   time.Duration
	stated bool
}

// newCheckedExchange returns an exchange whose target is asked, and the answers.
func newCheckedExchange(class parser.Class, timeout time.Duration) (*handler.Exchange, *[]statement) {
	e, _ := newExchange(class, http.MethodPost, "12.50")
	e.Deadline = e.Start + 2*time.Second
	e.Service = &parser.Service{Name: "drafts", HealthPath: healthPath}
	list := new([]statement)
	e.Check = handler.TargetCheck{Need: carrier.Always, Timeout: timeout, Record: func(left time.Duration, stated bool) {
		*list = append(*list, statement{left, stated})
	}}
	return e, list
}

// TestWithheld guards against a request that is sent to a target that is cold or does not say, and against a caller that
// is not told that its request has not run.
func TestWithheld(t *testing.T) {
	const long, short = 2 * time.Second, 30 * time.Millisecond
	silent := func(*http.Request, net.Conn) bool { return true }
	cases := []struct {
		name     string
		check    func(*http.Request, net.Conn) bool
		timeout  time.Duration
		withheld bool
		// lost is set if the connection failed by itself.
		lost bool
		said []statement
	}{
		{"healthy", answersChecks(healthyAnswer), long, false, false, []statement{{0, true}}},
		{"warm", answersChecks(warmAnswer), long, false, false, []statement{{0, true}}},
		{"cold", answersChecks(coldAnswer), long, true, false, []statement{{2900 * time.Millisecond, true}}},
		{"states nothing", answersChecks(failingAnswer), long, true, false, []statement{{0, false}}},
		{"another target", answersChecks(mistakenAnswer), long, true, false, []statement{{0, false}}},
		{"silent", silent, short, true, false, nil},
		{"closes", func(*http.Request, net.Conn) bool { return false }, long, true, true, nil},
		{"breaks off", func(_ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, healthyAnswer[:20])
			return false
		}, long, true, true, nil},
	}
	for _, c := range cases {
		for _, class := range []parser.Class{parser.ClassAtMostOnce, parser.ClassIdempotent} {
			t.Run(c.name+", "+string(class), func(t *testing.T) {
				is := is.New(t)
				r := newCheckedUpstream(t, c.check)
				e, said := newCheckedExchange(class, c.timeout)
				s := newCheckedForwarder(t, "Warmup").Send(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
				is.Equal(s.Withheld, c.withheld)
				is.Equal(s.ConnectionLost, c.lost)
				is.Equal(s.Result.Failed, c.lost) // a target that answers, or is busy, is not at fault
				is.Equal(*said, c.said)
				is.True(!s.Unreachable && !s.Refused && !s.Misdirected && s.Origin.Dialed)
				if !c.withheld {
					is.True(s.Response != nil)
					is.Equal(r.requests.Load(), int64(1))
					return
				}
				is.Equal(s.Outcome, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity))
				is.Equal(s.Outcome.Run, handler.NotRun)
				is.True(s.Response == nil)
				is.Equal(s.Status, 0)
				is.Equal(r.requests.Load(), int64(0))
			})
		}
	}
}

// TestEndedDuringCheck guards against a target that is blamed since its caller left, or had no time left, during a check.
func TestEndedDuringCheck(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(map[bool]string{false: "deadline", true: "the caller leaves"}[leaves], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := newCheckedUpstream(t, func(*http.Request, net.Conn) bool {
				if leaves {
					cancel()
				}
				return true
			})
			e, said := newCheckedExchange(parser.ClassIdempotent, time.Minute)
			if !leaves {
				e.Deadline = e.Start + 50*time.Millisecond
			}
			s := newCheckedForwarder(t, "Warmup").Send(ctx, e, &parser.Target{Name: "one", Address: r.address})
			is.Equal(s.Outcome.Run, handler.NotRun)
			is.True(!s.Result.Failed && !s.ConnectionLost && s.Response == nil)
			is.Equal(len(*said), 0)
			is.Equal(r.requests.Load(), int64(0))
		})
	}
}

// TestUnreachableBeforeCheck guards against a refused connection that does not count as a lost one, since the target
// may be about to restart.
func TestUnreachableBeforeCheck(t *testing.T) {
	is := is.New(t)
	e, said := newCheckedExchange(parser.ClassAtMostOnce, time.Second)
	s := newCheckedForwarder(t, "Warmup").Send(context.Background(), e, &parser.Target{Name: "one", Address: "127.0.0.1:1"})
	is.True(s.Unreachable && s.ConnectionLost && s.Result.Failed && !s.Withheld)
	is.Equal(s.Outcome.Run, handler.NotRun)
	is.Equal(len(*said), 0)
}

// TestUnasked guards against a check of targets that state no warm-up, or that needs none.
func TestUnasked(t *testing.T) {
	cases := []struct {
		name, warmup string
		need         carrier.CheckNeed
	}{
		{"the dialect has no header", "", carrier.Always},
		{"no need", "Warmup", carrier.Never},
		{"no connection broke", "Warmup", carrier.IfBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var checks atomic.Int64
			r := newCheckedUpstream(t, func(*http.Request, net.Conn) bool {
				checks.Add(1)
				return false
			})
			e, _ := newCheckedExchange(parser.ClassAtMostOnce, time.Second)
			e.Check.Need = c.need
			s := newCheckedForwarder(t, c.warmup).Send(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
			is.True(s.Response != nil && !s.Withheld)
			is.Equal(checks.Load(), int64(0))
		})
	}
}

// TestCheckRequest guards against a check that another target answers, or that carries a part of the caller's request, and
// against a latency that holds the time of the check.
func TestCheckRequest(t *testing.T) {
	const delay = 100 * time.Millisecond
	is := is.New(t)
	asked := make(chan *http.Request, 2)
	r := newCheckedUpstream(t, func(q *http.Request, c net.Conn) bool {
		asked <- q
		time.Sleep(delay)
		_, _ = io.WriteString(c, healthyAnswer)
		return true
	})
	e, _ := newCheckedExchange(parser.ClassAtMostOnce, 2*time.Second)
	e.Request.Header.Set("Authorization", "secret")
	s := newCheckedForwarder(t, "Warmup").Send(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
	is.True(s.Response != nil)
	is.True(s.Origin.CheckTime >= delay)
	is.True(s.Result.Latency < delay)
	q := <-asked
	is.Equal(len(asked), 0)
	is.Equal(q.Method, http.MethodGet)
	is.Equal(q.Host, r.address)
	is.Equal(q.Header.Get("Target"), "one")
	is.Equal(q.Header.Get("Authorization"), "")
	is.Equal(q.ContentLength, int64(0))
}
