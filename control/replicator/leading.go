package replicator

import (
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// maxEntriesPerAppend bounds the number of entries in one append message.
const maxEntriesPerAppend = 256

// progress is the state of replication to one peer, as tracked by the leader.
type progress struct {
	// match is the highest index that the peer is known to store, next the first one to send.
	match uint64
	next  uint64
	// repliedAt is when the peer last replied to an append, or when the first one was sent to it.
	repliedAt time.Duration
	// ackedRound is the latest quorum round that the peer replied to.
	ackedRound uint64
	// snapshotSentAt is when a snapshot was last sent to the peer.
	snapshotSentAt time.Duration
	// matchAtHeartbeat is match at the last heartbeat, to detect that it does not advance.
	matchAtHeartbeat uint64
}

func (c *Core) becomeLeader(now time.Duration) {
	c.raftState, c.leaderID, c.leaderContactAt = Leader, c.config.ID, now
	c.peers = nil
	c.updatePeers()
	for _, p := range c.peers {
		p.repliedAt = now
	}
	c.termStartIndex = c.log.lastIndex() + 1
	c.confirmedRound = c.round
	c.appendEntry(wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND, nil)
	c.broadcast(now)
	c.advanceCommit()
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.quorumActive(now) {
		c.becomeFollower(now, c.term, 0)
		return
	}
	if now < c.nextHeartbeatAt {
		return
	}
	for _, p := range c.peers {
		p.rewind()
	}
	c.broadcast(now)
	c.advanceConfirmed()
}

func (c *Core) quorumActive(now time.Duration) bool {
	return c.hasQuorum(func(id uint64) bool {
		if id == c.config.ID {
			return true
		}
		p := c.peers[id]
		return p != nil && now-p.repliedAt < c.config.ElectionTimeout
	})
}

// rewind moves next back to the first unacknowledged entry if the peer has acknowledged none
// since the last heartbeat.
func (p *progress) rewind() {
	if p.match == p.matchAtHeartbeat && p.match+1 < p.next {
		p.next = p.match + 1
	}
	p.matchAtHeartbeat = p.match
}

func (c *Core) appendEntry(kind wire.LogEntryType, data []byte) {
	e := &wire.LogEntry{Index: c.log.lastIndex() + 1, Term: c.term, Type: kind, Data: data}
	c.log.append(e)
	if kind == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
		c.adoptMembers(e)
	}
}

// broadcast starts a quorum round: it sends an append or a snapshot to every peer.
func (c *Core) broadcast(now time.Duration) {
	c.round++
	c.nextHeartbeatAt = now + c.config.Heartbeat
	for _, m := range c.members.GetMembers() {
		if p := c.peers[m.GetId()]; p != nil {
			if p.repliedAt == never {
				p.repliedAt = now // it has just been added, and nothing was sent to it before
			}
			c.sendAppend(now, m.GetId(), p)
		}
	}
}

func (c *Core) sendAppend(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.snapshotIndex {
		c.sendSnapshot(now, id, p)
		return
	}
	m := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND, To: id, Round: c.round, Commit: c.commit}
	m.Index = p.next - 1
	m.LogTerm = c.log.term(m.GetIndex())
	m.Entries = c.log.entriesFrom(p.next, maxEntriesPerAppend)
	p.next += uint64(len(m.GetEntries()))
	c.send(m)
}

func (c *Core) sendSnapshot(now time.Duration, id uint64, p *progress) {
	if now-p.snapshotSentAt < c.config.ElectionTimeout {
		// The snapshot is in transit; an empty append keeps the peer from campaigning.
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND, To: id, Round: c.round,
			Index: c.log.snapshotIndex, LogTerm: c.log.snapshotTerm})
		return
	}
	p.snapshotSentAt = now
	c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Round: c.round, Snapshot: c.log.snapshot})
}

func (c *Core) handleAppendReply(now time.Duration, m *wire.Message) {
	p := c.peers[m.GetFrom()]
	if c.raftState != Leader || p == nil {
		return
	}
	p.repliedAt = now
	p.ackedRound = max(p.ackedRound, m.GetRound())
	if m.GetReject() {
		p.next = max(p.match+1, min(m.GetHint()+1, p.next))
		c.resendAppend(now, m.GetFrom(), p)
	} else {
		p.match = max(p.match, m.GetIndex())
		p.next = max(p.next, p.match+1)
		c.sendRemaining(now, m.GetFrom(), p)
	}
	c.advanceCommit()
	c.advanceConfirmed()
}

// resendAppend answers a rejection with another append at once, unless a snapshot is in transit:
// the peer rejects every append until the snapshot arrives, and the exchange would never end.
func (c *Core) resendAppend(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.snapshotIndex && now-p.snapshotSentAt < c.config.ElectionTimeout {
		return
	}
	c.sendAppend(now, id, p)
}

// sendRemaining sends the next append at once if the log holds entries that were not sent to the
// peer yet.
func (c *Core) sendRemaining(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.lastIndex() {
		c.sendAppend(now, id, p)
	}
}

// advanceCommit commits the entries that a quorum and at least MinCopies voters store, if the
// last of them is of this term.
func (c *Core) advanceCommit() {
	if c.raftState != Leader {
		return
	}
	index := c.replicatedValue(c.config.MinCopies, c.log.lastIndex(), func(p *progress) uint64 { return p.match })
	if index <= c.commit || c.log.term(index) != c.term {
		return
	}
	c.commitTo(index)
	if c.membersIndex <= c.commit && c.member(c.config.ID) == nil {
		c.raftState, c.leaderID, c.peers = Follower, 0, nil // the leader removed itself
	}
}

func (c *Core) advanceConfirmed() {
	if c.raftState != Leader {
		return
	}
	round := c.quorumValue(c.round, func(p *progress) uint64 { return p.ackedRound })
	c.confirmedRound = max(c.confirmedRound, round)
}

// SinceLastReply returns the time since the last reply of a peer, or 0 if this member is not the
// leader or has no such peer.
func (c *Core) SinceLastReply(now time.Duration, id uint64) time.Duration {
	p := c.peers[id]
	if c.raftState != Leader || p == nil {
		return 0
	}
	return now - p.repliedAt
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (c *Core) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	return c.replicatedValue(0, own, valueOf)
}

// replicatedValue returns the highest value that a majority of the voters, and at least minCopies
// of them, have reached. minCopies is capped at the number of voters.
func (c *Core) replicatedValue(minCopies int, own uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.members.GetMembers() {
		switch {
		case m.GetLearner():
		case m.GetId() == c.config.ID:
			values = append(values, own)
		default:
			values = append(values, valueOf(c.peers[m.GetId()]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	majority := len(values)/2 + 1
	return values[len(values)-max(majority, min(minCopies, len(values)))]
}
