package balancer

import (
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// busyLifetime is how long the fraction of busy slots is used before it is computed again.
const busyLifetime = 25 * time.Millisecond

// busySlots is the fraction of a service's slots that were in use at a time.
type busySlots struct {
	fraction float64
	at       time.Duration
}

// Forecast returns what would happen to a request now, without counting it as running.
func (p *Picker) Forecast(d PickRequest) admitter.Forecast {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.config.View()
	p.updateView(v)
	now := p.config.Clock.Now()
	return p.forecast(now, v, d, p.cheapest(now, v, d))
}

// PickIf picks the target with the least cost, if its forecast is admitted. Without any target it
// returns a forecast of none, and the time until a target that turns this entry away takes requests.
func (p *Picker) PickIf(d PickRequest, admits func(admitter.Forecast) bool) (*Pick, time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.config.View()
	p.updateView(v)
	now := p.config.Clock.Now()
	best := p.cheapest(now, v, d)
	switch {
	case !admits(p.forecast(now, v, d, best)):
		return nil, 0
	case best == nil:
		return nil, p.timeTurnedAway(now, v, d)
	}
	best.take(now)
	return best, 0
}

func (p *Picker) forecast(now time.Duration, v *receiver.View, d PickRequest, k *Pick) admitter.Forecast {
	f := admitter.Forecast{Busy: p.busy(now, v, d)}
	if k == nil {
		return f
	}
	f.Found, f.Warm, f.Wait, f.Processing = true, k.Warm, k.Wait, k.processing
	f.RoundTrip = p.roundTrip(k.Target)
	return f
}

// busy returns the fraction of the slots in use, weighted by where requests of this entry's region go.
func (p *Picker) busy(now time.Duration, v *receiver.View, d PickRequest) float64 {
	key := strings.Join(append([]string{d.Service}, d.Homes...), " ")
	if b, ok := p.busySlots[key]; ok && now-b.at < busyLifetime {
		return b.fraction
	}
	s := p.services[d.Service]
	if s == nil {
		return 0
	}
	var usable []*target
	for _, t := range s.list {
		if p.isEligible(v, d, t) && !t.isLeaving(now) && !t.isEjected(now) {
			usable = append(usable, t)
		}
	}
	w, used, total := p.regionWeights(usable, v.RegionFractions[d.Service]), 0.0, 0.0
	for _, t := range usable {
		slots := float64(max(1, t.listed.Slots))
		used += w[t.listed.Region] * min(slots, t.load(now))
		total += w[t.listed.Region] * slots
	}
	b := busySlots{at: now}
	if total > 0 {
		b.fraction = used / total
	}
	p.busySlots[key] = b
	return b.fraction
}
