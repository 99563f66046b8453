// Package reserver bounds what a process holds for clients: the memory of what they send and have not taken yet
// (Reserver), and their connections (Seats). It decides who gets room and who loses its place; it needs no network.
package reserver

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

const (
	// SmallBytes is the size up to which a reservation may use the part of the budget that is kept for small ones.
	SmallBytes = 64 << 10
	// smallFraction is that part.
	smallFraction = 0.15
	// progressFraction is the fraction of a reservation that counts as progress once it is transferred, and
	// progressBytes is the least amount that does.
	progressFraction = 1.0 / 64
	progressBytes    = 1 << 10
	// stallTime is how long a transfer may be without progress before it can lose its place.
	stallTime = 500 * time.Millisecond
	// collectBytes is how much of large reservations is given back until the garbage is collected, which would
	// otherwise take as much memory as what is in use.
	collectBytes = 16 << 20
	// logInterval is the least time between two log lines about refusals.
	logInterval = time.Second
)

// Config configures a Reserver.
type Config struct {
	// Bytes is the budget: the sum of all reservations.
	Bytes  int
	Clock  timekeeper.Clock
	Logger logger.Logger
	// Collect frees garbage; nil does nothing.
	Collect func()
	// Scope counts refusals and lost places; nil counts nothing.
	Scope tally.Scope
}

// Reserver is a budget of bytes. It is safe for concurrent use.
type Reserver struct {
	config  Config
	mutex   sync.Mutex
	parts   [partCount]part
	places  map[*Place]struct{}
	refused int
	evicted int
	lastLog time.Duration
	// released is the size of the large reservations that were given back since the garbage was collected.
	released      int
	collecting    bool
	refusals      tally.Counter
	evictions     tally.Counter
	reservedBytes tally.Gauge
}

// part is one part of a budget, with the sum of its reservations.
type part struct {
	bytes, reserved int
}

// Parts of a budget. Small reservations use the large part if there is no room in the small one.
const (
	smallPart = iota
	largePart
	partCount
)

// NewReserver returns a Reserver without reservations.
func NewReserver(c Config) *Reserver {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	r := &Reserver{
		config: c, places: map[*Place]struct{}{}, lastLog: -logInterval,
		refusals: c.Scope.Counter("reservationsRefused"), evictions: c.Scope.Counter("reservationsEvicted"), reservedBytes: c.Scope.Gauge("reservedBytes"),
	}
	r.parts[smallPart].bytes = int(smallFraction * float64(c.Bytes))
	r.parts[largePart].bytes = c.Bytes - r.parts[smallPart].bytes
	return r
}

// Open returns a place without a reservation. lose is called if the place is lost to another one while it is in
// transfer; it must not block, and the holder then closes the place. A nil Reserver returns a nil Place, which has
// room for everything.
func (r *Reserver) Open(lose func()) *Place {
	if r == nil {
		return nil
	}
	return &Place{reserver: r, lose: lose}
}

// MaxBytes returns the size of the largest reservation that there can be room for.
func (r *Reserver) MaxBytes() int {
	return r.parts[largePart].bytes
}

// Place is the reservation of one holder, such as a request with its body and its response.
type Place struct {
	reserver *Reserver
	lose     func()
	bytes    int
	part     int
	// inTransfer means that the holder waits for its client, which may make it lose its place.
	inTransfer bool
	// lost means that the place was lost.
	lost bool
	// progressed is when the last part of progressFraction was transferred, and transferred the bytes since then.
	progressed  time.Duration
	transferred int
}

// Reserve changes the reservation to a number of bytes and reports whether there is room for them; if not, the
// reservation stays as it was. Other places in transfer that are without progress lose theirs if that makes room.
func (p *Place) Reserve(bytes int) bool {
	if p == nil {
		return true
	}
	r := p.reserver
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.lost {
		return false
	}
	if !r.reserve(p, bytes) {
		r.refused++
		r.refusals.Inc(1)
		r.log(logger.MemoryRefused)
		return false
	}
	return true
}

// reserve is Reserve with the lock held.
func (r *Reserver) reserve(p *Place, bytes int) bool {
	for {
		for _, part := range candidateParts(bytes) {
			if r.fits(p, part, bytes) {
				r.set(p, part, bytes)
				return true
			}
		}
		if bytes > r.parts[largePart].bytes || !r.evictFor(p, bytes) {
			return false
		}
	}
}

func candidateParts(bytes int) []int {
	if bytes <= SmallBytes {
		return []int{smallPart, largePart}
	}
	return []int{largePart}
}

