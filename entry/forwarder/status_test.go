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

// invalidStatuses are status lines, after the version, of the kinds that no response may have.
var invalidStatuses = []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "+20 OK", "2x0 OK", "  "}

// newInvalidUpstream returns an upstream whose responses bear all that a dialect knows under a status line that no
// response may have.
func newInvalidUpstream(t *testing.T, status string) *rawUpstream {
	t.Helper()
	return newRawUpstream(t, func(r *rawUpstream, c net.Conn) {
		defer c.Close()
		for b := bufio.NewReader(c); r.readRequest(b); {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nSignature: s\r\nNot-Run: full\r\nFilberthoist-Outcome: notRun\r\nRetry-After: 60\r\n"+
				"Load: 9,9,9\r\nLeaving: 1\r\nDelegated: isolated\r\nContent-Length: 0\r\n\r\n", status)
			_, _ = io.Copy(io.Discard, b)
		}
	})
}

// TestInvalidStatus guards against an invalid status that is passed on, taken for an interim one, or believed as to what
// the response states about the request or the target.
func TestInvalidStatus(t *testing.T) {
	signed := handler.Dialect{
		RequestID: "Id", ExpectedTarget: "Target", NotRun: "Not-Run", Signature: "Signature", Delegated: "Delegated", Load: "Load", Leaving: "Leaving",
		NotRunStatuses: []int{http.StatusServiceUnavailable},
	}
	stated := handler.DefaultDialect()
	stated.Load, stated.Leaving = "Load", "Leaving"
	for name, d := range map[string]handler.Dialect{"signed": signed, "stated": stated} {
		for _, status := range invalidStatuses {
			for _, class := range []parser.Class{parser.ClassAtMostOnce, parser.ClassIdempotent} {
				t.Run(fmt.Sprintf("%s %q %s", name, status, class), func(t *testing.T) {
					checkInvalidStatus(t, d, status, class)
				})
			}
		}
	}
}

func checkInvalidStatus(t *testing.T, d handler.Dialect, status string, class parser.Class) {
	t.Helper()
	is := is.New(t)
	r := newInvalidUpstream(t, status)
	reached := false
	f := NewForwarder(Config{
		Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &d,
		Record: func(_ *parser.Target, ok bool) { reached = ok },
	})
	t.Cleanup(f.Close)
	e, w := newExchange(class, http.MethodPost, "12.50")
	e.Deadline = e.Start + 2*time.Second
	for name, send := range map[string]func() *SendResult{
		"target": func() *SendResult {
			return f.Send(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
		},
		"entry": func() *SendResult { return f.Delegate(context.Background(), e, r.address) },
	} {
		s := send()
		if s.Response != nil {
			t.Fatalf("%s: status %d is passed on", name, s.Response.Status)
		}
		is.Equal(s.Outcome.Run, handler.Unknown)
		is.Equal(s.Outcome.Status, http.StatusBadGateway) // at once, not 504 at the deadline
		is.True(s.Result.Failed)
		is.True(s.Evidence() != nil) // for the log
		is.True(s.Load == nil && s.LeavingTarget == "" && s.TurnedAway == 0 && !s.Refused && !s.Misdirected)
	}
	is.True(!e.ResponseStarted && w.Body.Len() == 0)
	is.True(reached) // a target that sends a response is reached
	is.Equal(r.requests.Load(), int64(2))
}
