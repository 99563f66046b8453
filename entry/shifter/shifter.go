// Package shifter decides for each request which side of a move it takes, within the
// move's share, and stops sending to a side that fails before control has said so.
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
	guardInterval = 100 * time.Millisecond
	// guardLimit is the evidence at which an entry stops on its own.
	guardLimit = 10_000
	// guardWindows is how many windows a guard expects to watch.
	guardWindows = 10_000
)

// Config sets up a Shifter.
type Config struct {
	Logger logger.Logger
	Scope  tally.Scope
	// Region is the entry's own.
	Region string
}

// Shifter is the step that sets the course of each request.
type Shifter struct {
	config Config
	plan   atomic.Pointer[plan]
	mutex  sync.Mutex
	moved  tally.Counter
}

// plan holds the lanes of one View. It never changes.
type plan struct {
	view *receiver.View
	// moves are by service.
	moves map[string]*moving
}

// moving is one move with its lanes by route.
type moving struct {
	shift  receiver.Shift
	lanes  map[string]*lane
	guards map[string]*guard
	// repeatable and once are the credits of the service's two kinds of requests.
	repeatable *credit
	once       *credit
	classes    map[string]bool
}

// guard compares the two sides of a lane as this entry alone sees them.
type guard struct {
	assessor *assessor.Assessor
	old      assessor.Tally
	new      assessor.Tally
}

// NewShifter returns a Shifter that knows no moves.
func NewShifter(c Config) *Shifter {
	s := &Shifter{config: c, moved: c.Scope.Counter("moved")}
	s.plan.Store(&plan{moves: map[string]*moving{}})
	return s
}

// Step returns the pipeline step. It changes the course of requests whose service moves.
func (s *Shifter) Step() handler.Step {
	return handler.Step{Name: "shifter", Handle: s.shift}
}

// Run watches the new sides until the context ends.
func (s *Shifter) Run(ctx context.Context) error {
	return s.run(ctx)
}

// Evidence returns all that was seen of the moves under way.
func (s *Shifter) Evidence() []*wire.MoveEvidence {
	var out []*wire.MoveEvidence
	for _, m := range s.plan.Load().moves {
		if m.shift.Done() {
			continue
		}
		e := &wire.MoveEvidence{Move: m.shift.Move.Name, Course: m.shift.Move.Course()}
		for route, l := range m.lanes {
			e.Routes = append(e.Routes, &wire.RouteEvidence{
				Route: route, Old: wire.ToVersionTally(l.old.tally()), New: wire.ToVersionTally(l.new.tally()),
			})
		}
		out = append(out, e)
	}
	return out
}

// Dump describes the lanes.
func (s *Shifter) Dump() any {
	out := map[string]LaneDump{}
	for _, m := range s.plan.Load().moves {
		for route, l := range m.lanes {
			out[m.shift.Move.Name+" "+route] = LaneDump{
				Stage: m.shift.Record.GetStage().String(), Share: m.shift.Record.GetShare(), OnceShare: m.shift.Record.GetOnceShare(),
				Stopped: l.stopped.Load(), Old: l.old.tally(), New: l.new.tally(),
			}
		}
	}
	return out
}

// LaneDump describes one route of a move as this entry sees it.
type LaneDump struct {
	Stage     string
	Share     float64
	OnceShare float64
	Stopped   bool
	Old       assessor.Tally
	New       assessor.Tally
}

func (s *Shifter) shift(_ context.Context, e *handler.Exchange) handler.Outcome {
	service := e.Service
	if service == nil {
		service = e.Route.Service
	}
	m := s.use(e.View).moves[service.Name]
	if m == nil || (m.shift.Move.Regional() && m.shift.Move.FromRegion != s.config.Region) {
		return handler.Outcome{}
	}
	old, other := oldCourse(e.Course, m.shift.Move), courseOf(e.Course, m.shift.Move)
	e.Course = old
	if m.shift.Done() {
		e.Course = other
		return handler.Outcome{}
	}
	l := m.lanes[e.Route.Name]
	if l == nil {
		return handler.Outcome{} // a newer text than the request's view has dropped the route
	}
	if l.choose(position(e), m.shift.Share(e.Route), m.creditOf(e.Route)) {
		s.moved.Inc(1)
		e.Course, e.Fallback = other, &old
	}
	e.Observe = func(c handler.Course, latency time.Duration, failed bool) {
		l.observe(c == other, latency, failed)
	}
	return handler.Outcome{}
}

// oldCourse returns the old side of a move: its version, or every version that no move
// leads or led to in vain.
func oldCourse(c handler.Course, m *parser.Move) handler.Course {
	if m.Regional() || c.Version != "" {
		return c
	}
	for _, v := range append(slices.Clone(m.Barred), m.To) {
		c.Barred += "," + v
	}
	return c
}

