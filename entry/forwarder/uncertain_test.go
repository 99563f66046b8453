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
	"github.com/filberthoist/filberthoist/entry/handler"
)

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
