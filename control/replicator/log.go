package replicator

import (
	"github.com/filberthoist/filberthoist/core/wire"
)

// log holds the entries after a snapshot, whose index and term are snapshotIndex and snapshotTerm.
type log struct {
	snapshot      *wire.Snapshot
	snapshotIndex uint64
	entries       []*wire.LogEntry
	snapshotTerm  uint64
}

func newLog(s *wire.Snapshot, entries []*wire.LogEntry) *log {
	l := &log{snapshot: s, snapshotIndex: s.GetIndex(), snapshotTerm: s.GetTerm()}
	for _, e := range entries {
		if e.GetIndex() > l.snapshotIndex {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *log) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

// term returns the term of an index, or 0 if the log does not hold it.
func (l *log) term(index uint64) uint64 {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.snapshotIndex-1].GetTerm()
}

// entriesFrom returns at most n entries from index on, and none if the log does not hold index.
func (l *log) entriesFrom(index uint64, n int) []*wire.LogEntry {
	if index > l.lastIndex() || index <= l.snapshotIndex {
		return nil
	}
	out := l.entries[index-l.snapshotIndex-1:]
	if len(out) > n {
		out = out[:n]
	}
	return out[:len(out):len(out)]
}

func (l *log) append(e ...*wire.LogEntry) {
	l.entries = append(l.entries, e...)
}

// truncate drops the entries from index on.
func (l *log) truncate(index uint64) {
	kept := l.entries[:index-l.snapshotIndex-1]
	l.entries = append([]*wire.LogEntry(nil), kept...)
}

// compact drops the entries up to the index of a snapshot, which the log must hold.
func (l *log) compact(s *wire.Snapshot) {
	if s.GetIndex() <= l.snapshotIndex {
		return
	}
	l.snapshotTerm = l.term(s.GetIndex())
	l.entries = append([]*wire.LogEntry(nil), l.entries[s.GetIndex()-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshot = s.GetIndex(), s
}

// restore resets the log to a snapshot whose last entry the log does not hold.
func (l *log) restore(s *wire.Snapshot) {
	*l = log{snapshot: s, snapshotIndex: s.GetIndex(), snapshotTerm: s.GetTerm()}
}

// upToDate reports whether a log whose last entry has this index and term is at least as
// up-to-date as this one.
func (l *log) upToDate(index, term uint64) bool {
	own := l.term(l.lastIndex())
	return term > own || (term == own && index >= l.lastIndex())
}

// conflictHint returns the last index before the run of entries that share the term at index, or
// the last index of the log if index is beyond it.
func (l *log) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	t := l.term(index)
	for index > l.snapshotIndex && l.term(index) == t {
		index--
	}
	return index
}
