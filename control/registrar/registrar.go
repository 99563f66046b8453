// Package registrar records requests that must run at most once. A request that is sent again,
// to any entry, gets the answer to the first one, or the information that the first one may have
// run.
package registrar

import (
	"context"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Config configures a Registrar.
type Config struct {
	Sequencer *sequencer.Sequencer
}

// Registrar serves the entries. Its calls succeed only on the leader.
type Registrar struct {
	config Config
}

// NewRegistrar returns a Registrar.
func NewRegistrar(c Config) *Registrar {
	return &Registrar{config: c}
}

// Begin commits that a request is about to run. The request may run only if the result is
// BEGIN_RESULT_FRESH.
func (r *Registrar) Begin(ctx context.Context, q *connect.Request[wire.BeginOnceCommand]) (*connect.Response[wire.BeginResponse], error) {
	out, err := r.config.Sequencer.Propose(ctx, &wire.Command{Kind: &wire.Command_BeginOnce{BeginOnce: q.Msg}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.BeginResponse{Result: out.Begin, Answer: out.Answer}), nil
}

// Finish commits the outcome of a request.
func (r *Registrar) Finish(ctx context.Context, q *connect.Request[wire.FinishOnceCommand]) (*connect.Response[wire.FinishResponse], error) {
	_, err := r.config.Sequencer.Propose(ctx, &wire.Command{Kind: &wire.Command_FinishOnce{FinishOnce: q.Msg}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wire.FinishResponse{}), nil
}
