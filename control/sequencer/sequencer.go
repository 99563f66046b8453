// Package sequencer runs one member of the replicated log: it saves, sends and applies what the
// Raft core returns. Other packages propose commands and confirm reads through it.
package sequencer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Timing and limits of a member.
const (
	// ElectionTimeout and Heartbeat are the defaults of a Config.
	ElectionTimeout = 300 * time.Millisecond
	Heartbeat       = 60 * time.Millisecond
	// ticksPerHeartbeat is the number of ticks of the core in one heartbeat interval.
	ticksPerHeartbeat = 6
	// saveRetryDelay is the pause before a failed write is attempted again.
	saveRetryDelay = 200 * time.Millisecond
	// SnapshotThreshold is the number of applied entries in the log at which it is compacted.
	SnapshotThreshold = 256
	inboxCapacity     = 4096
	// maxBatchSize bounds the queued proposals or messages that are handled together with the
	// first, before the next write.
	maxBatchSize = 512
)

// Errors of proposals.
var (
	// ErrNotLeader means that nothing was proposed.
	ErrNotLeader = errors.New("this control member is not the leader")
	// ErrUnknown means that the command may or may not be committed.
	ErrUnknown = errors.New("the outcome is unknown")
	// ErrAlreadyBootstrapped means that the member already belongs to a deployment.
	ErrAlreadyBootstrapped = errors.New("this control member belongs to a deployment already")
)

// Config configures a Sequencer.
type Config struct {
	Clock    timekeeper.Clock
	Logger   logger.Logger
	Assert   *asserter.Asserter
	Scope    tally.Scope
	Recorder *recorder.Recorder
	State    *applier.State
	// Send passes messages to the network without blocking.
	Send func([]*wire.Message)
	// Random returns a random number in [0, n).
	Random func(n int64) int64
	// ElectionTimeout and Heartbeat replace the defaults unless either is 0.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// MinCopies is the minimum number of voters that store an entry before it is committed, capped
	// at the number of voters. A majority is always required.
	MinCopies int
}

// View is a snapshot of the state of the log, as this member has it.
type View struct {
	ID       uint64
	Standing replicator.RaftState
	Term     uint64
	LeaderID uint64
	Members  *wire.Membership
	Commit   uint64
	Applied  uint64
	// LeaderSince is when this member became leader, on its Clock.
	LeaderSince time.Duration
	// confirmedRound is the latest quorum round that a quorum replied to.
	confirmedRound uint64
	serving        bool
	// changed is closed when a newer View is stored.
	changed chan struct{}
}

// Sequencer owns the core and the data folder of one control member.
type Sequencer struct {
	config Config
	// mutex guards the core; it is not held while a write is saved, except at bootstrap.
	mutex     sync.Mutex
	core      *replicator.Core
	inbox     chan *wire.Message
	proposals chan *proposal
	// calls are run by the loop, which is the only one that changes the core.
	calls chan func()
	// pendingProposals are the proposals that are not applied yet, by log index.
	pendingProposals map[uint64][]*proposal
	view             atomic.Pointer[View]
	commits          tally.Counter
	droppedMessages  tally.Counter
	saveTime         tally.Timer
}

type proposal struct {
	command []byte
	// onlyIn is the only term in which to propose the command, or 0.
	onlyIn uint64
	term   uint64
	done   chan proposalResult
}

type proposalResult struct {
	result applier.Result
	err    error
}

// NewSequencer returns a Sequencer with the state restored from the data folder.
func NewSequencer(c Config) (*Sequencer, error) {
	if c.ElectionTimeout == 0 || c.Heartbeat == 0 {
		c.ElectionTimeout, c.Heartbeat = ElectionTimeout, Heartbeat
	}
	s := &Sequencer{
		config:           c,
		inbox:            make(chan *wire.Message, inboxCapacity),
		proposals:        make(chan *proposal, maxBatchSize),
		calls:            make(chan func()),
		pendingProposals: map[uint64][]*proposal{},
		commits:          c.Scope.Counter("commits"),
		droppedMessages:  c.Scope.Counter("droppedMessages"),
		saveTime:         c.Scope.Timer("save"),
	}
	if err := s.restore(c.Recorder.Restored); err != nil {
		return nil, err
	}
	return s, nil
}

// Run runs the member until the context ends. It returns the error that ended it.
func (s *Sequencer) Run(ctx context.Context) error {
	return s.run(ctx)
}

// View returns the latest View.
func (s *Sequencer) View() *View {
	return s.view.Load()
}

// Deliver queues messages from other members; it drops those that exceed the capacity of the
// queue.
func (s *Sequencer) Deliver(messages []*wire.Message) {
	for _, m := range messages {
		select {
		case s.inbox <- m:
		default:
			s.droppedMessages.Inc(1)
		}
	}
}

