// Package recorder keeps the replicated log, the member's vote and snapshots in a data folder.
//
// The log is a file of frames, each a header (length, CRC of the header, CRC of the
// body) and a body. One write is one frame and is synced before the next begins, so
// that only the last frame can be unfinished after a crash.
package recorder

import (
	"github.com/filberthoist/filberthoist/core/wire"
)

// Write is what must be durable before anything is acknowledged.
type Write struct {
	State   *wire.HardState
	Entries []*wire.LogEntry
	// Snapshot replaces all entries up to its index, and those after it too
	// unless they are repeated in Entries.
	Snapshot *wire.Snapshot
}

// Restored is what a data folder holds.
type Restored struct {
	// Incarnation identifies the folder; a new folder has a new one.
	Incarnation uint64
	State       *wire.HardState
	Snapshot    *wire.Snapshot
	Entries     []*wire.LogEntry
	// CutBytes counts the bytes of an unfinished last write that were dropped.
	CutBytes int64
}

// Empty tells whether there is nothing to make durable.
func (w Write) Empty() bool {
	return w.State == nil && len(w.Entries) == 0 && w.Snapshot == nil
}

// Apply returns the restored state with a write added.
func (r Restored) Apply(w Write) Restored {
	if w.State != nil {
		r.State = w.State
	}
	if w.Snapshot != nil {
		r.Snapshot, r.Entries = w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		r.Entries = append(before(r.Entries, w.Entries[0].GetIndex()), w.Entries...)
	}
	return r
}

// before returns the entries of an index below the given one.
func before(entries []*wire.LogEntry, index uint64) []*wire.LogEntry {
	n := len(entries)
	for n > 0 && entries[n-1].GetIndex() >= index {
		n--
	}
	return entries[:n:n]
}
