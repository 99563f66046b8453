// Command filberthoist-control runs a control member, which stores the state of a deployment on a
// VM with a disk.
package main

import (
	"os"

	"github.com/filberthoist/filberthoist/control"
	"github.com/filberthoist/filberthoist/core/starter"
)

func main() {
	os.Exit(starter.Main(starter.Config{
		Use:   "filberthoist-control",
		Short: "Keeps the state of a filberthoist deployment",
		Read: func(s starter.Source) (func() starter.Program, error) {
			settings, err := control.ReadSettings(s)
			return func() starter.Program { return control.New(settings, control.Extensions{}) }, err
		},
	}))
}
