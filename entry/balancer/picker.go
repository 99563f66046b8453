package balancer

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of the choice.
const (
	// firstWarm, secondWarm and otherWarm are the chances that an object is warm on the
	// first, second and any further target of its order, where nothing is known.
	firstWarm  = 0.9
	secondWarm = 0.3
	otherWarm  = 0.05
	// knownWarm is the chance on a target that answered for the object lately.
	knownWarm = 0.95
	// zonePenalty and regionPenalty are what a way to another zone or region costs beyond
	// its time, since bytes on it are dear and others need its targets.
	zonePenalty   = 5 * time.Millisecond
	regionPenalty = 30 * time.Millisecond
	// awayWeight is the weight of targets in other regions where those at home suffice.
	awayWeight = 1e-6
	// unknownTrip is assumed for a trip to another region before one was measured.
	unknownTrip = 60 * time.Millisecond
	tripWeight  = 0.2
	// coldSlowdown is how much longer a target takes while it is cold.
	coldSlowdown = 2
	// spread is the number of sound targets in an object's order that may serve it. More
	// would push the objects out that targets keep warm, and then nothing is warm anywhere.
	spread = 2
	// depth is the number of targets in an object's order that are looked at for sound ones.
	depth = 8
	// slowPace is the slowness from which a target does not count as sound.
	slowPace = 2.5
	// ejectedPart is the part of a service's targets that may be ejected at once.
	ejectedPart = 0.5
)

// PickerConfig sets up a Picker.
type PickerConfig struct {
	Clock timekeeper.Clock
	// Entry, Zone and Region tell which entry this is and where.
	Entry  string
	Zone   string
	Region string
	// Regions is the number of regions of the deployment.
	Regions int
	// Reachable tells whether control answered lately; without it no cold target is used.
	Reachable func() bool
}

// Picker chooses targets by what they are expected to take: the wait for a slot, the work,
// which is short for objects that the target handled lately, and the way. It needs no
// network. It is safe for concurrent use.
type Picker struct {
	config   PickerConfig
	mutex    sync.Mutex
	view     *receiver.View
	services map[string]*service
	trips    map[string]time.Duration
	works    map[string]*work
}

// service holds the targets of a service by their ids.
type service struct {
	targets map[string]*target
	list    []*target
}

// Demand is a request that needs a target.
type Demand struct {
	Service string
	// Work names the kind of work: requests of one name take alike.
	Work string
	// Object is what the request is about; empty for none.
	Object string
	// Allows tells whether a version may serve.
	Allows func(version string) bool
	// Homes are the only regions that may serve; empty means all.
	Homes []string
	// Aim is the time within which an answer is worth most; 0 if none is stated.
	Aim time.Duration
	// Patience is the longest time in a target's queue.
	Patience time.Duration
	// Left is the time that is left for the request.
	Left time.Duration
	// Excluded are targets that were tried already.
	Excluded []string
	ColdRate float64
}

// Pick is a chosen target.
type Pick struct {
	Target *receiver.Listed
	// Cost is the time that the answer is expected to take.
	Cost time.Duration
	// Warm tells that the object is expected to be warm there.
	Warm bool
	// Load is the target's load and Wait the expected time in its queue at the choice.
	Load float64
	Wait time.Duration
	// Rank is the target's place in the object's order.
	Rank  int
	state *target
	base  time.Duration
}

// NewPicker returns a Picker that knows no target.
func NewPicker(c PickerConfig) *Picker {
	return &Picker{config: c, services: map[string]*service{}, trips: map[string]time.Duration{}, works: map[string]*work{}}
}

