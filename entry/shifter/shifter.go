// Package shifter decides for each request which side of a move it takes, within the move's share.
// It also stops sending requests to a new side that fails, without waiting for control to take the
// move back.
package shifter

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/assessor"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of the guard.
const (
	// guardInterval is the time between two checks of the guards.
	guardInterval = 100 * time.Millisecond
	// guardThreshold is the evidence at which an entry on its own stops sending to the new side.
	guardThreshold = 10_000
	// guardWindows is the number of windows that a guard is expected to compare.
	guardWindows = 10_000
)

// Config configures a Shifter.
type Config struct {
	Logger logger.Logger
	Scope  tally.Scope
	// Region is that of the entry.
	Region string
}

// Shifter is the step that sets the selection of targets of each request.
type Shifter struct {
	config Config
	state  atomic.Pointer[viewState]
	mutex  sync.Mutex
	moved  tally.Counter
}

// viewState holds the states of the moves of one View. Its maps are immutable.
type viewState struct {
	view *receiver.View
	// moves are by service.
	moves map[string]*moveState
}

// moveState is the state of one move, by route.
type moveState struct {
	move   receiver.MoveState
	routes map[string]*routeState
	guards map[string]*guard
	// retryableCredit and onceCredit bound the requests of all routes of the service together, those
	// that may be retried and those that run at most once.
	retryableCredit *credit
	onceCredit      *credit
	// retryable reports whether the requests of a route may be retried.
	retryable map[string]bool
}

// guard compares the two sides of a move on one route, as this entry alone observes them.
type guard struct {
	assessor *assessor.Assessor
	// old and new are the tallies of both sides at the last check.
	old assessor.Tally
	new assessor.Tally
}

// NewShifter returns a Shifter without moves.
func NewShifter(c Config) *Shifter {
	s := &Shifter{config: c, moved: c.Scope.Counter("moved")}
	s.state.Store(&viewState{moves: map[string]*moveState{}})
	return s
}

// Step returns the pipeline step. It changes the selection of targets of requests whose service has
// a move.
func (s *Shifter) Step() handler.Step {
	return handler.Step{Name: "shifter", Handle: s.shift}
}

// Run checks the guards until the context ends.
func (s *Shifter) Run(ctx context.Context) error {
	return s.run(ctx)
}

// Evidence returns all responses that this entry observed of the moves under way.
func (s *Shifter) Evidence() []*wire.MoveEvidence {
	var out []*wire.MoveEvidence
	for _, m := range s.state.Load().moves {
		if m.move.Done() {
			continue
		}
		e := &wire.MoveEvidence{Move: m.move.Move.Name, Course: m.move.Move.Course()}
		for route, l := range m.routes {
			e.Routes = append(e.Routes, &wire.RouteEvidence{
				Route: route, Old: wire.ToVersionTally(l.old.tally()), New: wire.ToVersionTally(l.new.tally()),
			})
		}
		out = append(out, e)
	}
	return out
}

// Dump describes the moves by route.
func (s *Shifter) Dump() any {
	out := map[string]RouteDump{}
	for _, m := range s.state.Load().moves {
		for route, l := range m.routes {
			out[m.move.Move.Name+" "+route] = RouteDump{
				Stage: m.move.Record.GetStage().String(), Share: m.move.Record.GetShare(), OnceShare: m.move.Record.GetOnceShare(),
				Stopped: l.stopped.Load(), Old: l.old.tally(), New: l.new.tally(),
			}
		}
	}
	return out
}

// RouteDump describes one route of a move at this entry.
type RouteDump struct {
	Stage     string
	Share     float64
	OnceShare float64
	Stopped   bool
	Old       assessor.Tally
	New       assessor.Tally
}

// Reselect sets the selection of a request's next attempt by the latest state of its service's move. The request
// stays on its side of the move while that side takes requests.
func (s *Shifter) Reselect(e *handler.Exchange) {
	v, service := e.LatestView(), serviceOf(e)
	if c := v.Configuration; c != nil && c.Services[service.Name] != nil {
		service = c.Services[service.Name] // the end of a move may have changed its version
	}
	current := handler.Selection{Version: service.Version}
	m := s.moveOf(v, service.Name)
	if m == nil {
		e.Selection, e.Fallback = current, nil
		return
	}
	old, other := oldSelection(current, m.move.Move), newSelection(current, m.move.Move)
	switch {
	case m.move.Done() || lacksOldSide(v, m.move, old):
		e.Selection, e.Fallback = other, nil
	case e.Selection != other || !m.admitsNew(e.Route):
		e.Selection, e.Fallback = old, nil
	}
}

