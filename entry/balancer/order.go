package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of the order of the targets.
const (
	// minRegionWeight is the weight of a region that is to get no requests, such as other regions
	// while the home region suffices.
	minRegionWeight = 1e-6
	// maxCandidates is the number of targets in an object's order among which healthy ones are
	// sought.
	maxCandidates = 8
	// maxEjectedFraction is the fraction of a service's targets that may be ejected at the same time.
	maxEjectedFraction = 0.5
)

// candidate is a target that may serve a request.
type candidate struct {
	target *target
	// score determines the target's place in the object's order; the lowest is first.
	score float64
}

// firstCandidates returns the maxCandidates first candidates in an object's order. It doesn't sort
// the whole list, since a service may have hundreds of targets.
func firstCandidates(list []candidate) []candidate {
	out := make([]candidate, 0, maxCandidates+1)
	for _, c := range list {
		if len(out) == maxCandidates && c.score >= out[maxCandidates-1].score {
			continue
		}
		i := len(out)
		for i > 0 && out[i-1].score > c.score {
			i--
		}
		out = slices.Insert(out, i, c)
		out = out[:min(len(out), maxCandidates)]
	}
	return out
}

// candidates returns the targets that may serve a request now. Their scores order them for each
// object by weighted rendezvous hashing: all entries of a region agree on the order, and it
// changes little as targets come and go.
func (p *Picker) candidates(now time.Duration, v *receiver.View, d PickRequest) []candidate {
	s := p.services[d.Service]
	if s == nil {
		return nil
	}
	eligible := make([]*target, 0, len(s.list))
	for _, t := range s.list {
		if p.isEligible(v, d, t) && !t.isLeaving(now) {
			eligible = append(eligible, t)
		}
	}
	if len(eligible) == 0 {
		for _, t := range s.list {
			if p.isEligible(v, d, t) && t.isLastResort(now) {
				eligible = append(eligible, t)
			}
		}
	}
	eligible = limitNewSide(v, d.Service, eligible)
	w := p.regionWeights(eligible, v.RegionFractions[d.Service])
	out := make([]candidate, 0, len(eligible))
	ejected := 0
	for _, t := range eligible {
		switch {
		case slices.Contains(d.Excluded, t.listed.Name), t.isTurnedAway(now):
		case p.isSpared(now, v, d, t):
		case t.isEjected(now):
			ejected++
		default:
			out = append(out, candidate{t, w.rendezvousScore(d.Object, t.listed)})
		}
	}
	if len(out) == 0 {
		out = p.checkedCandidates(now, d, eligible, w)
	}
	if float64(ejected) <= maxEjectedFraction*float64(ejected+len(out)) {
		return out
	}
	for _, t := range eligible { // too many are ejected, so use them as well
		if t.isEjected(now) && !t.isTurnedAway(now) && !slices.Contains(d.Excluded, t.listed.Name) && !p.isSpared(now, v, d, t) {
			out = append(out, candidate{t, w.rendezvousScore(d.Object, t.listed)})
		}
	}
	return out
}

// checkedCandidates returns the targets that get no request only since another one asks them for their warm-up.
func (p *Picker) checkedCandidates(now time.Duration, d PickRequest, eligible []*target, w regionWeights) []candidate {
	var out []candidate
	for _, t := range eligible {
		c := *t.warmup
		c.checks = 0
		if t.warmup.checks > 0 && !c.isPaused(now) && !t.isCold(now) && !t.isEjected(now) && !t.isTurnedAway(now) && !slices.Contains(d.Excluded, t.listed.Name) {
			out = append(out, candidate{t, w.rendezvousScore(d.Object, t.listed)})
		}
	}
	return out
}

// isSpared reports whether a target gets no request now since it is cold, or may be.
func (p *Picker) isSpared(now time.Duration, v *receiver.View, d PickRequest, t *target) bool {
	if t.isCold(now) && d.ColdRate > 0 {
		return !p.warmsTarget(v, t.listed) || !t.hasColdToken(now, d.ColdRate)
	}
	return t.warmup.isPaused(now) && p.checkNeed(now, t, d) >= carrier.UnlessOpen
}

