package balancer

import "sync"

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is the part of a service's requests that may be repeats.
	Share float64
	// Reserve is the number of repeats that may run ahead of their share, over all entries.
	Reserve float64
	// Entries is the number of entries that share the reserve; nil means that this one has it.
	Entries func() int
}

// Budget bounds the requests that this entry sends to a further target, by service.
type Budget struct {
	config BudgetConfig
	mutex  sync.Mutex
	left   map[string]float64
}

// NewBudget returns a Budget with its reserve.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, left: map[string]float64{}}
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
		return false
	}
	b.left[service]--
	return true
}
