// Package replicator replicates one log across the control members.
//
// Core implements Raft as published (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014) with pre-vote, check-quorum, learners and single-server
// membership changes (Ongaro's dissertation, 2014, chapters 4, 6 and 9). It is a pure state
// machine: its inputs are messages and the time, its outputs messages and writes.
package replicator

import (
	"math"
	"time"

	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// RaftState is the state of a member within its term.
type RaftState int

// States of a member.
const (
	Follower RaftState = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a Core.
type Config struct {
	ID uint64
	// ElectionTimeout is the minimum time without a leader after which a member campaigns; each
	// timeout is drawn at random between this and twice this.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between heartbeats, each of which starts a quorum round.
	Heartbeat time.Duration
	// MinCopies is the minimum number of voters that store an entry before it is committed,
	// capped at the number of voters. A majority is always required.
	MinCopies int
	// Random returns a random number in [0, n).
	Random func(n int64) int64
	Assert *asserter.Asserter
}

// Ready is the work that a Core leaves to its caller: save Write, then send Messages, then
// apply InstalledSnapshot and CommittedEntries.
type Ready struct {
	Write    recorder.Write
	Messages []*wire.Message
	// InstalledSnapshot is a snapshot that replaces the whole applied state, or nil.
	InstalledSnapshot *wire.Snapshot
	CommittedEntries  []*wire.LogEntry
}

// Core is the Raft state machine of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	log    *log

	term uint64
	// vote is the candidate that this member voted for in the term, or 0.
	vote      uint64
	commit    uint64
	applied   uint64
	raftState RaftState
	leaderID  uint64

	// members is the membership of the latest log entry or snapshot that has one, committed or
	// not, and membersIndex the index of that. appliedMembers is the membership at applied.
	members        *wire.Membership
	membersIndex   uint64
	appliedMembers *wire.Membership
	// leaderContactAt is when the leader last sent a message, or when this member restarted or
	// became the leader.
	leaderContactAt time.Duration
	nextCampaignAt  time.Duration
	nextHeartbeatAt time.Duration
	// votesGranted holds the voters that granted this member a vote or pre-vote.
	votesGranted map[uint64]bool
	// peers is the replication progress of the other members while this member is the leader.
	peers map[uint64]*progress
	// round is the latest quorum round started, confirmedRound the latest that a quorum replied to.
	round          uint64
	confirmedRound uint64
	// termStartIndex is the index of the first entry that this member appended as leader of the term.
	termStartIndex    uint64
	messages          []*wire.Message
	installedSnapshot *wire.Snapshot
	savedState        *wire.HardState
	firstUnsavedIndex uint64
}

// never is a time before any other, for events that have not happened yet.
const never = time.Duration(math.MinInt64 / 2)

// NewCore returns a Core that starts as a follower with the restored state.
func NewCore(c Config, r recorder.Restored, now time.Duration) *Core {
	m := &Core{config: c, log: newLog(r.Snapshot, r.Entries), leaderContactAt: never}
	m.term, m.vote, m.commit = r.State.GetTerm(), r.State.GetVote(), r.State.GetCommit()
	m.commit = max(m.commit, m.log.snapshotIndex)
	m.applied = m.log.snapshotIndex
	m.savedState = m.hardState()
	m.firstUnsavedIndex = m.log.lastIndex() + 1
	m.reloadMembers()
	m.appliedMembers = r.Snapshot.GetMembership()
	if m.term > 0 {
		m.leaderContactAt = now // it may have replied to a leader just before the restart, and must not vote against it
	}
	m.resetElectionTimer(now)
	return m
}

// Tick advances the time: a leader checks its quorum and sends heartbeats, any other voter
// campaigns once its election timer has expired.
func (c *Core) Tick(now time.Duration) {
	if c.raftState == Leader {
		c.tickLeader(now)
		return
	}
	if now >= c.nextCampaignAt && c.isVoter(c.config.ID) {
		c.campaign(now, PreCandidate)
	}
}

// Propose appends commands if this member is the leader; ok is false otherwise. The first
// command is committed once an entry with the returned index and term is applied, the others
// follow at the next indexes.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (index, term uint64, ok bool) {
	if c.raftState != Leader {
		return 0, 0, false
	}
	first := c.log.lastIndex() + 1
	for _, d := range commands {
		c.appendEntry(wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND, d)
	}
	c.broadcast(now)
	c.advanceCommit()
	return first, c.term, true
}

