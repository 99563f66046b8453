package endtoend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
)

const moveRate = 400

// addNextTargets adds targets of version v2.
func (d *deployment) addNextTargets() {
	for i := range 4 {
		d.addTarget(fmt.Sprintf("next%d", i), "lamps")
		last := len(d.text.targets) - 1
		d.text.targets[last] = strings.Replace(d.text.targets[last], "version = v1", "version = v2", 1)
	}
}

func (d *deployment) runsOnNext() int {
	n := 0
	for i := range 4 {
		n += d.fakes[fmt.Sprint("next", i)].Counts().Total
	}
	return n
}

func (d *deployment) setNextFaults(f faker.Faults) {
	for i := range 4 {
		d.fakes[fmt.Sprint("next", i)].SetFaults(f)
	}
}

// beginMove applies a text with a move from v1 to v2 that has its deadline after a duration.
func (d *deployment) beginMove(untilDeadline time.Duration) {
	d.text.revision++
	d.text.extraSections = fmt.Sprintf("[move toNext]\nservice = lamps\nfrom = v1\nto = v2\ncap = 40%%\nbake = 3s\ndeadline = %s\n",
		time.Now().Add(untilDeadline).UTC().Format(time.RFC3339))
	d.applyText()
}

func (d *deployment) moveHasStage(stage string) func() bool {
	return func() bool {
		_, out, _ := d.runCommand("moves", "list")
		return strings.Contains(out, ", "+stage)
	}
}

// TestGoodMove checks that a good version gets all traffic by the deadline although the leader
// is killed during the move. The first step must keep to its share, and every request must be
// served.
func TestGoodMove(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	d.addNextTargets()
	waitForReport := d.startLoad(moveRate, 18*time.Second)
	untilDeadline := 16 * time.Second
	start := time.Now()
	d.beginMove(untilDeadline)
	time.Sleep(time.Second)
	sent := int(time.Since(start).Seconds()+1) * moveRate
	is.True(d.runsOnNext() <= sent/100+3) // 1 % and rounding on each entry
	d.controls[d.leader()].kill()
	d.waitUntil("the move is done", d.moveHasStage("done"))
	is.True(time.Since(start) <= untilDeadline)
	status, out, _ := d.runCommand("moves", "watch", "toNext")
	is.Equal(status, 0)
	t.Logf("done %v before its deadline\n%s", untilDeadline-time.Since(start), out)
	runsBefore := d.runsOnOld()
	r := waitForReport()
	is.True(d.runsOnOld()-runsBefore <= 3) // requests in flight
	is.Equal(r.Done, r.Sent)
}

func (d *deployment) runsOnOld() int {
	n := 0
	for i := range 4 {
		n += d.fakes[fmt.Sprint("lamps", i)].Counts().Total
	}
	return n
}

// TestBadMove checks that a version that fails from the start is taken back after at most 1 % of
// the requests, that one that fails later is taken back within 3 s, and that neither gets
// further requests.
func TestBadMove(t *testing.T) {
	cases := []struct {
		name      string
		fault     faker.Faults
		lateFault bool
		maxShare  float64
	}{
		{"every fifth request fails", faker.Faults{FailEvery: 5}, false, 0.01},
		{"slow from the start", faker.Faults{Delay: 200 * time.Millisecond}, false, 0.01},
		{"cuts every response from baking on", faker.Faults{CutBefore: true}, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 3)
			d.addNextTargets()
			waitForReport := d.startLoad(moveRate, 12*time.Second)
			if !c.lateFault {
				d.setNextFaults(c.fault)
			}
			untilDeadline := time.Minute
			if c.lateFault {
				untilDeadline = 12 * time.Second
			}
			d.beginMove(untilDeadline)
			if c.lateFault {
				d.waitUntil("the move bakes", d.moveHasStage("baking"))
				d.setNextFaults(c.fault)
			}
			faultStart := time.Now()
			d.waitUntil("the move is taken back", d.moveHasStage("taken back"))
			t.Logf("taken back after %v", time.Since(faultStart))
			runsBefore := d.runsOnNext()
			if c.lateFault {
				is.True(time.Since(faultStart) <= 3*time.Second)
			}
			r := waitForReport()
			is.True(d.runsOnNext()-runsBefore <= 3) // requests in flight
			is.True(float64(runsBefore) <= c.maxShare*float64(r.Sent)+3)
			status, _, problems := d.runCommand("moves", "watch", "toNext")
			is.Equal(status, 2)
			is.True(strings.Contains(problems, "taken back: route"))
			t.Logf("new side ran %d of %d; done %d, unknown %v, not run %v", runsBefore, r.Sent, r.Done, r.Unknown, r.NotRun)
		})
	}
}
