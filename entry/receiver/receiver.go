// Package receiver polls control for the replicated state and tracks how fresh that state is.
package receiver

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Timing of polls and calls to control.
const (
	// pollTimeout bounds a poll. It starts shorter than every lease, so that one silent
	// connection does not let a lease expire. It doubles, up to maxTimeoutDoublings times, while
	// responses start but don't finish in time, since a full snapshot takes long on a slow link.
	pollTimeout         = timekeeper.PollHold + 350*time.Millisecond
	maxTimeoutDoublings = 2
	// retryDelay is the pause after a failed poll.
	retryDelay = 50 * time.Millisecond
	// borrowTimeout bounds a call for tokens. It covers two trips between distant regions and a
	// pause of the leader.
	borrowTimeout = 400 * time.Millisecond
	// avoidDuration is how long a leader that did not respond is polled only if there is no other.
	avoidDuration = timekeeper.RoleLease
)

// Config configures a Receiver.
type Config struct {
	Clock     timekeeper.Clock
	Logger    logger.Logger
	Assert    *asserter.Asserter
	Scope     tally.Scope
	Connector *connector.Connector
	// Controls are the peer addresses of control members from the settings.
	Controls []string
	Self     *wire.EntryMember
	// Evidence returns what this entry observed of the moves under way; nil means nothing.
	Evidence func() []*wire.MoveEvidence
	// RequestRates returns each team's request rate at this entry, in requests per second; nil means
	// that none is reported.
	RequestRates func() map[string]float64
	// Demands returns the number of slots that this entry's requests for each service keep busy;
	// nil means that none is reported.
	Demands func() []*wire.ServiceDemand
	// LeavingTargets returns the targets that stated to this entry that they are leaving while the
	// list does not show it; nil means that none are reported.
	LeavingTargets func() []string
	// Usage returns the report of usage for the next poll, or nil if none is due, and ConfirmUsage takes
	// the receipt for it; nil means that no usage is reported.
	Usage        func() *wire.UsageReport
	ConfirmUsage func(r *wire.UsageReport, receipt *wire.UsageReceipt)
	// Zones maps availability zones to their regions, for listed targets.
	Zones map[string]string
	// Lenient serves keyed requests from the last known state while control is unreachable.
	Lenient bool
	// Isolated reports whether this entry can reach none of its targets; nil means never.
	Isolated func() bool
}

// Receiver polls control and holds the latest View.
type Receiver struct {
	config  Config
	client  *http.Client
	records *records
	view    atomic.Pointer[View]
	// lastFreshPoll is when the last poll with a fresh response was sent, in nanoseconds on the
	// Clock. The freshness lease and the role lease count from it.
	lastFreshPoll atomic.Int64
	leaving       atomic.Bool
	changed       atomic.Pointer[chan struct{}]
	// nextControl is the index of the control member to poll while no leader is known, modulo the
	// number of members.
	nextControl int
	// leader is the address of the leader to poll; empty if none is known.
	leader string
	// avoided is the address of the leader that failed to respond last. Other members may still name
	// it.
	avoided      string
	avoidedUntil time.Duration
	// leaderAddress is the address of the leader that responded last, for other goroutines; nil
	// before the first response.
	leaderAddress atomic.Pointer[string]
	// reportedControls are the addresses of control members as the last leader reported them.
	reportedControls []string
	// configuredControls are the addresses from the settings, which may be reloaded.
	configuredControls atomic.Pointer[[]string]
	targets            targetList
	shares             Shares
	// allocationNumber is the number of the allocation in use.
	allocationNumber uint64
	// leaseLapsed means that the freshness lease had expired at the last check.
	leaseLapsed bool
	// controlUnreachable means that no leader has responded since a failed poll; further failures are
	// not logged.
	controlUnreachable bool
	// compileFailed means that received records don't compile, so that the View is out of date.
	compileFailed bool
	fractions     fractions
	// loggedFractions are the fractions of the allocation as last logged.
	loggedFractions map[string]float64
	// timeoutDoublings counts consecutive polls whose response started but did not finish, up to
	// maxTimeoutDoublings.
	timeoutDoublings int
	polls            tally.Counter
	pollBytes        tally.Counter
}

