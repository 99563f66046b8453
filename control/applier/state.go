// Package applier applies committed commands to the replicated state.
//
// The state is a set of records, each with the index of the log entry that wrote it
// last, so that the difference between two indexes is a list of records.
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

// Bounds of what the state remembers.
const (
	// KeptRevisions is how many accepted revisions a resent text is recognised among.
	KeptRevisions = 1000
	// maxTombstones bounds the deleted records kept for differences.
	maxTombstones = 4096
	// KeptRequests is how many requests are kept against resends.
	KeptRequests = 20_000
	// KeptOrders is how many accepted orders a resent one is recognised among.
	KeptOrders = 4000
)

// State is the replicated state. It is safe for concurrent use.
type State struct {
	assert  *asserter.Asserter
	mutex   sync.RWMutex
	index   uint64
	floor   uint64
	records map[string]*wire.Record
	// changes lists the keys in the order of their last change; older items are stale.
	changes    []change
	tombstones int
	// onceOrder lists the requests kept against resends, the oldest first; items whose
	// record has a later index are stale.
	onceOrder []change
	onceCount int
	// orders lists the digests of accepted orders, the oldest first.
	orders []change
	// itemsIndex is the index of the last change of an item.
	itemsIndex uint64
	// entries are the entries by name, decoded; nil after one changed.
	entries map[string]*wire.EntryMember
	// silent is the same of the entries that were taken out.
	silent map[string]*wire.EntryMember
	// zones are the regions of the availability zones, for configurations of items.
	zones map[string]string
	// compiled is the configuration of compiledVersion, or compiledError says why there is none.
	compiledMutex   sync.Mutex
	compiledVersion string
	compiled        *parser.Configuration
	compiledError   error
}

type change struct {
	index uint64
	key   string
}

// NewState returns an empty state.
func NewState(a *asserter.Asserter) *State {
	return &State{assert: a, records: map[string]*wire.Record{}}
}

// SetZones names the regions of the availability zones, for configurations of items.
func (s *State) SetZones(zones map[string]string) {
	s.zones = zones
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.index
}

// Snapshot returns the whole state in its encoded form.
func (s *State) Snapshot() ([]byte, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	out := &wire.StateSnapshot{Index: s.index, Floor: s.floor}
	for _, k := range s.sortedKeys() {
		out.Records = append(out.Records, s.records[k])
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// Restore replaces the state by a snapshot taken at index. No data is the empty state.
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

// Since returns the distributed records changed after an index, and the index they
// lead to. whole tells that they are the whole state, since the difference is not known.
func (s *State) Since(index uint64) (records []*wire.Record, to uint64, whole bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if index < s.floor || index > s.index || index == 0 {
		return s.all(), s.index, true
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

// ChangedSince tells whether a distributed record changed after an index.
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

// Head returns the revision in force; a zero record means that there is none yet.
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

// Configuration returns the text in force, compiled; it is nil if there is none yet. The
// error says why a text does not compile, which another version of the program took.
func (s *State) Configuration() (*parser.Configuration, error) {
	s.compiledMutex.Lock()
	defer s.compiledMutex.Unlock()
	version := s.version()
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

// version names the state of the text and the items.
func (s *State) version() string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return fmt.Sprintf("%d/%d", s.revision(HeadKey).GetRevision(), s.itemsIndex)
}

// Entries returns the entries by name. The map and its members must not be changed.
func (s *State) Entries() map[string]*wire.EntryMember {
	return s.members(wire.EntryRecords, &s.entries)
}

// Silent returns the entries that were taken out of the members and may still use what they
// were granted, by name. The caller must not change them.
func (s *State) Silent() map[string]*wire.EntryMember {
	return s.members(wire.SilentRecords, &s.silent)
}

func (s *State) members(prefix string, kept *map[string]*wire.EntryMember) map[string]*wire.EntryMember {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if *kept == nil {
		out := map[string]*wire.EntryMember{}
		s.visit(prefix, func(r *wire.Record) {
			m := &wire.EntryMember{}
			s.decode(r, m)
			out[m.GetName()] = m
		})
		*kept = out
	}
	return *kept
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

// Moves returns how far the moves are, by name.
func (s *State) Moves() map[string]*wire.MoveRecord {
	out := map[string]*wire.MoveRecord{}
	s.each(wire.MoveRecords, func(r *wire.Record) {
		m := &wire.MoveRecord{}
		s.decode(r, m)
		out[m.GetName()] = m
	})
	return out
}

func (s *State) each(prefix string, visit func(*wire.Record)) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	s.visit(prefix, visit)
}

// visit is each for callers that hold the mutex.
func (s *State) visit(prefix string, visit func(*wire.Record)) {
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

func (s *State) all() []*wire.Record {
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
