package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTrimmedHeaders checks that calls between processes carry only the headers that they need, and
// that a body arrives whole.
func TestTrimmedHeaders(t *testing.T) {
	is := is.New(t)
	c, err := NewConnector(Config{})
	is.NoErr(err)
	var seen http.Header
	s := httptest.NewServer(c.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Accept-Encoding", "gzip")
		w.Header().Set("Content-Type", "application/proto")
		_, _ = io.Copy(w, r.Body)
	})).Handler)
	defer s.Close()
	r, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("poll"))
	is.NoErr(err)
	r.Header.Set("Connect-Protocol-Version", "1")
	r.Header.Set("Accept-Encoding", "identity")
	r.Header.Set("Connect-Timeout-Ms", "400")
	response, err := c.Client().Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(b), "poll")
	is.Equal(len(seen), 2) // the length and the timeout
	is.Equal(seen.Get("Connect-Timeout-Ms"), "400")
	t.Run("response", func(t *testing.T) {
		is := is.New(t)
		n, err := net.Dial("tcp", s.Listener.Addr().String())
		is.NoErr(err)
		defer n.Close()
		_, err = io.WriteString(n, "POST / HTTP/1.1\r\nHost: control\r\nContent-Length: 4\r\n\r\npoll")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(n), nil)
		is.NoErr(err)
		defer response.Body.Close()
		is.Equal(len(response.Header), 2) // the length and the type of the body
	})
}
