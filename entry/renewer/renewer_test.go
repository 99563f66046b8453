package renewer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// newView returns a view with one route, at most the given timeout, and one key of a team.
func newView(path, service, team, key string, timeout time.Duration) *receiver.View {
	t, d := &parser.Team{Name: team}, digester.Key(key)
	return &receiver.View{Configuration: &parser.Configuration{
		Routes: []*parser.Route{{
			Name: "charge", Path: path, Methods: []string{parser.AnyMethod}, Class: parser.ClassAtMostOnce, Timeout: timeout,
			Service: &parser.Service{Name: service, Version: "v1"},
		}},
		Keys: map[digester.Digest]*parser.Key{d: {Name: "k", Team: t, Digest: d}},
	}}
}

// Guards against a request whose body arrived slowly and that is served as the configuration of its start allows: with
// a key that was withdrawn, on a route that is gone, by a service that the route has left.
func TestSlowBodyFollowsTheLatestConfiguration(t *testing.T) {
	const second, minute = time.Second, time.Minute
	start := newView("/charge/", "bills", "nile", "secret", minute)
	open := newView("/charge/", "bills", "nile", "other", minute)
	open.Configuration.Routes[0].Public = true
	moved := *start
	moved.Evacuated = map[string]bool{"north1": true}
	cases := []struct {
		name     string
		latest   *receiver.View
		deadline string
		status   int
		service  string
		team     string
		timeout  time.Duration
	}{
		{"same view", start, "", 0, "bills", "nile", minute},
		{"same configuration", &moved, "5000", 0, "bills", "nile", 5 * second},
		{"key withdrawn", newView("/charge/", "bills", "nile", "other", minute), "", http.StatusUnauthorized, "bills", handler.OpenTeam, 0},
		{"key of another team", newView("/charge/", "bills", "hobart", "secret", minute), "", 0, "bills", "hobart", minute},
		{"route needs no key", open, "", 0, "bills", handler.OpenTeam, minute},
		{"route is gone", newView("/other/", "bills", "nile", "secret", minute), "", http.StatusNotFound, "bills", "nile", 0},
		{"route leads to another service", newView("/charge/", "ledger", "nile", "secret", minute), "", 0, "ledger", "nile", minute},
		{"shorter timeout", newView("/charge/", "bills", "nile", "secret", 9*second), "", 0, "bills", "nile", 9 * second},
		{"the caller's deadline stays", newView("/charge/", "ledger", "nile", "secret", minute), "5000", 0, "ledger", "nile", 5 * second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clock, dialect := timekeeper.NewClock(), handler.DefaultDialect()
			k := classifier.NewClassifier(classifier.Config{Clock: clock})
			a := authenticator.NewAuthenticator(authenticator.Config{Fresh: func() bool { return true }})
			r := NewRenewer(Config{Steps: []handler.Step{k.Step(), a.Step()}})
			e := &handler.Exchange{
				Request: httptest.NewRequest(http.MethodPost, "/charge/1", nil), Dialect: &dialect, Start: clock.Now(),
				View: start, CurrentView: func() *receiver.View { return c.latest },
			}
			e.Request.Header.Set(handler.KeyHeader, "secret")
			if c.deadline != "" {
				e.Request.Header.Set(handler.DeadlineHeader, c.deadline)
			}
			for _, s := range []handler.Step{k.Step(), a.Step()} {
				is.True(!s.Handle(context.Background(), e).IsFinal())
			}
			is.Equal(r.renew(context.Background(), e).Status, c.status)
			is.Equal(e.View, c.latest)
			is.Equal(e.Service.Name, c.service)
			is.Equal(e.TeamName(), c.team)
			if c.status == 0 {
				is.Equal(e.Deadline, e.Start+c.timeout)
			}
		})
	}
}
