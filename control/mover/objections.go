package mover

import (
	"fmt"
	"maps"
	"slices"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Objections returns why a text must not follow the one in force: it would shift traffic
// past the steps of a move. A move under way may be dropped, which takes it back.
func Objections(inForce, next *parser.Configuration, records map[string]*wire.MoveRecord) loader.Problems {
	if inForce == nil {
		return nil
	}
	var out loader.Problems
	for _, n := range slices.Sorted(maps.Keys(inForce.Moves)) {
		m, r := inForce.Moves[n], records[n]
		s := next.Services[m.Service]
		if s == nil || m.Regional() || r.GetCourse() != m.Course() || goesOn(next, m) {
			continue
		}
		if why := objection(m, r, s.Version); why != "" {
			out = append(out, loader.Problem{Section: "service " + m.Service, Key: "version", Text: why})
		}
	}
	return out
}

func goesOn(c *parser.Configuration, m *parser.Move) bool {
	for _, o := range c.Moves {
		if o.Course() == m.Course() {
			return true
		}
	}
	return false
}

func objection(m *parser.Move, r *wire.MoveRecord, version string) string {
	done := r.GetStage() == wire.MoveStage_MOVE_STAGE_DONE
	under := []wire.MoveStage{wire.MoveStage_MOVE_STAGE_RAMPING, wire.MoveStage_MOVE_STAGE_BAKING}
	switch {
	case done && version == m.From:
		return fmt.Sprintf("move %s is done; write version = %s, and go back by a move of its own", m.Name, m.To)
	case slices.Contains(under, r.GetStage()) && version == m.To:
		return fmt.Sprintf("move %s is at %.0f %%; version = %s would skip its steps", m.Name, 100*r.GetShare(), m.To)
	}
	return ""
}
