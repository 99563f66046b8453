// Package distributor serves the replicated state to entries and relays. Its responses state
// whether the state is the latest, and it records which index each caller has.
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
	"github.com/filberthoist/filberthoist/control/collector"
	"github.com/filberthoist/filberthoist/control/lender"
	"github.com/filberthoist/filberthoist/control/replicator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/control/surveyor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Times of a poll.
const (
	// maxHold bounds the time for which a poll is held without a change.
	maxHold = 5 * time.Second
	// confirmWait bounds the wait for a quorum round after the hold time.
	confirmWait = time.Second
	// unconfirmedWindow is how long after a fresh response changes may be sent at once, without
	// waiting for a quorum round.
	unconfirmedWindow = 300 * time.Millisecond
	// batchInterval is the minimum time between two responses with changes to one caller. Without
	// it, each change would be sent to each entry on its own when many entries or targets join.
	batchInterval = 40 * time.Millisecond
	// leaseEnd is the age at which the lease of a fresh response has certainly expired.
	leaseEnd = timekeeper.FreshnessLease + timekeeper.DriftMargin
	// reportAge is the age of a poll up to which its caller counts as reporting.
	reportAge = 4 * timekeeper.PollHold
	// callerExpiry is how long a silent caller is kept.
	callerExpiry = 10 * timekeeper.FreshnessLease
)

// Config configures a Distributor.
type Config struct {
	Clock     timekeeper.Clock
	Sequencer *sequencer.Sequencer
	State     *applier.State
	// Surveyor holds the list of targets; nil means that there is none.
	Surveyor *surveyor.Surveyor
	// Allocator decides which regions serve each region's requests; nil means that entries decide
	// on their own.
	Allocator *allocator.Allocator
	// Apportioner divides the rates of teams into shares; nil means that owners grant them.
	Apportioner *apportioner.Apportioner
	// Lender lends tokens of teams with small rates; nil means that none are lent.
	Lender *lender.Lender
	// Collector takes the usage that entries report; nil means that none is wanted.
	Collector *collector.Collector
}

// Caller is the state of one incarnation of an entry or relay.
type Caller struct {
	Member *wire.EntryMember
	// Applied is the highest index that it reported as applied.
	Applied uint64
	// LastPoll is when it last polled.
	LastPoll time.Duration
	// LastFresh is when it was last sent a fresh response: one that states that its index is the
	// latest.
	LastFresh time.Duration
	// Vacated holds the last epoch in which it stopped acting, by role.
	Vacated map[string]uint64
	// answered is when it was last sent changes.
	answered time.Duration
	// Evidence holds its counts of responses for the moves under way, since it started.
	Evidence []*wire.MoveEvidence
	// sentMembers are the control members whose addresses it was sent.
	sentMembers *wire.Membership
}

// Distributor answers polls while its control member is the leader.
type Distributor struct {
	config  Config
	mutex   sync.Mutex
	callers map[wire.EntryRun]*Caller
	packer  *packer
}

// NewDistributor returns a Distributor without callers.
func NewDistributor(c Config) *Distributor {
	return &Distributor{config: c, callers: map[wire.EntryRun]*Caller{}, packer: newPacker()}
}

