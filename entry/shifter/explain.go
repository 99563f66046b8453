package shifter

import (
	"fmt"

	"github.com/filberthoist/filberthoist/entry/handler"
)

// Side is one side of a move as it concerns a request, or all of a service without a move.
type Side struct {
	Selection handler.Selection
	// Share is the fraction of such requests that take this side, from 0 to 1.
	Share  float64
	Reason string
}

// Sides returns the selections that a request may get now, the likeliest first. It counts no request.
func (s *Shifter) Sides(e *handler.Exchange) []Side {
	v := e.LatestView()
	m, ok := v.MoveStates[serviceOf(e).Name]
	if !ok || (m.Move.Regional() && m.Move.FromRegion != s.config.Region) {
		return []Side{{Selection: e.Selection, Share: 1, Reason: "no move concerns the service here"}}
	}
	old, other := oldSelection(e.Selection, m.Move), newSelection(e.Selection, m.Move)
	if m.Done() {
		return []Side{{Selection: other, Share: 1, Reason: "the move " + m.Move.Name + " is done"}}
	}
	if lacksOldSide(v, m, old) {
		return []Side{{Selection: other, Share: 1, Reason: "no target is on the old side of the move " + m.Move.Name}}
	}
	share, reason := m.Share(e.Route), fmt.Sprintf("move %s, %s", m.Move.Name, m.Record.GetStage())
	if s.hasStopped(m.Move.Course(), m.Move.Service, e.Route.Name) {
		share, reason = 0, reason+"; this entry stopped it for the route after failures"
	}
	sides := []Side{{Selection: old, Share: 1 - share, Reason: reason + ", old side"}}
	if share == 0 {
		return sides
	}
	sides = append(sides, Side{Selection: other, Share: share, Reason: reason + ", new side"})
	if share > sides[0].Share {
		sides[0], sides[1] = sides[1], sides[0]
	}
	return sides
}

// hasStopped reports whether this entry sends a route's requests no longer to the new side of a move.
func (s *Shifter) hasStopped(course, service, route string) bool {
	m := s.state.Load().moves[service]
	if m == nil || m.move.Move.Course() != course || m.routes[route] == nil {
		return false
	}
	return m.routes[route].stopped.Load()
}
