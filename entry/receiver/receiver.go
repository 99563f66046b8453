// Package receiver follows the replicated state and knows how fresh it is.
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

// Times of the polls.
const (
	// pollTimeout bounds a poll, so that a silent connection costs less than a lease. It
	// doubles, at most longestCut times, while answers begin and don't end in time, since a
	// whole state takes long on a thin link.
	pollTimeout = timekeeper.PollHold + 350*time.Millisecond
	longestCut  = 2
	retryPause  = 50 * time.Millisecond
	// borrowTimeout bounds a call for tokens: two trips between distant regions and a pause
	// of the leader.
	borrowTimeout = 400 * time.Millisecond
	// avoidSpan is how long a member that did not answer is asked only if no other is left.
	avoidSpan = timekeeper.RoleLease
)

// Config sets up a Receiver.
type Config struct {
	Clock     timekeeper.Clock
	Logger    logger.Logger
	Assert    *asserter.Asserter
	Scope     tally.Scope
	Connector *connector.Connector
	// Controls are the peer addresses of control members.
	Controls []string
	Self     *wire.EntryMember
	// Evidence tells what this entry saw of the moves under way; nil means nothing.
	Evidence func() []*wire.MoveEvidence
	// Rates tells how often each team asked, in requests per second; nil means nothing.
	Rates func() map[string]float64
	// Demands tells how many slots the requests for each service keep busy; nil means nothing.
	Demands func() map[string]float64
	// Zones are the regions of the availability zones, for targets that are listed.
	Zones map[string]string
	// Lenient lets keyed requests pass with the last known state while control is out of reach.
	Lenient bool
}

// Receiver polls control and holds the latest View.
type Receiver struct {
	config  Config
	client  *http.Client
	records *records
	view    atomic.Pointer[View]
	// asked is when the last poll with a fresh answer was sent; leases count from it.
	asked   atomic.Int64
	leaving atomic.Bool
	changed atomic.Pointer[chan struct{}]
	target  int
	leader  string
	// avoided is the member that did not answer last; others may still name it as leader.
	avoided      string
	avoidedUntil time.Duration
	// known is the leader's address for other parts; it may be empty.
	known atomic.Pointer[string]
	// learned are the addresses of control members as the last leader told them.
	learned []string
	// settled are the addresses of the settings, which may be read again.
	settled atomic.Pointer[[]string]
	targets targetList
	shares  Shares
	// allocation is the number of the allocation in use.
	allocation uint64
	lapsed     bool
	silent     bool
	failing    bool
	// toldParts are the parts of the allocation that a log line told last.
	toldParts map[string]float64
	// cut counts the answers in a row that began and did not end in time.
	cut   int
	polls tally.Counter
	bytes tally.Counter
}

// neverAsked is the value of asked before the first fresh answer.
const neverAsked = int64(-1 << 62)

// NewReceiver returns a Receiver with an empty View.
func NewReceiver(c Config) *Receiver {
	r := &Receiver{
		config:  c,
		client:  c.Connector.Client(),
		records: newRecords(),
		targets: newTargetList(c.Zones),
		lapsed:  true,
		polls:   c.Scope.Counter("polls"),
		bytes:   c.Scope.Counter("pollBytes"),
	}
	r.asked.Store(neverAsked)
	r.settled.Store(&c.Controls)
	r.view.Store(&View{})
	wake := make(chan struct{})
	r.changed.Store(&wake)
	return r
}

// Run polls until the context ends.
func (r *Receiver) Run(ctx context.Context) error {
	return r.run(ctx)
}

// SetControls changes the addresses of the settings.
func (r *Receiver) SetControls(addresses []string) {
	r.settled.Store(&addresses)
}

// View returns the latest View.
func (r *Receiver) View() *View {
	return r.view.Load()
}

// Changed is closed when a newer View exists than the one loaded after this call.
func (r *Receiver) Changed() <-chan struct{} {
	return *r.changed.Load()
}

// Leader returns the address of the control leader that answered last, or "".
func (r *Receiver) Leader() string {
	if p := r.known.Load(); p != nil {
		return *p
	}
	return ""
}