// limitNewSide keeps only some targets of the new side of a move while its share is small, so
// that these get the load of a complete move.
func limitNewSide(v *receiver.View, service string, eligible []*target) []*target {
	m, ok := v.MoveStates[service]
	if !ok || m.Done() {
		return eligible
	}
	var moved, others []*target
	for _, t := range eligible {
		if t.listed.Version == m.Move.To {
			moved = append(moved, t)
		} else {
			others = append(others, t)
		}
	}
	slices.SortFunc(moved, func(a, b *target) int {
		return cmp.Compare(hash(service, a.listed.Name), hash(service, b.listed.Name))
	})
	share := max(m.Record.GetShare(), m.Record.GetOnceShare())
	return append(others, moved[:int(math.Ceil(share*float64(len(moved))))]...)
}

// regionWeights holds the weight of one slot by region.
type regionWeights map[string]float64

// regionWeights distributes the objects of this entry's region over the regions, by the
// fractions that control sets or else by fairFractions.
func (p *Picker) regionWeights(eligible []*target, fractions map[string]float64) regionWeights {
	slots, total := map[string]float64{}, 0.0
	for _, t := range eligible {
		slots[t.listed.Region] += float64(t.listed.Slots)
		total += float64(t.listed.Slots)
	}
	if len(fractions) == 0 {
		fractions = p.fairFractions(slots, total)
	}
	out := regionWeights{}
	for region, n := range slots {
		out[region] = max(fractions[region], minRegionWeight) / n
	}
	return out
}

// fairFractions keeps requests in the home region up to the ratio of its slots to an equal share
// of all slots, and distributes the others over the other regions in proportion to their slots.
func (p *Picker) fairFractions(slots map[string]float64, total float64) map[string]float64 {
	home := slots[p.config.Region]
	homeFraction := min(1, home*float64(max(1, p.config.Regions))/max(1, total))
	out := map[string]float64{p.config.Region: homeFraction}
	for region, n := range slots {
		if region != p.config.Region {
			out[region] = (1 - homeFraction) * n / (total - home)
		}
	}
	return out
}

// rendezvousScore returns the score of a target for an object; the lowest is first in its order.
func (w regionWeights) rendezvousScore(object string, l *receiver.ListedTarget) float64 {
	u := (float64(hash(object, l.Name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / (w[l.Region] * float64(l.Slots))
}

// isEligible reports whether a target may serve a request, apart from ejection, cold start and whether
// it is leaving.
func (p *Picker) isEligible(v *receiver.View, d PickRequest, t *target) bool {
	l := t.listed
	switch {
	case v.Evacuated[l.AvailabilityZone], !d.Allows(l.Version):
		return false
	case len(d.Homes) > 0 && !slices.Contains(d.Homes, l.Region):
		return false
	}
	return true
}

// warmsTarget reports whether this entry is the one that sends requests to a cold target. There
// is one such entry, so that the target's rate limit holds over all entries.
func (p *Picker) warmsTarget(v *receiver.View, l *receiver.ListedTarget) bool {
	if !p.config.ControlReachable() {
		return false
	}
	best, weight, bestIsLocal := "", uint64(0), false
	for name, m := range v.Entries {
		if m.GetState() != wire.EntryState_ENTRY_STATE_LIVE {
			continue
		}
		w, n := hash(l.Name, name), m.GetRegion() == l.Region
		if best == "" || (n && !bestIsLocal) || (n == bestIsLocal && w > weight) {
			best, weight, bestIsLocal = name, w, n
		}
	}
	return best == p.config.Entry
}

func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)      // never fails
	_, _ = d.WriteString("\x00") // never fails
	_, _ = d.WriteString(b)      // never fails
	return d.Sum64()
}
