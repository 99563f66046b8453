package endtoend

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/generator"
)

// TestFrozenLeader stops the control leader's process for longer than a freshness lease
// under load and lets it go on: the others take over, no request is cut, and what was
// accepted meanwhile is never taken back.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 12)
	g, err := generator.NewGenerator(generator.Config{
		Lookups: d.callers, Service: "lamps", Method: http.MethodGet, Path: "/lamps/7",
		Key: goodKey, Rate: 1000, Duration: 8 * time.Second, Seed: 1,
	})
	is.NoErr(err)
	done := make(chan generator.Report, 1)
	go func() { done <- g.Run(t.Context()) }()
	time.Sleep(time.Second)
	frozen := d.leader()
	d.controls[frozen].signal(syscall.SIGSTOP)
	d.text.revision = 2
	d.apply()
	d.controls[frozen].signal(syscall.SIGCONT)
	d.text.revision = 3
	d.apply()
	r := <-done
	t.Logf("sent %d, done %d, not run %v, unknown %v", r.Sent, r.Done, r.NotRun, r.Unknown)
	is.Equal(r.Broken+r.Wrong+r.Unanswered+len(r.Unknown), 0)
	is.Equal(r.Done, r.Sent) // entries go on by their leases
}
