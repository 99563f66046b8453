package receiver

import (
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// View is the replicated state at one index, compiled for use. It is immutable.
type View struct {
	Index         uint64
	Configuration *parser.Configuration
	// Entries are the entries of the deployment by name, including this one once control has
	// registered it.
	Entries map[string]*wire.EntryMember
	Roles   map[string]*wire.Role
	// MoveStates are the moves under way or done, by service.
	MoveStates map[string]MoveState
	// Targets are those that the platform lists, by service and sorted by name.
	Targets map[string][]*ListedTarget
	// Evacuated are the availability zones whose targets get no new work.
	Evacuated map[string]bool
	// RegionFractions are the fractions of the requests from this entry's region that each region
	// is to serve, by service and region; empty where control has assigned none.
	RegionFractions map[string]map[string]float64
	moves           map[string]*wire.MoveRecord
}

// ListedTarget is a target as the platform lists it.
type ListedTarget struct {
	*parser.Target
	Leaving bool
	// ColdUntil is the end of the target's warm-up and ReceivedAt when control last told of the target, on the
	// process's Clock.
	ColdUntil  time.Duration
	ReceivedAt time.Duration
}

// MoveState is a move with its record, which is nil before control has created one.
type MoveState struct {
	Move   *parser.Move
	Record *wire.MoveRecord
}

// Share returns the fraction of a route's requests that go to the new side, from 0 to 1.
func (s MoveState) Share(r *parser.Route) float64 {
	if r.Retryable() {
		return s.Record.GetShare()
	}
	return s.Record.GetOnceShare()
}

// Done reports whether the move is done, so that all requests go to the new side.
func (s MoveState) Done() bool {
	return s.Record.GetStage() == wire.MoveStage_MOVE_STAGE_DONE
}

// ActiveFraction returns the fraction of a version's targets that take requests, from 0 to 1.
func (v *View) ActiveFraction(service, version string) float64 {
	s, ok := v.MoveStates[service]
	switch {
	case ok && s.Move.To == version:
		return max(s.Record.GetShare(), s.Record.GetOnceShare())
	case v.Configuration.Services[service] == nil || v.Configuration.Services[service].Version != version:
		return 0
	}
	return 1
}

// records is the replicated state as received.
type records struct {
	byKey map[string]*wire.Record
	// decodedItems caches the decoded items by key, until their record changes.
	decodedItems map[string]*wire.Item
}

func newRecords() *records {
	return &records{byKey: map[string]*wire.Record{}, decodedItems: map[string]*wire.Item{}}
}

// merge adds the records of a response and reports whether the configuration changed.
func (r *records) merge(p *wire.PollResponse) (textChanged bool) {
	if p.GetSnapshot() {
		clear(r.byKey)
		clear(r.decodedItems)
		textChanged = true
	}
	for _, n := range p.GetRecords() {
		textChanged = textChanged || strings.HasPrefix(n.GetKey(), wire.TextRecords) || strings.HasPrefix(n.GetKey(), wire.ItemRecords)
		delete(r.decodedItems, n.GetKey())
		if n.GetDeleted() {
			delete(r.byKey, n.GetKey())
			continue
		}
		r.byKey[n.GetKey()] = n
	}
	return textChanged
}

// compile returns the View of the records. It keeps the configuration of old unless textChanged.
func (r *records) compile(index uint64, old *View, textChanged bool, zones map[string]string) (*View, error) {
	v := &View{
		Index:           index,
		Configuration:   old.Configuration,
		Entries:         map[string]*wire.EntryMember{},
		Roles:           map[string]*wire.Role{},
		MoveStates:      map[string]MoveState{},
		Targets:         old.Targets,
		RegionFractions: old.RegionFractions,
		Evacuated:       map[string]bool{},
		moves:           map[string]*wire.MoveRecord{},
	}
	for k, n := range r.byKey {
		if err := v.addRecord(k, n); err != nil {
			return nil, err
		}
	}
	if textChanged {
		if err := v.compileConfiguration(r, zones); err != nil {
			return v, err
		}
	}
	v.matchMoves()
	return v, nil
}

// matchMoves joins the configured moves with their records. A renamed move continues with its old
// record until control has created a new one.
func (v *View) matchMoves() {
	if v.Configuration == nil {
		return
	}
	for n, m := range v.Configuration.Moves {
		r := wire.FindMove(v.moves, n, m.Course())
		if r != nil || v.Configuration.Services[m.Service].Version == "" {
			v.MoveStates[m.Service] = MoveState{Move: m, Record: r} // without a record all requests go to the old side
		}
	}
}

func (v *View) addRecord(key string, r *wire.Record) error {
	switch {
	case strings.HasPrefix(key, wire.EntryRecords):
		m := &wire.EntryMember{}
		if err := proto.Unmarshal(r.GetValue(), m); err != nil {
			return err
		}
		v.Entries[m.GetName()] = m
	case strings.HasPrefix(key, wire.RoleRecords):
		m := &wire.Role{}
		if err := proto.Unmarshal(r.GetValue(), m); err != nil {
			return err
		}
		v.Roles[m.GetName()] = m
	case strings.HasPrefix(key, wire.EvacuationRecords):
		m := &wire.Evacuation{}
		if err := proto.Unmarshal(r.GetValue(), m); err != nil {
			return err
		}
		v.Evacuated[m.GetAvailabilityZone()] = true
	case strings.HasPrefix(key, wire.MoveRecords):
		m := &wire.MoveRecord{}
		if err := proto.Unmarshal(r.GetValue(), m); err != nil {
			return err
		}
		v.moves[m.GetName()] = m
	}
	return nil
}

func (v *View) compileConfiguration(r *records, zones map[string]string) error {
	sections, err := r.decodeSections()
	if err != nil {
		return err
	}
	items, err := r.decodeItems()
	if err != nil {
		return err
	}
	if len(sections) == 0 && len(items) == 0 {
		v.Configuration = nil
		return nil
	}
	c, problems := parser.Compile(wire.Sections(sections, zones, items))
	v.Configuration = c
	return problems.Err()
}

func (r *records) decodeItems() (map[string]*wire.Item, error) {
	out := map[string]*wire.Item{}
	for k, n := range r.byKey {
		if !strings.HasPrefix(k, wire.ItemRecords) {
			continue
		}
		t := r.decodedItems[k]
		if t == nil {
			t = &wire.Item{}
			if err := proto.Unmarshal(n.GetValue(), t); err != nil {
				return nil, err
			}
			r.decodedItems[k] = t
		}
		out[t.GetName()] = t
	}
	return out, nil
}

func (r *records) decodeSections() ([]loader.Section, error) {
	var keys []string
	for k := range r.byKey {
		if strings.HasPrefix(k, wire.TextRecords) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var out []loader.Section
	for _, k := range keys {
		s := &wire.TextSection{}
		if err := proto.Unmarshal(r.byKey[k].GetValue(), s); err != nil {
			return nil, err
		}
		out = append(out, wire.FromTextSection(s))
	}
	return out, nil
}