// courseOf returns the new side of a move.
func courseOf(old handler.Course, m *parser.Move) handler.Course {
	if m.Regional() {
		return handler.Course{Version: old.Version, Region: m.ToRegion, Without: m.FromRegion}
	}
	return handler.Course{Version: m.To}
}

// position places a caller and what it asks for between 0 and 1, always at the same place.
func position(e *handler.Exchange) float64 {
	h := xxhash.New()
	if object := e.Object(); object != "" {
		_, _ = h.WriteString(object) // a hash takes every write
		return float64(h.Sum64()>>11) / (1 << 53)
	}
	host, _, err := net.SplitHostPort(e.Request.RemoteAddr)
	if err == nil {
		_, _ = h.WriteString(host) // a hash takes every write
	}
	if e.Key != nil {
		_, _ = h.WriteString("\x00" + e.Key.Name)
	}
	_, _ = h.WriteString("\x00" + e.Request.URL.Path)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// use returns the plan of a view, and makes it at the first request that has the view.
func (s *Shifter) use(v *receiver.View) *plan {
	p := s.plan.Load()
	if p.view == v || (p.view != nil && p.view.Index >= v.Index) {
		return p
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if p = s.plan.Load(); p.view != nil && p.view.Index >= v.Index {
		return p
	}
	n := &plan{view: v, moves: map[string]*moving{}}
	for service, shift := range v.Shifts {
		n.moves[service] = newMoving(p.moves[service], shift, v.Configuration)
	}
	s.plan.Store(n)
	return n
}

// newMoving takes over the lanes of the same move, and begins new ones for another.
func newMoving(old *moving, shift receiver.Shift, c *parser.Configuration) *moving {
	m := &moving{
		shift: shift, lanes: map[string]*lane{}, guards: map[string]*guard{}, classes: map[string]bool{},
		repeatable: &credit{}, once: &credit{},
	}
	same := old != nil && old.shift.Move.Course() == shift.Move.Course()
	if same {
		m.repeatable, m.once = old.repeatable, old.once
	}
	for _, r := range c.RoutesOf(shift.Move.Service) {
		m.lanes[r.Name], m.classes[r.Name] = &lane{}, r.Repeatable()
		if same && old.lanes[r.Name] != nil {
			m.lanes[r.Name], m.guards[r.Name] = old.lanes[r.Name], old.guards[r.Name]
		}
		if m.guards[r.Name] == nil || old.shift.Record.GetDefinition() != shift.Record.GetDefinition() {
			m.guards[r.Name] = newGuard(m.lanes[r.Name])
		}
	}
	return m
}

func (m *moving) creditOf(r *parser.Route) *credit {
	if r.Repeatable() {
		return m.repeatable
	}
	return m.once
}

// boost gives each route an equal part of the first step's requests, up to the cap, so that
// rare routes are judged too before the share grows. Later steps share alike.
func (m *moving) boost() {
	total, routes := map[bool]int64{}, map[bool]int64{}
	for n, l := range m.lanes {
		if seen := l.seen.Load(); seen > 0 {
			total[m.classes[n]] += seen
			routes[m.classes[n]]++
		}
	}
	share := max(m.shift.Record.GetShare(), m.shift.Record.GetOnceShare())
	for n, l := range m.lanes {
		class, seen := m.classes[n], l.seen.Load()
		if share > wire.FirstShare || share == 0 || seen == 0 {
			l.setFactor(1)
			continue
		}
		part := float64(total[class]) / float64(routes[class]*seen)
		l.setFactor(min(part, m.shift.Move.Cap/share))
	}
}

// newGuard judges a lane by what comes from now on.
func newGuard(l *lane) *guard {
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
			s.Watch()
		}
	}
}

// Watch judges what came since the last time; Run does so again and again.
func (s *Shifter) Watch() {
	s.mutex.Lock() // guards pass from plan to plan
	defer s.mutex.Unlock()
	for _, m := range s.plan.Load().moves {
		m.boost()
		for route, g := range m.guards {
			if l := m.lanes[route]; g.fires(l) && !l.stopped.Swap(true) {
				s.config.Logger.Log(logger.MoveStoppedHere, logger.F("move", m.shift.Move.Name), logger.F("route", route))
			}
		}
	}
}

// fires takes in what a lane saw since the last time, and tells whether that is enough.
func (g *guard) fires(l *lane) bool {
	before, after := l.old.tally(), l.new.tally()
	g.assessor.Window(before.Minus(g.old), after.Minus(g.new))
	g.old, g.new = before, after
	return g.assessor.Verdict().Evidence() >= guardLimit
}
