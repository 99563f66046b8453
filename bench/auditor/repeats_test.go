package auditor

import (
	"testing"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/balancer"
)

// TestRepeatsAcrossRestarts guards against retry budgets that start full in each run of an entry.
// Over all entries and their earlier runs, the retries of a service stay within a fraction of its
// requests plus a reserve, in every window.
func TestRepeatsAcrossRestarts(t *testing.T) {
	const (
		window   = 10 * time.Second
		ratio    = 0.2
		reserve  = 64
		entries  = 12
		requests = 40 // per second
		pause    = 2 * time.Second
	)
	now := time.Duration(0)
	newBudgets := func() (out []*balancer.Budget) {
		for range entries {
			out = append(out, balancer.NewBudget(balancer.BudgetConfig{
				Share: ratio / 2, Reserve: reserve / 4, Window: window, Entries: func() int { return entries },
				Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
			}))
		}
		return out
	}
	budgets := newBudgets()
	var retries []time.Duration
	for i := range 60 * requests { // every response is lost
		now = time.Duration(i) * time.Second / requests
		if i > 0 && now%pause == 0 {
			budgets = newBudgets()
		}
		b := budgets[i%entries]
		b.Deposit(service)
		if b.Withdraw(service) {
			retries = append(retries, now)
		}
	}
	most, from := 0.0, 0
	for i, at := range retries {
		for at-retries[from] > window {
			from++
		}
		allowed := reserve + ratio*requests*(at-retries[from]).Seconds()
		most = max(most, float64(i+1-from)/allowed)
	}
	t.Logf("%d requests, %d retries; fullest window %.2f of what is allowed", 60*requests, len(retries), most)
	if most > 1 {
		t.Errorf("a window holds %.2f of the retries that are allowed", most)
	}
}
