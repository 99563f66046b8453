package dispatcher

import (
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/parser"
)

// Parameters of the scheduler.
const (
	// latencyWeight is the weight of a new sample in the moving averages of the latency.
	latencyWeight = 0.1
	// initialLatency is the mean latency of a pool before the first sample.
	initialLatency = 20 * time.Millisecond
	// releasedRetention is how long the ID of a released permit is kept, in case the request
	// for it arrives after the release.
	releasedRetention = 5 * time.Second
)

// PermitID identifies a permit by the incarnation of the entry that holds it and a number that
// this incarnation chose.
type PermitID struct {
	Holder string
	Number uint64
}

// SlotRequest is a request for one slot.
type SlotRequest struct {
	ID     PermitID
	Team   string
	Weight float64
	// MaxHold is how long the permit may be held.
	MaxHold time.Duration
	// Expires is the time from which a permit is of no use to the request.
	Expires  time.Duration
	Excluded []string
}

// Permit allows one request to run on one target until it expires.
type Permit struct {
	ID          PermitID
	Target      string
	Team        string
	Weight      float64
	Granted     time.Duration
	Expires     time.Duration
	chargedTime time.Duration
}

// Result describes how a request with a permit ended. The zero Result means that nothing was
// sent, or that the caller went away; it is no evidence about the target.
type Result struct {
	Latency time.Duration
	Failed  bool
	Leaving bool
}

// Health is the state of a target as reported by the target or the platform.
type Health struct {
	Leaving bool
	// Load is a fraction from 0 to 1.
	Load float64
	// ProbedAt is when the probe was sent.
	ProbedAt time.Duration
}

// SlotScheduler counts the slots in use on the targets of one pool and grants the free ones. It
// grants no permit on a target whose slots are all in use.
type SlotScheduler struct {
	assert      *asserter.Asserter
	targets     map[string]*target
	targetNames []string
	permits     map[PermitID]*Permit
	released    map[PermitID]bool
	// releaseOrder lists the released permits, oldest first.
	releaseOrder      []releasedPermit
	queue             queue
	meanLatency       time.Duration
	reservedPerTarget int
}

// releasedPermit is the ID of a permit and the time of its release.
type releasedPermit struct {
	id         PermitID
	releasedAt time.Duration
}

// NewSlotScheduler returns a SlotScheduler without targets.
func NewSlotScheduler(a *asserter.Asserter) *SlotScheduler {
	return &SlotScheduler{
		assert: a, targets: map[string]*target{}, permits: map[PermitID]*Permit{},
		released: map[PermitID]bool{}, meanLatency: initialLatency,
	}
}

// SetTargets replaces the targets. Permits on removed targets stay valid until they are
// released. Targets added to an existing pool begin with a slow start.
func (l *SlotScheduler) SetTargets(now time.Duration, list []*parser.Target) {
	next := map[string]*target{}
	l.targetNames = l.targetNames[:0]
	for _, p := range list {
		t := l.targets[p.Name]
		if t == nil {
			t = newTarget(now, len(l.targets) > 0)
		}
		t.slots = p.Slots
		next[p.Name] = t
		l.targetNames = append(l.targetNames, p.Name)
	}
	slices.Sort(l.targetNames)
	l.targets = next
	l.recountRunning()
}

// Reserve keeps n slots of each target free for permits that this scheduler can't know of.
func (l *SlotScheduler) Reserve(n int) {
	l.reservedPerTarget = n
}

// Restore adds a permit that an earlier dispatcher granted.
func (l *SlotScheduler) Restore(p Permit) {
	if l.released[p.ID] || l.permits[p.ID] != nil {
		return
	}
	l.permits[p.ID] = &p
	if t := l.targets[p.Target]; t != nil {
		t.running++
	}
}

// Enqueue adds a request. It returns false if the request was released already, if there are no
// slots, or if the request is expected to expire before it gets one.
func (l *SlotScheduler) Enqueue(now time.Duration, d SlotRequest) bool {
	if l.released[d.ID] {
		return false
	}
	slots := l.totalSlots()
	if slots == 0 || now+l.queue.expectedWait(d, l.meanLatency, slots) > d.Expires {
		return false
	}
	l.queue.push(d)
	return true
}

// Cancel removes a queued request.
func (l *SlotScheduler) Cancel(id PermitID) {
	l.queue.remove(id)
}

