package coordinator

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// removeAfter is the silence after which an entry is taken out of the members.
const removeAfter = timekeeper.RoleLease + timekeeper.RoleLease/2

// lapsed is the silence after which an entry's role lease has surely run out.
const lapsed = timekeeper.RoleLease + timekeeper.DriftMargin

// Picture is all that a plan is worked out from.
type Picture struct {
	Now time.Duration
	// LeaderSince is when this member began to lead.
	LeaderSince time.Duration
	Entries     map[string]*wire.EntryMember
	// Silent are entries that are members no more and may still use what they were granted.
	Silent  map[string]*wire.EntryMember
	Roles   map[string]*wire.Role
	Callers map[wire.Caller]distributor.Caller
	// Wanted lists the roles that the text calls for, with the region they prefer.
	Wanted []WantedRole
}

// WantedRole is a role that should be held; Region is empty where any will do.
type WantedRole struct {
	Name   string
	Region string
}

// Wanted lists the roles that a configuration calls for.
func Wanted(c *parser.Configuration) []WantedRole {
	var out []WantedRole
	for n := range c.Teams {
		out = append(out, WantedRole{Name: wire.TeamRole(n)})
	}
	regional := map[string]string{}
	for n := range c.Links {
		// The owner sits where the traffic arrives, which is where answers are waited for.
		regional[wire.Way{From: n.First, To: n.Second}.Role()] = n.Second
		regional[wire.Way{From: n.Second, To: n.First}.Role()] = n.First
	}
	for _, t := range c.Targets {
		regional[wire.Pool{Service: t.Service, Region: t.Region, Version: t.Version}.Role()] = t.Region
	}
	for n, region := range regional {
		out = append(out, WantedRole{Name: n, Region: region})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Plan returns the commands that bring entries and roles in line with the picture.
func Plan(p Picture) []*wire.Command {
	return append(p.entryCommands(), p.roleCommands()...)
}

func (p Picture) entryCommands() []*wire.Command {
	var out []*wire.Command
	for _, c := range p.sortedCallers() {
		if p.Now-c.Asked > removeAfter {
			continue
		}
		if old := p.Entries[c.Member.GetName()]; !same(old, c.Member) && p.newest(c) {
			out = append(out, &wire.Command{Kind: &wire.Command_PutEntry{
				PutEntry: &wire.PutEntryCommand{Member: c.Member},
			}})
		}
	}
	return append(append(out, p.removals(p.Entries, removeAfter)...), p.removals(p.Silent, timekeeper.SilentEnd)...)
}

// removals are the commands that remove entries after a silence.
func (p Picture) removals(members map[string]*wire.EntryMember, after time.Duration) []*wire.Command {
	var out []*wire.Command
	for _, n := range slices.Sorted(maps.Keys(members)) {
		m := members[n]
		if p.silence(m.GetName(), m.GetIncarnation()) > after && !p.present(m.GetName()) {
			out = append(out, &wire.Command{Kind: &wire.Command_RemoveEntry{
				RemoveEntry: &wire.RemoveEntryCommand{Name: m.GetName(), Incarnation: m.GetIncarnation()},
			}})
		}
	}
	return out
}

// newest tells whether no other incarnation of the same name asked later.
func (p Picture) newest(c distributor.Caller) bool {
	for n, o := range p.Callers {
		if n.Name == c.Member.GetName() && o.Asked > c.Asked {
			return false
		}
	}
	return true
}

// present tells whether any incarnation of an entry polls.
func (p Picture) present(name string) bool {
	for n, c := range p.Callers {
		if n.Name == name && p.Now-c.Asked <= removeAfter {
			return true
		}
	}
	return false
}

// silence returns how long an incarnation was not told that it is up to date, at most
// the time that this member leads.
func (p Picture) silence(name string, incarnation uint64) time.Duration {
	since := p.LeaderSince
	if c, ok := p.Callers[wire.Caller{Name: name, Incarnation: incarnation}]; ok {
		since = max(since, c.Fresh, c.Asked)
	}
	return p.Now - since
}

func (p Picture) roleCommands() []*wire.Command {
	load := map[string]int{}
	for _, r := range p.Roles {
		if !r.GetVacant() {
			load[r.GetHolder()]++
		}
	}
	var out []*wire.Command
	for _, w := range p.Wanted {
		if r := p.step(w, load); r != nil {
			out = append(out, &wire.Command{Kind: &wire.Command_AssignRole{
				AssignRole: &wire.AssignRoleCommand{Role: r},
			}})
		}
	}
	return out
}

// step returns the next state of a role, or nil if it stays.
func (p Picture) step(w WantedRole, load map[string]int) *wire.Role {
	r := p.Roles[w.Name]
	if r != nil && !r.GetVacant() && p.fit(w, r) {
		return nil
	}
	if r != nil && !p.surelyStopped(r) {
		if r.GetVacant() {
			return nil // its holder has not said yet that it stopped
		}
		return &wire.Role{Name: r.GetName(), Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch(), Vacant: true}
	}
	holder := p.choose(w, load)
	if holder == nil {
		return nil
	}
	load[holder.GetName()]++
	return &wire.Role{Name: w.Name, Holder: holder.GetName(), Incarnation: holder.GetIncarnation(), Epoch: r.GetEpoch() + 1, Previous: r.GetHolder()}
}

// fit tells whether the holder of a role is live and may keep it. A holder far away gives
// way as soon as there is one in the region that the role prefers.
func (p Picture) fit(w WantedRole, r *wire.Role) bool {
	m := p.Entries[r.GetHolder()]
	if w.Region != "" && m.GetRegion() != w.Region && len(p.eligible(w.Region)) > 0 {
		return false
	}
	live := m != nil && m.GetIncarnation() == r.GetIncarnation() && m.GetState() == wire.EntryState_ENTRY_STATE_LIVE
	return live && p.silence(r.GetHolder(), r.GetIncarnation()) <= lapsed
}

// surelyStopped tells whether a holder can't act any more: it acknowledged that the role
// is vacant, or its lease has run out.
func (p Picture) surelyStopped(r *wire.Role) bool {
	if p.silence(r.GetHolder(), r.GetIncarnation()) > lapsed {
		return true
	}
	c, ok := p.Callers[wire.Caller{Name: r.GetHolder(), Incarnation: r.GetIncarnation()}]
	return ok && r.GetVacant() && c.Vacated[r.GetName()] >= r.GetEpoch()
}

// choose returns the eligible entry with the fewest roles; rendezvous hashing breaks ties.
func (p Picture) choose(w WantedRole, load map[string]int) *wire.EntryMember {
	near := p.eligible(w.Region)
	if len(near) == 0 {
		near = p.eligible("")
	}
	if len(near) == 0 {
		return nil
	}
	return slices.MinFunc(near, func(a, b *wire.EntryMember) int {
		if d := load[a.GetName()] - load[b.GetName()]; d != 0 {
			return d
		}
		if weight(w.Name, a.GetName()) > weight(w.Name, b.GetName()) {
			return -1
		}
		return 1
	})
}

// eligible returns the live entries of a region, or all of them.
func (p Picture) eligible(region string) []*wire.EntryMember {
	var out []*wire.EntryMember
	for _, n := range slices.Sorted(maps.Keys(p.Entries)) {
		m := p.Entries[n]
		_, polls := p.Callers[wire.Caller{Name: n, Incarnation: m.GetIncarnation()}]
		live := polls && m.GetState() == wire.EntryState_ENTRY_STATE_LIVE && p.silence(n, m.GetIncarnation()) <= lapsed
		if live && (region == "" || m.GetRegion() == region) {
			out = append(out, m)
		}
	}
	return out
}

func (p Picture) sortedCallers() []distributor.Caller {
	out := make([]distributor.Caller, 0, len(p.Callers))
	for _, c := range p.Callers {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.GetName() < out[j].Member.GetName() })
	return out
}

func same(a, b *wire.EntryMember) bool {
	return a != nil && a.GetIncarnation() == b.GetIncarnation() && a.GetState() == b.GetState() &&
		a.GetAddress() == b.GetAddress() && a.GetPeerAddress() == b.GetPeerAddress() &&
		a.GetRegion() == b.GetRegion() && a.GetAvailabilityZone() == b.GetAvailabilityZone()
}

func weight(role, entry string) uint64 {
	return xxhash.Sum64String(role + "\x00" + entry)
}
