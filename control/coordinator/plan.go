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

// removeAfter is the silence after which an entry is removed from the members.
const removeAfter = timekeeper.RoleLease + timekeeper.RoleLease/2

// leaseExpiry is the silence after which an entry's role lease has certainly expired.
const leaseExpiry = timekeeper.RoleLease + timekeeper.DriftMargin

// States of entries that may hold roles.
const (
	live     = wire.EntryState_ENTRY_STATE_LIVE
	isolated = wire.EntryState_ENTRY_STATE_ISOLATED
)

// PlanInput is the view of the deployment from which a plan is computed.
type PlanInput struct {
	Now time.Duration
	// LeaderSince is when this member became the leader.
	LeaderSince time.Duration
	Entries     map[string]*wire.EntryMember
	// SilentEntries holds the entries that are no longer members but may still use what they were
	// granted.
	SilentEntries map[string]*wire.EntryMember
	Roles         map[string]*wire.Role
	Callers       map[wire.EntryRun]distributor.Caller
	// Required lists the roles that the text requires.
	Required []RequiredRole
}

// RequiredRole is a role that an entry should hold. Region is the preferred region of the holder, or
// empty if there is none.
type RequiredRole struct {
	Name   string
	Region string
}

// RequiredRoles lists the roles that a configuration requires, sorted by name.
func RequiredRoles(c *parser.Configuration) []RequiredRole {
	var out []RequiredRole
	for n := range c.Teams {
		out = append(out, RequiredRole{Name: wire.TeamRole(n)})
	}
	regional := map[string]string{}
	for n := range c.Links {
		// The owner is in the region where the traffic arrives, since responses are awaited there.
		regional[wire.LinkDirection{From: n.First, To: n.Second}.Role()] = n.Second
		regional[wire.LinkDirection{From: n.Second, To: n.First}.Role()] = n.First
	}
	for _, t := range c.Targets {
		regional[wire.Pool{Service: t.Service, Region: t.Region, Version: t.Version}.Role()] = t.Region
	}
	for n, region := range regional {
		out = append(out, RequiredRole{Name: n, Region: region})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Plan returns the commands that bring the entries and roles in line with the input.
func Plan(p PlanInput) []*wire.Command {
	return append(p.entryCommands(), p.roleCommands()...)
}

// entryCommands returns the commands that add, update and remove entries.
func (p PlanInput) entryCommands() []*wire.Command {
	var out []*wire.Command
	for _, c := range p.sortedCallers() {
		if c.LastPoll < p.LeaderSince || p.Now-c.LastPoll > removeAfter {
			continue // what an entry reported to this member in an earlier term may be outdated
		}
		if old := p.Entries[c.Member.GetName()]; !sameMember(old, c.Member) && p.isNewest(c) {
			out = append(out, &wire.Command{Kind: &wire.Command_PutEntry{
				PutEntry: &wire.PutEntryCommand{Member: c.Member},
			}})
		}
	}
	return append(append(out, p.removals(p.Entries, removeAfter)...), p.removals(p.SilentEntries, timekeeper.SilentEnd)...)
}

// removals returns the commands that remove entries after a silence.
func (p PlanInput) removals(members map[string]*wire.EntryMember, after time.Duration) []*wire.Command {
	var out []*wire.Command
	for _, n := range slices.Sorted(maps.Keys(members)) {
		m := members[n]
		if p.silence(m.GetName(), m.GetIncarnation()) > after && !p.isPolling(m.GetName()) {
			out = append(out, &wire.Command{Kind: &wire.Command_RemoveEntry{
				RemoveEntry: &wire.RemoveEntryCommand{Name: m.GetName(), Incarnation: m.GetIncarnation()},
			}})
		}
	}
	return out
}

// isNewest reports whether no other incarnation of the entry has polled later.
func (p PlanInput) isNewest(c distributor.Caller) bool {
	for n, o := range p.Callers {
		if n.Name == c.Member.GetName() && o.LastPoll > c.LastPoll {
			return false
		}
	}
	return true
}

// isPolling reports whether any incarnation of an entry has polled within removeAfter.
func (p PlanInput) isPolling(name string) bool {
	for n, c := range p.Callers {
		if n.Name == name && p.Now-c.LastPoll <= removeAfter {
			return true
		}
	}
	return false
}

// silence returns the time since an incarnation last polled or received a fresh response, whichever
// is later, but at most the time since this member became the leader.
func (p PlanInput) silence(name string, incarnation uint64) time.Duration {
	since := p.LeaderSince
	if c, ok := p.Callers[wire.EntryRun{Name: name, Incarnation: incarnation}]; ok {
		since = max(since, c.LastFresh, c.LastPoll)
	}
	return p.Now - since
}

// roleCommands returns the commands that assign and vacate roles.
func (p PlanInput) roleCommands() []*wire.Command {
	roleCounts := map[string]int{}
	for _, r := range p.Roles {
		if !r.GetVacant() {
			roleCounts[r.GetHolder()]++
		}
	}
	var out []*wire.Command
	for _, w := range p.Required {
		if r := p.nextRole(w, roleCounts); r != nil {
			out = append(out, &wire.Command{Kind: &wire.Command_AssignRole{
				AssignRole: &wire.AssignRoleCommand{Role: r},
			}})
		}
	}
	return out
}

// nextRole returns the next state of a role, or nil if it does not change.
func (p PlanInput) nextRole(w RequiredRole, roleCounts map[string]int) *wire.Role {
	r := p.Roles[w.Name]
	if r != nil && !r.GetVacant() && p.mayKeep(w, r) {
		return nil
	}
	if r != nil && !p.hasStopped(r) {
		if r.GetVacant() {
			return nil // the holder has not acknowledged yet that it stopped
		}
		return &wire.Role{Name: r.GetName(), Holder: r.GetHolder(), Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch(), Vacant: true}
	}
	holder := p.chooseHolder(w, roleCounts)
	if holder == nil {
		return nil
	}
	roleCounts[holder.GetName()]++
	return &wire.Role{Name: w.Name, Holder: holder.GetName(), Incarnation: holder.GetIncarnation(), Epoch: r.GetEpoch() + 1, Previous: r.GetHolder()}
}

// mayKeep reports whether the holder of a role may keep it: it is live, or it is isolated and either
// the role needs no targets or no entry is live. A holder outside the role's preferred region loses
// the role as soon as a live entry in that region is eligible.
func (p PlanInput) mayKeep(w RequiredRole, r *wire.Role) bool {
	m := p.Entries[r.GetHolder()]
	if w.Region != "" && m.GetRegion() != w.Region && len(p.eligible(live, w.Region)) > 0 {
		return false
	}
	if m == nil || m.GetIncarnation() != r.GetIncarnation() || p.silence(r.GetHolder(), r.GetIncarnation()) > leaseExpiry {
		return false
	}
	switch m.GetState() {
	case live:
		return true
	case isolated:
		_, needsTargets := wire.ParsePool(w.Name)
		return !needsTargets || !p.hasLiveEntry()
	}
	return false
}

// hasStopped reports whether a holder can no longer act: it acknowledged that the role is vacant, or
// its lease has expired.
func (p PlanInput) hasStopped(r *wire.Role) bool {
	if p.silence(r.GetHolder(), r.GetIncarnation()) > leaseExpiry {
		return true
	}
	c, ok := p.Callers[wire.EntryRun{Name: r.GetHolder(), Incarnation: r.GetIncarnation()}]
	return ok && r.GetVacant() && c.Vacated[r.GetName()] >= r.GetEpoch()
}

// chooseHolder returns the candidate with the fewest roles. Rendezvous hashing breaks ties.
func (p PlanInput) chooseHolder(w RequiredRole, roleCounts map[string]int) *wire.EntryMember {
	candidates := p.candidates(w)
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *wire.EntryMember) int {
		if d := roleCounts[a.GetName()] - roleCounts[b.GetName()]; d != 0 {
			return d
		}
		if weight(w.Name, a.GetName()) > weight(w.Name, b.GetName()) {
			return -1
		}
		return 1
	})
}