// fits reports whether a part has room for a place's new reservation.
func (r *Reserver) fits(p *Place, part, bytes int) bool {
	own := 0
	if p.part == part {
		own = p.bytes
	}
	return r.parts[part].reserved-own+bytes <= r.parts[part].bytes
}

func (r *Reserver) set(p *Place, part, bytes int) {
	r.parts[p.part].reserved -= p.bytes
	r.parts[part].reserved += bytes
	p.part, p.bytes = part, bytes
	r.reservedBytes.Update(float64(r.parts[smallPart].reserved + r.parts[largePart].reserved))
	if bytes == 0 {
		delete(r.places, p)
		return
	}
	r.places[p] = struct{}{}
}

// evictFor takes the place of the holder that has been without progress for longest, in a part that the asking
// place may use. It returns false if none has been so for stallTime.
func (r *Reserver) evictFor(asking *Place, bytes int) bool {
	now, parts := r.config.Clock.Now(), candidateParts(bytes)
	var victim *Place
	for p := range r.places {
		usable := p.part == parts[0] || p.part == parts[len(parts)-1]
		if p != asking && usable && p.inTransfer && now-p.progressed >= stallTime && (victim == nil || p.progressed < victim.progressed) {
			victim = p
		}
	}
	if victim == nil {
		return false
	}
	r.release(victim)
	victim.lost = true
	r.evicted++
	r.evictions.Inc(1)
	r.log(logger.MemoryEvicted)
	if victim.lose != nil {
		victim.lose()
	}
	return true
}

// Begin marks the place as in transfer: its holder waits for its client to send or to take bytes.
func (p *Place) Begin() {
	if p == nil {
		return
	}
	p.reserver.mutex.Lock()
	defer p.reserver.mutex.Unlock()
	p.inTransfer, p.progressed, p.transferred = true, p.reserver.config.Clock.Now(), 0
}

// Advance counts transferred bytes as progress. It reports whether the place was not lost.
func (p *Place) Advance(bytes int) bool {
	if p == nil {
		return true
	}
	p.reserver.mutex.Lock()
	defer p.reserver.mutex.Unlock()
	p.transferred += bytes
	if p.transferred >= max(progressBytes, int(progressFraction*float64(p.bytes))) {
		p.progressed, p.transferred = p.reserver.config.Clock.Now(), 0
	}
	return !p.lost
}

// End marks the place as no longer in transfer and reports whether it was not lost.
func (p *Place) End() bool {
	if p == nil {
		return true
	}
	p.reserver.mutex.Lock()
	defer p.reserver.mutex.Unlock()
	p.inTransfer = false
	return !p.lost
}

// Close gives the reservation back.
func (p *Place) Close() {
	if p == nil {
		return
	}
	p.reserver.mutex.Lock()
	defer p.reserver.mutex.Unlock()
	p.inTransfer = false
	p.reserver.release(p)
}

// release gives a reservation back and starts a collection of garbage if much was given back.
func (r *Reserver) release(p *Place) {
	if p.bytes > SmallBytes {
		r.released += p.bytes
	}
	r.set(p, p.part, 0)
	if r.released >= collectBytes && !r.collecting && r.config.Collect != nil {
		r.released, r.collecting = 0, true
		go r.run()
	}
}

// run collects garbage once.
func (r *Reserver) run() {
	r.config.Collect()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.collecting = false
}

// log writes at most one line in each logInterval.
func (r *Reserver) log(e logger.Event) {
	if now := r.config.Clock.Now(); now-r.lastLog >= logInterval {
		r.lastLog = now
		r.config.Logger.Log(e, logger.F("refused", r.refused), logger.F("evicted", r.evicted),
			logger.F("reserved", r.parts[smallPart].reserved+r.parts[largePart].reserved), logger.F("budget", r.config.Bytes))
	}
}

// State is the state of a budget, for dumps.
type State struct {
	BudgetBytes   int
	ReservedBytes int
	// SmallBudgetBytes and SmallReservedBytes are the part for small reservations.
	SmallBudgetBytes   int
	SmallReservedBytes int
	Places             int
	Refused            int
	Evicted            int
}

// Dump returns the State.
func (r *Reserver) Dump() any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return State{
		BudgetBytes: r.config.Bytes, ReservedBytes: r.parts[smallPart].reserved + r.parts[largePart].reserved,
		SmallBudgetBytes: r.parts[smallPart].bytes, SmallReservedBytes: r.parts[smallPart].reserved,
		Places: len(r.places), Refused: r.refused, Evicted: r.evicted,
	}
}