func serviceOf(e *handler.Exchange) *parser.Service {
	if e.Service == nil {
		return e.Route.Service
	}
	return e.Service
}

// moveOf returns the state of a service's move, or nil if it has none that concerns this entry.
func (s *Shifter) moveOf(v *receiver.View, service string) *moveState {
	m := s.stateOf(v).moves[service]
	if m == nil || (m.move.Move.Regional() && m.move.Move.FromRegion != s.config.Region) {
		return nil
	}
	return m
}

// admitsNew reports whether the new side takes requests of a route.
func (m *moveState) admitsNew(r *parser.Route) bool {
	l := m.routes[r.Name]
	return l != nil && !l.stopped.Load() && m.move.Share(r) > 0
}

func (s *Shifter) shift(_ context.Context, e *handler.Exchange) handler.Outcome {
	v := e.LatestView()
	m := s.moveOf(v, serviceOf(e).Name)
	if m == nil {
		return handler.Outcome{}
	}
	old, other := oldSelection(e.Selection, m.move.Move), newSelection(e.Selection, m.move.Move)
	e.Selection = old
	if m.move.Done() || lacksOldSide(v, m.move, old) {
		e.Selection = other
		return handler.Outcome{}
	}
	l := m.routes[e.Route.Name]
	if l == nil {
		return handler.Outcome{} // a configuration newer than the request's view has dropped the route
	}
	if l.choosesNew(hashPosition(e), m.move.Share(e.Route), m.creditFor(e.Route)) {
		s.moved.Inc(1)
		e.Selection, e.Fallback = other, &old
	}
	e.OnAttempt = func(c handler.Selection, latency time.Duration, failed bool) {
		l.observe(c == other, latency, failed)
	}
	return handler.Outcome{}
}

// oldSelection returns the selection of the old side of a move: the service's version, or, where
// there is none, every version that is neither barred nor the one that the move leads to.
func oldSelection(c handler.Selection, m *parser.Move) handler.Selection {
	if m.Regional() || c.Version != "" {
		return c
	}
	for _, v := range append(slices.Clone(m.Barred), m.To) {
		c.ExcludedVersions += "," + v
	}
	return c
}

// lacksOldSide reports whether no listed target is on the old side of a move, as when a move under way is ended by an order
// of the version that it came from: of the versions that the new move excludes, its own is the proven one.
func lacksOldSide(v *receiver.View, m receiver.MoveState, old handler.Selection) bool {
	list := v.Targets[m.Move.Service]
	if len(m.Move.Barred) == 0 || len(list) == 0 || m.Record.GetStage() == wire.MoveStage_MOVE_STAGE_TAKEN_BACK {
		return false
	}
	listed := false
	for _, t := range list {
		if t.Leaving {
			continue
		}
		if old.Allows(t.Version) {
			return false
		}
		listed = listed || t.Version == m.Move.To
	}
	return listed
}

// newSelection returns the selection of the new side of a move.
func newSelection(old handler.Selection, m *parser.Move) handler.Selection {
	if m.Regional() {
		return handler.Selection{Version: old.Version, Region: m.ToRegion, ExcludedRegion: m.FromRegion}
	}
	return handler.Selection{Version: m.To}
}

