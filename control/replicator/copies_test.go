package replicator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

// TestMinCopies: an entry is committed once a majority and the configured number of voters store
// it, capped at the number of voters; learners don't count.
func TestMinCopies(t *testing.T) {
	cases := []struct {
		minCopies int
		// held are the last indexes that the voters store, the leader's first.
		held []uint64
		want uint64
	}{
		{0, []uint64{9, 9, 0}, 9},
		{0, []uint64{9, 0, 0}, 0},
		{3, []uint64{9, 9, 4}, 4},
		{3, []uint64{9, 9, 9, 0, 0}, 9},
		{3, []uint64{9, 9, 5, 0, 0}, 5},
		{3, []uint64{9, 9, 9, 4}, 9},
		{3, []uint64{9, 8}, 8},
		{4, []uint64{9, 9, 9, 3, 0}, 3},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.minCopies, " of ", c.held), func(t *testing.T) {
			m := &Core{config: Config{ID: 1}, members: &wire.Membership{}, peers: map[uint64]*progress{}}
			for i, h := range c.held {
				m.members.Members = append(m.members.Members, &wire.ControlMember{Id: uint64(i + 1)})
				m.peers[uint64(i+1)] = &progress{match: h}
			}
			m.members.Members = append(m.members.Members, &wire.ControlMember{Id: 50, Learner: true})
			m.peers[50] = &progress{match: 9}
			got := m.replicatedValue(c.minCopies, c.held[0], func(p *progress) uint64 { return p.match })
			is.New(t).Equal(got, c.want)
		})
	}
}
