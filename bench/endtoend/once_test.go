package endtoend

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
)

// TestAtMostOnce sends charges again to other entries, after answers, after cuts and after
// the control leader's end; no charge may run twice.
func TestAtMostOnce(t *testing.T) {
	d := newDeployment(t, 3)
	var callers []*caller
	for _, a := range d.callers {
		callers = append(callers, newCaller(t, a))
	}
	charge := func(c *caller, id, body string) reply {
		r, err := c.sendOnce("/charges/"+id, goodKey, id, body)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	t.Run("a resend gets the first answer", func(t *testing.T) {
		is := is.New(t)
		first := charge(callers[0], "one", "12.50")
		is.Equal(first.outcome, "done")
		d.wait("the answer is kept", func() bool { return charge(callers[1], "one", "12.50").outcome == "done; reason=repeated" })
		is.Equal(charge(callers[2], "one", "12.50").body, first.body)
	})
	t.Run("another request under the key is refused", func(t *testing.T) {
		is := is.New(t)
		is.Equal(charge(callers[1], "one", "99.99").outcome, "notRun; reason=idempotencyKeyReused")
	})
	t.Run("a cut charge is not run again", func(t *testing.T) {
		is := is.New(t)
		d.setBilling(faker.Faults{CutBefore: true})
		is.Equal(charge(callers[0], "two", "1").outcome, "unknown; reason=upstream")
		d.setBilling(faker.Faults{})
		for _, c := range callers {
			is.Equal(charge(c, "two", "1").outcome, "unknown; reason=begun")
		}
	})
	t.Run("many resends at once across the leader's end", func(t *testing.T) {
		is := is.New(t)
		leader := d.leader()
		done := 0
		for i := range 60 {
			if i == 20 {
				d.controls[leader].kill()
			}
			id := fmt.Sprint("many", i)
			for _, c := range callers {
				if r, err := c.sendOnce("/charges/"+id, goodKey, id, "1"); err == nil && r.status == http.StatusOK {
					done++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("%d of 180 answered", done)
		is.True(done > 60)
	})
	for name, f := range d.fakes {
		for id, n := range f.Counts().Ran {
			if n > 1 {
				t.Errorf("%s ran %s %d times", name, id, n)
			}
		}
	}
	total := map[string]int{}
	for name, f := range d.fakes {
		for id, n := range f.Counts().Ran {
			total[id] += n
			if total[id] > 1 {
				t.Errorf("%s ran on %s and elsewhere", id, name)
			}
		}
	}
}

func (d *deployment) setBilling(n faker.Faults) {
	for i := range 4 {
		d.fakes[fmt.Sprint("billing", i)].SetFaults(n)
	}
}

// sendOnce posts with an idempotency key.
func (c *caller) sendOnce(path, key, id, body string) (reply, error) {
	c.extra = http.Header{"Idempotency-Key": {id}}
	defer func() { c.extra = nil }()
	return c.send(http.MethodPost, path, key, body)
}
