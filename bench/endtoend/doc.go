// Package endtoend tests the programs as processes, under kills, stops, cuts and lost disks.
package endtoend
