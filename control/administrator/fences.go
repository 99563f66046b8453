package administrator

import "github.com/filberthoist/filberthoist/core/wire"

// fences counts the orders of one term by what they concern. An order without a version may be delivered
// long after its sender gave up and sent a newer one. The count outdates it: its sender read a fence before
// it gave up, and the newer order has changed the fence since, whether it came here, through another member
// or to a later leader. Counts need no replication, since a term has one leader, and a new term outdates all
// fences of earlier ones.
type fences struct {
	term   uint64
	orders map[string]uint64
}

// current returns the fence of a subject.
func (f *fences) current(term uint64, subject string) *wire.Fence {
	f.enter(term)
	return &wire.Fence{Term: term, Orders: f.orders[subject]}
}

// advance outdates the fences that were given for a subject. Subjects must be valid, as they are kept until
// the next term.
func (f *fences) advance(term uint64, subject string) {
	f.enter(term)
	if subject != "" {
		f.orders[subject]++
	}
}

// enter starts the counts of a term. Those of a term that has ended are never counted anew.
func (f *fences) enter(term uint64) {
	if f.term < term {
		f.term, f.orders = term, map[string]uint64{}
	}
}

// subjectOf returns what an order without a version concerns, or "" for an order of items, which have
// versions.
func subjectOf(c *wire.Command) string {
	switch k := c.GetKind().(type) {
	case *wire.Command_Evacuate:
		return "availability zone " + k.Evacuate.GetAvailabilityZone()
	case *wire.Command_BeginMove:
		return "service " + k.BeginMove.GetService()
	}
	return ""
}
