package endtoend

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFrozenLeader stops the control leader's process for longer than a freshness lease
// under load and lets it go on: the others take over, no request is cut, and what was
// accepted meanwhile is never taken back.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 12)
	report := d.load(1000, 8*time.Second)
	time.Sleep(time.Second)
	frozen := d.leader()
	d.controls[frozen].signal(syscall.SIGSTOP)
	d.text.revision = 2
	d.apply()
	d.controls[frozen].signal(syscall.SIGCONT)
	d.text.revision = 3
	d.apply()
	r := report()
	t.Logf("sent %d, done %d, not run %v, unknown %v", r.Sent, r.Done, r.NotRun, r.Unknown)
	is.Equal(r.Truncated+r.Mismatched+r.Unanswered+len(r.Unknown), 0)
	is.Equal(r.Done, r.Sent) // entries go on by their leases
}
