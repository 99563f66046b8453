package balancer

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// meterSpan is the time over which requests are averaged.
const meterSpan = 2 * time.Second

// Meter measures how many slots the requests for each service keep busy.
type Meter struct {
	clock    timekeeper.Clock
	mutex    sync.Mutex
	services map[string]*timekeeper.Rate
}

// NewMeter returns a Meter that has counted nothing.
func NewMeter(c timekeeper.Clock) *Meter {
	return &Meter{clock: c, services: map[string]*timekeeper.Rate{}}
}

// Count counts a request that keeps a slot busy for a time.
func (m *Meter) Count(service string, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.services[service]
	if r == nil {
		r = &timekeeper.Rate{Span: meterSpan}
		m.services[service] = r
	}
	r.Add(m.clock.Now(), work.Seconds())
}

// Loads returns the busy slots by service.
func (m *Meter) Loads() map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now, out := m.clock.Now(), map[string]float64{}
	for name, r := range m.services {
		out[name] = r.At(now)
	}
	return out
}
