package reserver

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// SeatsConfig configures Seats.
type SeatsConfig struct {
	// Connections is the number of connections of clients that may be open at once, and Total that of theirs and of
	// those to targets.
	Connections, Total int
	Clock              timekeeper.Clock
	Logger             logger.Logger
	// Scope counts connections that are closed for others; nil counts nothing.
	Scope tally.Scope
}

// Seats bounds the connections of clients over all listeners of a process. It is safe for concurrent use.
type Seats struct {
	config  SeatsConfig
	mutex   sync.Mutex
	seats   map[*Seat]struct{}
	targets int
	closed  int
	lastLog time.Duration
	closes  tally.Counter
}

// NewSeats returns Seats that are all free.
func NewSeats(c SeatsConfig) *Seats {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return &Seats{config: c, seats: map[*Seat]struct{}{}, lastLog: -logInterval, closes: c.Scope.Counter("connectionsClosedForOthers")}
}

// Seat is the seat of one connection.
type Seat struct {
	seats *Seats
	lose  func()
	// running is the number of requests that the connection waits for; their bodies have arrived.
	running int
	// answered means that a request of the connection was answered.
	answered bool
	// since is when the connection was opened, or when its last request was answered.
	since time.Duration
}

// Take returns a seat for a new connection, or nil if there is none. If all are taken, the connection without a
// running request that has been so for longest loses its seat; those that never had an answer come first. lose is
// then called, which must not block. Nil Seats are without bound.
func (s *Seats) Take(lose func()) (*Seat, bool) {
	if s == nil {
		return nil, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if (len(s.seats) >= s.config.Connections || len(s.seats)+s.targets >= s.config.Total) && !s.evict() {
		s.record()
		return nil, false
	}
	n := &Seat{seats: s, lose: lose, since: s.config.Clock.Now()}
	s.seats[n] = struct{}{}
	return n, true
}

// AddTarget counts a connection to a target, for which a connection of a client may lose its seat.
func (s *Seats) AddTarget() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets++
	if len(s.seats)+s.targets > s.config.Total {
		s.evict()
	}
}

// RemoveTarget counts the end of a connection to a target.
func (s *Seats) RemoveTarget() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.targets--
}

// evict takes the seat of a connection without a running request; false means that there is none.
func (s *Seats) evict() bool {
	var victim *Seat
	for n := range s.seats {
		if n.running == 0 && (victim == nil || n.isBefore(victim)) {
			victim = n
		}
	}
	if victim == nil {
		return false
	}
	delete(s.seats, victim)
	s.record()
	victim.lose()
	return true
}

// isBefore reports whether a seat is lost before another one.
func (n *Seat) isBefore(m *Seat) bool {
	if n.answered != m.answered {
		return !n.answered
	}
	return n.since < m.since
}

// record counts a closed connection and writes at most one line in each logInterval.
func (s *Seats) record() {
	s.closed++
	s.closes.Inc(1)
	if now := s.config.Clock.Now(); now-s.lastLog >= logInterval {
		s.lastLog = now
		s.config.Logger.Log(logger.ConnectionsFull, logger.F("closed", s.closed), logger.F("limit", s.config.Connections))
	}
}

// Begin counts a request that has arrived with its body.
func (n *Seat) Begin() {
	if n == nil {
		return
	}
	n.seats.mutex.Lock()
	defer n.seats.mutex.Unlock()
	n.running++
}

// End counts the end of a request that Begin counted.
func (n *Seat) End() {
	if n == nil {
		return
	}
	n.seats.mutex.Lock()
	defer n.seats.mutex.Unlock()
	n.running--
	n.answered, n.since = true, n.seats.config.Clock.Now()
}

// Leave frees the seat.
func (n *Seat) Leave() {
	if n == nil {
		return
	}
	n.seats.mutex.Lock()
	defer n.seats.mutex.Unlock()
	delete(n.seats.seats, n)
}

// SeatsState is the state of Seats, for dumps.
type SeatsState struct {
	Limit, Taken, Closed int
	// TotalLimit bounds the connections of clients and those to targets, Targets.
	TotalLimit, Targets int
}

// Dump returns the SeatsState.
func (s *Seats) Dump() any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return SeatsState{Limit: s.config.Connections, Taken: len(s.seats), Closed: s.closed, TotalLimit: s.config.Total, Targets: s.targets}
}