// noFreshPoll is the value of lastFreshPoll before the first fresh response.
const noFreshPoll = int64(-1 << 62)

// NewReceiver returns a Receiver with an empty View.
func NewReceiver(c Config) *Receiver {
	r := &Receiver{
		config:      c,
		client:      c.Connector.Client(),
		records:     newRecords(),
		targets:     newTargetList(c.Zones),
		leaseLapsed: true,
		polls:       c.Scope.Counter("polls"),
		pollBytes:   c.Scope.Counter("pollBytes"),
	}
	r.lastFreshPoll.Store(noFreshPoll)
	r.configuredControls.Store(&c.Controls)
	r.view.Store(&View{})
	wake := make(chan struct{})
	r.changed.Store(&wake)
	return r
}

// Run polls until the context ends.
func (r *Receiver) Run(ctx context.Context) error {
	return r.run(ctx)
}

// SetControls replaces the addresses from the settings.
func (r *Receiver) SetControls(addresses []string) {
	r.configuredControls.Store(&addresses)
}

// View returns the latest View.
func (r *Receiver) View() *View {
	return r.view.Load()
}

// Changed returns a channel that is closed when a View newer than the current one exists. Call
// it before View, so that no change is missed.
func (r *Receiver) Changed() <-chan struct{} {
	return *r.changed.Load()
}

// Leader returns the address of the control leader that responded last, or "".
func (r *Receiver) Leader() string {
	if p := r.leaderAddress.Load(); p != nil {
		return *p
	}
	return ""
}

// FreshUntil returns the end of the freshness lease on the Clock.
func (r *Receiver) FreshUntil() time.Duration {
	return time.Duration(r.lastFreshPoll.Load()) + timekeeper.FreshnessLease
}

// Fresh reports whether keyed requests may be served now.
func (r *Receiver) Fresh() bool {
	return r.config.Lenient || r.config.Clock.Now() < r.FreshUntil()
}

// Share returns the fraction of a team's rate and burst that this entry may admit, from 0 to 1.
func (r *Receiver) Share(team string) float64 {
	return r.shares.Of(team, r.config.Clock.Now())
}

// ShareChanged returns a channel that is closed when newer shares arrive.
func (r *Receiver) ShareChanged() <-chan struct{} {
	return r.shares.Changed()
}

