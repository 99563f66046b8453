// Package replicator keeps one log equal on the control members.
//
// Core is Raft as published (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with pre-vote, check-quorum, learners and changes of one
// member at a time (Ongaro's dissertation, 2014, chapters 4, 6 and 9). It is a pure
// state machine: messages and the time go in, messages and writes come out.
package replicator

import (
	"math"
	"time"

	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Standing is what a member currently is within its term.
type Standing int

// Standings of a member.
const (
	Follower Standing = iota
	PreCandidate
	Candidate
	Leader
)

// Config sets up a Core.
type Config struct {
	ID uint64
	// ElectionTimeout is the least silence after which a member campaigns; the most is twice that.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of quorum rounds.
	Heartbeat time.Duration
	// Copies is the least number of voters that hold an entry before it is committed, as far
	// as there are so many; a majority is always needed.
	Copies int
	// Random returns a number from 0 to below n.
	Random func(n int64) int64
	Assert *asserter.Asserter
}

// Ready is work for the owner of a Core: save first, then send, then apply.
type Ready struct {
	Write    recorder.Write
	Messages []*wire.Message
	// Installed is a snapshot that replaces the applied state.
	Installed *wire.Snapshot
	Committed []*wire.LogEntry
}

// Core is one member of the replicated log. It is not safe for concurrent use.
type Core struct {
	config Config
	log    *log

	term     uint64
	vote     uint64
	commit   uint64
	applied  uint64
	standing Standing
	leader   uint64

	members        *wire.Membership
	memberIndex    uint64
	appliedMembers *wire.Membership
	heard          time.Duration
	campaignAt     time.Duration
	heartbeatAt    time.Duration
	granted        map[uint64]bool
	peers          map[uint64]*progress
	round          uint64
	confirmed      uint64
	termStart      uint64
	messages       []*wire.Message
	installed      *wire.Snapshot
	savedState     *wire.HardState
	unsavedEntry   uint64
}

// never is a moment before any other.
const never = time.Duration(math.MinInt64 / 2)

// NewCore returns a follower with the restored state.
func NewCore(c Config, r recorder.Restored, now time.Duration) *Core {
	m := &Core{config: c, log: newLog(r.Snapshot, r.Entries), heard: never}
	m.term, m.vote, m.commit = r.State.GetTerm(), r.State.GetVote(), r.State.GetCommit()
	m.commit = max(m.commit, m.log.offset)
	m.applied = m.log.offset
	m.savedState = m.hardState()
	m.unsavedEntry = m.log.last() + 1
	m.resetMembers()
	m.appliedMembers = r.Snapshot.GetMembership()
	if m.term > 0 {
		m.heard = now // it may have promised a leader not to vote
	}
	m.resetCampaign(now)
	return m
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	if c.standing == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.campaignAt && c.isVoter(c.config.ID) {
		c.campaign(now, PreCandidate)
	}
}

// Propose appends a command if this member is the leader. The command is committed
// once an entry of the returned index and term is applied.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (index, term uint64, ok bool) {
	if c.standing != Leader {
		return 0, 0, false
	}
	first := c.log.last() + 1
	for _, d := range commands {
		c.appendOwn(wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND, d)
	}
	c.broadcast(now)
	c.advanceCommit()
	return first, c.term, true
}

// Ready returns the work since the last call. The next call to any method must
// come after Write is durable.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, Installed: c.installed}
	c.messages, c.installed = nil, nil
	if r.Installed != nil {
		r.Write.Snapshot = r.Installed
	}
	if s := c.hardState(); !sameState(s, c.savedState) {
		r.Write.State = s
		c.savedState = s
	}
	r.Write.Entries = c.log.from(max(c.unsavedEntry, c.log.offset+1), math.MaxInt)
	c.unsavedEntry = c.log.last() + 1
	if len(r.Write.Entries) > 0 {
		r.Write.State = c.hardState() // the commit index costs no write of its own
	}
	r.Committed = c.takeCommitted()
	return r
}

// Compact drops the log up to the applied index, whose state is given. It returns what
// must be durable before the next call, and must not follow a Ready that is not saved.
func (c *Core) Compact(state []byte) recorder.Write {
	c.log.compact(&wire.Snapshot{
		Index:      c.applied,
		Term:       c.log.term(c.applied),
		Membership: c.appliedMembers,
		Data:       state,
	})
	c.unsavedEntry = c.log.last() + 1
	return recorder.Write{
		State:    c.hardState(),
		Snapshot: c.log.snapshot,
		Entries:  c.log.from(c.log.offset+1, math.MaxInt),
	}
}

// LogLength returns how many applied entries a Compact would drop.
func (c *Core) LogLength() uint64 { return c.applied - c.log.offset }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Standing returns what this member is.
func (c *Core) Standing() Standing { return c.standing }

// LeaderID returns the leader as far as known, or 0.
func (c *Core) LeaderID() uint64 { return c.leader }

// Commit returns the highest committed index.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the highest index of the log.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// Applied returns the highest index handed out as committed.
func (c *Core) Applied() uint64 { return c.applied }

// Members returns the members as the log has them; callers must not change it.
func (c *Core) Members() *wire.Membership { return c.members }

// TermOf returns the term of a log index that is not compacted, or 0.
func (c *Core) TermOf(index uint64) uint64 { return c.log.term(index) }

// NextRound names a quorum round that has not begun.
func (c *Core) NextRound() uint64 { return c.round + 1 }

// ConfirmedRound returns the latest quorum round that a quorum answered.
func (c *Core) ConfirmedRound() uint64 { return c.confirmed }

// Confirmed tells whether a quorum answered the round or a later one, so that this
// member was leader when the round began and its applied state was the latest.
func (c *Core) Confirmed(round uint64) bool {
	return c.standing == Leader && c.commit >= c.termStart && c.confirmed >= round
}

// Begin starts a quorum round at once.
func (c *Core) Begin(now time.Duration) {
	if c.standing == Leader {
		c.broadcast(now)
		c.advanceConfirmed()
	}
}

func (c *Core) takeCommitted() []*wire.LogEntry {
	if c.commit <= c.applied {
		return nil
	}
	out := c.log.from(c.applied+1, int(c.commit-c.applied))
	c.config.Assert.That(len(out) > 0 && out[0].GetIndex() == c.applied+1, "appliedInOrder",
		"applied %d, commit %d, got %d entries", c.applied, c.commit, len(out))
	c.applied = out[len(out)-1].GetIndex()
	for _, e := range out {
		if e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
			c.appliedMembers = c.readMembers(e)
		}
	}
	return out
}

func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

func sameState(a, b *wire.HardState) bool {
	return a.GetTerm() == b.GetTerm() && a.GetVote() == b.GetVote()
}

func (c *Core) resetCampaign(now time.Duration) {
	t := c.config.ElectionTimeout
	c.campaignAt = now + t + time.Duration(c.config.Random(int64(t)))
}

func (c *Core) becomeFollower(now time.Duration, term, leader uint64) {
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.standing, c.leader, c.peers = Follower, leader, nil
	c.resetCampaign(now)
}

func (c *Core) setVote(id uint64) {
	c.config.Assert.That(c.vote == 0 || c.vote == id, "oneVotePerTerm",
		"term %d: voted for %d, now for %d", c.term, c.vote, id)
	c.vote = id
}

func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.config.Assert.That(index <= c.log.last(), "commitInLog", "commit %d, last %d", index, c.log.last())
	c.commit = index
}

func (c *Core) send(m *wire.Message) {
	m.From = c.config.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
