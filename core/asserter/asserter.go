// Package asserter checks invariants at runtime.
package asserter

import (
	"fmt"
	"os"

	"github.com/filberthoist/filberthoist/core/logger"
)

// Violation is a violated invariant with the state that violates it.
type Violation struct {
	Invariant string
	State     string
}

// Error describes the violation.
func (v Violation) Error() string {
	return "invariant " + v.Invariant + " broken: " + v.State
}

// Asserter stops the process when an invariant is violated.
type Asserter struct {
	Logger logger.Logger
	// Stop is called with the violation and ends the process; tests replace it.
	Stop func(Violation)
}

// NewAsserter returns an Asserter that logs a violation and exits with status 70.
func NewAsserter(l logger.Logger) *Asserter {
	return &Asserter{Logger: l, Stop: exitProcess}
}

// That logs a violation of the invariant and calls Stop unless holds is true. Format and args
// describe the state.
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

func exitProcess(v Violation) {
	fmt.Fprintln(os.Stderr, v.Error())
	os.Exit(violationStatus)
}

// violationStatus distinguishes a violated invariant from other failures.
const violationStatus = 70
