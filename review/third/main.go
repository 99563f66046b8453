// Command review-third runs the scripted cases of the third review. Each starts the project's programs as separate
// processes on loopback addresses and checks one rule of the users' pages by what clients, targets, operators and the
// platform see.
//
//	review-third CASE ROOT FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

type verdict int

const (
	held verdict = iota
	broken
	notRun
)

func (v verdict) String() string {
	return [...]string{"the rule held", "the rule was broken", "the case could not run"}[v]
}

var cases = map[string]func(d *deployment, trouble bool) verdict{
	"restart": runRestart,
	"answers": runAnswers,
	"frozen":  runFrozen,
	"release": runRelease,
	"rollout": runRollout,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-third CASE ROOT FOLDER")
		os.Exit(int(notRun))
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	d, err := newDeployment(root, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	result := make(chan verdict, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() { result <- cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0") }()
	v := notRun
	select {
	case v = <-result:
	case s := <-interrupted:
		d.printf("interrupted: %v", s)
	}
	for _, m := range d.members() {
		m.mutex.Lock()
		d.printf("%s: %d ends of its own, at most %d MB seen in use of %d MB", m.name, m.ends, m.peakMB, m.memoryMB)
		m.mutex.Unlock()
	}
	d.printf("verdict: %v", v)
	d.close()
	os.Exit(int(v))
}
