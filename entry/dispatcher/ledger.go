package dispatcher

import (
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/parser"
)

// Parameters of the ledger.
const (
	// latencyWeight is the part of a new latency in the average.
	latencyWeight = 0.1
	// startLatency is assumed before anything was measured.
	startLatency = 20 * time.Millisecond
	// releasedMemory is how long a released permit is remembered, for crossed messages.
	releasedMemory = 5 * time.Second
)

// PermitID names a permit: the run of an entry that holds it, and a number of its own.
type PermitID struct {
	Holder string
	Number uint64
}

// Demand is a request for one slot.
type Demand struct {
	ID     PermitID
	Team   string
	Weight float64
	// Run is how long the permit may be held.
	Run time.Duration
	// Until is when the demand is pointless.
	Until    time.Duration
	Excluded []string
}

// Permit allows one request to run on one target.
type Permit struct {
	ID      PermitID
	Target  string
	Team    string
	Weight  float64
	Granted time.Duration
	Expires time.Duration
	cost    time.Duration
}

// Result tells how a permitted request went. The zero Result means that nothing was sent, or
// that the caller went away; it says nothing of the target.
type Result struct {
	Latency time.Duration
	Failed  bool
	Leaving bool
}

// Health is what a target, or the platform, says of it.
type Health struct {
	Leaving bool
	// Load is from 0 to 1.
	Load float64
	// Asked is when the question was sent.
	Asked time.Duration
}

// Ledger counts the slots in use of the targets of one pool and decides who gets the
// next. No target ever has more permits than slots.
type Ledger struct {
	assert   *asserter.Asserter
	targets  map[string]*target
	order    []string
	permits  map[PermitID]*Permit
	released map[PermitID]bool
	// forgetting lists the released permits in the order of their release.
	forgetting []releasedPermit
	queue      queue
	latency    time.Duration
	reserved   int
}

// releasedPermit is a permit that ended at a moment.
type releasedPermit struct {
	id PermitID
	at time.Duration
}

// NewLedger returns a Ledger without targets.
func NewLedger(a *asserter.Asserter) *Ledger {
	return &Ledger{
		assert: a, targets: map[string]*target{}, permits: map[PermitID]*Permit{},
		released: map[PermitID]bool{}, latency: startLatency,
	}
}

// SetTargets replaces the targets. Permits of targets that went stay until released.
func (l *Ledger) SetTargets(now time.Duration, list []*parser.Target) {
	next := map[string]*target{}
	l.order = l.order[:0]
	for _, p := range list {
		t := l.targets[p.Name]
		if t == nil {
			t = newTarget(now, len(l.targets) > 0)
		}
		t.slots = p.Slots
		next[p.Name] = t
		l.order = append(l.order, p.Name)
	}
	slices.Sort(l.order)
	l.targets = next
	l.recount()
}

// Reserve keeps n slots of each target free for permits that this ledger can't know of.
func (l *Ledger) Reserve(n int) {
	l.reserved = n
}

// Hold enters a permit that an earlier ledger granted.
func (l *Ledger) Hold(p Permit) {
	if l.released[p.ID] || l.permits[p.ID] != nil {
		return
	}
	l.permits[p.ID] = &p
	if t := l.targets[p.Target]; t != nil {
		t.running++
	}
}

// Enqueue adds a demand, unless it can't be met before it is pointless.
func (l *Ledger) Enqueue(now time.Duration, d Demand) bool {
	if l.released[d.ID] {
		return false
	}
	slots := l.slots()
	if slots == 0 || now+l.queue.wait(d, l.latency, slots) > d.Until {
		return false
	}
	l.queue.push(d)
	return true
}

// Cancel drops a demand that waits.
func (l *Ledger) Cancel(id PermitID) {
	l.queue.drop(id)
}

