// Package experimenter runs packages of the product against small fakes, next to a simple
// baseline on the same load, and compares the results with targets. The experiments limits,
// dispatch and outcomes cover operation with roles.
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
	// Seed seeds the random load and faults.
	Seed uint64
	// Folder is where tables and plots are written.
	Folder string
	Out    io.Writer
}

// All is the name that stands for every experiment.
const All = "all"

var experiments = map[string]func(Config) ([]tabulator.Result, error){
	"limits":   runLimits,
	"dispatch": runDispatch,
	"moves":    runMoves,
	"outcomes": runOutcomes,
}

// Names returns the sorted names of the experiments.
func Names() []string {
	return slices.Sorted(maps.Keys(experiments))
}

// Run runs the experiment of a name, or every experiment if the name is All. It prints and
// saves the results.
func Run(c Config, name string) error {
	names := []string{name}
	if name == All {
		names = Names()
	}
	for _, n := range names {
		e := experiments[n]
		if e == nil {
			return errors.Errorf("unknown experiment %s; known experiments: %v", n, Names())
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
