package auditor

import (
	"testing"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/balancer"
)

// TestRepeatsAcrossRestarts guards against budgets of repeats that each run of an entry finds
// full: over all entries and their earlier runs, the repeats of a service stay within a part of
// its requests and a reserve, in every window.
func TestRepeatsAcrossRestarts(t *testing.T) {
	const (
		window   = 10 * time.Second
		ratio    = 0.2
		reserve  = 64
		entries  = 12
		requests = 40 // a second
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
	var repeated []time.Duration
	for i := range 60 * requests { // each answer is lost
		now = time.Duration(i) * time.Second / requests
		if i > 0 && now%pause == 0 {
			budgets = newBudgets()
		}
		b := budgets[i%entries]
		b.Earn(service)
		if b.Spend(service) {
			repeated = append(repeated, now)
		}
	}
	most, from := 0.0, 0
	for i, at := range repeated {
		for at-repeated[from] > window {
			from++
		}
		allowed := reserve + ratio*requests*(at-repeated[from]).Seconds()
		most = max(most, float64(i+1-from)/allowed)
	}
	t.Logf("%d requests, %d repeats; fullest window %.2f of what is allowed", 60*requests, len(repeated), most)
	if most > 1 {
		t.Errorf("a window holds %.2f of the repeats that are allowed", most)
	}
}