// Poll answers with changes as soon as there are any and batchInterval has passed since the last
// ones. Without changes it answers when the hold time is over and a quorum round has confirmed
// that there are none. If no round completes within confirmWait after that, it answers that this
// member does not lead.
func (d *Distributor) Poll(ctx context.Context, q *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollResponse], error) {
	r := q.Msg
	v := d.config.Sequencer.View()
	if v.Standing != replicator.Leader {
		return connect.NewResponse(notLeader(v)), nil
	}
	if d.config.Surveyor != nil {
		d.config.Surveyor.RecordLeaving(v.Term, r.GetLeavingTargets())
	}
	batchTimer := time.NewTimer(max(0, d.recordPoll(r)+batchInterval-d.config.Clock.Now()))
	defer batchTimer.Stop()
	round := d.config.Sequencer.NextRound()
	hold := holdTime(r)
	holdTimer := time.NewTimer(hold)
	defer holdTimer.Stop()
	limit := time.NewTimer(hold + confirmWait)
	defer limit.Stop()
	held, batched := false, false
	for {
		v = d.config.Sequencer.View()
		if v.Standing != replicator.Leader {
			return connect.NewResponse(notLeader(v)), nil
		}
		confirmed := v.RoundConfirmed(round)
		targets := d.targetChanges()
		if (held && confirmed) || (batched && d.hasChanged(v, r) && (confirmed || d.recentlyFresh(r))) {
			return d.respond(v, r, confirmed)
		}
		select {
		case <-v.Changed():
		case <-targets:
		case <-batchTimer.C:
			batched = true
		case <-holdTimer.C:
			held = true
		case <-limit.C:
			return connect.NewResponse(notLeader(v)), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// holdTime returns how long a poll is held without a change.
func holdTime(r *wire.PollRequest) time.Duration {
	if len(r.GetDemands()) > 0 && r.GetSharesInUse() == 0 {
		return 0 // the entry can't admit requests before it has shares
	}
	return min(time.Duration(r.GetHoldMilliseconds())*time.Millisecond, maxHold)
}

// hasChanged reports whether there are changes that a caller does not have.
func (d *Distributor) hasChanged(v *sequencer.View, r *wire.PollRequest) bool {
	return v.Serving() && (d.config.State.ChangedSince(r.GetApplied()) || (d.config.Surveyor != nil && d.config.Surveyor.ChangedSince(r.GetTargets())))
}

// respond builds the response to a poll.
func (d *Distributor) respond(v *sequencer.View, r *wire.PollRequest, confirmed bool) (*connect.Response[wire.PollResponse], error) {
	answer, err := d.answer(v, r, confirmed)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(answer), nil
}

// Borrow lends tokens of teams' rates to an entry.
func (d *Distributor) Borrow(_ context.Context, q *connect.Request[wire.BorrowRequest]) (*connect.Response[wire.BorrowResponse], error) {
	v := d.config.Sequencer.View()
	if d.config.Lender == nil || !v.Serving() {
		return connect.NewResponse(&wire.BorrowResponse{NotLeader: true}), nil
	}
	return connect.NewResponse(d.config.Lender.Answer(v.Term, v.LeaderSince, q.Msg)), nil
}

// Callers returns the state of each caller.
func (d *Distributor) Callers() map[wire.EntryRun]Caller {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	out := make(map[wire.EntryRun]Caller, len(d.callers))
	for n, c := range d.callers {
		out[n] = *c
	}
	return out
}

// TermCallers returns the state of each caller that has polled since this member became the leader. What others
// reported is of an earlier term.
func (d *Distributor) TermCallers() map[wire.EntryRun]Caller {
	out, since := d.Callers(), d.config.Sequencer.View().LeaderSince
	for n, c := range out {
		if c.LastPoll < since {
			delete(out, n)
		}
	}
	return out
}

// MostReport reports whether more than half of the entries whose lease may not have expired have polled within
// reportAge, in this term and with all records up to an index. It is false while none has.
func (d *Distributor) MostReport(index uint64) bool {
	now, v := d.config.Clock.Now(), d.config.Sequencer.View()
	if !v.Serving() {
		return false
	}
	callers, reporting, silent := d.TermCallers(), 0, 0
	for _, c := range callers {
		switch {
		case now-c.LastPoll <= reportAge && d.effectiveIndex(c) >= index:
			reporting++
		case now-max(c.LastPoll, c.LastFresh) < leaseEnd:
			silent++
		}
	}
	if now-v.LeaderSince < leaseEnd {
		for n, m := range d.config.State.Entries() {
			if _, ok := callers[wire.EntryRun{Name: n, Incarnation: m.GetIncarnation()}]; !ok {
				silent++
			}
		}
	}
	return reporting > silent
}

// InForce returns the highest index that every caller has whose lease may not have expired. ok is
// false until this member has been the leader for a whole lease.
func (d *Distributor) InForce() (index uint64, ok bool) {
	now, v := d.config.Clock.Now(), d.config.Sequencer.View()
	if !v.Serving() || now-v.LeaderSince < leaseEnd {
		return 0, false
	}
	index = d.config.State.Index()
	for _, c := range d.Callers() {
		if now-c.LastFresh < leaseEnd {
			index = min(index, d.effectiveIndex(c))
		}
	}
	return index, true
}

// effectiveIndex returns the index up to which a caller has all distributed records.
func (d *Distributor) effectiveIndex(c Caller) uint64 {
	if !d.config.State.ChangedSince(c.Applied) {
		return d.config.State.Index()
	}
	return c.Applied
}

// answer builds the content of a response. fresh states that a quorum round has confirmed
// this member as the leader since the poll arrived.
func (d *Distributor) answer(v *sequencer.View, r *wire.PollRequest, fresh bool) (*wire.PollResponse, error) {
	n := payloadKey{from: r.GetApplied(), to: d.config.State.Index(), targetsTerm: r.GetTargets().GetTerm(), targetsFrom: r.GetTargets().GetChange()}
	if d.config.Surveyor != nil {
		n.latestTerm, n.latestChange = d.config.Surveyor.Version()
	}
	k, err := d.packer.get(d.config.Clock.Now(), n, func() *payload {
		records, index, whole := d.config.State.Since(r.GetApplied())
		return &payload{records: records, index: index, whole: whole, targets: d.targetsSince(r)}
	})
	if err != nil {
		return nil, err
	}
	if fresh {
		d.recordFresh(r)
	}
	if k.whole || k.hasChanges() {
		d.recordAnswered(r)
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
	out.Usage = d.collectUsage(v, r)
	out.ControlAddresses = d.controlAddresses(v, r)
	return out, nil
}

// collectUsage takes the usage of a poll and returns the receipt, or nil if none is wanted.
func (d *Distributor) collectUsage(v *sequencer.View, r *wire.PollRequest) *wire.UsageReceipt {
	if d.config.Collector == nil || !v.Serving() {
		return nil
	}
	return d.config.Collector.Add(v.Term, r)
}

// targetsSince returns what changed in the list of targets since the caller's version, or nil.
func (d *Distributor) targetsSince(r *wire.PollRequest) *wire.TargetChanges {
	if d.config.Surveyor == nil {
		return nil
	}
	return d.config.Surveyor.Since(r.GetTargets())
}

// targetChanges returns a channel that is closed when the list of targets changes.
func (d *Distributor) targetChanges() <-chan struct{} {
	if d.config.Surveyor == nil {
		return nil
	}
	return d.config.Surveyor.Changed()
}

// controlAddresses returns the addresses of the control members, or nil if the caller was sent them
// before.
func (d *Distributor) controlAddresses(v *sequencer.View, r *wire.PollRequest) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c := d.callers[wire.EntryRunOf(r.GetMember())]
	if c == nil || c.sentMembers == v.Members {
		return nil
	}
	c.sentMembers = v.Members
	var out []string
	for _, m := range v.Members.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

// recordPoll records the state and the usage of a caller and returns when it was last sent changes.
func (d *Distributor) recordPoll(r *wire.PollRequest) (answered time.Duration) {
	d.collectUsage(d.config.Sequencer.View(), r)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.config.Clock.Now()
	n := wire.EntryRunOf(r.GetMember())
	c := d.callers[n]
	if c == nil {
		d.dropSilentCallers(now)
		// A lease that an earlier leader granted may not have expired.
		c = &Caller{LastFresh: d.config.Sequencer.View().LeaderSince, Vacated: map[string]uint64{}, answered: now - batchInterval}
		d.callers[n] = c
	}
	c.Member, c.LastPoll = r.GetMember(), now
	c.Applied = max(c.Applied, r.GetApplied())
	vacated := maps.Clone(c.Vacated) // copies of the Caller share the map
	for _, t := range r.GetStopped() {
		vacated[t.GetName()] = max(vacated[t.GetName()], t.GetEpoch())
	}
	c.Vacated = vacated
	c.Evidence = r.GetEvidence()
	return c.answered
}

// recordFresh records that a caller is sent a fresh response. It runs before the response is sent,
// and the caller counts its lease from its request, so that the lease ends before the one assumed
// here.
func (d *Distributor) recordFresh(r *wire.PollRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c := d.callers[wire.EntryRunOf(r.GetMember())]; c != nil {
		c.LastFresh = d.config.Clock.Now()
	}
}

// recordAnswered records that a caller is sent changes.
func (d *Distributor) recordAnswered(r *wire.PollRequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c := d.callers[wire.EntryRunOf(r.GetMember())]; c != nil {
		c.answered = d.config.Clock.Now()
	}
}

// recentlyFresh reports whether a caller was sent a fresh response within unconfirmedWindow.
func (d *Distributor) recentlyFresh(r *wire.PollRequest) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c := d.callers[wire.EntryRunOf(r.GetMember())]
	return c != nil && d.config.Clock.Now()-c.LastFresh < unconfirmedWindow
}

// dropSilentCallers drops the callers that have neither polled nor been sent a fresh response
// within callerExpiry.
func (d *Distributor) dropSilentCallers(now time.Duration) {
	for n, c := range d.callers {
		if now-c.LastPoll > callerExpiry && now-c.LastFresh > callerExpiry {
			delete(d.callers, n)
		}
	}
}

// notLeader returns the response of a member that is not the leader, with the address of the leader
// if it is known.
func notLeader(v *sequencer.View) *wire.PollResponse {
	return &wire.PollResponse{NotLeader: true, LeaderAddress: v.Leader().GetAddress()}
}
