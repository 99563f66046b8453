// Command filberthoist-entry runs an entry: it serves callers' lookups and requests.
package main

import (
	"os"

	"github.com/filberthoist/filberthoist/core/starter"
	"github.com/filberthoist/filberthoist/entry"
)

func main() {
	os.Exit(starter.Main(starter.Config{
		Use:   "filberthoist-entry",
		Short: "Serves callers: look-ups and requests",
		Read: func(s starter.Source) (func() starter.Program, error) {
			settings, err := entry.ReadSettings(s)
			return func() starter.Program { return entry.New(settings, entry.Extensions{}) }, err
		},
	}))
}
