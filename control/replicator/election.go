package replicator

import (
	"time"

	"github.com/filberthoist/filberthoist/core/wire"
)

// deferralDivisor sets how long a follower leaves an election to another member: the election
// timeout divided by it, 100 ms of 400, enough for two message trips between distant regions and
// a write.
const deferralDivisor = 4

// campaign starts an election. A pre-candidate asks whether it would get votes, and keeps its
// term and vote.
func (c *Core) campaign(now time.Duration, as RaftState) {
	c.raftState, c.leaderID, c.peers = as, 0, nil
	c.votesGranted = map[uint64]bool{c.config.ID: true}
	c.resetElectionTimer(now)
	kind, term := wire.MessageType_MESSAGE_TYPE_PRE_VOTE, c.term+1
	if as == Candidate {
		c.term, c.vote = c.term+1, 0
		c.setVote(c.config.ID)
		kind, term = wire.MessageType_MESSAGE_TYPE_VOTE, c.term
	}
	if c.hasMajorityVotes() {
		c.advanceCampaign(now)
		return
	}
	for _, m := range c.members.GetMembers() {
		if m.GetId() == c.config.ID || m.GetLearner() {
			continue
		}
		c.send(&wire.Message{
			Type: kind, To: m.GetId(), Term: term,
			Index: c.log.lastIndex(), LogTerm: c.log.term(c.log.lastIndex()),
		})
	}
}

func (c *Core) advanceCampaign(now time.Duration) {
	if c.raftState == PreCandidate {
		c.campaign(now, Candidate)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) hasMajorityVotes() bool {
	return c.hasQuorum(func(id uint64) bool { return c.votesGranted[id] })
}

// hasLiveLeader reports whether this member is the leader, or had contact with a leader within the
// minimum election timeout and must not vote for another member.
func (c *Core) hasLiveLeader(now time.Duration) bool {
	if c.raftState == Leader {
		return true
	}
	return now-c.leaderContactAt < c.config.ElectionTimeout
}

func (c *Core) handlePreVote(now time.Duration, m *wire.Message) {
	grant := m.GetTerm() > c.term && !c.hasLiveLeader(now) && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant}
	if grant {
		reply.Term = m.GetTerm()
		c.deferCampaign(now, m.GetFrom())
	}
	c.send(reply)
}

// deferCampaign leaves the election to another member that this one granted a pre-vote: two
// simultaneous candidates would each lack the vote of the other. Of two pre-candidates that ask
// each other, the one with the higher ID continues.
func (c *Core) deferCampaign(now time.Duration, to uint64) {
	switch c.raftState {
	case Follower:
		c.nextCampaignAt = max(c.nextCampaignAt, now+c.config.ElectionTimeout/deferralDivisor)
	case PreCandidate:
		if to > c.config.ID {
			c.raftState, c.votesGranted = Follower, nil
			c.resetElectionTimer(now)
		}
	}
}

func (c *Core) handleVote(now time.Duration, m *wire.Message) {
	canVote := c.vote == 0 || c.vote == m.GetFrom()
	grant := canVote && c.raftState == Follower && c.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		c.setVote(m.GetFrom())
		c.resetElectionTimer(now)
	}
	c.send(&wire.Message{Type: wire.MessageType_MESSAGE_TYPE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (c *Core) handleVoteReply(now time.Duration, m *wire.Message, as RaftState, term uint64) {
	if c.raftState != as || m.GetTerm() != term || m.GetReject() {
		return
	}
	c.votesGranted[m.GetFrom()] = true
	if c.hasMajorityVotes() {
		c.advanceCampaign(now)
	}
}