// Pick chooses a target and counts the request on it, until Done. It returns nil if there
// is none that would answer in time; busy is then how long the best that there is needs to
// have room, or 0 if there is none at all.
func (p *Picker) Pick(v *receiver.View, d Demand) (pick *Pick, busy time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.use(v)
	now := p.config.Clock.Now()
	best := p.best(now, v, d)
	switch {
	case best == nil:
		return nil, 0
	case best.Cost > d.Left:
		return nil, max(best.Wait, best.Cost-d.Left)
	case best.Wait > d.Patience:
		return nil, best.Wait
	}
	if best.state.isCold(now) {
		best.state.coldTokens--
	}
	best.state.running++
	best.state.tried = true
	if best.state.ejectedUntil > 0 {
		best.state.probing = true
	}
	return best, 0
}

// Expect returns the time that a demand's work takes where its object is warm.
func (p *Picker) Expect(d Demand) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.work(d).expect(true)
}

// Normal returns the time that an answer would have taken on a warm target for a warm
// object, so that versions can be compared although one of them has just been started.
func (p *Picker) Normal(k *Pick, d Demand, took time.Duration) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	took = max(0, took-p.trip(k.Target))
	if !k.Warm {
		w := p.work(d)
		took = time.Duration(float64(took) * float64(w.warm) / float64(w.cold))
	}
	if k.state.isCold(p.config.Clock.Now()) {
		took /= coldSlowdown
	}
	return took
}

// Change is what a result changed about a target.
type Change int

// Changes of a target.
const (
	NoChange Change = iota
	Ejected
	Readmitted
)

// Done takes in what came of a picked request.
func (p *Picker) Done(k *Pick, d Demand, s *forwarder.Sending, dialed time.Duration) Change {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, t := p.config.Clock.Now(), k.state
	t.running--
	t.probing = false
	t.learnLoad(now, s.Load)
	if dialed > 0 {
		p.learnTrip(t.listed.Region, dialed)
	}
	if s.Result.Leaving {
		t.leavingUntil = now + leavingSpan
	}
	switch {
	case s.Misdirected:
		t.gone = true
	case s.Result.Failed:
		if t.fail(now, s.Unreachable) {
			return Ejected
		}
	case s.Result.Latency > 0:
		if p.learnAnswer(now, k, d, s.Result.Latency) {
			return Readmitted
		}
	}
	return NoChange
}

func (p *Picker) learnTrip(region string, d time.Duration) {
	old, ok := p.trips[region]
	if !ok {
		old = d
	}
	p.trips[region] = old + time.Duration(tripWeight*float64(d-old))
}

func (p *Picker) learnAnswer(now time.Duration, k *Pick, d Demand, took time.Duration) (readmitted bool) {
	t, w := k.state, p.work(d)
	work := max(took-p.trip(t.listed)-k.Wait, took/4)
	readmitted = t.succeed(now, w.compare(work, k.Warm))
	if t.pace(now) < slowPace {
		w.learn(work)
	}
	if d.Object != "" {
		t.remember(now, d.Object)
	}
	return readmitted
}

func (p *Picker) work(d Demand) *work {
	w := p.works[d.Work]
	if w == nil {
		w = newWork(d.Aim)
		p.works[d.Work] = w
	}
	return w
}

// use takes a view's targets over; what is known of them stays.
func (p *Picker) use(v *receiver.View) {
	if p.view == v || (p.view != nil && sameLists(p.view.Listed, v.Listed)) {
		p.view = v
		return
	}
	p.view = v
	for name, list := range v.Listed {
		s := p.services[name]
		if s == nil {
			s = &service{targets: map[string]*target{}}
			p.services[name] = s
		}
		s.use(list)
	}
	for name, s := range p.services {
		if len(v.Listed[name]) == 0 {
			s.use(nil)
		}
	}
}

func sameLists(a, b map[string][]*receiver.Listed) bool {
	if len(a) != len(b) {
		return false
	}
	for n, list := range a {
		if len(list) != len(b[n]) || !slices.Equal(list, b[n]) {
			return false
		}
	}
	return true
}

func (s *service) use(list []*receiver.Listed) {
	next := make(map[string]*target, len(list))
	s.list = s.list[:0:0]
	for _, l := range list {
		t := s.targets[l.Name]
		if t == nil || t.listed.Address != l.Address {
			t = newTarget(l)
		}
		t.listed = l
		next[l.Name] = t
		s.list = append(s.list, t)
	}
	s.targets = next
}

