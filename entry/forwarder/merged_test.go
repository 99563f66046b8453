package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// sendTwice sends two requests over one connection and returns the outcome of the second, whose response consists of
// the given text and the request's ID.
func sendTwice(t *testing.T, class parser.Class, second string) handler.Outcome {
	t.Helper()
	r := newRawUpstream(t, func(_ *rawUpstream, c net.Conn) {
		defer c.Close()
		b := bufio.NewReader(c)
		for text := "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n"; ; text = second {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, text+"Id: "+q.Header.Get("Id")+"\r\n\r\n")
		}
	})
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &faultyDialect})
	t.Cleanup(f.Close)
	var o handler.Outcome
	for range 2 {
		e, _ := newExchange(class, http.MethodPost, "12.50")
		o, _ = f.Forward(context.Background(), e, &parser.Target{Name: "one", Address: r.address})
	}
	return o
}

// TestMergedAnswers guards against an answer that consists of the status or the signature of an additional response, which
// breaks off, and the ID of the response that follows.
func TestMergedAnswers(t *testing.T) {
	const (
		answered = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n"
		failed   = "HTTP/1.1 500 Failed\r\nSignature: s\r\nContent-Length: 0\r\n"
	)
	cases := []struct{ name, second string }{
		{"a status before a failure", "HTTP/1.1 200 " + failed},
		{"a signed success before a failure", "HTTP/1.1 200 OK\r\nSignature: other\r\nServer: a" + failed},
		{"a signature before a success", "HTTP/1.1 200 OK\r\nSignature: ot" + answered},
		{"a failure before a success", "HTTP/1.1 500 Fai" + answered},
		{"an unknown path before a success", "HTTP/1.1 404 Not Found\r\nServer:" + answered},
		{"an unstated refusal before a success", "HTTP/1.1 503 Failed\r\nServer:" + answered},
	}
	for _, c := range cases {
		for _, class := range []parser.Class{parser.ClassAtMostOnce, parser.ClassIdempotent} {
			t.Run(c.name+" "+string(class), func(t *testing.T) {
				is := is.New(t)
				is.Equal(sendTwice(t, class, c.second).Run, handler.Unknown)
			})
		}
	}
}
