// Package seeder makes the property tests of a package reproducible. It is called from TestMain.
package seeder

import (
	"flag"
	"strconv"
	"testing"
)

// fixedSeed is the seed of all property tests unless -rapid.seed is given.
const fixedSeed = "20261204"

// Run runs the tests of a package with a fixed seed for rapid and, unless checks is 0, with that
// number of checks per property. The flags -rapid.seed and -rapid.checks override both. It
// returns the exit code.
func Run(m *testing.M, checks int) int {
	setFlag("rapid.seed", fixedSeed)
	if checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(checks))
	}
	flag.Parse()
	return m.Run()
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package does not import rapid
	}
}
