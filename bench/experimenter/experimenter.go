// Package experimenter runs the product's own packages against small fakes, beside a plain
// baseline in the same run, and judges them by their targets.
package experimenter

import (
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/bench/tabulator"
)

// Config sets up a run of experiments.
type Config struct {
	// Seed fixes the demands and faults.
	Seed uint64
	// Folder takes tables and plots.
	Folder string
	Out    io.Writer
}

// All is the name that runs every experiment.
const All = "all"

var experiments = map[string]func(Config) ([]tabulator.Result, error){
	"limits":   runLimits,
	"dispatch": runDispatch,
	"moves":    runMoves,
	"outcomes": runOutcomes,
}

// Names lists the experiments.
func Names() []string {
	return slices.Sorted(maps.Keys(experiments))
}

// Run runs one experiment, or all.
func Run(c Config, name string) error {
	names := []string{name}
	if name == All {
		names = Names()
	}
	for _, n := range names {
		e := experiments[n]
		if e == nil {
			return errors.Errorf("no experiment is called %s; there are %v", n, Names())
		}
		results, err := e(c)
		if err != nil {
			return errors.Wrap(err, n)
		}
		for _, r := range results {
			if err := r.Print(c.Out); err != nil {
				return err
			}
			if err := r.Save(c.Folder); err != nil {
				return err
			}
		}
	}
	return nil
}
