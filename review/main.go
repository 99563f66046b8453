package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// timeLimit bounds a case. It leaves time to end the processes.
const timeLimit = 110 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"staleorder": staleOrder,
	"bodies":     largeBodies,
	"pipeline":   brokenAnswers,
	"stray":      stray,
	"evacuation": lateEvacuation,
	"drain":      lateDrain,
	"header":     repeatedHeader,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE REPOSITORY RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// result is how a case ended.
type result struct {
	status int
	err    error
}

// run runs a case until it ends, its time is over or a signal stops it, and ends all processes.
func run(name, root, record string) int {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	d, err := newDeployment(root, record)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer d.close()
	trouble := os.Getenv("TROUBLE") != "0"
	d.logf("case %s, trouble %t", name, trouble)
	done := make(chan result, 1)
	go func() {
		status, err := cases[name](d, trouble)
		done <- result{status, err}
	}()
	r := result{status: couldNotRun}
	select {
	case r = <-done:
	case <-stop:
		r.err = fmt.Errorf("a signal stopped it")
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("it took longer than %v", timeLimit)
	}
	if r.err != nil {
		d.logf("the case could not run: %v", r.err)
		fmt.Println("the case could not run:", r.err)
		return couldNotRun
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken"}[r.status]
	d.logf("%s", text)
	fmt.Println(text)
	return r.status
}