// Borrow asks the control leader for tokens of teams whose tokens are lent. It fails if no
// leader is known or the member that was asked is not the leader.
func (r *Receiver) Borrow(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	leader := r.Leader()
	if leader == "" {
		return nil, errors.New("no control leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	c := r.distributionClient(leader)
	for _, d := range demands {
		d.LentMilliseconds = r.shares.LentFor(d.GetTeam(), r.config.Clock.Now())
	}
	q := &wire.BorrowRequest{Entry: r.config.Self.GetName(), Incarnation: r.config.Self.GetIncarnation(), Demands: demands}
	response, err := c.Borrow(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, errors.Wrap(err, "borrowing tokens")
	}
	if response.Msg.GetNotLeader() {
		return nil, errors.Errorf("%s is not the leader", leader)
	}
	for _, n := range response.Msg.GetLoans() {
		if n.GetDivided() {
			r.shares.MarkDivided(n.GetTeam())
		}
	}
	return response.Msg, nil
}

// RoleUntil returns the end of the lease on this entry's roles, on the Clock.
func (r *Receiver) RoleUntil() time.Duration {
	return time.Duration(r.lastFreshPoll.Load()) + timekeeper.RoleLease
}

// MayAct reports whether this entry may act in its roles and spend its tokens now.
func (r *Receiver) MayAct() bool {
	return r.config.Clock.Now() < r.RoleUntil()
}

// HoldsRole returns the epoch under which this entry may act in a role now.
func (r *Receiver) HoldsRole(role string) (epoch uint64, ok bool) {
	h := r.View().Roles[role]
	if !r.isHolder(h) || h.GetVacant() {
		return 0, false
	}
	return h.GetEpoch(), r.MayAct()
}

// Leave reports to control, with the next poll, that this entry takes no new callers.
func (r *Receiver) Leave() {
	r.leaving.Store(true)
}

// Ready reports whether this entry takes callers.
func (r *Receiver) Ready() bool {
	return !r.leaving.Load() && r.CheckHealth() == nil
}

// HasLeft reports whether control has taken this entry out of lookups.
func (r *Receiver) HasLeft() bool {
	m := r.View().Entries[r.config.Self.GetName()]
	return m == nil || m.GetState() == wire.EntryState_ENTRY_STATE_LEAVING
}

// Self returns the member record of this entry.
func (r *Receiver) Self() *wire.EntryMember {
	return r.config.Self
}

// CheckHealth returns an error unless keyed requests may be served.
func (r *Receiver) CheckHealth() error {
	switch {
	case r.View().Configuration == nil:
		return errors.New("no configuration is in force")
	case !r.Fresh():
		return errors.New("no fresh word from control")
	}
	return nil
}

func (r *Receiver) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.poll(ctx) {
			r.waitForRetry(ctx)
		}
		r.logLeaseChange()
	}
	return ctx.Err()
}

// poll polls one control member and reports whether to poll again without a delay.
func (r *Receiver) poll(ctx context.Context) bool {
	address := r.nextAddress()
	start := r.config.Clock.Now()
	q, reported := r.pollRequest(address, start)
	response, err := r.sendPoll(ctx, address, q)
	if err != nil {
		r.markUnreachable(address, err)
		return false
	}
	if response.GetNotLeader() {
		r.followLeader(response.GetLeaderAddress())
		return r.leader != ""
	}
	r.controlUnreachable = false
	r.leader = address
	r.leaderAddress.Store(&address)
	if len(response.GetControlAddresses()) > 0 {
		r.reportedControls = response.GetControlAddresses()
	}
	if changed := r.shares.Apply(response, start, reported, address); len(changed) > 0 {
		r.config.Logger.Log(logger.SharesInUse, logger.F("number", response.GetSharesNumber()), logger.F("shares", changed))
	}
	if r.config.ConfirmUsage != nil {
		r.config.ConfirmUsage(q.GetUsage(), response.GetUsage())
	}
	r.applyResponse(response, start)
	r.applyTargets(response.GetTargets())
	r.applyAllocation(response.GetAllocation())
	return true
}

// sendPoll sends a poll and unpacks the response.
func (r *Receiver) sendPoll(ctx context.Context, address string, q *wire.PollRequest) (*wire.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout<<r.timeoutDoublings)
	defer cancel()
	begun := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }}
	response, err := r.distributionClient(address).Poll(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(q))
	r.polls.Inc(1)
	r.timeoutDoublings = min(r.timeoutDoublings+1, maxTimeoutDoublings)
	if err == nil || !begun.Load() {
		r.timeoutDoublings = 0
	}
	if err != nil {
		return nil, err
	}
	r.pollBytes.Inc(int64(proto.Size(response.Msg)))
	return response.Msg, wire.Unpack(response.Msg)
}