// hashPosition hashes the object of a request, or else its caller's address, key and path, to a
// position between 0 and 1, which is the same for each such request.
func hashPosition(e *handler.Exchange) float64 {
	h := xxhash.New()
	if object := e.Object(); object != "" {
		_, _ = h.WriteString(object) // a hash accepts every write
		return float64(h.Sum64()>>11) / (1 << 53)
	}
	host, _, err := net.SplitHostPort(e.Request.RemoteAddr)
	if err == nil {
		_, _ = h.WriteString(host) // a hash accepts every write
	}
	if e.Key != nil {
		_, _ = h.WriteString("\x00" + e.Key.Name)
	}
	_, _ = h.WriteString("\x00" + e.Request.URL.Path)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// stateOf returns the state of a view or of a newer one. It creates the state at the first request
// with the view.
func (s *Shifter) stateOf(v *receiver.View) *viewState {
	p := s.state.Load()
	if p.view == v || (p.view != nil && p.view.Index >= v.Index) {
		return p
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p = s.state.Load(); p.view != nil && p.view.Index >= v.Index {
		return p
	}
	n := &viewState{view: v, moves: map[string]*moveState{}}
	for service, move := range v.MoveStates {
		n.moves[service] = newMoveState(p.moves[service], move, v.Configuration)
	}
	s.state.Store(n)
	return n
}

// newMoveState keeps the route states of the same move, and creates new ones for another.
func newMoveState(old *moveState, move receiver.MoveState, c *parser.Configuration) *moveState {
	m := &moveState{
		move: move, routes: map[string]*routeState{}, guards: map[string]*guard{}, retryable: map[string]bool{},
		retryableCredit: &credit{}, onceCredit: &credit{},
	}
	same := old != nil && old.move.Move.Course() == move.Move.Course()
	if same {
		m.retryableCredit, m.onceCredit = old.retryableCredit, old.onceCredit
	}
	for _, r := range c.RoutesOf(move.Move.Service) {
		m.routes[r.Name], m.retryable[r.Name] = &routeState{}, r.Retryable()
		if same && old.routes[r.Name] != nil {
			m.routes[r.Name], m.guards[r.Name] = old.routes[r.Name], old.guards[r.Name]
		}
		if m.guards[r.Name] == nil || old.move.Record.GetDefinition() != move.Record.GetDefinition() {
			m.guards[r.Name] = newGuard(m.routes[r.Name])
		}
	}
	return m
}

func (m *moveState) creditFor(r *parser.Route) *credit {
	if r.Retryable() {
		return m.retryableCredit
	}
	return m.onceCredit
}

// updateBoosts divides the requests of the first step evenly among the routes, up to the cap, so that
// rare routes are judged too before the share grows. In later steps all routes have the same share.
func (m *moveState) updateBoosts() {
	total, routes := map[bool]int64{}, map[bool]int64{}
	for n, l := range m.routes {
		if seen := l.requests.Load(); seen > 0 {
			total[m.retryable[n]] += seen
			routes[m.retryable[n]]++
		}
	}
	share := max(m.move.Record.GetShare(), m.move.Record.GetOnceShare())
	for n, l := range m.routes {
		class, seen := m.retryable[n], l.requests.Load()
		if share > wire.MaxFirstShare || share == 0 || seen == 0 {
			l.setBoost(1)
			continue
		}
		factor := float64(total[class]) / float64(routes[class]*seen)
		l.setBoost(min(factor, m.move.Move.Cap/share))
	}
}

// newGuard returns a guard that judges a route by the responses from now on, and ends an earlier stop
// of the route.
func newGuard(l *routeState) *guard {
	l.stopped.Store(false)
	return &guard{assessor: assessor.NewAssessor(assessor.Config{Windows: guardWindows}), old: l.old.tally(), new: l.new.tally()}
}

func (s *Shifter) run(ctx context.Context) error {
	t := time.NewTicker(guardInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.CheckGuards()
		}
	}
}

// CheckGuards checks the guards on the responses since the last check; Run calls it periodically.
func (s *Shifter) CheckGuards() {
	s.mutex.Lock() // guards pass from one viewState to the next
	defer s.mutex.Unlock()
	for _, m := range s.state.Load().moves {
		m.updateBoosts()
		for route, g := range m.guards {
			if l := m.routes[route]; g.update(l) && !l.stopped.Swap(true) {
				s.config.Logger.Log(logger.MoveStoppedHere, logger.F("move", m.move.Move.Name), logger.F("route", route))
			}
		}
	}
}

// update adds the responses of a route since the last check, and reports whether the evidence has
// reached guardThreshold.
func (g *guard) update(l *routeState) bool {
	before, after := l.old.tally(), l.new.tally()
	g.assessor.AddWindow(before.Minus(g.old), after.Minus(g.new))
	g.old, g.new = before, after
	return g.assessor.Verdict().Evidence() >= guardThreshold
}
