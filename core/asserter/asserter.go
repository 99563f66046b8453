// Package asserter checks invariants inside the running program.
package asserter

import (
	"fmt"
	"os"

	"github.com/filberthoist/filberthoist/core/logger"
)

// Violation tells which invariant broke, with the state that shows it.
type Violation struct {
	Invariant string
	State     string
}

// Error describes the violation.
func (v Violation) Error() string {
	return "invariant " + v.Invariant + " broken: " + v.State
}

// Asserter stops the process when an invariant does not hold.
type Asserter struct {
	Logger logger.Logger
	// Stop ends the process; tests replace it.
	Stop func(Violation)
}

// NewAsserter returns an Asserter that logs the violation and exits.
func NewAsserter(l logger.Logger) *Asserter {
	return &Asserter{Logger: l, Stop: exit}
}

// That reports a violation of the invariant unless it holds.
func (a *Asserter) That(holds bool, invariant, format string, args ...any) {
	if holds {
		return
	}
	v := Violation{Invariant: invariant, State: fmt.Sprintf(format, args...)}
	a.Logger.Log(logger.InvariantBroken, logger.F("invariant", v.Invariant), logger.F("state", v.State))
	a.Stop(v)
}

// NewPanicking returns an Asserter that panics with the Violation, for tests.
func NewPanicking() *Asserter {
	return &Asserter{Stop: func(v Violation) { panic(v) }}
}

func exit(v Violation) {
	fmt.Fprintln(os.Stderr, v.Error())
	os.Exit(exitStatus)
}

// exitStatus tells a broken invariant from other failures.
const exitStatus = 70
