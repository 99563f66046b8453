package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

const now = time.Hour

// newInput returns n live entries in three regions and the required roles of 8 teams.
func newInput(n int) PlanInput {
	p := PlanInput{
		Now: now, Entries: map[string]*wire.EntryMember{}, Roles: map[string]*wire.Role{},
		Callers: map[wire.EntryRun]distributor.Caller{},
	}
	for i := range n {
		m := &wire.EntryMember{Name: fmt.Sprint("entry", i), Incarnation: uint64(i + 1), Region: fmt.Sprint("region", i%3)}
		p.Entries[m.GetName()] = m
		p.Callers[wire.EntryRun{Name: m.GetName(), Incarnation: m.GetIncarnation()}] = distributor.Caller{
			Member: m, LastPoll: now, LastFresh: now, Vacated: map[string]uint64{},
		}
	}
	for i := range 8 {
		p.Required = append(p.Required, RequiredRole{Name: wire.TeamRole(fmt.Sprint(i))})
	}
	return p
}

// TestPlan checks when a role changes its holder: never before the old holder has stopped.
func TestPlan(t *testing.T) {
	role := func(vacant bool) *wire.Role {
		return &wire.Role{Name: wire.TeamRole("0"), Holder: "entry0", Incarnation: 1, Epoch: 4, Vacant: vacant}
	}
	silent := func(p *PlanInput, d time.Duration) {
		n := wire.EntryRun{Name: "entry0", Incarnation: 1}
		c := p.Callers[n]
		c.LastPoll, c.LastFresh = now-d, now-d
		p.Callers[n] = c
	}
	cases := []struct {
		name   string
		change func(p *PlanInput)
		// epoch and vacant are the role's next state; epoch 0 means that it does not change.
		epoch  uint64
		vacant bool
	}{
		{"a live holder keeps the role", func(p *PlanInput) { p.Roles[wire.TeamRole("0")] = role(false) }, 0, false},
		{"a silent holder keeps the role within its lease", func(p *PlanInput) {
			p.Roles[wire.TeamRole("0")] = role(false)
			silent(p, leaseExpiry)
		}, 0, false},
		{"a silent holder loses the role after its lease", func(p *PlanInput) {
			p.Roles[wire.TeamRole("0")] = role(false)
			silent(p, leaseExpiry+1)
		}, 5, false},
		{"a leaving holder has to stop first", func(p *PlanInput) {
			p.Roles[wire.TeamRole("0")] = role(false)
			p.Entries["entry0"].State = wire.EntryState_ENTRY_STATE_LEAVING
		}, 4, true},
		{"a vacant role waits for the holder to stop", func(p *PlanInput) { p.Roles[wire.TeamRole("0")] = role(true) }, 0, false},
		{"a vacant role is assigned once the holder stopped", func(p *PlanInput) {
			p.Roles[wire.TeamRole("0")] = role(true)
			p.Callers[wire.EntryRun{Name: "entry0", Incarnation: 1}].Vacated[wire.TeamRole("0")] = 4
		}, 5, false},
		{"a new leader waits for leases of earlier leaders", func(p *PlanInput) {
			p.Roles[wire.TeamRole("0")] = role(false)
			delete(p.Callers, wire.EntryRun{Name: "entry0", Incarnation: 1})
			p.LeaderSince = now - leaseExpiry
		}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newInput(3)
			p.Required = p.Required[:1]
			c.change(&p)
			var got *wire.Role
			for _, k := range Plan(p) {
				if a := k.GetAssignRole(); a != nil {
					got = a.GetRole()
				}
			}
			is.Equal(got.GetEpoch(), c.epoch)
			is.Equal(got.GetVacant(), c.vacant)
		})
	}
	t.Run("a holder in the preferred region replaces another", func(t *testing.T) {
		is := is.New(t)
		p := newInput(3)
		p.Required = []RequiredRole{{Name: "pool/lamps/region1", Region: "region1"}}
		p.Roles["pool/lamps/region1"] = &wire.Role{Name: "pool/lamps/region1", Holder: "entry0", Incarnation: 1, Epoch: 1}
		p.LeaderSince = now
		is.True(Plan(p)[0].GetAssignRole().GetRole().GetVacant())
		delete(p.Callers, wire.EntryRun{Name: "entry1", Incarnation: 2})
		is.Equal(len(Plan(p)), 0) // no entry in the preferred region is live
	})
	t.Run("first roles are spread over all entries", func(t *testing.T) {
		is := is.New(t)
		counts := map[string]int{}
		for _, k := range Plan(newInput(4)) {
			counts[k.GetAssignRole().GetRole().GetHolder()]++
		}
		is.Equal(len(counts), 4)
	})
}

// TestSilentEntries checks that a silent entry is removed only once it can no longer use anything
// that any leader granted it.
func TestSilentEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		removed bool
	}{{"may use its shares", timekeeper.SilentEnd, false}, {"can use nothing", timekeeper.SilentEnd + 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newInput(2)
			p.Required, p.LeaderSince = nil, now-c.silence
			p.SilentEntries = map[string]*wire.EntryMember{"entry0": p.Entries["entry0"]}
			delete(p.Entries, "entry0")
			delete(p.Callers, wire.EntryRun{Name: "entry0", Incarnation: 1})
			commands := Plan(p)
			is.Equal(len(commands) == 1 && commands[0].GetRemoveEntry().GetName() == "entry0", c.removed)
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 5700} {
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			p := newInput(n)
			for _, k := range Plan(p) {
				r := k.GetAssignRole().GetRole()
				p.Roles[r.GetName()] = r
			}
			for b.Loop() {
				Plan(p)
			}
		})
	}
}
