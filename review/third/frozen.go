package main

import (
	"net/http"
	"syscall"
	"time"
)

// Course of the case.
const (
	frozenCycles = 14
	// frozenTime is how long the machine stands still, and restTime the time until it does again.
	frozenTime = 6600 * time.Millisecond
	restTime   = 800 * time.Millisecond
	// stormChanges are the changes of a config_storm of 4 s.
	stormChanges = 12
)

// runFrozen lets one core machine stand still for some seconds, again and again, while a large configuration changes in
// quick succession.
func runFrozen(d *deployment, trouble bool) verdict {
	if !d.startAll(2, 12, firstConfig, func(*http.Request, []byte) []byte { return []byte("done") }) {
		return notRun
	}
	d.wait.Go(d.watchMemory)
	frozen, version := d.cores[len(d.cores)-1], 2
	for cycle := range frozenCycles {
		if trouble {
			d.signal(frozen, syscall.SIGSTOP)
		}
		begun := time.Now()
		for range stormChanges {
			sent := time.Now()
			status, _ := d.order(http.MethodPatch, "/config", bigChange(version), 4*time.Second)
			d.printf("cycle %d: change to version %d of %d routes: answer %d after %v", cycle, version, bigRoutes, status, time.Since(sent))
			version++
			time.Sleep(stormGap - time.Since(sent))
		}
		time.Sleep(frozenTime - time.Since(begun))
		if trouble {
			d.signal(frozen, syscall.SIGCONT)
		}
		time.Sleep(restTime)
		if d.hasFault(d.cores[:len(d.cores)-1]) {
			return broken
		}
	}
	return held
}
