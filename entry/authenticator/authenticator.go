// Package authenticator checks the key of each request and removes it, so that no upstream
// receives it.
package authenticator

import (
	"context"
	"net/http"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Config configures an Authenticator.
type Config struct {
	// Fresh reports whether keyed requests may be served from the current view.
	Fresh func() bool
}

// Authenticator is the step that determines the team of a request by its key.
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

// authenticate checks every request rather than every connection, so that the withdrawal of a key
// applies to open connections. Unknown and withdrawn keys get the same response.
func (a *Authenticator) authenticate(_ context.Context, e *handler.Exchange) handler.Outcome {
	takeKey(e)
	e.Key, e.Team = nil, nil
	if e.Route.Open() {
		return handler.Outcome{}
	}
	if !a.config.Fresh() {
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)
	}
	if e.CallerKey == "" {
		return handler.Refuse(http.StatusUnauthorized, handler.ReasonKey)
	}
	k := e.View.Configuration.Keys[digester.Key(e.CallerKey)]
	if k == nil {
		return handler.Refuse(http.StatusUnauthorized, handler.ReasonKey)
	}
	e.Key, e.Team = k, k.Team
	return handler.Outcome{}
}

// takeKey moves the caller's key from the headers to the exchange. Several keys count as none. The headers have
// no key if the request is authenticated once more.
func takeKey(e *handler.Exchange) {
	keys := e.Request.Header.Values(e.Dialect.Key)
	e.Dialect.Strip(e.Request.Header)
	if len(keys) == 1 {
		e.CallerKey = keys[0]
	}
}
