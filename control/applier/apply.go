package applier

import (
	"bytes"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Result is the outcome of one applied command.
type Result struct {
	Submit   wire.SubmitResult
	Revision *wire.RevisionRecord
	// Head is the revision in force after a submit.
	Head uint64
	// Begin is the answer to a request that must run at most once, and Answer the stored answer of
	// one that has run before.
	Begin  wire.BeginResult
	Answer *wire.OnceAnswer
	// Done reports whether a command that returns neither Submit nor Begin took effect.
	Done bool
}

// Apply applies the command of one log entry. Empty commands only advance the index.
func (s *State) Apply(index uint64, command []byte) Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.assert.That(index == s.index+1, "appliedMonotonic", "apply %d after %d", index, s.index)
	s.index = index
	var c wire.Command
	err := proto.Unmarshal(command, &c)
	s.assert.That(err == nil, "commandReadable", "index %d: %v", index, err)
	var out Result
	switch k := c.GetKind().(type) {
	case *wire.Command_Submit:
		out = s.applySubmit(k.Submit)
		out.Head = s.revision(HeadKey).GetRevision()
	case *wire.Command_ChangeItems:
		out = s.changeItems(k.ChangeItems)
	case *wire.Command_Evacuate:
		out = s.evacuate(k.Evacuate)
	case *wire.Command_BeginMove:
		out = s.beginMove(k.BeginMove)
	case *wire.Command_BeginOnce:
		out = s.beginOnce(k.BeginOnce)
	case *wire.Command_FinishOnce:
		out.Done = s.finishOnce(k.FinishOnce)
	case *wire.Command_PutEntry:
		s.delete(wire.SilentRecords + k.PutEntry.GetMember().GetName())
		out.Done = s.put(wire.EntryRecords+k.PutEntry.GetMember().GetName(), k.PutEntry.GetMember())
	case *wire.Command_RemoveEntry:
		out.Done = s.removeEntry(k.RemoveEntry)
	case *wire.Command_AdvanceMove:
		out.Done = s.advanceMove(k.AdvanceMove)
	case *wire.Command_AcquireDuty:
		out.Done = s.acquireDuty(k.AcquireDuty)
	case *wire.Command_DecideReport:
		out.Done = s.decideReport(k.DecideReport)
	case *wire.Command_FinishReport:
		out.Done = s.finishReport(k.FinishReport)
	case *wire.Command_AssignRole:
		out.Done = s.assignRole(k.AssignRole.GetRole())
	}
	s.prune()
	return out
}

// applySubmit accepts a text if its revision is the next after the one in force.
func (s *State) applySubmit(c *wire.SubmitCommand) Result {
	head := s.revision(HeadKey)
	if c.GetRevision() != head.GetRevision()+1 {
		return s.answerOutOfTurn(c, head)
	}
	now := &wire.RevisionRecord{
		Revision: c.GetRevision(), Digest: c.GetDigest(), Operator: c.GetOperator(), Index: s.index,
	}
	s.putText(c.GetSections())
	s.put(HeadKey, now)
	s.put(revisionKey(now.GetRevision()), now)
	if now.GetRevision() > KeptRevisions {
		s.delete(revisionKey(now.GetRevision() - KeptRevisions))
	}
	return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED, Revision: now}
}

// answerOutOfTurn returns the result of a text whose revision is not the next. A resent text gets
// its first result again; any other is a conflict.
func (s *State) answerOutOfTurn(c *wire.SubmitCommand, head *wire.RevisionRecord) Result {
	past := s.revision(revisionKey(c.GetRevision()))
	if past.GetRevision() == c.GetRevision() && past.GetDigest() == c.GetDigest() {
		return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED, Revision: past}
	}
	if past.GetRevision() == c.GetRevision() && past.GetRevision() > 0 {
		return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_CONFLICT, Revision: past}
	}
	return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_CONFLICT, Revision: head}
}

// putText replaces the text in force.
func (s *State) putText(sections []*wire.TextSection) {
	kept := map[string]bool{}
	for _, t := range sections {
		key := wire.TextRecords + t.GetName()
		kept[key] = true
		s.put(key, t)
	}
	for k := range s.records {
		if strings.HasPrefix(k, wire.TextRecords) && !kept[k] {
			s.delete(k)
		}
	}
}

