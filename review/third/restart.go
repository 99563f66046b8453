package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Course of the case.
const (
	restartChanges = 210
	// stormGap is the pause between two changes of a config_storm.
	stormGap = 330 * time.Millisecond
	// backAfter is when the killed processes are back: within a second.
	backAfter = 700 * time.Millisecond
	recovery  = 15 * time.Second
	// readTime is how long the operator asks for the configuration: at least contact, which is 4 s.
	readTime = 6 * time.Second
)

// runRestart sends changes of all routes of a large configuration, has all processes of the core killed at the same
// moment, and reads the configuration back.
func runRestart(d *deployment, trouble bool) verdict {
	if !d.startAll(2, 12, firstConfig, func(*http.Request, []byte) []byte { return []byte("done") }) {
		return notRun
	}
	d.wait.Go(d.watchMemory)
	acked := 0
	for version := 2; version < 2+restartChanges; version++ {
		begun := time.Now()
		status, text := d.order(http.MethodPatch, "/config", bigChange(version), 10*time.Second)
		d.printf("change to version %d of %d routes: answer %d after %v", version, bigRoutes, status, time.Since(begun))
		if status != http.StatusOK {
			d.printf("%s", text)
			return notRun
		}
		acked = version
		time.Sleep(stormGap - time.Since(begun))
	}
	if trouble {
		var all sync.WaitGroup
		for _, m := range d.cores {
			all.Go(func() {
				d.signal(m, syscall.SIGKILL)
				time.Sleep(backAfter)
				d.restart(m)
			})
		}
		all.Wait()
		time.Sleep(recovery)
	}
	for end, i := time.Now().Add(readTime), 0; time.Now().Before(end); i++ {
		m := d.cores[i%len(d.cores)]
		status, text := d.call(m, http.MethodGet, "/config", "")
		d.printf("GET /config of %s: answer %d of %d bytes", m.name, status, len(text))
		if status == http.StatusOK {
			return d.checkConfig(text, acked)
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.printf("the operator can't read back the configuration of version %d, which was acknowledged: nothing comes", acked)
	return broken
}

// checkConfig checks that the newest acknowledged version of each route is read back.
func (d *deployment) checkConfig(text string, acked int) verdict {
	var items struct {
		Routes []struct {
			Name    string `json:"name"`
			Version string `json:"version"`
		} `json:"routes"`
	}
	if err := json.Unmarshal([]byte(text), &items); err != nil {
		d.printf("the configuration can't be read: %v", err)
		return broken
	}
	versions := map[string]string{}
	for _, r := range items.Routes {
		versions[r.Name] = r.Version
	}
	for i := range bigRoutes {
		name := fmt.Sprintf("r-%07d", i)
		if want := fmt.Sprintf("%08x", acked); versions[name] != want {
			d.printf("route %s is read back in version %q, though %s was acknowledged", name, versions[name], want)
			return broken
		}
	}
	d.printf("all %d routes are read back in version %08x", bigRoutes, acked)
	return held
}
