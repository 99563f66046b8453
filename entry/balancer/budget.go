package balancer

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// exhaustedLogInterval is the least time between two log lines about a service's spent budget.
const exhaustedLogInterval = time.Second

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the fraction of a service's requests that may be retried.
	Share float64
	// Reserve is the number of retries, over all entries, that may be saved up to exceed Share for
	// a while; as many are added in each Window.
	Reserve float64
	// Entries returns the number of entries that share the reserve; if nil, this entry has all of it.
	Entries func() int `json:"-"`
	// Window is 0 if only requests add retries.
	Window time.Duration
	Clock  timekeeper.Clock `json:"-"`
	Logger logger.Logger    `json:"-"`
}

// bucket is the token bucket of one service; a token pays for one retry.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Budget limits, by service, how many requests this entry sends to a further target.
type Budget struct {
	config   BudgetConfig
	mutex    sync.Mutex
	services map[string]*bucket
	// loggedAt is when a service's spent budget was last logged.
	loggedAt map[string]time.Duration
}

// NewBudget returns a Budget that starts empty, since the entry's previous run may have spent
// its reserve.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, services: map[string]*bucket{}, loggedAt: map[string]time.Duration{}}
}

// Deposit adds what one request of a service earns.
func (b *Budget) Deposit(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addTokens(b.bucket(service), b.config.Share)
}

// bucket returns a service's bucket, refilled for the time since the last call.
func (b *Budget) bucket(service string) *bucket {
	now, n := b.config.Clock.Now(), b.services[service]
	if n == nil {
		n = &bucket{refilledAt: now}
		b.services[service] = n
	}
	if b.config.Window > 0 {
		b.addTokens(n, b.reservePerEntry()*(now-n.refilledAt).Seconds()/b.config.Window.Seconds())
	}
	n.refilledAt = now
	return n
}

func (b *Budget) addTokens(n *bucket, tokens float64) {
	n.tokens = min(b.capacity(), n.tokens+tokens)
}

// capacity is the number of tokens that a bucket holds. With less than 1, this entry could never
// retry.
func (b *Budget) capacity() float64 {
	return max(1, b.reservePerEntry())
}

// reservePerEntry is this entry's share of the reserve.
func (b *Budget) reservePerEntry() float64 {
	if b.config.Entries == nil {
		return b.config.Reserve
	}
	return b.config.Reserve / float64(max(1, b.config.Entries()))
}

// Withdraw takes one token. It returns false if there is none.
func (b *Budget) Withdraw(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := b.bucket(service)
	if n.tokens < 1 {
		b.logExhausted(service, n.tokens)
		return false
	}
	n.tokens--
	return true
}

// Return gives back the token of a retry that was not sent.
func (b *Budget) Return(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.addTokens(b.bucket(service), 1)
}

func (b *Budget) logExhausted(service string, left float64) {
	now := b.config.Clock.Now()
	if at, ok := b.loggedAt[service]; ok && now-at < exhaustedLogInterval {
		return
	}
	b.loggedAt[service] = now
	b.config.Logger.Log(logger.RepeatsSpent, logger.F("service", service), logger.F("left", left), logger.F("reserve", b.capacity()))
}
