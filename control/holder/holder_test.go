package holder

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

const lease = 3 * time.Second

// model is a log with members of which one leads. A member that led before goes on with the state it
// had then, until it learns of its successor.
type model struct {
	now     time.Duration
	index   uint64
	record  *wire.Duty // as committed
	leader  int
	members []*member
	calls   []call
	// uncertain is an acquisition that was proposed and is committed with the next leader, or not at all.
	uncertain *wire.Duty
}

type member struct {
	id      uint64
	holder  *Holder
	serving bool
	state   *wire.Duty
	// confirming is called before and after a quorum round, and losing decides what becomes of a proposal.
	confirming func()
	losing     func() int
}

// call is a call that the platform got.
type call struct {
	at    time.Duration
	from  uint64
	fence uint64
}

func newModel(members int) *model {
	m := &model{now: time.Hour}
	for i := range members {
		m.members = append(m.members, &member{id: uint64(i + 1), confirming: func() {}, losing: func() int { return 0 }})
		m.restart(i)
	}
	m.lead(0)
	return m
}

// restart gives a member a Holder that remembers nothing.
func (m *model) restart(i int) {
	b := m.members[i]
	b.holder = NewHolder(Config{
		Clock: timekeeper.Clock{Now: func() time.Duration { return m.now }}, Duty: "usage", Self: b.id, Lease: lease,
		Serving: func() bool { return b.serving },
		Record:  func() *wire.Duty { return b.state },
		Confirm: func(context.Context) error {
			b.confirming()
			if m.members[m.leader] != b {
				return errors.New("not the leader")
			}
			b.confirming() // a pause or an election may follow the round at once
			return nil
		},
		Acquire: func(context.Context) error { return m.acquire(i) },
	})
}

func (m *model) acquire(i int) error {
	m.index++
	d := &wire.Duty{Holder: m.members[i].id, Fence: m.index}
	lost := m.members[i].losing()
	switch {
	case m.leader != i || lost == 1:
		m.uncertain = d // the leader lost its place, and the next one may have the entry
		return errors.New("unknown")
	case lost == 2:
		m.record, m.members[i].state = d, d
		return errors.New("unknown, though committed")
	}
	m.record, m.members[i].state = d, d
	return nil
}

// lead makes a member the leader with all that is committed.
func (m *model) lead(i int) {
	m.index++
	m.leader = i
	m.members[i].serving, m.members[i].state = true, m.record
}

// act lets a member make one call, which arrives a part of the time allowed for it later.
func (m *model) act(i int, part float64) bool {
	b := m.members[i]
	d, err := b.holder.Hold(context.Background())
	if err != nil {
		return false
	}
	limit, err := b.holder.Confirm(context.Background(), d.GetFence())
	if err != nil {
		return false
	}
	m.calls = append(m.calls, call{at: m.now + time.Duration(part*float64(limit)), from: b.id, fence: d.GetFence()})
	return true
}

// TestNoTwoHolders explores orders of acquisitions, calls, changes of leader, pauses, restarts and lost
// proposals. The platform must never get a lower fence after a higher one, one fence from two members,
// or calls of A, B and A within a lease.
func TestNoTwoHolders(t *testing.T) {
	rapid.Check(t, explore)
}

// FuzzNoTwoHolders is TestNoTwoHolders for longer searches.
func FuzzNoTwoHolders(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(explore))
}

func explore(t *rapid.T) {
	m := newModel(3)
	index := rapid.SampledFrom([]int{0, 1, 2})
	for _, b := range m.members {
		b.losing = func() int { return rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "lost proposal") }
		b.confirming = func() {
			m.now += milliseconds(t, "round", 1, 1, 50, 700, 5000)
			if rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "deposed in a round") {
				m.elect(t, index.Draw(t, "leader"))
			}
		}
	}
	for range 200 {
		m.now += milliseconds(t, "pause", 0, 100, 500, 1000, 3200)
		i := index.Draw(t, "member")
		switch rapid.SampledFrom([]string{"elect", "learn", "restart", "act", "act", "act", "act", "act"}).Draw(t, "event") {
		case "elect":
			m.elect(t, i)
		case "learn":
			m.members[i].serving = m.leader == i
		case "restart":
			m.restart(i)
		case "act":
			m.act(i, rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "arrival"))
		}
	}
	checkCalls(t, m.calls)
}

func milliseconds(t *rapid.T, name string, list ...int) time.Duration {
	return time.Duration(rapid.SampledFrom(list).Draw(t, name)) * time.Millisecond
}

// elect makes a member the leader, with or without the acquisition whose outcome is uncertain.
func (m *model) elect(t *rapid.T, i int) {
	if m.uncertain.GetFence() > m.record.GetFence() && rapid.Bool().Draw(t, "entry survives") {
		m.record = m.uncertain
	}
	m.uncertain = nil
	m.lead(i)
}

func checkCalls(t *rapid.T, calls []call) {
	slices.SortStableFunc(calls, func(a, b call) int { return int(a.at - b.at) })
	senders := map[uint64]uint64{}
	for i, c := range calls {
		if i > 0 && c.fence < calls[i-1].fence {
			t.Fatalf("fence %d after %d", c.fence, calls[i-1].fence)
		}
		if s, known := senders[c.fence]; known && s != c.from {
			t.Fatalf("fence %d of members %d and %d", c.fence, s, c.from)
		}
		senders[c.fence] = c.from
		for j := range i {
			between := slices.ContainsFunc(calls[j:i], func(b call) bool { return b.from != c.from })
			if calls[j].from == c.from && between && c.at-calls[j].at < lease {
				t.Fatalf("member %d acts before and after another one within %v", c.from, c.at-calls[j].at)
			}
		}
	}
}

// TestTenures checks when a member may act: the model above would also accept one that never does.
func TestTenures(t *testing.T) {
	cases := []struct {
		name   string
		happen func(m *model)
		acts   bool
	}{
		{"right after an acquisition", func(m *model) { m.act(0, 0) }, false},
		{"a lease after an acquisition", func(m *model) { m.act(0, 0); m.now += lease + timekeeper.DriftMargin }, true},
		{"leader again, nobody else held it", func(m *model) {
			m.act(0, 0)
			m.now += lease + timekeeper.DriftMargin
			m.lead(1)
			m.lead(0)
		}, true},
		{"leader again, another one held it", func(m *model) {
			m.act(0, 0)
			m.now += 2 * lease
			m.lead(1)
			m.act(1, 0)
			m.lead(0)
		}, false},
		{"deposed without knowing it", func(m *model) { m.act(0, 0); m.now += 2 * lease; m.lead(1) }, false},
		{"restarted", func(m *model) { m.act(0, 0); m.now += 2 * lease; m.restart(0) }, false},
		{"suspended during the confirmation", func(m *model) {
			m.act(0, 0)
			m.now += 2 * lease
			m.members[0].confirming = func() { m.now += lease }
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(2)
			c.happen(m)
			is.New(t).Equal(m.act(0, 0), c.acts)
		})
	}
}
