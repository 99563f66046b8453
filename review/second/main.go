// Command second plays the cases of the review that are not days of the bench. It starts the programs of the
// deploy file as separate processes on loopback addresses, with stand-ins for the platform, targets and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases maps names to cases. A case returns whether the rule held, and what was seen.
var cases = map[string]func(d *deployment, trouble bool) (bool, string, error){
	"pipelined": playPipelined,
	"left":      playLeft,
	"encoded":   playEncoded,
	"rollout":   playRollout,
	"trial":     playTrial,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(c func(*deployment, bool) (bool, string, error), root, path string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return fail(err)
	}
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	d, err := newDeployment(r, root, 1)
	if err != nil {
		return fail(err)
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(failed)
	}()
	ok, seen, err := c(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("could not run: %v", err)
		return fail(err)
	}
	r.line("%s", seen)
	fmt.Println(seen)
	if !ok {
		return broken
	}
	return held
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return failed
}
