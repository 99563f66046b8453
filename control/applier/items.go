package applier

import (
	"sort"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// changeItems sets and drops items. The highest version of each name is kept. The version of a
// dropped item is kept too, so that an older change does not restore the item.
func (s *State) changeItems(c *wire.ChangeItemsCommand) Result {
	for _, n := range c.GetItems() {
		s.changeItem(n)
	}
	s.recordOrder(c.GetDigest())
	return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED}
}

// changeItem writes an item and its form unless a version as high is kept.
func (s *State) changeItem(n *wire.Item) {
	old := s.item(n.GetName())
	if old != nil && old.GetVersion() >= n.GetVersion() {
		return
	}
	kept := &wire.Item{Name: n.GetName(), Version: n.GetVersion(), Dropped: n.GetDropped(), Section: n.GetSection()}
	s.put(wire.ItemRecords+n.GetName(), kept)
	if n.GetDropped() {
		s.delete(formPrefix + n.GetName())
		return
	}
	s.put(formPrefix+n.GetName(), &wire.Item{Name: n.GetName(), Version: n.GetVersion(), Form: n.GetForm()})
}

// item returns the item of a name, dropped or not, or nil.
func (s *State) item(name string) *wire.Item {
	r := s.records[wire.ItemRecords+name]
	if r == nil || r.GetDeleted() {
		return nil
	}
	n := &wire.Item{}
	s.decode(r, n)
	return n
}

// recordOrder stores the digest of an order, so that a resent order is recognized even after
// newer ones. The last KeptOrders digests are kept.
func (s *State) recordOrder(digest string) {
	key := orderPrefix + digest
	if digest == "" || s.records[key] != nil {
		return
	}
	s.put(key, &wire.RevisionRecord{Digest: digest, Index: s.index})
	s.orders = append(s.orders, change{s.index, key})
	for len(s.orders) > KeptOrders {
		s.delete(s.orders[0].key)
		s.orders = s.orders[1:]
	}
}

// restoreOrders rebuilds the list of orders from the records.
func (s *State) restoreOrders() {
	s.orders = nil
	for k, r := range s.records {
		if strings.HasPrefix(k, orderPrefix) {
			s.orders = append(s.orders, change{r.GetIndex(), k})
		}
	}
	sort.Slice(s.orders, func(i, j int) bool {
		if s.orders[i].index != s.orders[j].index {
			return s.orders[i].index < s.orders[j].index
		}
		return s.orders[i].key < s.orders[j].key
	})
}

// evacuate begins or ends the evacuation of an availability zone.
func (s *State) evacuate(c *wire.EvacuateCommand) Result {
	key := wire.EvacuationRecords + c.GetAvailabilityZone()
	if c.GetWithdrawn() {
		s.delete(key)
	} else {
		s.put(key, &wire.Evacuation{AvailabilityZone: c.GetAvailabilityZone()})
	}
	return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED}
}

// Parameters of ordered moves, in the form of the configuration text.
const (
	// orderedExposure is the share that the new side of an ordered move has until there is
	// evidence for it.
	orderedExposure = "5%"
	// orderedBake is how long the last step of an ordered move waits for late faults.
	orderedBake = "2500ms"
)

// beginMove writes the move that an operator ordered for a service, as an item. An order for the
// same version as the previous one changes nothing, so that it may be resent.
func (s *State) beginMove(c *wire.BeginMoveCommand) Result {
	name := "move " + c.GetService()
	old := s.item(name)
	previous := ""
	if old != nil {
		previous, _ = wire.FromTextSection(old.GetSection()).Value("to")
	}
	if previous == c.GetTo() {
		return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED}
	}
	deadline := time.UnixMilli(c.GetBegunUnixMilliseconds() + c.GetDurationMilliseconds()).UTC()
	section := loader.Section{Name: name, Keys: []loader.Key{
		{Name: "service", Value: c.GetService()}, {Name: "to", Value: c.GetTo()},
		{Name: "cap", Value: "100%"}, {Name: "exposure", Value: orderedExposure}, {Name: "bake", Value: orderedBake},
		{Name: "deadline", Value: deadline.Format(time.RFC3339Nano)},
	}}
	if barred := s.barredVersions(c.GetService(), old); barred != "" {
		section.Keys = append(section.Keys, loader.Key{Name: "barred", Value: barred})
	}
	s.put(wire.ItemRecords+name, &wire.Item{Name: name, Version: s.index, Section: wire.ToTextSection(section)})
	return Result{Submit: wire.SubmitResult_SUBMIT_RESULT_ACCEPTED}
}

// barredVersions returns the versions of a service whose moves were taken back, separated by
// commas. old is the item of the service's previous move.
func (s *State) barredVersions(service string, old *wire.Item) string {
	if old == nil {
		return ""
	}
	section := wire.FromTextSection(old.GetSection())
	list, _ := section.Value("barred")
	var m wire.MoveRecord
	if r := s.records[wire.MoveRecords+service]; r != nil && !r.GetDeleted() {
		s.decode(r, &m)
	}
	if m.GetStage() != wire.MoveStage_MOVE_STAGE_TAKEN_BACK {
		return list
	}
	to, _ := section.Value("to")
	if list == "" {
		return to
	}
	return list + ", " + to
}

// HasOrder reports whether the digest is among the last accepted orders.
func (s *State) HasOrder(digest string) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.records[orderPrefix+digest] != nil
}

// Items returns the items by name, including dropped ones with their versions.
func (s *State) Items() map[string]*wire.Item {
	out := map[string]*wire.Item{}
	s.each(wire.ItemRecords, func(r *wire.Record) {
		n := &wire.Item{}
		s.decode(r, n)
		out[n.GetName()] = n
	})
	return out
}

// Forms returns the items that are not dropped, in the form in which operators wrote them.
func (s *State) Forms() []*wire.Item {
	var out []*wire.Item
	s.each(formPrefix, func(r *wire.Record) {
		n := &wire.Item{}
		s.decode(r, n)
		out = append(out, n)
	})
	return out
}

// MoveIndex returns the index of the last change of a move's record.
func (s *State) MoveIndex(name string) uint64 {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.records[wire.MoveRecords+name].GetIndex()
}

// EvacuatedZones lists the availability zones under evacuation.
func (s *State) EvacuatedZones() []string {
	var out []string
	s.each(wire.EvacuationRecords, func(r *wire.Record) {
		n := &wire.Evacuation{}
		s.decode(r, n)
		out = append(out, n.GetAvailabilityZone())
	})
	return out
}

// CompileItems compiles items into a Configuration. zones holds the regions of the deployment's
// availability zones.
func CompileItems(zones map[string]string, items map[string]*wire.Item) (*parser.Configuration, loader.Problems) {
	return parser.Compile(wire.Sections(nil, zones, items))
}
