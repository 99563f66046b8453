package balancer

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// spentInterval is the least time between two lines that a service's budget is spent.
const spentInterval = time.Second

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is the part of a service's requests that may be repeats.
	Share float64
	// Reserve is the number of repeats that may run ahead of their share, over all entries.
	Reserve float64
	// Entries is the number of entries that share the reserve; nil means that this one has it.
	Entries func() int
	// Clock and Logger serve the lines that tell of a spent budget.
	Clock  timekeeper.Clock
	Logger logger.Logger
}

// Budget bounds the requests that this entry sends to a further target, by service.
type Budget struct {
	config BudgetConfig
	mutex  sync.Mutex
	left   map[string]float64
	// told is when a line said that a service's budget is spent.
	told map[string]time.Duration
}

// NewBudget returns a Budget with its reserve.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, left: map[string]float64{}, told: map[string]time.Duration{}}
}

// Earn counts a request of a service.
func (b *Budget) Earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left, known := b.left[service]
	if !known {
		left = b.reserve()
	}
	b.left[service] = min(b.reserve(), left+b.config.Share)
}

// reserve is this entry's part of the reserve.
func (b *Budget) reserve() float64 {
	if b.config.Entries == nil {
		return b.config.Reserve
	}
	return max(1, b.config.Reserve/float64(max(1, b.config.Entries())))
}

// Spend takes one repeat, if there is one.
func (b *Budget) Spend(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.left[service] < 1 {
		b.tell(service)
		return false
	}
	b.left[service]--
	return true
}

// Return gives back a repeat that was not sent.
func (b *Budget) Return(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.left[service] = min(b.reserve(), b.left[service]+1)
}

func (b *Budget) tell(service string) {
	if b.config.Clock.Now == nil {
		return
	}
	now := b.config.Clock.Now()
	if at, ok := b.told[service]; ok && now-at < spentInterval {
		return
	}
	b.told[service] = now
	b.config.Logger.Log(logger.RepeatsSpent, logger.F("service", service), logger.F("left", b.left[service]), logger.F("reserve", b.reserve()))
}
