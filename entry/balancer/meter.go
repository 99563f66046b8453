package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// meterTimeConstant is the time constant of the moving average.
const meterTimeConstant = 2 * time.Second

// Meter measures how many slots the requests for each service occupy.
type Meter struct {
	clock    timekeeper.Clock
	region   string
	mutex    sync.Mutex
	services map[string]*serviceLoad
}

// serviceLoad is the load of one service: all of it, and the part that only one region may serve.
type serviceLoad struct {
	total timekeeper.DecayingRate
	bound map[string]*timekeeper.DecayingRate
}

// NewMeter returns a Meter without any requests, for an entry in a region.
func NewMeter(c timekeeper.Clock, region string) *Meter {
	return &Meter{clock: c, region: region, services: map[string]*serviceLoad{}}
}

// Add records a request that occupies a slot for the duration work. homes are the only regions that
// may serve it; empty means all.
func (m *Meter) Add(service string, homes []string, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.services[service]
	if r == nil {
		r = &serviceLoad{total: timekeeper.DecayingRate{TimeConstant: meterTimeConstant}, bound: map[string]*timekeeper.DecayingRate{}}
		m.services[service] = r
	}
	now := m.clock.Now()
	r.total.Add(now, work.Seconds())
	if slices.Contains(homes, m.region) {
		homes = []string{m.region} // the nearest home serves it
	}
	for _, region := range homes {
		if r.bound[region] == nil {
			r.bound[region] = &timekeeper.DecayingRate{TimeConstant: meterTimeConstant}
		}
		r.bound[region].Add(now, work.Seconds()/float64(len(homes)))
	}
}

// Demands returns the number of occupied slots by service.
func (m *Meter) Demands() []*wire.ServiceDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	var out []*wire.ServiceDemand
	for name, r := range m.services {
		d := &wire.ServiceDemand{Service: name, Load: r.total.At(now)}
		for region, b := range r.bound {
			if d.Bound == nil {
				d.Bound = map[string]float64{}
			}
			d.Bound[region] = b.At(now)
		}
		out = append(out, d)
	}
	return out
}
