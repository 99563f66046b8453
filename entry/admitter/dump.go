package admitter

import "time"

// ServiceDump describes what an Admitter keeps of a service.
type ServiceDump struct {
	// Asked and Admitted are in requests per second; Returned is the share of the admitted requests that
	// had come back after a refusal.
	Asked    float64
	Admitted float64
	Returned float64
	Kinds    []KindDump
	// Surging holds the ratio of the present to the usual share of each surging team.
	Surging map[string]float64
}

// KindDump describes a kind of requests.
type KindDump struct {
	Name     string
	Priority int
	Asked    float64
	Admitted float64
	Work     time.Duration
}

// Dump returns the ServiceDumps by service.
func (a *Admitter) Dump(now time.Duration) map[string]ServiceDump {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	out := map[string]ServiceDump{}
	for name, s := range a.services {
		d := ServiceDump{Asked: s.all.asked.At(now), Admitted: s.all.admitted.At(now), Surging: map[string]float64{}}
		if d.Admitted > 0 {
			d.Returned = s.returned.At(now) / d.Admitted
		}
		for n, k := range s.kinds {
			d.Kinds = append(d.Kinds, KindDump{n.name, n.priority, k.asked.At(now), k.admitted.At(now), k.work})
		}
		for n, t := range s.teams {
			if v := s.surge(now, t); v >= surgeRatio {
				d.Surging[n] = v
			}
		}
		out[name] = d
	}
	return out
}
