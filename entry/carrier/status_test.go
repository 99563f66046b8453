package carrier

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
)

// invalidStatuses are status lines, after the version, that no response may have.
var invalidStatuses = []string{
	"000 OK", "001 OK", "020 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK", "+20 OK", "-20 OK", "20 OK", "2000 OK",
	"2x0 OK", "0x2 OK", "OK", "", "   ", "２00 OK",
}

// newInvalidTarget returns a target that responds to the n-th request of its first connection, from 0, with a status
// line that no response may have, followed by further text, and soundly to all other requests. ended is closed at the
// end of the first connection.
func newInvalidTarget(t *testing.T, n int, status, further string) (address string, ended chan struct{}) {
	t.Helper()
	ended = make(chan struct{})
	address, _ = newTarget(t, func(b *bufio.Reader, c net.Conn, number int64) {
		if number == 1 {
			defer close(ended)
		}
		for i := 0; ; i++ {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Id")
			if number == 1 && i == n {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", status, id)
				_, _ = io.WriteString(c, further)
				continue
			}
			writeResponse(c, id, "Content-Length: 5\r\n", "sound")
		}
	})
	return address, ended
}

// TestInvalidStatus guards against a status that no response may have reaching the caller, or being taken for that of an
// interim response, and against belief in what follows it on the connection.
func TestInvalidStatus(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Id: bad\r\nContent-Length: 5\r\n\r\nsound"
	cases := []struct {
		name    string
		earlier []string
		further string
	}{
		{"on a new connection", nil, ""},
		{"behind a sound response", []string{"one"}, ""},
		{"before a sound response", []string{"one"}, sound},
	}
	for _, c := range cases {
		for _, status := range invalidStatuses {
			t.Run(fmt.Sprintf("%s %q", c.name, status), func(t *testing.T) {
				is := is.New(t)
				address, ended := newInvalidTarget(t, len(c.earlier), status, c.further)
				n := newCarrier(t)
				for _, id := range c.earlier {
					checkSound(t, n, address, id)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				a, failure := n.Exchange(ctx, address, newRequest("bad"))
				if a != nil {
					t.Fatalf("status %d reached the caller", a.Status)
				}
				is.True(failure.Sent)
				is.NoErr(ctx.Err()) // it fails at once, not at the deadline
				<-ended
				checkSound(t, n, address, "next")
			})
		}
	}
}

func checkSound(t *testing.T, n *Carrier, address, id string) {
	t.Helper()
	is := is.New(t)
	a, failure := n.Exchange(context.Background(), address, newRequest(id))
	is.True(failure == nil)
	is.Equal(string(a.Body), "sound")
}
