package endtoend

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
)

// TestAtMostOnce sends charges again to other entries after a response, after a cut connection
// and after the leader was killed. No charge may run twice.
func TestAtMostOnce(t *testing.T) {
	d := newDeployment(t, 3)
	var callers []*caller
	for _, a := range d.callerAddresses {
		callers = append(callers, newCaller(t, a))
	}
	charge := func(c *caller, id, body string) response {
		r, err := c.postWithIdempotencyKey("/charges/"+id, goodKey, id, body)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	t.Run("a second request gets the first response", func(t *testing.T) {
		is := is.New(t)
		first := charge(callers[0], "one", "12.50")
		is.Equal(first.outcome, "done")
		d.waitUntil("the response is stored", func() bool { return charge(callers[1], "one", "12.50").outcome == "done; reason=repeated" })
		is.Equal(charge(callers[2], "one", "12.50").body, first.body)
	})
	t.Run("a different request with the same key is refused", func(t *testing.T) {
		is := is.New(t)
		is.Equal(charge(callers[1], "one", "99.99").outcome, "notRun; reason=idempotencyKeyReused")
	})
	t.Run("a charge with a cut response does not run again", func(t *testing.T) {
		is := is.New(t)
		d.setBillingFaults(faker.Faults{CutBefore: true})
		is.Equal(charge(callers[0], "two", "1").outcome, "unknown; reason=upstream")
		d.setBillingFaults(faker.Faults{})
		for _, c := range callers {
			is.Equal(charge(c, "two", "1").outcome, "unknown; reason=begun")
		}
	})
	t.Run("many charges through all entries while the leader is killed", func(t *testing.T) {
		is := is.New(t)
		leader := d.leader()
		done := 0
		for i := range 60 {
			if i == 20 {
				d.controls[leader].kill()
			}
			id := fmt.Sprint("many", i)
			for _, c := range callers {
				if r, err := c.postWithIdempotencyKey("/charges/"+id, goodKey, id, "1"); err == nil && r.status == http.StatusOK {
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

func (d *deployment) setBillingFaults(n faker.Faults) {
	for i := range 4 {
		d.fakes[fmt.Sprint("billing", i)].SetFaults(n)
	}
}

// postWithIdempotencyKey sends a POST request with an idempotency key.
func (c *caller) postWithIdempotencyKey(path, key, id, body string) (response, error) {
	c.extraHeaders = http.Header{"Idempotency-Key": {id}}
	defer func() { c.extraHeaders = nil }()
	return c.send(http.MethodPost, path, key, body)
}
