// Package seeder lets random tests run alike every time, for the TestMain of a package.
package seeder

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the seed of every random test unless one is given.
const seed = "20261204"

// Run runs a package's tests with a fixed seed for rapid, and with a number of checks
// unless that is 0. -rapid.seed and -rapid.checks overrule both. It returns the exit code.
func Run(m *testing.M, checks int) int {
	set("rapid.seed", seed)
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	flag.Parse()
	return m.Run()
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package does not use rapid
	}
}
