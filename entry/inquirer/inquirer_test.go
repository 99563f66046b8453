package inquirer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/forwarder"
)

// TestAsk checks that only the intended target's own statement counts, and that none is waited for long.
func TestAsk(t *testing.T) {
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		want   *forwarder.Load
	}{
		{"states its load", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/healthz" && r.Header.Get("X-Expected") == "a" {
				w.Header().Set("X-Load", "3,1,3,250")
			}
		}, &forwarder.Load{Running: 3, Waiting: 1, Slots: 3, Slowness: 2.5}},
		{"states nothing", func(http.ResponseWriter, *http.Request) {}, nil},
		{"is not healthy", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", "0,0,3,100")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, nil},
		{"is another target", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", "0,0,3,100")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, nil},
		{"stays silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, nil},
		{"sends a head without end", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Load", "0,0,3,100")
			w.Header().Set("X-More", strings.Repeat("x", 2*maxHeadBytes))
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			s := httptest.NewServer(http.HandlerFunc(c.answer))
			defer s.Close()
			i := NewInquirer(Config{Header: "X-Load", ExpectedTarget: "X-Expected", Scope: tally.NoopScope})
			defer i.Close()
			i.client.Timeout = 200 * time.Millisecond // a busy machine may be slow
			is.New(t).Equal(i.Ask(context.Background(), &parser.Target{Name: "a", Address: s.Listener.Addr().String()}, "/healthz"), c.want)
		})
	}
}
