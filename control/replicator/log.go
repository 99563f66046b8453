package replicator

import (
	"github.com/filberthoist/filberthoist/core/wire"
)

// log holds the entries after a snapshot. Index offset is the snapshot's.
type log struct {
	snapshot *wire.Snapshot
	offset   uint64
	entries  []*wire.LogEntry
	baseTerm uint64
}

func newLog(s *wire.Snapshot, entries []*wire.LogEntry) *log {
	l := &log{snapshot: s, offset: s.GetIndex(), baseTerm: s.GetTerm()}
	for _, e := range entries {
		if e.GetIndex() > l.offset {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

func (l *log) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

// term returns the term of an index, or 0 if the log does not hold it.
func (l *log) term(index uint64) uint64 {
	switch {
	case index == l.offset:
		return l.baseTerm
	case index < l.offset || index > l.last():
		return 0
	}
	return l.entries[index-l.offset-1].GetTerm()
}

// from returns at most n entries beginning at index.
func (l *log) from(index uint64, n int) []*wire.LogEntry {
	if index > l.last() || index <= l.offset {
		return nil
	}
	out := l.entries[index-l.offset-1:]
	if len(out) > n {
		out = out[:n]
	}
	return out[:len(out):len(out)]
}

func (l *log) append(e ...*wire.LogEntry) {
	l.entries = append(l.entries, e...)
}

// truncate drops the entries beginning at index.
func (l *log) truncate(index uint64) {
	kept := l.entries[:index-l.offset-1]
	l.entries = append([]*wire.LogEntry(nil), kept...)
}

// compact drops the entries up to a snapshot, which the log holds.
func (l *log) compact(s *wire.Snapshot) {
	if s.GetIndex() <= l.offset {
		return
	}
	l.baseTerm = l.term(s.GetIndex())
	l.entries = append([]*wire.LogEntry(nil), l.entries[s.GetIndex()-l.offset:]...)
	l.offset, l.snapshot = s.GetIndex(), s
}

// replace begins anew after a snapshot that the log does not hold.
func (l *log) replace(s *wire.Snapshot) {
	*l = log{snapshot: s, offset: s.GetIndex(), baseTerm: s.GetTerm()}
}

// upToDate tells whether a log with this last entry has all that this one has.
func (l *log) upToDate(index, term uint64) bool {
	own := l.term(l.last())
	return term > own || (term == own && index >= l.last())
}

// conflictHint returns the last index before the run of the term at index.
func (l *log) conflictHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	t := l.term(index)
	for index > l.offset && l.term(index) == t {
		index--
	}
	return index
}
