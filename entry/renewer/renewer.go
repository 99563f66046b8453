// Package renewer brings a request that waited up to date with the configuration.
package renewer

import (
	"context"

	"github.com/filberthoist/filberthoist/entry/handler"
)

// Config configures a Renewer.
type Config struct {
	// Steps set what follows from the configuration: the route, the deadline and the team. They run again
	// if the configuration has changed.
	Steps []handler.Step
}

// Renewer is the step that follows the body, for which a request may wait longer than a change takes to be in
// force: the caller's key may be withdrawn by then, and the route may lead to another service.
type Renewer struct {
	config Config
}

// NewRenewer returns a Renewer.
func NewRenewer(c Config) *Renewer {
	return &Renewer{config: c}
}

// Step returns the pipeline step. It precedes the steps that charge the request's team.
func (r *Renewer) Step() handler.Step {
	return handler.Step{Name: "renewer", Handle: r.renew}
}

func (r *Renewer) renew(ctx context.Context, e *handler.Exchange) handler.Outcome {
	v := e.LatestView()
	isCurrent := v.Configuration == e.View.Configuration
	e.View = v
	if isCurrent {
		return handler.Outcome{}
	}
	for _, s := range r.config.Steps {
		if o := s.Handle(ctx, e); o.IsFinal() {
			return o
		}
	}
	return handler.Outcome{}
}
