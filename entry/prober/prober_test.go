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
		listed       string
		reported     bool
		want         dispatcher.Health
	}{
		{"ready", `{"state":"ready","load":0.5}`, 200, "live", true, dispatcher.Health{Load: 0.5}},
		{"says leaving", `{"state":"leaving"}`, 200, "live", true, dispatcher.Health{Leaving: true}},
		{"listed as leaving", `{"state":"ready"}`, 200, Leaving, true, dispatcher.Health{Leaving: true}},
		{"listed as leaving and silent", ``, 500, Leaving, true, dispatcher.Health{Leaving: true}},
		{"silence is no news", ``, 500, "live", false, dispatcher.Health{}},
		{"nonsense is no news", `<html>`, 200, "live", false, dispatcher.Health{}},
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
				_, _ = w.Write([]byte(`[{"address":"` + address + `","state":"` + c.listed + `"}]`))
			}))
			defer platform.Close()
			var got []dispatcher.Health
			p := NewProber(Config{
				Clock: timekeeper.NewClock(), Platform: platform.Listener.Addr().String(),
				Targets: func() []dispatcher.ProbeTarget { return []dispatcher.ProbeTarget{{Name: "t", Address: address}} },
				Report:  func(_ dispatcher.ProbeTarget, h dispatcher.Health) { got = append(got, h) },
			})
			p.round(context.Background())
			is.Equal(len(got) == 1, c.reported)
			if c.reported {
				got[0].Asked = 0
				is.Equal(got[0], c.want)
			}
		})
	}
}
