package mover

import (
	"fmt"
	"maps"
	"slices"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// CheckChange returns the reasons why a text must not replace the one in force: it would shift
// traffic past the steps of a move, or begin a move with the record of an earlier one. A move under way may be dropped,
// which takes it back.
func CheckChange(inForce, next *parser.Configuration, records map[string]*wire.MoveRecord) loader.Problems {
	if inForce == nil {
		return nil
	}
	var out loader.Problems
	for _, n := range slices.Sorted(maps.Keys(inForce.Moves)) {
		m, r := inForce.Moves[n], records[n]
		s := next.Services[m.Service]
		if s == nil || m.Regional() || r.GetCourse() != m.Course() || hasCourse(next, m) {
			continue
		}
		if why := versionObjection(m, r, s.Version); why != "" {
			out = append(out, loader.Problem{Section: "service " + m.Service, Key: "version", Text: why})
		}
	}
	return append(out, checkRecords(inForce, next, records)...)
}

// checkRecords returns the moves of a text that would go on with the record of an earlier move, which is not in the text in
// force any more and whose record is about to be removed.
func checkRecords(inForce, next *parser.Configuration, records map[string]*wire.MoveRecord) loader.Problems {
	var out loader.Problems
	for _, n := range slices.Sorted(maps.Keys(next.Moves)) {
		m := next.Moves[n]
		if !hasCourse(inForce, m) && wire.FindMove(records, n, m.Course()) != nil {
			out = append(out, loader.Problem{Section: "move " + n, Text: "the record of an earlier move between the same sides is being removed; apply the text again"})
		}
	}
	return out
}

// hasCourse reports whether a configuration has a move of the same course as m.
func hasCourse(c *parser.Configuration, m *parser.Move) bool {
	for _, o := range c.Moves {
		if o.Course() == m.Course() {
			return true
		}
	}
	return false
}

// versionObjection returns why a service must not change to a version once the move is dropped,
// or "".
func versionObjection(m *parser.Move, r *wire.MoveRecord, version string) string {
	done := r.GetStage() == wire.MoveStage_MOVE_STAGE_DONE
	underWay := []wire.MoveStage{wire.MoveStage_MOVE_STAGE_RAMPING, wire.MoveStage_MOVE_STAGE_BAKING}
	switch {
	case done && version == m.From:
		return fmt.Sprintf("move %s is done; set version = %s, and go back by a separate move", m.Name, m.To)
	case slices.Contains(underWay, r.GetStage()) && version == m.To:
		return fmt.Sprintf("move %s is at %.0f %%; version = %s would skip its steps", m.Name, 100*r.GetShare(), m.To)
	}
	return ""
}
