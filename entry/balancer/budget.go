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
	// Reserve is the number of repeats that may be saved up to run ahead of their share, over all
	// entries; as many come anew in each Window.
	Reserve float64
	// Entries is the number of entries that share the reserve; nil means that this one has it.
	Entries func() int
	// Window is 0 where repeats come with requests only.
	Window time.Duration
	Clock  timekeeper.Clock
	Logger logger.Logger
}

// savings are the repeats of one service that may be sent.
type savings struct {
	left   float64
	filled time.Duration
}

// Budget bounds the requests that this entry sends to a further target, by service.
type Budget struct {
	config   BudgetConfig
	mutex    sync.Mutex
	services map[string]*savings
	// told is when a line said that a service's budget is spent.
	told map[string]time.Duration
}

// NewBudget returns a Budget that begins empty, since the run of the entry before may have
// spent its reserve.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, services: map[string]*savings{}, told: map[string]time.Duration{}}
}

// Earn counts a request of a service.
func (b *Budget) Earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.add(b.savings(service), b.config.Share)
}

// savings returns a service's repeats, with what came of the reserve since the last time.
func (b *Budget) savings(service string) *savings {
	now, n := b.config.Clock.Now(), b.services[service]
	if n == nil {
		n = &savings{filled: now}
		b.services[service] = n
	}
	if b.config.Window > 0 {
		b.add(n, b.part()*(now-n.filled).Seconds()/b.config.Window.Seconds())
	}
	n.filled = now
	return n
}

func (b *Budget) add(n *savings, repeats float64) {
	n.left = min(b.reserve(), n.left+repeats)
}

// reserve is the most that this entry may save up; with less than one it could never repeat.
func (b *Budget) reserve() float64 {
	return max(1, b.part())
}

// part is this entry's part of the reserve.
func (b *Budget) part() float64 {
	if b.config.Entries == nil {
		return b.config.Reserve
	}
	return b.config.Reserve / float64(max(1, b.config.Entries()))
}

// Spend takes one repeat, if there is one.
func (b *Budget) Spend(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.savings(service)
	if n.left < 1 {
		b.tell(service, n.left)
		return false
	}
	n.left--
	return true
}

// Return gives back a repeat that was not sent.
func (b *Budget) Return(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.add(b.savings(service), 1)
}

func (b *Budget) tell(service string, left float64) {
	now := b.config.Clock.Now()
	if at, ok := b.told[service]; ok && now-at < spentInterval {
		return
	}
	b.told[service] = now
	b.config.Logger.Log(logger.RepeatsSpent, logger.F("service", service), logger.F("left", left), logger.F("reserve", b.reserve()))
}
