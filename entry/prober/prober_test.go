package prober

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
)

func TestRound(t *testing.T) {
	cases := []struct {
		name, health string
		status       int
		vmState      string
		reported     bool
		want         dispatcher.Health
	}{
		{"ready", `{"state":"ready","load":0.5}`, 200, "live", true, dispatcher.Health{Load: 0.5}},
		{"reports leaving", `{"state":"leaving"}`, 200, "live", true, dispatcher.Health{Leaving: true}},
		{"listed as leaving", `{"state":"ready"}`, 200, StateLeaving, true, dispatcher.Health{Leaving: true}},
		{"listed as leaving, no response", ``, 500, StateLeaving, true, dispatcher.Health{Leaving: true}},
		{"no response, not reported", ``, 500, "live", false, dispatcher.Health{}},
		{"malformed response, not reported", `<html>`, 200, "live", false, dispatcher.Health{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.health))
			}))
			defer target.Close()
			address := target.Listener.Addr().String()
			platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`[{"address":"` + address + `","state":"` + c.vmState + `"}]`))
			}))
			defer platform.Close()
			var got []dispatcher.Health
			p := NewProber(Config{
				Clock: timekeeper.NewClock(), PlatformAddress: platform.Listener.Addr().String(),
				Targets: func() []dispatcher.ProbeTarget { return []dispatcher.ProbeTarget{{Name: "t", Address: address}} },
				Report:  func(_ dispatcher.ProbeTarget, h dispatcher.Health) { got = append(got, h) },
			})
			p.probeAll(context.Background())
			is.Equal(len(got) == 1, c.reported)
			if c.reported {
				got[0].ProbedAt = 0
				is.Equal(got[0], c.want)
			}
		})
	}
}
