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

// picture returns n live entries over three regions and the roles of 8 teams.
func picture(n int) Picture {
	p := Picture{
		Now: now, Entries: map[string]*wire.EntryMember{}, Roles: map[string]*wire.Role{},
		Callers: map[wire.Caller]distributor.Caller{},
	}
	for i := range n {
		m := &wire.EntryMember{Name: fmt.Sprint("entry", i), Incarnation: uint64(i + 1), Region: fmt.Sprint("region", i%3)}
		p.Entries[m.GetName()] = m
		p.Callers[wire.Caller{Name: m.GetName(), Incarnation: m.GetIncarnation()}] = distributor.Caller{
			Member: m, Asked: now, Fresh: now, Vacated: map[string]uint64{},
		}
	}
	for i := range 8 {
		p.Wanted = append(p.Wanted, WantedRole{Name: wire.TeamRole(fmt.Sprint(i))})
	}
	return p
}

func TestPlan(t *testing.T) {
	role := func(vacant bool) *wire.Role {
		return &wire.Role{Name: wire.TeamRole("0"), Holder: "entry0", Incarnation: 1, Epoch: 4, Vacant: vacant}
	}
	silent := func(p *Picture, d time.Duration) {
		n := wire.Caller{Name: "entry0", Incarnation: 1}
		c := p.Callers[n]
		c.Asked, c.Fresh = now-d, now-d
		p.Callers[n] = c
	}
	cases := []struct {
		name   string
		change func(p *Picture)
		// want is the role's next state: epoch and vacant; epoch 0 means that it stays.
		epoch  uint64
		vacant bool
	}{
		{"live holder keeps", func(p *Picture) { p.Roles[wire.TeamRole("0")] = role(false) }, 0, false},
		{"silent within its lease keeps", func(p *Picture) {
			p.Roles[wire.TeamRole("0")] = role(false)
			silent(p, lapsed)
		}, 0, false},
		{"silent beyond its lease loses", func(p *Picture) {
			p.Roles[wire.TeamRole("0")] = role(false)
			silent(p, lapsed+1)
		}, 5, false},
		{"leaving is told to stop first", func(p *Picture) {
			p.Roles[wire.TeamRole("0")] = role(false)
			p.Entries["entry0"].State = wire.EntryState_ENTRY_STATE_LEAVING
		}, 4, true},
		{"vacant waits for the holder's word", func(p *Picture) { p.Roles[wire.TeamRole("0")] = role(true) }, 0, false},
		{"vacant moves once the holder stopped", func(p *Picture) {
			p.Roles[wire.TeamRole("0")] = role(true)
			p.Callers[wire.Caller{Name: "entry0", Incarnation: 1}].Vacated[wire.TeamRole("0")] = 4
		}, 5, false},
		{"a new leader waits for leases it does not know", func(p *Picture) {
			p.Roles[wire.TeamRole("0")] = role(false)
			delete(p.Callers, wire.Caller{Name: "entry0", Incarnation: 1})
			p.LeaderSince = now - lapsed
		}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := picture(3)
			p.Wanted = p.Wanted[:1]
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
	t.Run("a far holder gives way to a near one", func(t *testing.T) {
		is := is.New(t)
		p := picture(3)
		p.Wanted = []WantedRole{{Name: "pool/lamps/region1", Region: "region1"}}
		p.Roles["pool/lamps/region1"] = &wire.Role{Name: "pool/lamps/region1", Holder: "entry0", Incarnation: 1, Epoch: 1}
		p.LeaderSince = now
		is.True(Plan(p)[0].GetAssignRole().GetRole().GetVacant())
		delete(p.Callers, wire.Caller{Name: "entry1", Incarnation: 2})
		is.Equal(len(Plan(p)), 0) // nobody near is live
	})
	t.Run("first roles spread", func(t *testing.T) {
		is := is.New(t)
		counts := map[string]int{}
		for _, k := range Plan(picture(4)) {
			counts[k.GetAssignRole().GetRole().GetHolder()]++
		}
		is.Equal(len(counts), 4)
	})
}

// TestSilentEntries: an entry is kept as silent until it can use nothing any more that any
// leader granted it.
func TestSilentEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		removed bool
	}{{"may use its shares", timekeeper.SilentEnd, false}, {"can use nothing", timekeeper.SilentEnd + 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := picture(2)
			p.Wanted, p.LeaderSince = nil, now-c.silence
			p.Silent = map[string]*wire.EntryMember{"entry0": p.Entries["entry0"]}
			delete(p.Entries, "entry0")
			delete(p.Callers, wire.Caller{Name: "entry0", Incarnation: 1})
			commands := Plan(p)
			is.Equal(len(commands) == 1 && commands[0].GetRemoveEntry().GetName() == "entry0", c.removed)
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 5700} {
		b.Run(fmt.Sprintf("%d entries", n), func(b *testing.B) {
			p := picture(n)
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
