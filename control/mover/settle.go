package mover

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// drainDuration is how long requests may run on the old side after the last entry stopped sending to it.
const drainDuration = 1500 * time.Millisecond

// settlement is since when a record has been in force on every entry that may serve requests.
type settlement struct {
	change uint64
	since  time.Duration
}

// SettledStatus returns Status, but a move that is done counts as baking until no entry sends requests to its old
// side any longer and those sent there had drainDuration to finish.
func (m *Mover) SettledStatus() []*wire.MoveStatus {
	out := m.Status()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for i, s := range out {
		if s.GetMove().GetStage() != wire.MoveStage_MOVE_STAGE_DONE || m.settle(s.GetMove()) {
			continue
		}
		out[i] = proto.CloneOf(s)
		out[i].Move.Stage = wire.MoveStage_MOVE_STAGE_BAKING
	}
	return out
}

// settleMoves checks which finished moves have come into force, while any may have to settle.
func (m *Mover) settleMoves() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.unsettled {
		return
	}
	m.unsettled = false
	for _, r := range m.config.State.Moves() {
		if IsFinished(r) && !m.settle(r) {
			m.unsettled = true
		}
	}
}

// settle reports whether the record of a finished move has been in force for drainDuration, from when this member first
// finds it in force. The time in the record is that of the clock of the leader that wrote it.
func (m *Mover) settle(r *wire.MoveRecord) bool {
	now := m.config.Clock.Now()
	k, ok := m.settling[r.GetName()]
	if ok && k.change == r.GetChange() {
		return now-k.since >= drainDuration
	}
	if index, known := m.config.InForce(); known && index >= m.config.State.MoveIndex(r.GetName()) {
		m.settling[r.GetName()] = settlement{r.GetChange(), now}
	}
	return false
}