// FreshUntil returns the end of the freshness lease on the Clock.
func (r *Receiver) FreshUntil() time.Duration {
	return time.Duration(r.asked.Load()) + timekeeper.FreshnessLease
}

// Fresh tells whether keyed requests may be served now.
func (r *Receiver) Fresh() bool {
	return r.config.Lenient || r.config.Clock.Now() < r.FreshUntil()
}

// Share returns the part of a team's rate and burst that this entry may admit, from 0 to 1.
func (r *Receiver) Share(team string) float64 {
	return r.shares.Of(team, r.config.Clock.Now())
}

// ShareChanged is closed when there are newer shares than at the time of the call.
func (r *Receiver) ShareChanged() <-chan struct{} {
	return r.shares.Changes()
}

// Borrow asks the control leader for tokens of teams' rates.
func (r *Receiver) Borrow(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	leader := r.Leader()
	if leader == "" {
		return nil, errors.New("no control leader is known")
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	c := r.distribution(leader)
	for _, d := range demands {
		d.LentMilliseconds = r.shares.LentFor(d.GetTeam(), r.config.Clock.Now())
	}
	q := &wire.BorrowRequest{Entry: r.config.Self.GetName(), Incarnation: r.config.Self.GetIncarnation(), Demands: demands}
	answer, err := c.Borrow(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, errors.Wrap(err, "borrowing tokens")
	}
	if answer.Msg.GetNotLeader() {
		return nil, errors.Errorf("%s does not lead", leader)
	}
	for _, n := range answer.Msg.GetLoans() {
		if n.GetDivided() {
			r.shares.Divide(n.GetTeam())
		}
	}
	return answer.Msg, nil
}

// RoleUntil returns the end of the lease on this entry's roles, on the Clock.
func (r *Receiver) RoleUntil() time.Duration {
	return time.Duration(r.asked.Load()) + timekeeper.RoleLease
}

// Acting tells whether this entry's roles and tokens may be used now.
func (r *Receiver) Acting() bool {
	return r.config.Clock.Now() < r.RoleUntil()
}

// Holds returns the epoch under which this entry may act in a role now.
func (r *Receiver) Holds(role string) (epoch uint64, ok bool) {
	h := r.View().Roles[role]
	if !r.mine(h) || h.GetVacant() {
		return 0, false
	}
	return h.GetEpoch(), r.Acting()
}

// Leave tells control with the next poll that this entry takes no new callers.
func (r *Receiver) Leave() {
	r.leaving.Store(true)
}

// Ready tells whether this entry takes callers.
func (r *Receiver) Ready() bool {
	return !r.leaving.Load() && r.Healthy() == nil
}

// Left tells whether control has taken this entry out of the look-ups.
func (r *Receiver) Left() bool {
	m := r.View().Entries[r.config.Self.GetName()]
	return m == nil || m.GetState() == wire.EntryState_ENTRY_STATE_LEAVING
}

// Self describes this entry.
func (r *Receiver) Self() *wire.EntryMember {
	return r.config.Self
}

// Healthy returns an error unless keyed requests may be served.
func (r *Receiver) Healthy() error {
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
			r.pause(ctx)
		}
		r.noteLease()
	}
	return ctx.Err()
}

// poll asks one control member once, and tells whether that moved something.
func (r *Receiver) poll(ctx context.Context) bool {
	address := r.address()
	start := r.config.Clock.Now()
	q, reported := r.request(address, start)
	answer, err := r.call(ctx, address, q)
	if err != nil {
		r.unreachable(address, err)
		return false
	}
	if answer.GetNotLeader() {
		r.follow(answer.GetLeaderAddress())
		return r.leader != ""
	}
	r.silent = false
	r.leader = address
	r.known.Store(&address)
	if len(answer.GetControlAddresses()) > 0 {
		r.learned = answer.GetControlAddresses()
	}
	if changed := r.shares.Take(answer, start, reported, address); len(changed) > 0 {
		r.config.Logger.Log(logger.SharesInUse, logger.F("number", answer.GetSharesNumber()), logger.F("shares", changed))
	}
	r.take(answer, start)
	r.takeTargets(answer.GetTargets())
	r.takeAllocation(answer.GetAllocation())
	return true
}

