package endtoend

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFrozenLeader freezes the leader's process under load while the other members put a text
// in force, and resumes it. No request may be cut or refused, and the resumed member must not
// block a further text.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 12)
	waitForReport := d.startLoad(1000, 8*time.Second)
	time.Sleep(time.Second)
	frozen := d.leader()
	d.controls[frozen].signal(syscall.SIGSTOP)
	d.text.revision = 2
	d.applyText()
	d.controls[frozen].signal(syscall.SIGCONT)
	d.text.revision = 3
	d.applyText()
	r := waitForReport()
	t.Logf("sent %d, done %d, not run %v, unknown %v", r.Sent, r.Done, r.NotRun, r.Unknown)
	is.Equal(r.Truncated+r.Mismatched+r.Unanswered+len(r.Unknown), 0)
	is.Equal(r.Done, r.Sent) // entries serve by their leases without a leader
}
