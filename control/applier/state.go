// Package applier applies committed commands to the replicated state.
//
// The state is a set of records. Each record holds the index of the log entry that last wrote it,
// so that the difference between two indexes is a list of records.
package applier

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Bounds on what the state retains.
const (
	// KeptRevisions is the number of accepted revisions among which a resent text is recognized.
	KeptRevisions = 1000
	// maxTombstones bounds the records that are kept to report deletions.
	maxTombstones = 4096
	// KeptRequests is the number of requests among which a resent one is recognized.
	KeptRequests = 20_000
	// KeptOrders is the number of accepted orders among which a resent one is recognized.
	KeptOrders = 4000
)

// State is the replicated state. It is safe for concurrent use.
type State struct {
	assert *asserter.Asserter
	mutex  sync.RWMutex
	// index is the index of the last applied entry.
	index uint64
	// floor is the lowest index from which a difference is known.
	floor   uint64
	records map[string]*wire.Record
	// changes lists the changed keys by index. An item is stale if its record changed later.
	changes    []change
	tombstones int
	// onceOrder lists the kept requests, the oldest first. An item is stale if its record changed
	// later.
	onceOrder []change
	onceCount int
	// orders lists the digests of accepted orders, the oldest first.
	orders []change
	// itemsIndex is the index at which an item last changed.
	itemsIndex uint64
	// entries caches the decoded entries by name; it is nil after a change.
	entries map[string]*wire.EntryMember
	// silent caches the entries that were removed from the members, likewise.
	silent map[string]*wire.EntryMember
	// zones holds the regions of the availability zones, for configurations of items.
	zones map[string]string
	// compiled is the configuration of compiledVersion; if it is nil, compiledError is the reason.
	compiledMutex   sync.Mutex
	compiledVersion string
	compiled        *parser.Configuration
	compiledError   error
}

// change is a change of the record of a key at an index.
type change struct {
	index uint64
	key   string
}

// NewState returns an empty state.
func NewState(a *asserter.Asserter) *State {
	return &State{assert: a, records: map[string]*wire.Record{}}
}

// SetZones sets the regions of the availability zones, for configurations of items.
func (s *State) SetZones(zones map[string]string) {
	s.zones = zones
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.index
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	out := &wire.StateSnapshot{Index: s.index, Floor: s.floor}
	for _, k := range s.sortedKeys() {
		out.Records = append(out.Records, s.records[k])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// Restore replaces the state by a snapshot taken at index. Empty data is the empty state.
func (s *State) Restore(index uint64, data []byte) error {
	var in wire.StateSnapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.assert.That(index >= s.index, "appliedMonotonic", "restore at %d, applied %d", index, s.index)
	s.index, s.floor = index, in.GetFloor()
	s.records = map[string]*wire.Record{}
	s.changes, s.tombstones, s.onceOrder, s.onceCount, s.itemsIndex, s.entries, s.silent = nil, 0, nil, 0, 0, nil, nil
	for _, r := range in.GetRecords() {
		s.records[r.GetKey()] = r
		s.changes = append(s.changes, change{r.GetIndex(), r.GetKey()})
		if r.GetDeleted() {
			s.tombstones++
		}
		if strings.HasPrefix(r.GetKey(), wire.ItemRecords) {
			s.itemsIndex = max(s.itemsIndex, r.GetIndex())
		}
	}
	s.restoreOnce()
	s.restoreOrders()
	sort.SliceStable(s.changes, func(i, j int) bool { return s.changes[i].index < s.changes[j].index })
	return nil
}

// Since returns the distributed records that changed after an index, and the index that they
// lead to. If the difference is not known, it returns the whole state and whole is true.
func (s *State) Since(index uint64) (records []*wire.Record, to uint64, whole bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if index < s.floor || index > s.index || index == 0 {
		return s.allDistributed(), s.index, true
	}
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].index > index })
	for _, c := range s.changes[from:] {
		r := s.records[c.key]
		if r != nil && r.GetIndex() == c.index && Distributed(c.key) {
			records = append(records, r)
		}
	}
	return records, s.index, false
}

// ChangedSince reports whether a distributed record changed after an index, or may have.
func (s *State) ChangedSince(index uint64) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].index > index; i-- {
		if Distributed(s.changes[i].key) {
			return true
		}
	}
	return index < s.floor || index == 0
}

