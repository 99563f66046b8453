package endtoend

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
	"github.com/filberthoist/filberthoist/bench/relayer"
)

// TestWholePath checks that requests are served through lookups and entries, and are served
// again after the leader and an entry are killed.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	c := newCaller(t, d.callerAddresses[0])
	d.checkServed(c, goodKey)

	t.Run("lookup lists the live entries", func(t *testing.T) {
		r, err := c.send(http.MethodGet, "/filberthoist/lookup?service=lamps", "", "")
		is := is.New(t)
		is.NoErr(err)
		for _, a := range d.callerAddresses {
			is.True(strings.Contains(r.body, a))
		}
	})
	t.Run("open routes need no key", func(t *testing.T) {
		r, err := c.send(http.MethodGet, "/help/arming", "", "")
		is := is.New(t)
		is.NoErr(err)
		is.Equal(r.outcome, "done")
	})
	t.Run("unknown and missing keys get the same refusal", func(t *testing.T) {
		is := is.New(t)
		a, err := c.send(http.MethodGet, "/lamps/7", "wrong", "")
		is.NoErr(err)
		b, err := c.send(http.MethodGet, "/lamps/7", "", "")
		is.NoErr(err)
		is.Equal(a.outcome, "notRun; reason=key")
		is.Equal(a.outcome, b.outcome)
		is.Equal(a.body, b.body)
	})

	d.controls[d.leader()].kill()
	served, refused, longestGap := sendFor(c, 4*time.Second)
	t.Logf("for 4 s after the leader was killed: served %d, not run %d, longest gap %v", served, refused, longestGap)
	d.entries[2].kill()
	served, refused, longestGap = sendFor(c, 4*time.Second)
	t.Logf("for 4 s after an entry was killed: served %d, not run %d, longest gap %v", served, refused, longestGap)
	d.waitUntil("lookups no longer list the killed entry", func() bool {
		r, err := c.send(http.MethodGet, "/filberthoist/lookup?service=lamps", "", "")
		return err == nil && r.status == http.StatusOK && !strings.Contains(r.body, d.callerAddresses[2])
	})
	d.waitUntil("keyed requests are served again", func() bool {
		r, err := c.send(http.MethodGet, "/lamps/7", goodKey, "")
		return err == nil && r.outcome == "done"
	})
	d.text.revision = 2
	d.applyText()
	for _, f := range d.fakes {
		is.Equal(f.Counts().SawKey, 0) // entries don't forward keys to upstreams
	}
}

// TestWithdrawnKey checks that a withdrawn key is refused on a connection that stays open, also
// by an entry that was frozen during the withdrawal.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	open, frozen := newCaller(t, d.callerAddresses[0]), newCaller(t, d.callerAddresses[1])
	d.checkServed(open, otherKey)
	d.checkServed(frozen, otherKey)

	d.entries[1].signal(syscall.SIGSTOP)
	start := time.Now()
	d.mustRun("keys", "withdraw", "other1", "--wait")
	inForce := time.Since(start)
	r, err := open.send(http.MethodGet, "/lamps/7", otherKey, "")
	is.NoErr(err)
	is.Equal(r.outcome, "notRun; reason=key")
	t.Logf("in force with one entry frozen after %v", inForce)

	d.entries[1].signal(syscall.SIGCONT)
	r, err = frozen.send(http.MethodGet, "/lamps/7", otherKey, "")
	is.NoErr(err)
	is.True(strings.HasPrefix(r.outcome, "notRun")) // its freshness lease expired while it was frozen
	d.waitUntil("the entry serves again", func() bool {
		r, err := frozen.send(http.MethodGet, "/lamps/7", goodKey, "")
		return err == nil && r.outcome == "done"
	})
}

// TestLostDisk replaces a control member that lost its data, and kills the leader right after.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.text.revision = 2
	d.applyText()
	lost := (d.leader() + 1) % 3
	d.controls[lost].kill()
	is.NoErr(os.RemoveAll(d.dataFolder(lost)))
	d.controls[lost] = d.startControl(lost)
	name := "control" + string(rune('0'+lost))
	d.mustRun("members", "replace", name, d.relays[lost].Address())
	d.waitUntil("the member is replaced", func() bool {
		out := d.mustRun("members", "list")
		return strings.Count(out, "voter") == 3 && strings.Count(out, "\n") == 3 && !strings.Contains(out, "replacing")
	})
	d.controls[d.leader()].kill()
	out := d.mustRun("fetch")
	is.True(strings.Contains(out, "revision = 2"))
	d.text.revision = 3
	d.applyText()
}

