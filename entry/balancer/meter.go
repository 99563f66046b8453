package balancer

import (
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// meterTimeConstant is the time constant of the moving average.
const meterTimeConstant = 2 * time.Second

// Meter measures how many slots the requests for each service occupy.
type Meter struct {
	clock    timekeeper.Clock
	mutex    sync.Mutex
	services map[string]*timekeeper.DecayingRate
}

// NewMeter returns a Meter without any requests.
func NewMeter(c timekeeper.Clock) *Meter {
	return &Meter{clock: c, services: map[string]*timekeeper.DecayingRate{}}
}

// Add records a request that occupies a slot for the duration work.
func (m *Meter) Add(service string, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.services[service]
	if r == nil {
		r = &timekeeper.DecayingRate{TimeConstant: meterTimeConstant}
		m.services[service] = r
	}
	r.Add(m.clock.Now(), work.Seconds())
}

// Loads returns the number of occupied slots by service.
func (m *Meter) Loads() map[string]float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now, out := m.clock.Now(), map[string]float64{}
	for name, r := range m.services {
		out[name] = r.At(now)
	}
	return out
}