// candidate is a target that may serve a demand.
type candidate struct {
	target *target
	// place is smaller the earlier the target comes in the object's order.
	place float64
}

// best returns the target with the least cost.
func (p *Picker) best(now time.Duration, v *receiver.View, d Demand) *Pick {
	list := earliest(p.candidates(now, v, d))
	var best *Pick
	sound := 0
	for i, c := range list {
		if sound == spread {
			break
		}
		if c.target.pace(now) < slowPace {
			sound++
		}
		k := p.price(now, c.target, i, d)
		if i == 0 && !c.target.tried {
			return k // a target that joined gets its first request
		}
		if best == nil || k.Cost < best.Cost {
			best = k
		}
	}
	return best
}

// earliest returns the first candidates of an object's order. A service may have hundreds,
// and few are ever looked at.
func earliest(list []candidate) []candidate {
	out := make([]candidate, 0, depth+1)
	for _, c := range list {
		if len(out) == depth && c.place >= out[depth-1].place {
			continue
		}
		i := len(out)
		for i > 0 && out[i-1].place > c.place {
			i--
		}
		out = slices.Insert(out, i, c)
		out = out[:min(len(out), depth)]
	}
	return out
}

// candidates returns the targets that may serve a demand now. Each object has an order of
// them that all entries of a region agree on and that changes little as targets come and go
// (weighted rendezvous hashing).
func (p *Picker) candidates(now time.Duration, v *receiver.View, d Demand) []candidate {
	s := p.services[d.Service]
	if s == nil {
		return nil
	}
	standing := make([]*target, 0, len(s.list))
	for _, t := range s.list {
		if p.stands(now, v, d, t) {
			standing = append(standing, t)
		}
	}
	standing = narrow(v, d.Service, standing)
	w := p.weights(standing, v.Parts[d.Service])
	out := make([]candidate, 0, len(standing))
	ejected := 0
	for _, t := range standing {
		switch {
		case slices.Contains(d.Excluded, t.listed.Name):
		case t.isCold(now) && d.ColdRate > 0 && !(p.warms(v, t.listed) && t.hasCold(now, d.ColdRate)):
		case t.isEjected(now):
			ejected++
		default:
			out = append(out, candidate{t, w.place(d.Object, t.listed)})
		}
	}
	if float64(ejected) <= ejectedPart*float64(ejected+len(out)) {
		return out
	}
	for _, t := range standing { // too many to do without
		if t.isEjected(now) && !slices.Contains(d.Excluded, t.listed.Name) {
			out = append(out, candidate{t, w.place(d.Object, t.listed)})
		}
	}
	return out
}