// Ready returns the work that arose since the last call. Write must be durable before the next
// call to any method.
func (c *Core) Ready() Ready {
	r := Ready{Messages: c.messages, InstalledSnapshot: c.installedSnapshot}
	c.messages, c.installedSnapshot = nil, nil
	if r.InstalledSnapshot != nil {
		r.Write.Snapshot = r.InstalledSnapshot
	}
	if s := c.hardState(); !sameTermAndVote(s, c.savedState) {
		r.Write.State = s
		c.savedState = s
	}
	r.Write.Entries = c.log.entriesFrom(max(c.firstUnsavedIndex, c.log.snapshotIndex+1), math.MaxInt)
	c.firstUnsavedIndex = c.log.lastIndex() + 1
	if len(r.Write.Entries) > 0 {
		r.Write.State = c.hardState() // a new commit index alone causes no write
	}
	r.CommittedEntries = c.takeCommitted()
	return r
}

// Compact replaces the log up to the applied index by a snapshot of the given state, which is
// the state at that index. The returned write must be durable before the next call to any
// method. Compact must not be called while the write of a Ready is not saved.
func (c *Core) Compact(state []byte) recorder.Write {
	c.log.compact(&wire.Snapshot{
		Index:      c.applied,
		Term:       c.log.term(c.applied),
		Membership: c.appliedMembers,
		Data:       state,
	})
	c.firstUnsavedIndex = c.log.lastIndex() + 1
	return recorder.Write{
		State:    c.hardState(),
		Snapshot: c.log.snapshot,
		Entries:  c.log.entriesFrom(c.log.snapshotIndex+1, math.MaxInt),
	}
}

// CompactableEntries returns the number of applied entries that Compact would drop.
func (c *Core) CompactableEntries() uint64 { return c.applied - c.log.snapshotIndex }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// RaftState returns the state of this member within its term.
func (c *Core) RaftState() RaftState { return c.raftState }

// LeaderID returns the ID of the leader, or 0 if it is unknown.
func (c *Core) LeaderID() uint64 { return c.leaderID }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.commit }

// LastIndex returns the index of the last log entry.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Applied returns the highest index handed to the caller to apply.
func (c *Core) Applied() uint64 { return c.applied }

// Members returns the membership of the latest log entry or snapshot that has one, committed
// or not. Callers must not modify it.
func (c *Core) Members() *wire.Membership { return c.members }

// TermOf returns the term of a log index, or 0 if the log does not hold it.
func (c *Core) TermOf(index uint64) uint64 { return c.log.term(index) }

// NextRound returns the number of the next quorum round, which has not started yet.
func (c *Core) NextRound() uint64 { return c.round + 1 }

// ConfirmedRound returns the latest quorum round that a quorum replied to.
func (c *Core) ConfirmedRound() uint64 { return c.confirmedRound }

// RoundConfirmed reports whether this member is the leader, has committed an entry of its term and
// got replies of a quorum to the round or a later one. It was then still the leader when the
// round started, and its applied state was the latest.
func (c *Core) RoundConfirmed(round uint64) bool {
	return c.raftState == Leader && c.commit >= c.termStartIndex && c.confirmedRound >= round
}

// StartRound starts a quorum round at once if this member is the leader.
func (c *Core) StartRound(now time.Duration) {
	if c.raftState == Leader {
		c.broadcast(now)
		c.advanceConfirmed()
	}
}

func (c *Core) takeCommitted() []*wire.LogEntry {
	if c.commit <= c.applied {
		return nil
	}
	out := c.log.entriesFrom(c.applied+1, int(c.commit-c.applied))
	c.config.Assert.That(len(out) > 0 && out[0].GetIndex() == c.applied+1, "appliedInOrder",
		"applied %d, commit %d, got %d entries", c.applied, c.commit, len(out))
	c.applied = out[len(out)-1].GetIndex()
	for _, e := range out {
		if e.GetType() == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
			c.appliedMembers = c.decodeMembers(e)
		}
	}
	return out
}

func (c *Core) hardState() *wire.HardState {
	return &wire.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
}

func sameTermAndVote(a, b *wire.HardState) bool {
	return a.GetTerm() == b.GetTerm() && a.GetVote() == b.GetVote()
}

func (c *Core) resetElectionTimer(now time.Duration) {
	t := c.config.ElectionTimeout
	c.nextCampaignAt = now + t + time.Duration(c.config.Random(int64(t)))
}

func (c *Core) becomeFollower(now time.Duration, term, leaderID uint64) {
	if term > c.term {
		c.term, c.vote = term, 0
	}
	c.raftState, c.leaderID, c.peers = Follower, leaderID, nil
	c.resetElectionTimer(now)
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
	c.config.Assert.That(index <= c.log.lastIndex(), "commitInLog", "commit %d, last %d", index, c.log.lastIndex())
	c.commit = index
}

func (c *Core) send(m *wire.Message) {
	m.From = c.config.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}
