package experimenter

import (
	"github.com/filberthoist/filberthoist/bench/tabulator"
)

func runDispatch(Config) ([]tabulator.Result, error) {
	return nil, nil
}