// pollRequest returns the next poll, and whether it reports the request rates of teams.
func (r *Receiver) pollRequest(address string, now time.Duration) (q *wire.PollRequest, reported bool) {
	self := proto.CloneOf(r.config.Self)
	switch {
	case r.leaving.Load():
		self.State = wire.EntryState_ENTRY_STATE_LEAVING
	case r.config.Isolated != nil && r.config.Isolated():
		self.State = wire.EntryState_ENTRY_STATE_ISOLATED
	}
	v := r.View()
	q = &wire.PollRequest{Member: self, Applied: v.Index, HoldMilliseconds: uint32(timekeeper.PollHold / time.Millisecond)}
	for _, h := range v.Roles {
		if r.isHolder(h) && h.GetVacant() {
			q.Stopped = append(q.Stopped, &wire.StoppedRole{Name: h.GetName(), Epoch: h.GetEpoch()})
		}
	}
	if r.config.Evidence != nil {
		q.Evidence = r.config.Evidence()
	}
	q.Targets = r.targets.version
	if r.config.LeavingTargets != nil {
		q.LeavingTargets = r.config.LeavingTargets()
	}
	if r.config.Usage != nil {
		q.Usage = r.config.Usage()
	}
	q.SharesInUse = r.shares.InUse()
	if n := len(v.Entries); n > 0 {
		q.LeastEntries = uint32(r.shares.LeastEntries(now, n))
	}
	if r.config.RequestRates != nil && r.shares.ReportDue(address, now) {
		rates := r.config.RequestRates()
		q.Demands = r.shares.Demands(rates, now, address)
		if r.config.Demands != nil {
			q.Services = r.config.Demands()
		}
		reported = rates != nil // before the first configuration there is nothing to report
	}
	q.Allocation = r.allocationNumber
	return q, reported
}

// distributionClient returns a client of a control member. It turns off compression by the
// transport, since large responses carry a compressed payload.
func (r *Receiver) distributionClient(address string) wireconnect.DistributionServiceClient {
	return wireconnect.NewDistributionServiceClient(r.client, r.config.Connector.URL(address), connect.WithAcceptCompression("gzip", nil, nil))
}

// applyAllocation takes over a newer allocation, and publishes a View with fractions nearer to the
// latest one.
func (r *Receiver) applyAllocation(a *wire.Allocation) {
	if a != nil {
		r.allocationNumber = a.GetNumber()
		r.fractions.allocate(a)
		r.logAllocation(a)
	}
	if next := r.fractions.advance(r.config.Clock.Now(), r.isIdle()); next != nil {
		n := *r.View()
		n.RegionFractions = next
		r.publish(&n)
	}
}

// isIdle reports whether this entry has hardly any requests that a change of fractions could move.
func (r *Receiver) isIdle() bool {
	load := 0.0
	if r.config.Demands != nil {
		for _, d := range r.config.Demands() {
			load += d.GetLoad()
		}
	}
	return load < maxIdleLoad
}

// logAllocation logs an allocation if a fraction differs by minLoggedChange or more from the one
// logged last.
func (r *Receiver) logAllocation(a *wire.Allocation) {
	var fractions []string
	logged, changed := map[string]float64{}, false
	for _, p := range a.GetParts() {
		name := p.GetService() + " " + p.GetRegion()
		old, known := r.loggedFractions[name]
		changed = changed || !known || math.Abs(old-p.GetPart()) >= minLoggedChange
		logged[name] = p.GetPart()
		fractions = append(fractions, fmt.Sprintf("%s %.2f", name, p.GetPart()))
	}
	if changed {
		r.loggedFractions = logged
		r.config.Logger.Log(logger.AllocationInUse, logger.F("number", a.GetNumber()), logger.F("parts", fractions))
	}
}

// applyTargets applies changes of the target list.
func (r *Receiver) applyTargets(c *wire.TargetChanges) {
	if c == nil || !r.targets.apply(c, r.config.Clock.Now()) {
		return
	}
	n := *r.View()
	n.Targets = r.targets.byService()
	r.publish(&n)
}

