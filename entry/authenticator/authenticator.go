// Package authenticator checks the key of each request and keeps it from upstreams.
package authenticator

import (
	"context"
	"net/http"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Config sets up an Authenticator.
type Config struct {
	// Fresh tells whether the view may be trusted now.
	Fresh func() bool
}

// Authenticator is the step that turns a key into a team.
type Authenticator struct {
	config Config
}

// NewAuthenticator returns an Authenticator.
func NewAuthenticator(c Config) *Authenticator {
	return &Authenticator{config: c}
}

// Step returns the pipeline step.
func (a *Authenticator) Step() handler.Step {
	return handler.Step{Name: "authenticator", Handle: a.authenticate}
}

// authenticate runs on every request, also on a connection that was open before a
// withdrawal. Unknown and withdrawn keys get the same answer.
func (a *Authenticator) authenticate(_ context.Context, e *handler.Exchange) handler.Outcome {
	keys := e.Request.Header.Values(e.Dialect.Key)
	e.Dialect.Strip(e.Request.Header)
	if e.Route.Open() {
		return handler.Outcome{}
	}
	if !a.config.Fresh() {
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)
	}
	if len(keys) != 1 {
		return handler.Refuse(http.StatusUnauthorized, handler.ReasonKey)
	}
	k := e.View.Configuration.Keys[digester.Key(keys[0])]
	if k == nil {
		return handler.Refuse(http.StatusUnauthorized, handler.ReasonKey)
	}
	e.Key, e.Team = k, k.Team
	return handler.Outcome{}
}