// Next grants a permit to the request whose turn it is. It returns nil if none is queued, or
// if no target has capacity for it.
func (l *SlotScheduler) Next(now time.Duration) *Permit {
	l.expirePermits(now)
	d, ok := l.queue.peek(now)
	if !ok {
		return nil
	}
	name := l.chooseTarget(now, d.Excluded)
	if name == "" {
		return nil
	}
	l.queue.pop(l.meanLatency)
	return l.grant(now, d, name)
}

// Release ends a permit and records its result. The ID is remembered, in case the request for
// the permit arrives after the release.
func (l *SlotScheduler) Release(now time.Duration, id PermitID, r Result) {
	l.recordRelease(now, id)
	l.queue.remove(id)
	p := l.permits[id]
	if p == nil {
		return
	}
	l.removePermit(p)
	l.queue.adjustCharge(p.Team, p.Weight, now-p.Granted-p.chargedTime)
	t := l.targets[p.Target]
	if t == nil {
		return
	}
	t.recordResult(now, r, l.mayEject(now))
	if !r.Failed && r.Latency > 0 {
		l.meanLatency += time.Duration(latencyWeight * float64(r.Latency-l.meanLatency))
	}
}

// SetHealth records the health of a target.
func (l *SlotScheduler) SetHealth(now time.Duration, name string, h Health) {
	t := l.targets[name]
	if t == nil {
		return
	}
	t.setLeaving(now, h.Leaving, h.ProbedAt)
	t.load = max(0, min(h.Load, 1))
}

// QueueLength returns the number of queued requests.
func (l *SlotScheduler) QueueLength() int {
	return l.queue.length
}

// FreeSlots returns the number of slots that can be granted now.
func (l *SlotScheduler) FreeSlots(now time.Duration) int {
	n := 0
	for _, t := range l.targets {
		n += max(0, t.concurrencyLimit(now)-l.reservedPerTarget-t.running)
	}
	return n
}

func (l *SlotScheduler) grant(now time.Duration, d SlotRequest, name string) *Permit {
	t := l.targets[name]
	p := &Permit{
		ID: d.ID, Target: name, Team: d.Team, Weight: d.Weight,
		Granted: now, Expires: now + d.MaxHold, chargedTime: l.meanLatency,
	}
	l.permits[d.ID] = p
	t.running++
	l.assert.That(t.running <= t.slots, "slotsKept", "target %s: %d of %d slots", name, t.running, t.slots)
	return p
}

// chooseTarget returns the target with a free slot that has the lowest score, or "".
func (l *SlotScheduler) chooseTarget(now time.Duration, excluded []string) string {
	best, bestScore := "", 0.0
	for _, n := range l.targetNames {
		t := l.targets[n]
		if t.running >= t.concurrencyLimit(now)-l.reservedPerTarget || slices.Contains(excluded, n) {
			continue
		}
		score := t.score(l.meanLatency)
		if best == "" || score < bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// mayEject reports whether at least half of the targets stay usable if one more is ejected.
func (l *SlotScheduler) mayEject(now time.Duration) bool {
	usable := 0
	for _, t := range l.targets {
		if !t.isEjected(now) && !t.leaving {
			usable++
		}
	}
	return (usable-1)*2 >= len(l.targets)
}

func (l *SlotScheduler) expirePermits(now time.Duration) {
	for _, p := range l.permits {
		if p.Expires <= now {
			l.removePermit(p)
			l.recordRelease(now, p.ID)
		}
	}
	for len(l.releaseOrder) > 0 && now-l.releaseOrder[0].releasedAt > releasedRetention {
		delete(l.released, l.releaseOrder[0].id)
		l.releaseOrder = l.releaseOrder[1:]
	}
}

func (l *SlotScheduler) recordRelease(now time.Duration, id PermitID) {
	if l.released[id] {
		return
	}
	l.released[id] = true
	l.releaseOrder = append(l.releaseOrder, releasedPermit{id, now})
}

func (l *SlotScheduler) removePermit(p *Permit) {
	delete(l.permits, p.ID)
	if t := l.targets[p.Target]; t != nil {
		t.running--
		l.assert.That(t.running >= 0, "slotsCounted", "target %s: %d running", p.Target, t.running)
	}
}

func (l *SlotScheduler) recountRunning() {
	for _, t := range l.targets {
		t.running = 0
	}
	for _, p := range l.permits {
		if t := l.targets[p.Target]; t != nil {
			t.running++
		}
	}
}

// totalSlots returns the slots of all targets that are not leaving.
func (l *SlotScheduler) totalSlots() int {
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n += t.slots
		}
	}
	return n
}