// call makes a poll and unpacks its answer.
func (r *Receiver) call(ctx context.Context, address string, q *wire.PollRequest) (*wire.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout<<r.cut)
	defer cancel()
	begun := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { begun.Store(true) }}
	answer, err := r.distribution(address).Poll(httptrace.WithClientTrace(ctx, trace), connect.NewRequest(q))
	r.polls.Inc(1)
	r.cut = min(r.cut+1, longestCut)
	if err == nil || !begun.Load() {
		r.cut = 0
	}
	if err != nil {
		return nil, err
	}
	r.bytes.Inc(int64(proto.Size(answer.Msg)))
	return answer.Msg, wire.Unpack(answer.Msg)
}

// request returns the next poll, and whether it reports what this entry was asked for.
func (r *Receiver) request(address string, now time.Duration) (q *wire.PollRequest, reported bool) {
	self := proto.CloneOf(r.config.Self)
	if r.leaving.Load() {
		self.State = wire.EntryState_ENTRY_STATE_LEAVING
	}
	v := r.View()
	q = &wire.PollRequest{Member: self, Applied: v.Index, HoldMilliseconds: uint32(timekeeper.PollHold / time.Millisecond)}
	for _, h := range v.Roles {
		if r.mine(h) && h.GetVacant() {
			q.Stopped = append(q.Stopped, &wire.StoppedRole{Name: h.GetName(), Epoch: h.GetEpoch()})
		}
	}
	if r.config.Evidence != nil {
		q.Evidence = r.config.Evidence()
	}
	q.Targets = r.targets.version
	q.SharesInUse = r.shares.InUse()
	if n := len(v.Entries); n > 0 {
		q.LeastEntries = uint32(r.shares.Count(now, n))
	}
	if r.config.Rates != nil && r.shares.Due(address, now) {
		rates := r.config.Rates()
		q.Demands = r.shares.Demands(rates, now, address)
		q.Services = servicesOf(r.config.Demands)
		reported = rates != nil // before the first configuration there is nothing to report
	}
	q.Allocation = r.allocation
	return q, reported
}

// distribution returns a client of a control member. Large answers are packed by themselves.
func (r *Receiver) distribution(address string) wireconnect.DistributionServiceClient {
	return wireconnect.NewDistributionServiceClient(r.client, r.config.Connector.URL(address), connect.WithAcceptCompression("gzip", nil, nil))
}

func servicesOf(demands func() map[string]float64) []*wire.ServiceDemand {
	if demands == nil {
		return nil
	}
	var out []*wire.ServiceDemand
	for name, load := range demands() {
		out = append(out, &wire.ServiceDemand{Service: name, Load: load})
	}
	return out
}

// takeAllocation uses another allocation.
func (r *Receiver) takeAllocation(a *wire.Allocation) {
	if a == nil {
		return
	}
	r.allocation = a.GetNumber()
	n := *r.View()
	n.Parts = map[string]map[string]float64{}
	for _, p := range a.GetParts() {
		if n.Parts[p.GetService()] == nil {
			n.Parts[p.GetService()] = map[string]float64{}
		}
		n.Parts[p.GetService()][p.GetRegion()] = p.GetPart()
	}
	r.store(&n)
	r.tellAllocation(a)
}

// tellAllocation writes a line once a part differs much from the one told last.
func (r *Receiver) tellAllocation(a *wire.Allocation) {
	var parts []string
	told, differs := map[string]float64{}, false
	for _, p := range a.GetParts() {
		name := p.GetService() + " " + p.GetRegion()
		old, known := r.toldParts[name]
		differs = differs || !known || math.Abs(old-p.GetPart()) >= toldChange
		told[name] = p.GetPart()
		parts = append(parts, fmt.Sprintf("%s %.2f", name, p.GetPart()))
	}
	if differs {
		r.toldParts = told
		r.config.Logger.Log(logger.AllocationInUse, logger.F("number", a.GetNumber()), logger.F("parts", parts))
	}
}

