package balancer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// TestExhaustedBudget checks that a spent budget refuses retries, earns new ones, and is logged at
// most about once a second.
func TestExhaustedBudget(t *testing.T) {
	is := is.New(t)
	now, out := time.Duration(0), &bytes.Buffer{}
	b := NewBudget(BudgetConfig{
		Share: 0.2, Reserve: 2, Clock: timekeeper.Clock{Now: func() time.Duration { return now }},
		Logger: logger.NewLogger(logger.Config{Writer: out, Process: "entry1", Level: "info"}),
	})
	is.True(!b.Withdraw("lamps")) // the budget starts empty
	for range 100 {
		b.Deposit("lamps")
	}
	now += 2 * exhaustedLogInterval
	is.True(b.Withdraw("lamps"))
	is.True(b.Withdraw("lamps"))
	for range 100 {
		now += 30 * time.Millisecond // 3 s in total
		is.True(!b.Withdraw("lamps"))
	}
	lines := strings.Count(out.String(), logger.RepeatsSpent.Name)
	is.True(lines >= 2 && lines <= 4)
	for range 5 {
		b.Deposit("lamps")
	}
	is.True(b.Withdraw("lamps"))
}

// TestReserveComesAnew checks that the reserve refills within its window without any requests,
// and not beyond its capacity.
func TestReserveComesAnew(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	b := NewBudget(BudgetConfig{Reserve: 4, Window: 10 * time.Second, Clock: timekeeper.Clock{Now: func() time.Duration { return now }}})
	is.True(!b.Withdraw("lamps"))
	now += 5 * time.Second
	is.True(b.Withdraw("lamps"))
	is.True(b.Withdraw("lamps"))
	is.True(!b.Withdraw("lamps"))
	now += time.Minute
	for range 4 {
		is.True(b.Withdraw("lamps"))
	}
	is.True(!b.Withdraw("lamps"))
}