// candidates returns the live entries of a role's preferred region, or of all regions if it has none.
// Without any live entry it returns the isolated ones.
func (p PlanInput) candidates(w RequiredRole) []*wire.EntryMember {
	for _, state := range []wire.EntryState{live, isolated} {
		for _, region := range []string{w.Region, ""} {
			if out := p.eligible(state, region); len(out) > 0 {
				return out
			}
		}
	}
	return nil
}

// eligible returns the entries in a state that may act in a role, of a region or of all if it is
// empty.
func (p PlanInput) eligible(state wire.EntryState, region string) []*wire.EntryMember {
	var out []*wire.EntryMember
	for _, n := range slices.Sorted(maps.Keys(p.Entries)) {
		m := p.Entries[n]
		if m.GetState() == state && p.mayAct(m) && (region == "" || m.GetRegion() == region) {
			out = append(out, m)
		}
	}
	return out
}

// hasLiveEntry reports whether any live entry may act in a role.
func (p PlanInput) hasLiveEntry() bool {
	for _, m := range p.Entries {
		if m.GetState() == live && p.mayAct(m) {
			return true
		}
	}
	return false
}

// mayAct reports whether an entry polls and its role lease has not expired.
func (p PlanInput) mayAct(m *wire.EntryMember) bool {
	_, polls := p.Callers[wire.EntryRunOf(m)]
	return polls && p.silence(m.GetName(), m.GetIncarnation()) <= leaseExpiry
}

// sortedCallers returns the callers sorted by the name of their entry.
func (p PlanInput) sortedCallers() []distributor.Caller {
	out := make([]distributor.Caller, 0, len(p.Callers))
	for _, c := range p.Callers {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.GetName() < out[j].Member.GetName() })
	return out
}

// sameMember reports whether two members have the same incarnation, state, addresses, region and
// availability zone.
func sameMember(a, b *wire.EntryMember) bool {
	return a != nil && a.GetIncarnation() == b.GetIncarnation() && a.GetState() == b.GetState() &&
		a.GetAddress() == b.GetAddress() && a.GetPeerAddress() == b.GetPeerAddress() &&
		a.GetRegion() == b.GetRegion() && a.GetAvailabilityZone() == b.GetAvailabilityZone()
}

// weight returns the rendezvous hash of an entry for a role.
func weight(role, entry string) uint64 {
	return xxhash.Sum64String(role + "\x00" + entry)
}
