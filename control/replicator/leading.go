package replicator

import (
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// maxEntries bounds the entries of one append.
const maxEntries = 256

// progress is what a leader knows of a peer.
type progress struct {
	match uint64
	next  uint64
	// seen is when the peer last answered.
	seen time.Duration
	// round is the latest quorum round that the peer answered.
	round      uint64
	snapshotAt time.Duration
	// matchAtBeat is match at the last heartbeat, to see that nothing moves.
	matchAtBeat uint64
}

func (c *Core) becomeLeader(now time.Duration) {
	c.standing, c.leader, c.heard = Leader, c.config.ID, now
	c.peers = nil
	c.resetPeers()
	for _, p := range c.peers {
		p.seen = now
	}
	c.termStart = c.log.last() + 1
	c.confirmed = c.round
	c.appendOwn(wire.LogEntryType_LOG_ENTRY_TYPE_COMMAND, nil)
	c.broadcast(now)
	c.advanceCommit()
}

func (c *Core) tickLeader(now time.Duration) {
	if !c.reachesQuorum(now) {
		c.becomeFollower(now, c.term, 0)
		return
	}
	if now < c.heartbeatAt {
		return
	}
	for _, p := range c.peers {
		p.rewind()
	}
	c.broadcast(now)
	c.advanceConfirmed()
}

func (c *Core) reachesQuorum(now time.Duration) bool {
	return c.quorum(func(id uint64) bool {
		if id == c.config.ID {
			return true
		}
		p := c.peers[id]
		return p != nil && now-p.seen < c.config.ElectionTimeout
	})
}

// rewind sends again what a peer has not acknowledged since the last heartbeat.
func (p *progress) rewind() {
	if p.match == p.matchAtBeat && p.match+1 < p.next {
		p.next = p.match + 1
	}
	p.matchAtBeat = p.match
}

func (c *Core) appendOwn(kind wire.LogEntryType, data []byte) {
	e := &wire.LogEntry{Index: c.log.last() + 1, Term: c.term, Type: kind, Data: data}
	c.log.append(e)
	if kind == wire.LogEntryType_LOG_ENTRY_TYPE_MEMBERSHIP {
		c.useMembers(e)
	}
}

// broadcast begins a quorum round.
func (c *Core) broadcast(now time.Duration) {
	c.round++
	c.heartbeatAt = now + c.config.Heartbeat
	for _, m := range c.members.GetMembers() {
		if p := c.peers[m.GetId()]; p != nil {
			c.sendAppend(now, m.GetId(), p)
		}
	}
}

func (c *Core) sendAppend(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.offset {
		c.sendSnapshot(now, id, p)
		return
	}
	m := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND, To: id, Round: c.round, Commit: c.commit}
	m.Index = p.next - 1
	m.LogTerm = c.log.term(m.GetIndex())
	m.Entries = c.log.from(p.next, maxEntries)
	p.next += uint64(len(m.GetEntries()))
	c.send(m)
}

func (c *Core) sendSnapshot(now time.Duration, id uint64, p *progress) {
	if now-p.snapshotAt < c.config.ElectionTimeout {
		// The snapshot is on its way; an empty append keeps the peer from campaigning.
		c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_APPEND, To: id, Round: c.round,
			Index: c.log.offset, LogTerm: c.log.baseTerm})
		return
	}
	p.snapshotAt = now
	c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_SNAPSHOT, To: id, Round: c.round, Snapshot: c.log.snapshot})
}

func (c *Core) handleAppendReply(now time.Duration, m *wire.Message) {
	p := c.peers[m.GetFrom()]
	if c.standing != Leader || p == nil {
		return
	}
	p.seen = now
	p.round = max(p.round, m.GetRound())
	if m.GetReject() {
		p.next = max(p.match+1, min(m.GetHint()+1, p.next))
		c.sendAgain(now, m.GetFrom(), p)
	} else {
		p.match = max(p.match, m.GetIndex())
		p.next = max(p.next, p.match+1)
		c.sendRest(now, m.GetFrom(), p)
	}
	c.advanceCommit()
	c.advanceConfirmed()
}

// sendAgain answers a rejection at once, unless a snapshot is under way: until that
// arrives every append is rejected, and answering each would never end.
func (c *Core) sendAgain(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.offset && now-p.snapshotAt < c.config.ElectionTimeout {
		return
	}
	c.sendAppend(now, id, p)
}

// sendRest goes on at once with a peer that lags by more than one append.
func (c *Core) sendRest(now time.Duration, id uint64, p *progress) {
	if p.next <= c.log.last() {
		c.sendAppend(now, id, p)
	}
}

// advanceCommit commits what a quorum holds, if it is of this term.
func (c *Core) advanceCommit() {
	if c.standing != Leader {
		return
	}
	index := c.heldBy(c.config.Copies, c.log.last(), func(p *progress) uint64 { return p.match })
	if index <= c.commit || c.log.term(index) != c.term {
		return
	}
	c.commitTo(index)
	if c.memberIndex <= c.commit && !c.isMember(c.config.ID) {
		c.standing, c.leader, c.peers = Follower, 0, nil // removed itself
	}
}

func (c *Core) advanceConfirmed() {
	if c.standing != Leader {
		return
	}
	round := c.quorumValue(c.round, func(p *progress) uint64 { return p.round })
	c.confirmed = max(c.confirmed, round)
}

// Silence returns how long a peer has not answered; it is 0 unless this member leads.
func (c *Core) Silence(now time.Duration, id uint64) time.Duration {
	p := c.peers[id]
	if c.standing != Leader || p == nil {
		return 0
	}
	return now - p.seen
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (c *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	return c.heldBy(0, own, of)
}

// heldBy returns the highest value that a majority of the voters has reached, and at least
// a number of copies.
func (c *Core) heldBy(copies int, own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range c.members.GetMembers() {
		switch {
		case m.GetLearner():
		case m.GetId() == c.config.ID:
			values = append(values, own)
		default:
			values = append(values, of(c.peers[m.GetId()]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	majority := len(values)/2 + 1
	return values[len(values)-max(majority, min(copies, len(values)))]
}

func (c *Core) isMember(id uint64) bool {
	return slices.ContainsFunc(c.members.GetMembers(), func(m *wire.ControlMember) bool { return m.GetId() == id })
}
