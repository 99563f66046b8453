package balancer

import "time"

// TargetDump describes a target as seen by this entry.
type TargetDump struct {
	Name     string
	Region   string
	Load     float64
	Failures float64
	Pace     float64
	// Slowness is what the target stated last about its slowness, and SlownessAge the time since then;
	// both are 0 if it never did.
	Slowness    float64
	SlownessAge time.Duration
	Ejected     bool
	Leaving     bool
	// LeavingFor is the time since the target was first known to be leaving, and TurnedAwayFor the time
	// for which it wants no requests of this entry.
	LeavingFor    time.Duration
	TurnedAwayFor time.Duration
	Cold          bool
	// Doubted is set if the target may be cold though nobody says so.
	Doubted bool
	Objects int
}

// Dump returns the TargetDumps by service.
func (p *Picker) Dump() any {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, out := p.config.Clock.Now(), map[string][]TargetDump{}
	for name, s := range p.services {
		for _, t := range s.list {
			n := TargetDump{
				Name: t.listed.Name, Region: t.listed.Region, Load: t.load(now), Failures: t.failureRate, Pace: t.currentSlowness(now),
				Ejected: t.isEjected(now), Leaving: t.isLeaving(now), Cold: t.isCold(now), Doubted: t.warmup.isDoubted(now), Objects: len(t.objects),
				TurnedAwayFor: max(0, t.turnedAwayUntil-now),
			}
			if t.statedSlowness > 0 {
				n.Slowness, n.SlownessAge = t.statedSlowness, now-t.statedAt
			}
			if t.leavingSince > 0 {
				n.LeavingFor = now - t.leavingSince
			}
			out[name] = append(out[name], n)
		}
	}
	return out
}
