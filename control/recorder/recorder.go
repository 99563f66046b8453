// Package recorder stores the replicated log, the member's vote and snapshots in a data folder.
//
// The log is a file of frames, each a header (magic, length and CRC of the body, CRC of the
// header) and a body. One write is one frame and is synced before the next begins, so that only
// the last frame can be incomplete after a crash.
package recorder

import (
	"github.com/filberthoist/filberthoist/core/wire"
)

// Write is the data that must be durable before anything that depends on it is acknowledged.
type Write struct {
	State   *wire.HardState
	Entries []*wire.LogEntry
	// Snapshot replaces all entries up to its index. Those after it are dropped too unless
	// Entries repeats them.
	Snapshot *wire.Snapshot
}

// Restored is the content of a data folder.
type Restored struct {
	// Incarnation is the random ID of the folder; a new folder gets a new one.
	Incarnation uint64
	State       *wire.HardState
	Snapshot    *wire.Snapshot
	Entries     []*wire.LogEntry
	// TruncatedBytes is the number of bytes of an incomplete last write that were dropped.
	TruncatedBytes int64
}

// Empty reports whether there is nothing to make durable.
func (w Write) Empty() bool {
	return w.State == nil && len(w.Entries) == 0 && w.Snapshot == nil
}

// Apply returns the content of the folder after a write.
func (r Restored) Apply(w Write) Restored {
	if w.State != nil {
		r.State = w.State
	}
	if w.Snapshot != nil {
		r.Snapshot, r.Entries = w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		r.Entries = append(entriesBefore(r.Entries, w.Entries[0].GetIndex()), w.Entries...)
	}
	return r
}

// entriesBefore returns the entries with an index below the given one.
func entriesBefore(entries []*wire.LogEntry, index uint64) []*wire.LogEntry {
	n := len(entries)
	for n > 0 && entries[n-1].GetIndex() >= index {
		n--
	}
	return entries[:n:n]
}
