package acceptor

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidStatus guards against a status that is none being sent to a caller, or turned into another one: the caller
// gets no response, which promises nothing.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 100, 101, 199, 600, 999} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			_, c, b := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "body")
			})
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			is.NoErr(err)
			got, err := io.ReadAll(b)
			is.NoErr(err)
			is.Equal(string(got), "")
		})
	}
}
