package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestExplain checks what the command asks of an entry, and its exit status for each response.
func TestExplain(t *testing.T) {
	cases := []struct {
		name, arguments, query string
		status, exit           int
	}{
		{"a path", "/lamps/7", "format=text&path=%2Flamps%2F7", 200, ExitOK},
		{"all flags", "/a --method POST --host h --team t --object o --id i --region r --zone z --timeout 1s --output json",
			"format=json&host=h&id=i&method=POST&object=o&path=%2Fa&region=r&team=t&timeout=1s&zone=z", 200, ExitOK},
		{"an invalid question", "lamps", "format=text&path=lamps", 400, ExitRefused},
		{"another process", "/a", "format=text&path=%2Fa", 404, ExitFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var asked string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked = r.URL.Path + "?" + r.URL.RawQuery
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte("the answer"))
			}))
			defer s.Close()
			var out, failed bytes.Buffer
			arguments := append([]string{"explain", s.Listener.Addr().String()}, strings.Fields(c.arguments)...)
			is.Equal(NewCommander(Config{Out: &out, Err: &failed}).Run(arguments), c.exit)
			is.Equal(asked, "/explain?"+c.query)
			is.Equal(out.String() == "the answer", c.exit == ExitOK)
			is.Equal(strings.Contains(failed.String(), "the answer"), c.exit == ExitRefused)
		})
	}
}