// Propose proposes a command and returns its result once it is applied. The error is
// ErrNotLeader if nothing was proposed, and ErrUnknown if the command may still be committed.
func (s *Sequencer) Propose(ctx context.Context, c *wire.Command) (applier.Result, error) {
	return s.ProposeIn(ctx, 0, c)
}

// ProposeIn is Propose if this member leads in the given term, and ErrNotLeader otherwise.
func (s *Sequencer) ProposeIn(ctx context.Context, term uint64, c *wire.Command) (applier.Result, error) {
	b, err := proto.Marshal(c)
	if err != nil {
		return applier.Result{}, errors.Wrap(err, "encoding a command")
	}
	p := &proposal{command: b, onlyIn: term, done: make(chan proposalResult, 1)}
	select {
	case s.proposals <- p:
	case <-ctx.Done():
		return applier.Result{}, ErrNotLeader
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-ctx.Done():
		return applier.Result{}, ErrUnknown
	}
}

// Replace proposes a learner. Once promoted, it replaces the member named in its Replaces field;
// 0 names none.
func (s *Sequencer) Replace(ctx context.Context, learner *wire.ControlMember) error {
	err := ErrUnknown
	return s.runInLoop(ctx, func() { err = s.core.Replace(s.config.Clock.Now(), learner) }, &err)
}

// SinceLastReply returns the time since a member last replied to this leader, or 0 while this member
// is not the leader.
func (s *Sequencer) SinceLastReply(id uint64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.SinceLastReply(s.config.Clock.Now(), id)
}

// Bootstrap starts the log with its first members in an empty data folder. It returns
// ErrAlreadyBootstrapped if the member has members or log entries already.
func (s *Sequencer) Bootstrap(ctx context.Context, m *wire.Membership) error {
	err := ErrUnknown
	return s.runInLoop(ctx, func() { err = s.bootstrap(m) }, &err)
}

// CheckHealth returns an error if no leader is known.
func (s *Sequencer) CheckHealth() error {
	if s.View().LeaderID == 0 {
		return errors.New("no leader is known")
	}
	return nil
}

// ConfirmLeadership waits until a quorum replies to a round that starts after the call, so that the
// applied state holds all that was acknowledged before the call. It returns ErrNotLeader if this
// member is not the leader.
func (s *Sequencer) ConfirmLeadership(ctx context.Context) error {
	round := s.NextRound()
	for {
		v := s.View()
		if v.Standing != replicator.Leader {
			return ErrNotLeader
		}
		if v.RoundConfirmed(round) {
			return nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// NextRound returns the number of the next quorum round, which has not started yet.
func (s *Sequencer) NextRound() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.NextRound()
}

// RoundConfirmed reports whether a quorum replied to the round while this member was the leader.
func (v *View) RoundConfirmed(round uint64) bool { return v.serving && v.confirmedRound >= round }

// Serving reports whether this member is the leader and has committed an entry of its term, so
// that its state holds all that was acknowledged before it became the leader.
func (v *View) Serving() bool { return v.serving }

// Changed returns a channel that is closed when a newer View exists.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Leader returns the leader, or nil if it is unknown.
func (v *View) Leader() *wire.ControlMember {
	for _, m := range v.Members.GetMembers() {
		if m.GetId() == v.LeaderID {
			return m
		}
	}
	return nil
}

// Bootstrapped reports whether the member belongs to a deployment.
func (v *View) Bootstrapped() bool { return len(v.Members.GetMembers()) > 0 }

func (s *Sequencer) runInLoop(ctx context.Context, f func(), err *error) error {
	done := make(chan struct{})
	select {
	case s.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return *err
}

func (s *Sequencer) restore(r recorder.Restored) error {
	if err := s.config.State.Restore(r.Snapshot.GetIndex(), r.Snapshot.GetData()); err != nil {
		return errors.Wrap(err, "restoring the snapshot")
	}
	s.core = replicator.NewCore(replicator.Config{
		ID:              r.Incarnation,
		ElectionTimeout: s.config.ElectionTimeout,
		Heartbeat:       s.config.Heartbeat,
		MinCopies:       s.config.MinCopies,
		Random:          s.config.Random,
		Assert:          s.config.Assert,
	}, r, s.config.Clock.Now())
	if r.TruncatedBytes > 0 {
		s.config.Logger.Log(logger.TornTailCut, logger.F("bytes", r.TruncatedBytes))
	}
	s.publishView(&View{})
	return nil
}

func (s *Sequencer) bootstrap(m *wire.Membership) error {
	if s.View().Bootstrapped() || s.core.LastIndex() > 0 {
		return ErrAlreadyBootstrapped
	}
	initial := recorder.Write{
		State:    &wire.HardState{Term: 1, Commit: 1},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m},
	}
	if err := s.config.Recorder.Save(initial); err != nil {
		return err
	}
	r := recorder.Restored{Incarnation: s.config.Recorder.Restored.Incarnation}
	return s.restore(r.Apply(initial))
}