// Next grants a permit to the demand whose turn it is, or returns nil.
func (l *Ledger) Next(now time.Duration) *Permit {
	l.expire(now)
	d, ok := l.queue.peek(now)
	if !ok {
		return nil
	}
	name := l.choose(now, d.Excluded)
	if name == "" {
		return nil
	}
	l.queue.pop(l.latency)
	return l.grant(now, d, name)
}

// Release ends a permit and learns from its result. An unknown permit is remembered, in
// case the demand for it arrives later.
func (l *Ledger) Release(now time.Duration, id PermitID, r Result) {
	l.remember(now, id)
	l.queue.drop(id)
	p := l.permits[id]
	if p == nil {
		return
	}
	l.drop(p)
	l.queue.settle(p.Team, p.Weight, now-p.Granted-p.cost)
	t := l.targets[p.Target]
	if t == nil {
		return
	}
	t.learn(now, r, l.mayEject(now))
	if !r.Failed && r.Latency > 0 {
		l.latency += time.Duration(latencyWeight * float64(r.Latency-l.latency))
	}
}

// SetHealth takes in what a target says of itself.
func (l *Ledger) SetHealth(now time.Duration, name string, h Health) {
	t := l.targets[name]
	if t == nil {
		return
	}
	t.setLeaving(now, h.Leaving, h.Asked)
	t.load = max(0, min(h.Load, 1))
}

// Waiting returns the number of demands that wait.
func (l *Ledger) Waiting() int {
	return l.queue.length
}

// Room returns the number of free slots that new work may use.
func (l *Ledger) Room(now time.Duration) int {
	n := 0
	for _, t := range l.targets {
		n += max(0, t.allowed(now)-l.reserved-t.running)
	}
	return n
}

func (l *Ledger) grant(now time.Duration, d Demand, name string) *Permit {
	t := l.targets[name]
	p := &Permit{
		ID: d.ID, Target: name, Team: d.Team, Weight: d.Weight,
		Granted: now, Expires: now + d.Run, cost: l.latency,
	}
	l.permits[d.ID] = p
	t.running++
	l.assert.That(t.running <= t.slots, "slotsKept", "target %s: %d of %d slots", name, t.running, t.slots)
	return p
}

// choose returns the target with room that is expected to answer first, or "".
func (l *Ledger) choose(now time.Duration, excluded []string) string {
	best, bestScore := "", 0.0
	for _, n := range l.order {
		t := l.targets[n]
		if t.running >= t.allowed(now)-l.reserved || slices.Contains(excluded, n) {
			continue
		}
		score := t.score(l.latency)
		if best == "" || score < bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// mayEject tells whether enough targets would be left without one more.
func (l *Ledger) mayEject(now time.Duration) bool {
	usable := 0
	for _, t := range l.targets {
		if !t.ejected(now) && !t.leaving {
			usable++
		}
	}
	return (usable-1)*2 >= len(l.targets)
}

func (l *Ledger) expire(now time.Duration) {
	for _, p := range l.permits {
		if p.Expires <= now {
			l.drop(p)
			l.remember(now, p.ID)
		}
	}
	for len(l.forgetting) > 0 && now-l.forgetting[0].at > releasedMemory {
		delete(l.released, l.forgetting[0].id)
		l.forgetting = l.forgetting[1:]
	}
}

func (l *Ledger) remember(now time.Duration, id PermitID) {
	if l.released[id] {
		return
	}
	l.released[id] = true
	l.forgetting = append(l.forgetting, releasedPermit{id, now})
}

func (l *Ledger) drop(p *Permit) {
	delete(l.permits, p.ID)
	if t := l.targets[p.Target]; t != nil {
		t.running--
		l.assert.That(t.running >= 0, "slotsCounted", "target %s: %d running", p.Target, t.running)
	}
}

func (l *Ledger) recount() {
	for _, t := range l.targets {
		t.running = 0
	}
	for _, p := range l.permits {
		if t := l.targets[p.Target]; t != nil {
			t.running++
		}
	}
}

func (l *Ledger) slots() int {
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n += t.slots
		}
	}
	return n
}
