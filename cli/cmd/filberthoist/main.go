// Command filberthoist is the operators' command line for a deployment.
package main

import (
	"os"

	"github.com/filberthoist/filberthoist/cli/commander"
)

func main() {
	c := commander.NewCommander(commander.Config{Out: os.Stdout, Err: os.Stderr})
	os.Exit(c.Run(os.Args[1:]))
}
