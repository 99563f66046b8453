package balancer

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// TestNoPromiseOnAnotherAttempt guards against a promise that a request has not run which rests on the last attempt only,
// and against a second run of an at-most-once request: it plays all results of four attempts.
func TestNoPromiseOnAnotherAttempt(t *testing.T) {
	results := []struct {
		result func() *forwarder.SendResult
		// mayRun means that the target has run the request or may have.
		mayRun bool
	}{
		{answers, true},
		{fails, true},
		{breaks, true},
		{refuses, false},
		{misdirected, false},
		{unreachable, false},
		{func() *forwarder.SendResult { return &forwarder.SendResult{Outcome: refusal} }, false}, // not sent
	}
	n := len(results)
	for _, class := range []parser.Class{parser.ClassIdempotent, parser.ClassAtMostOnce} {
		t.Run(fmt.Sprint(class), func(t *testing.T) {
			for i := range n * n * n * n {
				var script []func() *forwarder.SendResult
				var mayRun []bool
				for k := i; len(script) < maxSends; k /= n {
					script, mayRun = append(script, results[k%n].result), append(mayRun, results[k%n].mayRun)
				}
				b, view, sent := newBalancer(10, script)
				o := b.balance(context.Background(), newExchange(b, view, class))
				checkPromise(t, class, o, mayRun[:len(*sent)])
			}
		})
	}
}

// checkPromise checks the outcome of a request by whether each attempt may have run it.
func checkPromise(t *testing.T, class parser.Class, o handler.Outcome, mayRun []bool) {
	t.Helper()
	is := is.New(t)
	runs := 0
	for _, m := range mayRun {
		if m {
			runs++
		}
	}
	is.Equal(o.Run == handler.NotRun, runs == 0)
	is.True(class == parser.ClassIdempotent || runs <= 1)
}
