// Package registrar keeps the requests that must run at most once, so that a resend to any
// entry gets the first answer, or the word that it may have run.
package registrar

import (
	"context"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Config sets up a Registrar.
type Config struct {
	Sequencer *sequencer.Sequencer
}

// Registrar serves entries on the leader.
type Registrar struct {
	config Config
}

// NewRegistrar returns a Registrar.
func NewRegistrar(c Config) *Registrar {
	return &Registrar{config: c}
}

// Begin commits that a request is about to run; it may run only if the result is fresh.
func (r *Registrar) Begin(ctx context.Context, q *connect.Request[wire.BeginOnceCommand]) (*connect.Response[wire.BeginResponse], error) {
	out, err := r.config.Sequencer.Propose(ctx, &wire.Command{Kind: &wire.Command_BeginOnce{BeginOnce: q.Msg}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.BeginResponse{Result: out.Begin, Answer: out.Answer}), nil
}

// Finish commits how a request came out.
func (r *Registrar) Finish(ctx context.Context, q *connect.Request[wire.FinishOnceCommand]) (*connect.Response[wire.FinishResponse], error) {
	_, err := r.config.Sequencer.Propose(ctx, &wire.Command{Kind: &wire.Command_FinishOnce{FinishOnce: q.Msg}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.FinishResponse{}), nil
}
