// Package supervisor runs the background loops of a process as a group that stops together.
package supervisor

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/filberthoist/filberthoist/core/logger"
)

// Group runs loops. When one fails or the group is stopped, the context of all is canceled.
type Group struct {
	logger logger.Logger
	cancel context.CancelFunc
	ctx    context.Context
	loops  *errgroup.Group
	once   sync.Once
	failed func(error)
}

// Config configures a Group.
type Config struct {
	Logger logger.Logger
	// Failed is called once with the first error of a loop; it may be nil.
	Failed func(error)
}

// NewGroup returns an empty Group.
func NewGroup(c Config) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	return &Group{logger: c.Logger, cancel: cancel, ctx: ctx, loops: g, failed: c.Failed}
}

// Context returns a context that is canceled when the group stops.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs a loop in a goroutine. An error that it returns before the group stops is logged and
// stops the group.
func (g *Group) Go(name string, run func(context.Context) error) {
	g.loops.Go(func() error {
		err := run(g.ctx)
		if err == nil || g.ctx.Err() != nil {
			return nil
		}
		g.logger.Log(logger.LoopFailed, logger.F("loop", name), logger.F("error", err))
		g.once.Do(func() { g.report(err) })
		return err
	})
}

// Stop cancels the context of all loops and waits until they return.
func (g *Group) Stop() {
	g.cancel()
	_ = g.loops.Wait() // the error was passed to Failed
}

func (g *Group) report(err error) {
	if g.failed != nil {
		g.failed(err)
	}
}