// takeTargets applies changes of the list of targets.
func (r *Receiver) takeTargets(c *wire.TargetChanges) {
	if c == nil || !r.targets.apply(c, r.config.Clock.Now()) {
		return
	}
	n := *r.View()
	n.Listed = r.targets.byService()
	r.store(&n)
}

// take applies an answer to the poll that was sent at start.
func (r *Receiver) take(p *wire.PollResponse, start time.Duration) {
	old := r.View()
	if p.GetIndex() < old.Index {
		return // never back
	}
	if len(p.GetRecords()) > 0 || p.GetSnapshot() {
		r.failing = !r.apply(p, old)
	}
	if r.failing {
		return // without the change this entry must not count as up to date
	}
	if p.GetIndex() > r.View().Index {
		n := *r.View()
		n.Index = p.GetIndex()
		r.store(&n)
	}
	if p.GetFresh() {
		r.asked.Store(int64(start))
	}
}

func (r *Receiver) apply(p *wire.PollResponse, old *View) bool {
	textChanged := r.records.merge(p) || r.failing
	v, err := r.records.compile(p.GetIndex(), old, textChanged, r.config.Zones)
	if err != nil {
		r.config.Logger.Log(logger.ConfigurationBad, logger.F("index", p.GetIndex()), logger.F("error", err))
		return false
	}
	r.store(v)
	if !maps.Equal(v.Evacuated, old.Evacuated) {
		r.config.Logger.Log(logger.EvacuationsInForce, logger.F("zones", slices.Sorted(maps.Keys(v.Evacuated))), logger.F("index", v.Index))
	}
	if textChanged && v.Configuration != nil {
		r.config.Logger.Log(logger.ConfigurationInUse, logger.F("revision", v.Configuration.Revision), logger.F("index", v.Index))
	}
	return true
}

func (r *Receiver) store(v *View) {
	r.config.Assert.That(v.Index >= r.View().Index, "indexNeverBack", "index %d after %d", v.Index, r.View().Index)
	r.view.Store(v)
	wake := make(chan struct{})
	close(*r.changed.Swap(&wake))
}

func (r *Receiver) mine(h *wire.Role) bool {
	s := r.config.Self
	return h.GetHolder() == s.GetName() && h.GetIncarnation() == s.GetIncarnation()
}

func (r *Receiver) address() string {
	if r.leader != "" {
		return r.leader
	}
	list := r.controls()
	if r.avoids(list[r.target%len(list)]) {
		r.target++
	}
	return list[r.target%len(list)]
}

// controls are the members that the leader told of, and those of the settings, which may
// be gone by now.
func (r *Receiver) controls() []string {
	out := slices.Clone(r.learned)
	for _, a := range *r.settled.Load() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (r *Receiver) avoids(address string) bool {
	return address == r.avoided && r.config.Clock.Now() < r.avoidedUntil
}

// follow asks the named leader next, or the next member if none is known.
func (r *Receiver) follow(leader string) {
	if leader == "" || leader == r.leader || r.avoids(leader) {
		r.leader = ""
		r.target++
		return
	}
	r.leader = leader
}

func (r *Receiver) unreachable(address string, err error) {
	if !r.silent {
		r.config.Logger.Log(logger.ControlUnreachable, logger.F("address", address), logger.F("error", err))
	}
	r.silent = true
	r.leader = ""
	r.avoided, r.avoidedUntil = address, r.config.Clock.Now()+avoidSpan
	r.target++
}

func (r *Receiver) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

func (r *Receiver) noteLease() {
	lapsed := r.config.Clock.Now() >= r.FreshUntil()
	if lapsed == r.lapsed {
		return
	}
	r.lapsed = lapsed
	if lapsed {
		r.config.Logger.Log(logger.LeaseLapsed)
		return
	}
	r.config.Logger.Log(logger.LeaseRenewed)
}