// narrow keeps few targets of the new side of a move whose share is small, so that these
// see the load of a whole move.
func narrow(v *receiver.View, service string, standing []*target) []*target {
	m, ok := v.Shifts[service]
	if !ok || m.Done() {
		return standing
	}
	var moved, others []*target
	for _, t := range standing {
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

// weights are the weights of one slot by region.
type weights map[string]float64

// weights shares the objects of this entry's region out over the regions: by the parts that
// control gives, or so that the region keeps its fair part of all slots at home.
func (p *Picker) weights(standing []*target, parts map[string]float64) weights {
	slots, total := map[string]float64{}, 0.0
	for _, t := range standing {
		slots[t.listed.Region] += float64(t.listed.Slots)
		total += float64(t.listed.Slots)
	}
	if len(parts) == 0 {
		parts = p.fairParts(slots, total)
	}
	out := weights{}
	for region, n := range slots {
		out[region] = max(parts[region], awayWeight) / n
	}
	return out
}

// fairParts keeps a region's requests at home as far as its slots are its part of all.
func (p *Picker) fairParts(slots map[string]float64, total float64) map[string]float64 {
	home := slots[p.config.Region]
	stay := min(1, home*float64(max(1, p.config.Regions))/max(1, total))
	out := map[string]float64{p.config.Region: stay}
	for region, n := range slots {
		if region != p.config.Region {
			out[region] = (1 - stay) * n / (total - home)
		}
	}
	return out
}

// place returns the place of a target in an object's order; smaller comes first.
func (w weights) place(object string, l *receiver.Listed) float64 {
	u := (float64(hash(object, l.Name)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / (w[l.Region] * float64(l.Slots))
}

// stands tells whether a target takes work at all.
func (p *Picker) stands(now time.Duration, v *receiver.View, d Demand, t *target) bool {
	l := t.listed
	switch {
	case t.isLeaving(now), v.Evacuated[l.AvailabilityZone], !d.Allows(l.Version):
		return false
	case len(d.Homes) > 0 && !slices.Contains(d.Homes, l.Region):
		return false
	}
	return true
}

// warms tells whether this entry is the one that sends to a cold target, so that its rate
// holds over all entries.
func (p *Picker) warms(v *receiver.View, l *receiver.Listed) bool {
	if !p.config.Reachable() {
		return false
	}
	best, weight, near := "", uint64(0), false
	for name, m := range v.Entries {
		if m.GetState() != wire.EntryState_ENTRY_STATE_LIVE {
			continue
		}
		w, n := hash(l.Name, name), m.GetRegion() == l.Region
		if best == "" || (n && !near) || (n == near && w > weight) {
			best, weight, near = name, w, n
		}
	}
	return best == p.config.Entry
}

// price returns what a candidate is expected to take.
func (p *Picker) price(now time.Duration, t *target, rank int, d Demand) *Pick {
	w := p.work(d)
	chance := warmChance(rank)
	warm := t.isWarm(now, d.Object)
	if warm {
		chance = knownWarm
	}
	work := chance*float64(w.expect(true)) + (1-chance)*float64(w.expect(false))
	if t.isCold(now) {
		work *= coldSlowdown
	}
	work *= t.pace(now)
	k := &Pick{Target: t.listed, Warm: warm, Load: t.load(now), Rank: rank, state: t, base: time.Duration(work)}
	slots := max(1, t.listed.Slots)
	if queue := k.Load + 1 - float64(slots); queue > 0 {
		k.Wait = time.Duration(queue / float64(slots) * float64(w.mean) * t.pace(now))
	}
	k.Cost = k.Wait + k.base + p.trip(t.listed)
	switch {
	case t.listed.Region != p.config.Region:
		k.Cost += regionPenalty
	case t.listed.AvailabilityZone != p.config.Zone:
		k.Cost += zonePenalty
	}
	return k
}

func warmChance(rank int) float64 {
	switch rank {
	case 0:
		return firstWarm
	case 1:
		return secondWarm
	}
	return otherWarm
}

func (p *Picker) trip(l *receiver.Listed) time.Duration {
	if d, ok := p.trips[l.Region]; ok {
		return d
	}
	if l.Region == p.config.Region {
		return 0
	}
	return unknownTrip
}

func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)      // never fails
	_, _ = d.WriteString("\x00") // never fails
	_, _ = d.WriteString(b)      // never fails
	return d.Sum64()
}

// TargetDump describes a target as this entry sees it.
type TargetDump struct {
	Name     string
	Region   string
	Load     float64
	Failures float64
	Pace     float64
	Ejected  bool
	Leaving  bool
	Cold     bool
	Objects  int
}

// Dump describes the targets by service.
func (p *Picker) Dump() any {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now, out := p.config.Clock.Now(), map[string][]TargetDump{}
	for name, s := range p.services {
		for _, t := range s.list {
			out[name] = append(out[name], TargetDump{
				Name: t.listed.Name, Region: t.listed.Region, Load: t.load(now), Failures: t.failures, Pace: t.pace(now),
				Ejected: t.isEjected(now), Leaving: t.isLeaving(now), Cold: t.isCold(now), Objects: len(t.objects),
			})
		}
	}
	return out
}