// removeEntry removes an entry from the members and records it as silent. Removing it a second
// time deletes the silent record. Commands for another incarnation change nothing.
func (s *State) removeEntry(c *wire.RemoveEntryCommand) bool {
	for _, prefix := range []string{wire.EntryRecords, wire.SilentRecords} {
		r := s.records[prefix+c.GetName()]
		if r == nil || r.GetDeleted() {
			continue
		}
		m := &wire.EntryMember{}
		s.decode(r, m)
		if m.GetIncarnation() != c.GetIncarnation() {
			return false
		}
		s.delete(prefix + c.GetName())
		if prefix == wire.EntryRecords {
			s.put(wire.SilentRecords+c.GetName(), m)
		}
		return true
	}
	return false
}

// assignRole writes a role if it has the next epoch, or marks the current epoch vacant.
func (s *State) assignRole(n *wire.Role) bool {
	key := wire.RoleRecords + n.GetName()
	var old wire.Role
	if r := s.records[key]; r != nil {
		s.decode(r, &old)
	}
	assigned := n.GetEpoch() == old.GetEpoch()+1 && !n.GetVacant()
	vacated := n.GetEpoch() == old.GetEpoch() && n.GetVacant() && !old.GetVacant()
	if !assigned && !vacated {
		return false
	}
	return s.put(key, n)
}

// advanceMove writes a move record or removes it, if the change has the next number.
func (s *State) advanceMove(c *wire.AdvanceMoveCommand) bool {
	n := c.GetMove()
	key := wire.MoveRecords + n.GetName()
	var old wire.MoveRecord
	if r := s.records[key]; r != nil && !r.GetDeleted() {
		s.decode(r, &old)
	}
	if n.GetChange() != old.GetChange()+1 {
		return false
	}
	if c.GetRemoved() {
		s.delete(key)
		return true
	}
	return s.put(key, n)
}

// put writes a record unless an equal one exists, and reports whether it wrote.
func (s *State) put(key string, m proto.Message) bool {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	s.assert.That(err == nil, "recordWritable", "%s: %v", key, err)
	old := s.records[key]
	if old != nil && !old.GetDeleted() && bytes.Equal(old.GetValue(), b) {
		return false
	}
	if old.GetDeleted() {
		s.tombstones--
	}
	s.record(&wire.Record{Key: key, Value: b, Index: s.index})
	return true
}

// delete removes a record. One that is distributed leaves a tombstone for differences.
func (s *State) delete(key string) {
	if old := s.records[key]; old == nil || old.GetDeleted() {
		return
	}
	if !Distributed(key) {
		delete(s.records, key)
		s.silent = nil
		return
	}
	s.tombstones++
	s.record(&wire.Record{Key: key, Index: s.index, Deleted: true})
}

// record stores a record, lists the change, and invalidates what is cached of its kind.
func (s *State) record(r *wire.Record) {
	switch {
	case strings.HasPrefix(r.GetKey(), wire.ItemRecords):
		s.itemsIndex = r.GetIndex()
	case strings.HasPrefix(r.GetKey(), wire.EntryRecords):
		s.entries = nil
	case strings.HasPrefix(r.GetKey(), wire.SilentRecords):
		s.silent = nil
	}
	s.records[r.GetKey()] = r
	s.changes = append(s.changes, change{r.GetIndex(), r.GetKey()})
}

// prune drops stale changes once the list is more than about twice as long as the records, and all
// tombstones once there are more than maxTombstones.
func (s *State) prune() {
	if s.tombstones > maxTombstones {
		s.dropTombstones()
	}
	if len(s.changes) <= 2*len(s.records)+16 {
		return
	}
	live := s.changes[:0]
	for _, c := range s.changes {
		if r := s.records[c.key]; r != nil && r.GetIndex() == c.index {
			live = append(live, c)
		}
	}
	s.changes = live
}

// dropTombstones deletes all tombstones. Differences from before the last of them are no longer
// known.
func (s *State) dropTombstones() {
	for k, r := range s.records {
		if !r.GetDeleted() {
			continue
		}
		s.floor = max(s.floor, r.GetIndex())
		delete(s.records, k)
	}
	s.tombstones = 0
}