// Head returns the record of the revision in force, or a zero record if there is none yet.
func (s *State) Head() *wire.RevisionRecord {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.revision(HeadKey)
}

// Sections returns the sections of the text in force.
func (s *State) Sections() []loader.Section {
	var out []loader.Section
	s.each(wire.TextRecords, func(r *wire.Record) {
		section := &wire.TextSection{}
		s.decode(r, section)
		out = append(out, wire.FromTextSection(section))
	})
	return out
}

// Configuration returns the text in force and the items, compiled, or nil if there are none yet.
// It returns an error if they do not compile, which happens if another version of the program
// accepted them.
func (s *State) Configuration() (*parser.Configuration, error) {
	s.compiledMutex.Lock()
	defer s.compiledMutex.Unlock()
	version := s.configurationVersion()
	if version == s.compiledVersion {
		return s.compiled, s.compiledError
	}
	sections, items := s.Sections(), s.Items()
	if len(sections) == 0 && len(items) == 0 {
		return nil, nil
	}
	c, problems := parser.Compile(wire.Sections(sections, s.zones, items))
	s.compiledVersion, s.compiled, s.compiledError = version, c, nil
	if c == nil {
		s.compiledError = problems.Err()
	}
	return c, s.compiledError
}

// configurationVersion identifies the current text and items.
func (s *State) configurationVersion() string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return fmt.Sprintf("%d/%d", s.revision(HeadKey).GetRevision(), s.itemsIndex)
}

// Entries returns the entries by name. The map and its members must not be changed.
func (s *State) Entries() map[string]*wire.EntryMember {
	return s.members(wire.EntryRecords, &s.entries)
}

// SilentEntries returns the entries that were removed from the members and may still use what they
// were granted, by name. The map and its members must not be changed.
func (s *State) SilentEntries() map[string]*wire.EntryMember {
	return s.members(wire.SilentRecords, &s.silent)
}

// members returns the decoded entries under a prefix, from the cache if it is set.
func (s *State) members(prefix string, cache *map[string]*wire.EntryMember) map[string]*wire.EntryMember {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if *cache == nil {
		out := map[string]*wire.EntryMember{}
		s.eachLocked(prefix, func(r *wire.Record) {
			m := &wire.EntryMember{}
			s.decode(r, m)
			out[m.GetName()] = m
		})
		*cache = out
	}
	return *cache
}

// Roles returns the roles by name.
func (s *State) Roles() map[string]*wire.Role {
	out := map[string]*wire.Role{}
	s.each(wire.RoleRecords, func(r *wire.Record) {
		m := &wire.Role{}
		s.decode(r, m)
		out[m.GetName()] = m
	})
	return out
}

// Moves returns the records of the moves, by name.
func (s *State) Moves() map[string]*wire.MoveRecord {
	out := map[string]*wire.MoveRecord{}
	s.each(wire.MoveRecords, func(r *wire.Record) {
		m := &wire.MoveRecord{}
		s.decode(r, m)
		out[m.GetName()] = m
	})
	return out
}

// each calls visit for the records under a prefix that are not deleted, in the order of their keys.
func (s *State) each(prefix string, visit func(*wire.Record)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	s.eachLocked(prefix, visit)
}

// eachLocked is each for callers that hold the mutex.
func (s *State) eachLocked(prefix string, visit func(*wire.Record)) {
	var keys []string
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) && !r.GetDeleted() {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		visit(s.records[k])
	}
}

// allDistributed returns the distributed records that are not deleted, in the order of their keys.
func (s *State) allDistributed() []*wire.Record {
	var out []*wire.Record
	for _, k := range s.sortedKeys() {
		if r := s.records[k]; !r.GetDeleted() && Distributed(k) {
			out = append(out, r)
		}
	}
	return out
}

func (s *State) sortedKeys() []string {
	return slices.Sorted(maps.Keys(s.records))
}

// revision returns the revision record of a key, or a zero record.
func (s *State) revision(key string) *wire.RevisionRecord {
	out := &wire.RevisionRecord{}
	if r := s.records[key]; r != nil && !r.GetDeleted() {
		s.decode(r, out)
	}
	return out
}

func (s *State) decode(r *wire.Record, into proto.Message) {
	err := proto.Unmarshal(r.GetValue(), into)
	s.assert.That(err == nil, "recordReadable", "%s: %v", r.GetKey(), err)
}
