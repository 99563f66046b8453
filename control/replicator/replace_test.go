package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/core/wire"
)

// replaceUntilDone lets the leader continue replacements while the given members store all it sends.
func replaceUntilDone(c *Core, now time.Duration, running ...uint64) {
	for range 10 {
		c.StartRound(now)
		c.Ready()
		for _, id := range running {
			c.Step(now, &wire.Message{
				Type: wire.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: id, To: 1, Term: c.Term(), Index: c.LastIndex(), Round: c.round,
			})
		}
		c.ContinueReplacement(now)
	}
}

// Guards against a lost voter that stays a member when the first one to replace it is lost too.
func TestReplacementOfAReplacement(t *testing.T) {
	is := is.New(t)
	c := newTestCore(5, recorder.Restored{State: &wire.HardState{Term: 1}})
	c.becomeLeader(0)
	replaceUntilDone(c, 0, 2, 3, 4)
	is.NoErr(c.Replace(0, &wire.ControlMember{Id: 6, Learner: true, Replaces: 5}))
	replaceUntilDone(c, 0, 2, 3, 4) // 6 is lost before it stores anything
	is.NoErr(c.Replace(0, &wire.ControlMember{Id: 7, Learner: true, Replaces: 6}))
	now := 2 * testElectionTimeout
	replaceUntilDone(c, now, 2, 3, 4, 7)
	var ids []uint64
	for _, m := range c.Members().GetMembers() {
		is.True(!m.GetLearner())
		ids = append(ids, m.GetId())
	}
	is.Equal(ids, []uint64{1, 2, 3, 4, 7})
}

// Guards against a lost member that counts as a voter beside its successor, and against the removal of
// a running one before its successor votes.
func TestOrderOfAReplacement(t *testing.T) {
	cases := []struct {
		name    string
		address string
		// voters are those after each step.
		voters [][]uint64
	}{
		{"lost disk", "address of 5", [][]uint64{{1, 2, 3, 4, 5}, {1, 2, 3, 4}, {1, 2, 3, 4, 6}}},
		{"another machine", "address of 6", [][]uint64{{1, 2, 3, 4, 5}, {1, 2, 3, 4, 5, 6}, {1, 2, 3, 4, 6}}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCore(5, recorder.Restored{State: &wire.HardState{Term: 1}})
			c.members.Members[4].Address = "address of 5"
			c.becomeLeader(0)
			replaceUntilDone(c, 0, 2, 3, 4)
			is.NoErr(c.Replace(0, &wire.ControlMember{Id: 6, Learner: true, Replaces: 5, Address: tt.address}))
			replaceUntilDone(c, 0, 2, 3, 4, 6)
			var seen [][]uint64
			for _, e := range c.log.entries {
				if e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
					seen = append(seen, votersOf(c.decodeMembers(e)))
				}
			}
			is.Equal(seen, tt.voters)
		})
	}
}

func votersOf(m *wire.Membership) []uint64 {
	var out []uint64
	for _, o := range m.GetMembers() {
		if !o.GetLearner() {
			out = append(out, o.GetId())
		}
	}
	return out
}
