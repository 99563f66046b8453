package applier

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestOnce checks which requests may run: each key runs at most once, also across a restart.
func TestOnce(t *testing.T) {
	const fresh, begun = wire.BeginResult_BEGIN_RESULT_FRESH, wire.BeginResult_BEGIN_RESULT_BEGUN
	const done, mismatch = wire.BeginResult_BEGIN_RESULT_DONE, wire.BeginResult_BEGIN_RESULT_MISMATCH
	cases := []struct {
		name   string
		before func(s *State)
		holder string
		digest string
		want   wire.BeginResult
	}{
		{"first", func(*State) {}, "b", "x", fresh},
		{"resent while it runs", func(s *State) { begin(t, s, "k", "a", "x") }, "b", "x", begun},
		{"the same call resent", func(s *State) { begin(t, s, "k", "a", "x") }, "a", "x", fresh},
		{"another request", func(s *State) { begin(t, s, "k", "a", "x") }, "b", "y", mismatch},
		{"resent after its answer", func(s *State) {
			begin(t, s, "k", "a", "x")
			finish(t, s, "k", "a", false)
		}, "b", "x", done},
		{"resent after it did not run", func(s *State) {
			begin(t, s, "k", "a", "x")
			finish(t, s, "k", "a", true)
		}, "b", "x", fresh},
		{"finished by another holder", func(s *State) {
			begin(t, s, "k", "a", "x")
			finish(t, s, "k", "c", true)
		}, "b", "x", begun},
		{"'not run' after the answer", func(s *State) {
			begin(t, s, "k", "a", "x")
			finish(t, s, "k", "a", false)
			finish(t, s, "k", "a", true)
		}, "b", "x", done},
	}
	for _, c := range cases {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restart %v", c.name, restart), func(t *testing.T) {
				is := is.New(t)
				s := NewState(asserter.NewPanicking())
				c.before(s)
				if restart {
					s = restoreCopy(t, s)
				}
				is.Equal(begin(t, s, "k", c.holder, c.digest).Begin, c.want)
			})
		}
	}
	t.Run("the oldest requests are dropped, also after a restart", func(t *testing.T) {
		is := is.New(t)
		s := NewState(asserter.NewPanicking())
		for i := range KeptRequests + 10 {
			begin(t, s, fmt.Sprint(i), "a", "x")
		}
		is.Equal(len(s.records), KeptRequests)
		s = restoreCopy(t, s)
		begin(t, s, "new", "a", "x")
		is.Equal(len(s.records), KeptRequests)
		is.Equal(begin(t, s, "11", "b", "x").Begin, begun)
		is.Equal(begin(t, s, "10", "b", "x").Begin, fresh) // dropped as the oldest
	})
}

func begin(t tester, s *State, key, holder, digest string) Result {
	c := &wire.BeginOnceCommand{Key: key, Holder: holder, Digest: digest}
	return apply(t, s, &wire.Command{Kind: &wire.Command_BeginOnce{BeginOnce: c}})
}

func finish(t tester, s *State, key, holder string, notRun bool) {
	c := &wire.FinishOnceCommand{Key: key, Holder: holder, NotRun: notRun}
	if !notRun {
		c.Answer = &wire.OnceAnswer{Status: 200}
	}
	apply(t, s, &wire.Command{Kind: &wire.Command_FinishOnce{FinishOnce: c}})
}
