package replicator

import (
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// yieldPart is the part of the election time-out that a member leaves another for its election:
// 100 ms of 400, two trips between distant regions and a write.
const yieldPart = 4

// campaign asks for votes; a pre-candidate asks whether it would get them.
func (c *Core) campaign(now time.Duration, as Standing) {
	c.standing, c.leader, c.peers = as, 0, nil
	c.granted = map[uint64]bool{c.config.ID: true}
	c.resetCampaign(now)
	kind, term := wire.MessageType_MESSAGE_TYPE_PRE_VOTE, c.term+1
	if as == Candidate {
		c.term, c.vote = c.term+1, 0
		c.setVote(c.config.ID)
		kind, term = wire.MessageType_MESSAGE_TYPE_VOTE, c.term
	}
	if c.wonElection() {
		c.win(now)
		return
	}
	for _, m := range c.members.GetMembers() {
		if m.GetId() == c.config.ID || m.GetLearner() {
			continue
		}
		c.send(&wire.Message{
			Type: kind, To: m.GetId(), Term: term,
			Index: c.log.last(), LogTerm: c.log.term(c.log.last()),
		})
	}
}

func (c *Core) win(now time.Duration) {
	if c.standing == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) wonElection() bool {
	return c.quorum(func(id uint64) bool { return c.granted[id] })
}

// hearsLeader tells whether a leader was heard from too recently to vote against it.
func (c *Core) hearsLeader(now time.Duration) bool {
	if c.standing == Leader {
		return true
	}
	return now-c.heard < c.config.ElectionTimeout
}

func (c *Core) handlePreVote(now time.Duration, m *wire.Message) {
	grant := m.GetTerm() > c.term && !c.hearsLeader(now) && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant}
	if grant {
		reply.Term = m.GetTerm()
		c.yield(now, m.GetFrom())
	}
	c.send(reply)
}

// yield leaves the election to another member that would get this one's vote: two candidates
// that meet would each lack the other's. Of two that ask each other the higher id goes on.
func (c *Core) yield(now time.Duration, to uint64) {
	switch c.standing {
	case Follower:
		c.campaignAt = max(c.campaignAt, now+c.config.ElectionTimeout/yieldPart)
	case PreCandidate:
		if to > c.config.ID {
			c.standing, c.granted = Follower, nil
			c.resetCampaign(now)
		}
	}
}

func (c *Core) handleVote(now time.Duration, m *wire.Message) {
	free := c.vote == 0 || c.vote == m.GetFrom()
	grant := free && c.standing == Follower && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.setVote(m.GetFrom())
		c.resetCampaign(now)
	}
	c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (c *Core) handleVoteReply(now time.Duration, m *wire.Message, as Standing, term uint64) {
	if c.standing != as || m.GetTerm() != term || m.GetReject() {
		return
	}
	c.granted[m.GetFrom()] = true
	if c.wonElection() {
		c.win(now)
	}
}
