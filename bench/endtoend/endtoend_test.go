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

// TestWholePath serves through look-up and entry, loses the leader and an entry, and goes on.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	c := newCaller(t, d.callers[0])
	d.checkServed(c, goodKey)

	t.Run("look-up names the live entries", func(t *testing.T) {
		r, err := c.send(http.MethodGet, "/filberthoist/lookup?service=lamps", "", "")
		is := is.New(t)
		is.NoErr(err)
		for _, a := range d.callers {
			is.True(strings.Contains(r.body, a))
		}
	})
	t.Run("open routes need no key", func(t *testing.T) {
		r, err := c.send(http.MethodGet, "/help/arming", "", "")
		is := is.New(t)
		is.NoErr(err)
		is.Equal(r.outcome, "done")
	})
	t.Run("unknown and missing keys are refused alike", func(t *testing.T) {
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
	served, refused, longest := watch(c, 4*time.Second)
	t.Logf("for 4 s after the leader's end: served %d, not run %d, longest gap %v", served, refused, longest)
	d.entries[2].kill()
	served, refused, longest = watch(c, 4*time.Second)
	t.Logf("for 4 s after an entry's end: served %d, not run %d, longest gap %v", served, refused, longest)
	d.wait("the dead entry leaves the look-ups", func() bool {
		r, err := c.send(http.MethodGet, "/filberthoist/lookup?service=lamps", "", "")
		return err == nil && r.status == http.StatusOK && !strings.Contains(r.body, d.callers[2])
	})
	d.wait("keyed requests are served again", func() bool {
		r, err := c.send(http.MethodGet, "/lamps/7", goodKey, "")
		return err == nil && r.outcome == "done"
	})
	d.text.revision = 2
	d.apply()
	for _, f := range d.fakes {
		is.Equal(f.Counts().SawKey, 0) // no upstream sees a key
	}
}

// TestWithdrawnKey: a withdrawn key stops working on a connection that stays open, also
// on an entry that was frozen while it was withdrawn.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	open, frozen := newCaller(t, d.callers[0]), newCaller(t, d.callers[1])
	d.checkServed(open, otherKey)
	d.checkServed(frozen, otherKey)

	d.entries[1].signal(syscall.SIGSTOP)
	begun := time.Now()
	d.must("keys", "withdraw", "other1", "--wait")
	inForce := time.Since(begun)
	r, err := open.send(http.MethodGet, "/lamps/7", otherKey, "")
	is.NoErr(err)
	is.Equal(r.outcome, "notRun; reason=key")
	t.Logf("in force with one entry frozen after %v", inForce)

	d.entries[1].signal(syscall.SIGCONT)
	r, err = frozen.send(http.MethodGet, "/lamps/7", otherKey, "")
	is.NoErr(err)
	is.True(strings.HasPrefix(r.outcome, "notRun")) // its lease ran out while it was frozen
	d.wait("the entry serves again", func() bool {
		r, err := frozen.send(http.MethodGet, "/lamps/7", goodKey, "")
		return err == nil && r.outcome == "done"
	})
}

// TestLostDisk repairs a control member and loses another right after.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.text.revision = 2
	d.apply()
	lost := (d.leader() + 1) % 3
	d.controls[lost].kill()
	is.NoErr(os.RemoveAll(d.dataFolder(lost)))
	d.controls[lost] = d.startControl(lost)
	name := "control" + string(rune('0'+lost))
	d.must("members", "replace", name, d.relays[lost].Address())
	d.wait("the repair is done", func() bool {
		out := d.must("members", "list")
		return strings.Count(out, "voter") == 3 && strings.Count(out, "\n") == 3 && !strings.Contains(out, "replacing")
	})
	d.controls[d.leader()].kill()
	out := d.must("fetch")
	is.True(strings.Contains(out, "revision = 2"))
	d.text.revision = 3
	d.apply()
}

// TestCutControl: a control member that nobody reaches neither disturbs the others nor
// loses what was accepted meanwhile, and hundreds of changes later it catches up.
func TestCutControl(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	leader := d.leader()
	cut := (leader + 1) % 3
	d.relays[cut].Set(relayer.Dropping, 0)
	c := newCaller(t, d.callers[0])
	for range 20 {
		d.text.revision++
		d.must("apply", d.writeText())
		d.checkServed(c, goodKey)
	}
	is.Equal(d.leader(), leader) // the cut member did not force an election
	d.relays[cut].Set(relayer.Passing, 0)
	d.controls[leader].kill()
	out := d.must("fetch")
	is.True(strings.Contains(out, "revision = 21"))
}

// TestRacingOperators: of two texts under one revision exactly one is accepted.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.text.revision = 2
	first := d.writeText()
	status, _, _ := d.run("apply", first)
	is.Equal(status, 0)
	status, out, _ := d.run("apply", first)
	is.Equal(status, 0) // resent after a lost answer
	is.True(strings.Contains(out, "accepted: revision 2"))
	d.text.limits += "retryShare = 0.2\n"
	status, _, problems := d.run("apply", d.writeText())
	is.Equal(status, 3)
	is.True(strings.Contains(problems, "conflict: revision 2"))
	is.True(strings.Contains(problems, "raise the revision to 3"))
	d.text.revision = 1
	status, _, problems = d.run("apply", d.writeText())
	is.Equal(status, 3)
	is.True(strings.Contains(problems, "raise the revision to 3")) // above the one in force
}

// watch sends requests for a while and tells how many were served, and the longest time
// between two that were.
func watch(c *caller, d time.Duration) (served, refused int, longest time.Duration) {
	last := time.Now()
	for end := last.Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r, err := c.send(http.MethodGet, "/lamps/7", goodKey, "")
		if err != nil || r.outcome != "done" {
			refused++
			continue
		}
		served++
		longest = max(longest, time.Since(last))
		last = time.Now()
	}
	return served, refused, longest
}

// TestTwelveEntries serves a load through look-ups from twelve entries while texts change
// and two entries are stopped gracefully; no request may be cut.
func TestTwelveEntries(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 12)
	report := d.load(1000, 11*time.Second)
	for _, p := range d.entries[:2] {
		p.signal(syscall.SIGTERM)
	}
	var times []time.Duration
	for range 10 {
		d.text.revision++
		begun := time.Now()
		d.apply()
		times = append(times, time.Since(begun))
	}
	slices.Sort(times)
	t.Logf("apply --wait on 12 entries: median %v, longest %v (looked at every 200 ms)", times[5], times[9])
	r := report()
	for _, p := range d.entries[:2] {
		<-p.done
	}
	t.Logf("sent %d, done %d, not run %v, unknown %v, broken %d, wrong %d, unanswered %d", r.Sent, r.Done, r.NotRun, r.Unknown, r.Truncated, r.Mismatched, r.Unanswered)
	is.True(r.Sent >= 10_000)
	is.Equal(r.Truncated+r.Mismatched+r.Unanswered+len(r.Unknown), 0) // nothing was cut
	for name, f := range d.fakes {
		if f.Counts().Most > 5 {
			t.Errorf("target %s ran %d of 5 slots", name, f.Counts().Most)
		}
	}
}

// TestLeavingTarget: a target that says it is leaving gets no new work 3 s later, and its
// requests go elsewhere.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	d.fakes["lamps0"].SetFaults(faker.Faults{Leaving: true})
	r := d.load(200, 6*time.Second)()
	is.Equal(d.fakes["lamps0"].Counts().AfterLeaving, 0)
	is.Equal(r.Done, r.Sent)
	t.Logf("refused by the leaving target before it was known: %d of %d", d.fakes["lamps0"].Counts().Refused, r.Sent)
}
