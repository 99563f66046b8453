// Package sequencer runs one member of the replicated log: it saves, sends and applies
// what the core asks for, and lets other parts propose commands and read the outcome.
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

// Times and bounds of a member.
const (
	// ElectionTimeout and Heartbeat are the defaults of a Config.
	ElectionTimeout = 300 * time.Millisecond
	Heartbeat       = 60 * time.Millisecond
	// ticksPerHeartbeat is how often the core looks at the time between two heartbeats.
	ticksPerHeartbeat = 6
	// saveRetry is the pause before a refused write is tried again.
	saveRetry = 200 * time.Millisecond
	// SnapshotEvery is the number of applied entries after which the log is compacted.
	SnapshotEvery = 256
	inboxLength   = 4096
	// maxBatch bounds the proposals and messages handled between two writes.
	maxBatch = 512
)

// Errors of proposals.
var (
	// ErrNotLeader means that nothing was proposed.
	ErrNotLeader = errors.New("this control member is not the leader")
	// ErrUnknown means that the command may or may not be committed.
	ErrUnknown = errors.New("the outcome is unknown")
	// ErrFormed means that the member belongs to a deployment already.
	ErrFormed = errors.New("this control member belongs to a deployment already")
)

// Config sets up a Sequencer.
type Config struct {
	Clock    timekeeper.Clock
	Logger   logger.Logger
	Assert   *asserter.Asserter
	Scope    tally.Scope
	Recorder *recorder.Recorder
	State    *applier.State
	// Send hands messages to the network without waiting.
	Send func([]*wire.Message)
	// Random returns a number from 0 to below n.
	Random func(n int64) int64
	// ElectionTimeout and Heartbeat replace the defaults unless they are 0.
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// Copies is the least number of voters that hold an entry before it is committed; a
	// majority is always needed.
	Copies int
}

// View is what other parts may know of the log.
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
	confirmed   uint64
	serving     bool
	changed     chan struct{}
}

// Sequencer owns the core and the data folder of one control member.
type Sequencer struct {
	config Config
	// mutex guards the core; it is not held while a write is saved.
	mutex     sync.Mutex
	core      *replicator.Core
	inbox     chan *wire.Message
	proposals chan *proposal
	calls     chan func()
	waiting   map[uint64][]*proposal
	view      atomic.Pointer[View]
	commits   tally.Counter
	dropped   tally.Counter
	saveTime  tally.Timer
}

type proposal struct {
	command []byte
	term    uint64
	done    chan answer
}

type answer struct {
	result applier.Result
	err    error
}

// NewSequencer restores the state from the data folder.
func NewSequencer(c Config) (*Sequencer, error) {
	if c.ElectionTimeout == 0 || c.Heartbeat == 0 {
		c.ElectionTimeout, c.Heartbeat = ElectionTimeout, Heartbeat
	}
	s := &Sequencer{
		config:    c,
		inbox:     make(chan *wire.Message, inboxLength),
		proposals: make(chan *proposal, maxBatch),
		calls:     make(chan func()),
		waiting:   map[uint64][]*proposal{},
		commits:   c.Scope.Counter("commits"),
		dropped:   c.Scope.Counter("droppedMessages"),
		saveTime:  c.Scope.Timer("save"),
	}
	if err := s.restore(c.Recorder.Restored); err != nil {
		return nil, err
	}
	return s, nil
}

// Run drives the member until the context ends.
func (s *Sequencer) Run(ctx context.Context) error {
	return s.run(ctx)
}

// View returns the latest picture of the log.
func (s *Sequencer) View() *View {
	return s.view.Load()
}

// Deliver takes messages from other members; too many are dropped.
func (s *Sequencer) Deliver(messages []*wire.Message) {
	for _, m := range messages {
		select {
		case s.inbox <- m:
		default:
			s.dropped.Inc(1)
		}
	}
}

// Propose commits a command and returns its result. It is ErrNotLeader if nothing was
// proposed, and ErrUnknown if the command may still be committed.
func (s *Sequencer) Propose(ctx context.Context, c *wire.Command) (applier.Result, error) {
	b, err := proto.Marshal(c)
	if err != nil {
		return applier.Result{}, errors.Wrap(err, "encoding a command")
	}
	p := &proposal{command: b, done: make(chan answer, 1)}
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

// Replace adds a learner that is to take the place of another member.
func (s *Sequencer) Replace(ctx context.Context, learner *wire.ControlMember) error {
	err := ErrUnknown
	return s.call(ctx, func() { err = s.core.Replace(s.config.Clock.Now(), learner) }, &err)
}

// Silence returns how long a member has not answered this leader; it is 0 while this
// member does not lead.
func (s *Sequencer) Silence(id uint64) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Silence(s.config.Clock.Now(), id)
}

// Bootstrap forms the first members on an empty data folder.
func (s *Sequencer) Bootstrap(ctx context.Context, m *wire.Membership) error {
	err := ErrUnknown
	return s.call(ctx, func() { err = s.form(m) }, &err)
}

// Healthy returns an error unless a leader is known.
func (s *Sequencer) Healthy() error {
	if s.View().LeaderID == 0 {
		return errors.New("no leader is known")
	}
	return nil
}

// Confirm waits until a quorum round that began after the call has been answered, so that
// the applied state holds all that was acknowledged before the call.
func (s *Sequencer) Confirm(ctx context.Context) error {
	need := s.PendingRound()
	for {
		v := s.View()
		if v.Standing != replicator.Leader {
			return ErrNotLeader
		}
		if v.ConfirmedRound(need) {
			return nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// PendingRound names a quorum round that has not begun.
func (s *Sequencer) PendingRound() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.NextRound()
}

// ConfirmedRound tells whether the round was answered by a quorum while this member led.
func (v *View) ConfirmedRound(round uint64) bool { return v.serving && v.confirmed >= round }

// Serving tells whether this member leads and its state holds all that was acknowledged
// when it began to lead.
func (v *View) Serving() bool { return v.serving }

// Changed is closed when a newer View exists.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Leader returns the leader as far as known, or nil.
func (v *View) Leader() *wire.ControlMember {
	for _, m := range v.Members.GetMembers() {
		if m.GetId() == v.LeaderID {
			return m
		}
	}
	return nil
}

// Formed tells whether the member belongs to a deployment.
func (v *View) Formed() bool { return len(v.Members.GetMembers()) > 0 }

func (s *Sequencer) call(ctx context.Context, f func(), err *error) error {
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
		MinCopies:       s.config.Copies,
		Random:          s.config.Random,
		Assert:          s.config.Assert,
	}, r, s.config.Clock.Now())
	if r.CutBytes > 0 {
		s.config.Logger.Log(logger.TornTailCut, logger.F("bytes", r.CutBytes))
	}
	s.publish(&View{})
	return nil
}

func (s *Sequencer) form(m *wire.Membership) error {
	if s.View().Formed() || s.core.LastIndex() > 0 {
		return ErrFormed
	}
	first := recorder.Write{
		State:    &wire.HardState{Term: 1, Commit: 1},
		Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m},
	}
	if err := s.config.Recorder.Save(first); err != nil {
		return err
	}
	r := recorder.Restored{Incarnation: s.config.Recorder.Restored.Incarnation}
	return s.restore(r.Apply(first))
}