// applyResponse applies the response to a poll that was sent at start.
func (r *Receiver) applyResponse(p *wire.PollResponse, start time.Duration) {
	old := r.View()
	if p.GetIndex() < old.Index {
		return // the index never decreases
	}
	if len(p.GetRecords()) > 0 || p.GetSnapshot() {
		r.compileFailed = !r.applyRecords(p, old)
	}
	if r.compileFailed {
		return // without the records, the View must not count as up to date
	}
	if p.GetIndex() > r.View().Index {
		n := *r.View()
		n.Index = p.GetIndex()
		r.publish(&n)
	}
	if p.GetFresh() {
		r.lastFreshPoll.Store(int64(start))
	}
}

// applyRecords publishes a View with the records of a response, and reports whether they compile.
func (r *Receiver) applyRecords(p *wire.PollResponse, old *View) bool {
	textChanged := r.records.merge(p) || r.compileFailed
	v, err := r.records.compile(p.GetIndex(), old, textChanged, r.config.Zones)
	if err != nil {
		r.config.Logger.Log(logger.ConfigurationBad, logger.F("index", p.GetIndex()), logger.F("error", err))
		return false
	}
	r.publish(v)
	if !maps.Equal(v.Evacuated, old.Evacuated) {
		r.config.Logger.Log(logger.EvacuationsInForce, logger.F("zones", slices.Sorted(maps.Keys(v.Evacuated))), logger.F("index", v.Index))
	}
	if textChanged && v.Configuration != nil {
		r.config.Logger.Log(logger.ConfigurationInUse, logger.F("revision", v.Configuration.Revision), logger.F("index", v.Index))
	}
	return true
}

// publish stores a View and closes the channel of Changed.
func (r *Receiver) publish(v *View) {
	r.config.Assert.That(v.Index >= r.View().Index, "indexNeverBack", "index %d after %d", v.Index, r.View().Index)
	r.view.Store(v)
	wake := make(chan struct{})
	close(*r.changed.Swap(&wake))
}

// isHolder reports whether this run of the entry holds a role.
func (r *Receiver) isHolder(h *wire.Role) bool {
	s := r.config.Self
	return h.GetHolder() == s.GetName() && h.GetIncarnation() == s.GetIncarnation()
}

// nextAddress returns the address of the member to poll next.
func (r *Receiver) nextAddress() string {
	if r.leader != "" {
		return r.leader
	}
	list := r.controlAddresses()
	if r.isAvoided(list[r.nextControl%len(list)]) {
		r.nextControl++
	}
	return list[r.nextControl%len(list)]
}

// controlAddresses returns the members that the leader reported, then those from the settings,
// which may no longer exist.
func (r *Receiver) controlAddresses() []string {
	out := slices.Clone(r.reportedControls)
	for _, a := range *r.configuredControls.Load() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (r *Receiver) isAvoided(address string) bool {
	return address == r.avoided && r.config.Clock.Now() < r.avoidedUntil
}

// followLeader selects the named leader for the next poll, or the next member if no other
// leader is named or the named one did not respond lately.
func (r *Receiver) followLeader(leader string) {
	if leader == "" || leader == r.leader || r.isAvoided(leader) {
		r.leader = ""
		r.nextControl++
		return
	}
	r.leader = leader
}

// markUnreachable selects another member for the next poll.
func (r *Receiver) markUnreachable(address string, err error) {
	if !r.controlUnreachable {
		r.config.Logger.Log(logger.ControlUnreachable, logger.F("address", address), logger.F("error", err))
	}
	r.controlUnreachable = true
	if address == r.leader {
		r.avoided, r.avoidedUntil = address, r.config.Clock.Now()+avoidDuration
	}
	r.leader = ""
	r.nextControl++
}

func (r *Receiver) waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// logLeaseChange logs when the freshness lease expires and when it is renewed.
func (r *Receiver) logLeaseChange() {
	lapsed := r.config.Clock.Now() >= r.FreshUntil()
	if lapsed == r.leaseLapsed {
		return
	}
	r.leaseLapsed = lapsed
	if lapsed {
		r.config.Logger.Log(logger.LeaseLapsed)
		return
	}
	r.config.Logger.Log(logger.LeaseRenewed)
}
