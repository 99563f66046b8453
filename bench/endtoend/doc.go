// Package endtoend tests the programs as processes while processes are killed or frozen,
// connections are cut and disks are lost.
package endtoend