// TestCutControl checks that a control member that nobody reaches does not force an election
// while 20 texts are accepted, and that it forms a quorum that has the last text once it is
// reachable and the leader is killed.
func TestCutControl(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	leader := d.leader()
	cut := (leader + 1) % 3
	d.relays[cut].SetMode(relayer.Dropping, 0)
	c := newCaller(t, d.callerAddresses[0])
	for range 20 {
		d.text.revision++
		d.mustRun("apply", d.writeText())
		d.checkServed(c, goodKey)
	}
	is.Equal(d.leader(), leader) // the disconnected member did not force an election
	d.relays[cut].SetMode(relayer.Passing, 0)
	d.controls[leader].kill()
	out := d.mustRun("fetch")
	is.True(strings.Contains(out, "revision = 21"))
}

// TestRacingOperators checks that only one of two texts with the same revision is accepted.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.text.revision = 2
	first := d.writeText()
	status, _, _ := d.runCommand("apply", first)
	is.Equal(status, 0)
	status, out, _ := d.runCommand("apply", first)
	is.Equal(status, 0) // as if sent again after a lost response
	is.True(strings.Contains(out, "accepted: revision 2"))
	d.text.limits += "retryShare = 0.2\n"
	status, _, problems := d.runCommand("apply", d.writeText())
	is.Equal(status, 3)
	is.True(strings.Contains(problems, "conflict: revision 2"))
	is.True(strings.Contains(problems, "raise the revision to 3"))
	d.text.revision = 1
	status, _, problems = d.runCommand("apply", d.writeText())
	is.Equal(status, 3)
	is.True(strings.Contains(problems, "raise the revision to 3")) // above the revision in force
}

// sendFor sends requests for a duration. It returns the numbers of served and of other
// requests, and the longest time between two served ones.
func sendFor(c *caller, d time.Duration) (served, refused int, longestGap time.Duration) {
	last := time.Now()
	for end := last.Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r, err := c.send(http.MethodGet, "/lamps/7", goodKey, "")
		if err != nil || r.outcome != "done" {
			refused++
			continue
		}
		served++
		longestGap = max(longestGap, time.Since(last))
		last = time.Now()
	}
	return served, refused, longestGap
}

// TestTwelveEntries sends a load through lookups to twelve entries while texts change and two
// entries shut down gracefully. No request may be cut.
func TestTwelveEntries(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 12)
	waitForReport := d.startLoad(1000, 11*time.Second)
	for _, p := range d.entries[:2] {
		p.signal(syscall.SIGTERM)
	}
	var times []time.Duration
	for range 10 {
		d.text.revision++
		start := time.Now()
		d.applyText()
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	t.Logf("apply --wait on 12 entries: median %v, longest %v (polled every 200 ms)", times[5], times[9])
	r := waitForReport()
	for _, p := range d.entries[:2] {
		<-p.done
	}
	t.Logf("sent %d, done %d, not run %v, unknown %v, broken %d, wrong %d, unanswered %d", r.Sent, r.Done, r.NotRun, r.Unknown, r.Truncated, r.Mismatched, r.Unanswered)
	is.True(r.Sent >= 10_000)
	is.Equal(r.Truncated+r.Mismatched+r.Unanswered+len(r.Unknown), 0) // no request was cut
	for name, f := range d.fakes {
		if f.Counts().Most > 5 {
			t.Errorf("target %s ran %d of 5 slots", name, f.Counts().Most)
		}
	}
}

// TestLeavingTarget checks that a target gets no new requests 3 s after it reports that it is
// leaving, and that all requests are served by other targets.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.fakes["lamps0"].SetFaults(faker.Faults{Leaving: true})
	r := d.startLoad(200, 6*time.Second)()
	is.Equal(d.fakes["lamps0"].Counts().AfterLeaving, 0)
	is.Equal(r.Done, r.Sent)
	t.Logf("refused by the leaving target before entries detected it: %d of %d", d.fakes["lamps0"].Counts().Refused, r.Sent)
}
