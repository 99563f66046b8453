package supervisor

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestGroup(t *testing.T) {
	defer goleak.VerifyNone(t)
	wait := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }

	t.Run("Stop ends every loop", func(t *testing.T) {
		is := is.New(t)
		var failure error
		g := NewGroup(Config{Failed: func(err error) { failure = err }})
		g.Go("first", wait)
		g.Go("second", wait)
		g.Stop()
		is.NoErr(failure) // ending by Stop is not a failure
	})
	t.Run("failure of a loop ends the others", func(t *testing.T) {
		is := is.New(t)
		broken := errors.New("broken")
		failed := make(chan error, 1)
		g := NewGroup(Config{Failed: func(err error) { failed <- err }})
		g.Go("healthy", wait)
		g.Go("failing", func(context.Context) error { return broken })
		is.Equal(<-failed, broken)
		<-g.Context().Done()
		g.Stop()
	})
}
