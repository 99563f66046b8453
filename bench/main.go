// Command bench runs fake upstreams, generates load and runs experiments.
package main

import (
	"fmt"
	"os"

	"github.com/filberthoist/filberthoist/bench/commander"
)

func main() {
	if err := commander.NewCommand(os.Stdout).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
