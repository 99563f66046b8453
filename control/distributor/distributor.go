// Package distributor hands the replicated state to entries, with a statement of how
// fresh it is, and keeps account of who has it.
package distributor

import (
	"context"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/control/allocator"
	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/apportioner"
	"github.com/filberthoist/filberthoist/control/lender"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/control/surveyor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Bounds of a poll.
const (
	maxHold = 5 * time.Second
	// confirmWait bounds the wait for a quorum round beyond the hold.
	confirmWait = time.Second
	// unconfirmedSpan is how long after a fresh answer changes may go out at once,
	// without waiting for a quorum round.
	unconfirmedSpan = 300 * time.Millisecond
	// gatherSpan is the least time between two answers with changes to one caller: when many
	// entries join or targets come, each change would go to each entry by itself.
	gatherSpan = 40 * time.Millisecond
	// keptSpan is how long a silent caller is remembered.
	keptSpan = 10 * timekeeper.FreshnessLease
)

// Config sets up a Distributor.
type Config struct {
	Clock     timekeeper.Clock
	Sequencer *sequencer.Sequencer
	State     *applier.State
	// Surveyor knows the list of targets; nil means that there is none.
	Surveyor *surveyor.Surveyor
	// Allocator says which regions serve each region's requests; nil means that entries
	// decide by themselves.
	Allocator *allocator.Allocator
	// Apportioner divides teams' rates; nil means that owners grant them.
	Apportioner *apportioner.Apportioner
	// Lender lends the tokens of teams with small rates; nil means that none are lent.
	Lender *lender.Lender
}

// Caller is what is known of one incarnation of an entry or relay.
type Caller struct {
	Member *wire.EntryMember
	// Applied is the highest index that it said to apply.
	Applied uint64
	// Asked is when it last polled.
	Asked time.Duration
	// Fresh is when it was last told that its index is the latest.
	Fresh time.Duration
	// Vacated holds the last epoch in which it stopped to act, by role.
	Vacated map[string]uint64
	// answered is when it was last told of changes.
	answered time.Duration
	// Evidence is what it saw of the moves under way, since it started.
	Evidence []*wire.MoveEvidence
	// toldMembers are the control members whose addresses it was sent.
	toldMembers *wire.Membership
}

// Distributor answers polls on the leader.
type Distributor struct {
	config  Config
	mutex   sync.Mutex
	callers map[wire.Caller]*Caller
	packer  *packer
}

// NewDistributor returns a Distributor that knows no caller.
func NewDistributor(c Config) *Distributor {
	return &Distributor{config: c, callers: map[wire.Caller]*Caller{}, packer: newPacker()}
}

// Poll answers with changes as soon as there are any, or with the statement that there
// are none once the hold time is over.
func (d *Distributor) Poll(ctx context.Context, q *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollResponse], error) {
	r := q.Msg
	v := d.config.Sequencer.View()
	if v.Standing != replicator.Leader {
		return connect.NewResponse(notLeader(v)), nil
	}
	gather := time.NewTimer(max(0, d.note(r)+gatherSpan-d.config.Clock.Now()))
	defer gather.Stop()
	round := d.config.Sequencer.PendingRound()
	hold := holdOf(r)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	limit := time.NewTimer(hold + confirmWait)
	defer limit.Stop()
	held, gathered := false, false
	for {
		v = d.config.Sequencer.View()
		if v.Standing != replicator.Leader {
			return connect.NewResponse(notLeader(v)), nil
		}
		confirmed := v.ConfirmedRound(round)
		targets := d.targetChanges()
		if (held && confirmed) || (gathered && d.hasChanged(v, r) && (confirmed || d.recentlyFresh(r))) {
			return d.respond(v, r, confirmed)
		}
		select {
		case <-v.Changed():
		case <-targets:
		case <-gather.C:
			gathered = true
		case <-timer.C:
			held = true
		case <-limit.C:
			return connect.NewResponse(notLeader(v)), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// holdOf returns how long a poll is held without a change.
func holdOf(r *wire.PollRequest) time.Duration {
	if len(r.GetDemands()) > 0 && r.GetSharesInUse() == 0 {
		return 0 // it can't admit anything yet
	}
	return min(time.Duration(r.GetHoldMilliseconds())*time.Millisecond, maxHold)
}

// hasChanged tells whether there is something that a caller does not know.
func (d *Distributor) hasChanged(v *sequencer.View, r *wire.PollRequest) bool {
	return v.Serving() && (d.config.State.ChangedSince(r.GetApplied()) || (d.config.Surveyor != nil && d.config.Surveyor.ChangedSince(r.GetTargets())))
}

func (d *Distributor) respond(v *sequencer.View, r *wire.PollRequest, confirmed bool) (*connect.Response[wire.PollResponse], error) {
	answer, err := d.answer(v, r, confirmed)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(answer), nil
}

// Borrow lends tokens of teams' rates.
func (d *Distributor) Borrow(_ context.Context, q *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	v := d.config.Sequencer.View()
	if d.config.Lender == nil || !v.Serving() {
		return connect.NewResponse(&wire.BorrowResponse{NotLeader: true}), nil
	}
	return connect.NewResponse(d.config.Lender.Answer(v.Term, v.LeaderSince, q.Msg)), nil
}

// Callers returns what is known of each caller.
func (d *Distributor) Callers() map[wire.Caller]Caller {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	out := make(map[wire.Caller]Caller, len(d.callers))
	for n, c := range d.callers {
		out[n] = *c
	}
	return out
}

// InForce returns the highest index that every caller has whose lease may still run. ok
// is false until this member has led for a whole lease.
func (d *Distributor) InForce() (index uint64, ok bool) {
	now, v := d.config.Clock.Now(), d.config.Sequencer.View()
	if !v.Serving() || now-v.LeaderSince < timekeeper.FreshnessLease+timekeeper.DriftMargin {
		return 0, false
	}
	index = d.config.State.Index()
	for _, c := range d.Callers() {
		if now-c.Fresh < timekeeper.FreshnessLease+timekeeper.DriftMargin {
			index = min(index, d.effective(c))
		}
	}
	return index, true
}

// effective returns the index up to which a caller has all that is distributed.
func (d *Distributor) effective(c Caller) uint64 {
	if !d.config.State.ChangedSince(c.Applied) {
		return d.config.State.Index()
	}
	return c.Applied
}

func (d *Distributor) answer(v *sequencer.View, r *wire.PollRequest, fresh bool) (*wire.PollResponse, error) {
	n := packName{from: r.GetApplied(), to: d.config.State.Index(), targetsTerm: r.GetTargets().GetTerm(), targetsFrom: r.GetTargets().GetChange()}
	if d.config.Surveyor != nil {
		n.knownTerm, n.knownTo = d.config.Surveyor.Version()
	}
	k, err := d.packer.get(d.config.Clock.Now(), n, func() *pack {
		records, index, whole := d.config.State.Since(r.GetApplied())
		return &pack{records: records, index: index, whole: whole, targets: d.listed(r)}
	})
	if err != nil {
		return nil, err
	}
	if fresh {
		d.noteFresh(r)
	}
	if k.whole || k.holds() {
		d.noteAnswered(r)
	}
	out := &wire.PollResponse{
		Index: k.index, Snapshot: k.whole, Records: k.records, Fresh: fresh, Targets: k.targets, Packed: k.packed,
	}
	if d.config.Apportioner != nil && v.Serving() {
		out.Shares, out.SharesNumber = d.config.Apportioner.Answer(v.Term, v.LeaderSince, r)
	}
	if d.config.Allocator != nil && v.Serving() {
		out.Allocation = d.config.Allocator.Answer(v.Term, r)
	}
	out.ControlAddresses = d.addresses(v, r)
	return out, nil
}

// listed returns what changed on the list of targets since the caller's version, or nil.
func (d *Distributor) listed(r *wire.PollRequest) *wire.TargetChanges {
	if d.config.Surveyor == nil {
		return nil
	}
	return d.config.Surveyor.Since(r.GetTargets())
}

func (d *Distributor) targetChanges() <-chan struct{} {
	if d.config.Surveyor == nil {
		return nil
	}
	return d.config.Surveyor.Changed()
}

// addresses returns where control members are, unless the caller was told already.
func (d *Distributor) addresses(v *sequencer.View, r *wire.PollRequest) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c := d.callers[wire.CallerOf(r.GetMember())]
	if c == nil || c.toldMembers == v.Members {
		return nil
	}
	c.toldMembers = v.Members
	var out []string
	for _, m := range v.Members.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

// note keeps account of a caller and returns when it was last told of changes.
func (d *Distributor) note(r *wire.PollRequest) (answered time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.config.Clock.Now()
	n := wire.CallerOf(r.GetMember())
	c := d.callers[n]
	if c == nil {
		d.forgetSilent(now)
		// A lease that an earlier leader granted may still run.
		c = &Caller{Fresh: d.config.Sequencer.View().LeaderSince, Vacated: map[string]uint64{}, answered: now - gatherSpan}
		d.callers[n] = c
	}
	c.Member, c.Asked = r.GetMember(), now
	c.Applied = max(c.Applied, r.GetApplied())
	vacated := maps.Clone(c.Vacated) // copies of the Caller share the map
	for _, t := range r.GetStopped() {
		vacated[t.GetName()] = max(vacated[t.GetName()], t.GetEpoch())
	}
	c.Vacated = vacated
	c.Evidence = r.GetEvidence()
	return c.answered
}

// noteFresh is called before the answer leaves, so that the caller's lease ends earlier.
func (d *Distributor) noteFresh(r *wire.PollRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c := d.callers[wire.CallerOf(r.GetMember())]; c != nil {
		c.Fresh = d.config.Clock.Now()
	}
}

func (d *Distributor) noteAnswered(r *wire.PollRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c := d.callers[wire.CallerOf(r.GetMember())]; c != nil {
		c.answered = d.config.Clock.Now()
	}
}

func (d *Distributor) recentlyFresh(r *wire.PollRequest) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c := d.callers[wire.CallerOf(r.GetMember())]
	return c != nil && d.config.Clock.Now()-c.Fresh < unconfirmedSpan
}

func (d *Distributor) forgetSilent(now time.Duration) {
	for n, c := range d.callers {
		if now-c.Asked > keptSpan && now-c.Fresh > keptSpan {
			delete(d.callers, n)
		}
	}
}

func notLeader(v *sequencer.View) *wire.PollResponse {
	return &wire.PollResponse{NotLeader: true, LeaderAddress: v.Leader().GetAddress()}
}
