// Package auditor checks what all entries together admit against the promised limits. It runs the
// production code of the mode without roles in one process, without a network and on simulated
// time.
package auditor

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/control/apportioner"
	"github.com/filberthoist/filberthoist/control/lender"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

var (
	firstSeed = flag.Uint64("limits.first", 1, "first seed of the random cases")
	seedCount = flag.Uint64("limits.seeds", 10, "number of random cases")
)

// The promised limit, as deployments state it: within any window, rate*window + burst requests,
// plus toleratedFraction of these, plus toleratedRequests.
const (
	window            = 5 * time.Second
	toleratedFraction = 0.1
	toleratedRequests = 20
	// changeDelay is how long a changed limit may take until it is in force on every entry.
	changeDelay = 2500 * time.Millisecond
	// overdraftFraction is the fraction of the tolerance that entries are configured to use.
	overdraftFraction = 0.4
)

// Times of the model. They equal those of the production code where it has them.
const (
	step           = 10 * time.Millisecond
	playTime       = 45 * time.Second
	warmUp         = 5 * time.Second
	pollPause      = 250 * time.Millisecond
	firstPollPause = 20 * time.Millisecond
	maxStartDelay  = 200 * time.Millisecond
	oneWayDelay    = 10 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
	removeAfter    = timekeeper.RoleLease + timekeeper.RoleLease/2
	planInterval   = 50 * time.Millisecond
	requestTimeout = 4 * time.Second
	service        = "lamps"
	teamName       = "hot"
)

// errLost is the error of a call whose response is lost.
var errLost = errors.New("no answer")

// member is a control member. Its state in memory survives the end of a term, but not of its
// process.
type member struct {
	apportioner *apportioner.Apportioner
	lender      *lender.Lender
}

// entry is one run of an entry process.
type entry struct {
	deployment *deployment
	self       *wire.EntryMember
	cancel     context.CancelFunc
	random     *rand.Rand
	// shares, limiter and borrower are production code.
	shares   receiver.Shares
	limiter  *limiter.ShareLimiter
	borrower *limiter.Borrower
	retries  *balancer.Budget
	mutex    sync.Mutex
	view     *receiver.View
}

// deployment holds what entries share, and records the requests that ran.
type deployment struct {
	ctx   context.Context
	begun time.Time
	done  sync.WaitGroup
	mutex sync.Mutex
	// random is guarded by mutex.
	random  *rand.Rand
	entries []*entry
	members []*member
	leader  *member
	term    uint64
	since   time.Duration
	// registered are the entries of the replicated state.
	registered map[string]*wire.EntryMember
	// silent are entries that were removed from it and may still use what they hold.
	silent   map[string]*wire.EntryMember
	polledAt map[string]time.Duration
	teams    map[string]*parser.Team
	cutUntil map[string]time.Duration
	// controlLoss and targetLoss are the fractions of responses from control and from targets that
	// are lost.
	controlLoss float64
	targetLoss  float64
	// weights are the relative demands at the entries.
	weights     []float64
	offeredRate float64
	runs        []time.Duration
	refused     int
	limits      []limitSample
}

// limitSample is the most that a window may hold, by the limits in force on entries at one time.
type limitSample struct {
	at   time.Duration
	most float64
}

func newDeployment(ctx context.Context, r *rand.Rand, entries int, rate, times float64) *deployment {
	d := &deployment{
		ctx: ctx, begun: time.Now(), random: r, registered: map[string]*wire.EntryMember{}, silent: map[string]*wire.EntryMember{}, polledAt: map[string]time.Duration{},
		cutUntil: map[string]time.Duration{}, offeredRate: rate * times,
		teams: map[string]*parser.Team{teamName: {Name: teamName, Rate: rate, Burst: rate}},
	}
	for range 3 {
		d.members = append(d.members, d.newMember())
	}
	d.leader, d.term, d.since = d.members[0], 1, d.now()
	for i := range entries {
		d.weights = append(d.weights, 1)
		d.entries = append(d.entries, d.newEntry(entries, fmt.Sprint("entry", i), 1))
	}
	return d
}

func (d *deployment) now() time.Duration {
	return time.Hour + time.Since(d.begun)
}

func (d *deployment) clock() timekeeper.Clock {
	return timekeeper.Clock{Now: d.now}
}

func (d *deployment) newMember() *member {
	m := &member{}
	m.lender = lender.NewLender(lender.Config{
		Clock: d.clock(), Teams: func() map[string]*parser.Team { return d.teams }, Entries: func() int { return len(d.registered) },
		FractionInUse: func(term uint64, since time.Duration, team string, lentFor time.Duration) float64 {
			return m.apportioner.FractionInUse(term, since, team, lentFor)
		},
	})
	m.apportioner = apportioner.NewApportioner(apportioner.Config{
		Clock: d.clock(), Lends: m.lender.Lends,
		Entries:       func() map[string]*wire.EntryMember { return d.registered },
		SilentEntries: func() map[string]*wire.EntryMember { return d.silent },
	})
	return m
}

// newEntry starts a run of an entry; an earlier run of the same name ends.
func (d *deployment) newEntry(entries int, name string, incarnation uint64) *entry {
	ctx, cancel := context.WithCancel(d.ctx)
	e := &entry{
		deployment: d, cancel: cancel, self: &wire.EntryMember{Name: name, Incarnation: incarnation}, view: &receiver.View{},
		random: rand.New(rand.NewPCG(d.random.Uint64(), incarnation)),
		retries: balancer.NewBudget(balancer.BudgetConfig{
			Share: 0.1, Reserve: 32, Window: 10 * time.Second, Clock: d.clock(), Entries: func() int { return entries },
		}),
	}
	e.borrower = limiter.NewBorrower(limiter.BorrowerConfig{Clock: d.clock(), Scope: tally.NoopScope, Call: e.borrow})
	e.limiter = limiter.NewShareLimiter(limiter.ShareLimiterConfig{
		Clock: d.clock(), View: e.currentView, Borrower: e.borrower, ShareChanged: e.shares.Changed,
		Share:     func(team string) float64 { return e.shares.Of(team, d.now()) },
		Overdraft: limiter.Overdraft{Part: overdraftFraction * toleratedFraction, Window: window, Tokens: overdraftFraction * toleratedRequests},
	})
	d.done.Go(func() { _ = e.borrower.Run(ctx) }) // ends with the context
	d.done.Go(func() { e.run(ctx) })
	return e
}

func (e *entry) currentView() *receiver.View {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.view
}

// run polls control as a receiver does.
func (e *entry) run(ctx context.Context) {
	pause := time.Duration(e.random.Int64N(int64(maxStartDelay)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = time.Duration(e.random.Int64N(int64(2 * pollPause)))
		if e.shares.InUse() == 0 {
			pause = firstPollPause // control answers at once
		}
		e.poll()
	}
}

func (e *entry) poll() {
	start := e.deployment.now()
	reported := false
	q := &wire.PollRequest{Member: e.self, SharesInUse: e.shares.InUse()}
	if n := len(e.currentView().Entries); n > 0 {
		q.LeastEntries = uint32(e.shares.LeastEntries(start, n))
	}
	if e.shares.ReportDue(e.deployment.leaderAddress(), start) {
		rates := e.limiter.RequestRates()
		q.Demands, reported = e.shares.Demands(rates, start, e.deployment.leaderAddress()), rates != nil
	}
	time.Sleep(oneWayDelay)
	answer, view, address, ok := e.deployment.answerPoll(e, q)
	time.Sleep(oneWayDelay)
	if !ok || e.deployment.losesResponse(e) {
		return
	}
	e.mutex.Lock()
	e.view = view
	e.mutex.Unlock()
	e.shares.Apply(answer, start, reported, address)
}

func (e *entry) borrow(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	d := e.deployment
	for _, n := range demands {
		n.LentMilliseconds = e.shares.LentFor(n.GetTeam(), d.now())
	}
	time.Sleep(oneWayDelay)
	d.mutex.Lock()
	var answer *wire.BorrowResponse
	if d.reaches(e) {
		q := &wire.BorrowRequest{Entry: e.self.GetName(), Incarnation: e.self.GetIncarnation(), Demands: demands}
		answer = d.leader.lender.Answer(d.term, d.since, q)
	}
	d.mutex.Unlock()
	time.Sleep(oneWayDelay)
	if answer == nil || d.losesResponse(e) {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return nil, errLost
	}
	for _, n := range answer.GetLoans() {
		if n.GetDivided() {
			e.shares.MarkDivided(n.GetTeam())
		}
	}
	return answer, nil
}

// reaches reports whether an entry reaches the leader. Callers hold the mutex.
func (d *deployment) reaches(e *entry) bool {
	return d.leader != nil && d.now() >= d.cutUntil[e.self.GetName()]
}

// losesResponse reports whether a response to an entry is lost.
func (d *deployment) losesResponse(e *entry) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.reaches(e) || d.random.Float64() < d.controlLoss
}

// leaderAddress identifies the leader of a term. Entries report all demands to a leader that they
// did not know.
func (d *deployment) leaderAddress() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return fmt.Sprint("leader of term ", d.term)
}

func (d *deployment) answerPoll(e *entry, q *wire.PollRequest) (p *wire.PollResponse, v *receiver.View, address string, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.reaches(e) {
		return nil, nil, "", false
	}
	name := e.self.GetName()
	d.polledAt[name] = d.now()
	p = &wire.PollResponse{}
	p.Shares, p.SharesNumber = d.leader.apportioner.Answer(d.term, d.since, q)
	v = &receiver.View{Configuration: &parser.Configuration{Teams: maps.Clone(d.teams)}, Entries: maps.Clone(d.registered)}
	return p, v, fmt.Sprint("leader of term ", d.term), true
}

// request sends one request of the team to an entry. If its response is lost, the entry retries it
// once, as far as its budget and the limit permit.
func (e *entry) request() {
	v := e.currentView()
	if v.Configuration == nil || v.Configuration.Teams[teamName] == nil {
		return // the team's key is unknown
	}
	d := e.deployment
	x := &handler.Exchange{Team: v.Configuration.Teams[teamName], View: v, Start: d.now(), Deadline: d.now() + requestTimeout}
	if o := e.limiter.Step().Handle(d.ctx, x); o.IsFinal() {
		d.countRequest(false)
		return
	}
	e.retries.Deposit(service)
	if d.countRequest(true) && e.retries.Withdraw(service) && x.ChargeRetry(d.ctx) {
		d.countRequest(true)
	}
}

// countRequest records a request that ran or was refused, and reports whether its response is lost.
func (d *deployment) countRequest(ran bool) (lost bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !ran {
		d.refused++
		return false
	}
	d.runs = append(d.runs, d.now())
	return d.random.Float64() < d.targetLoss
}

// play runs the model for playTime, with the given actions at every step.
func (d *deployment) play(actions func(at time.Duration)) {
	for at := time.Duration(0); at < playTime; at += step {
		d.mutex.Lock()
		actions(at)
		d.updateMembers()
		d.recordLimit()
		total := 0.0
		for _, w := range d.weights {
			total += w
		}
		for i, e := range d.entries {
			want := d.offeredRate * step.Seconds() * d.weights[i] / total
			for n := int(want + d.random.Float64()); n > 0; n-- {
				d.done.Go(e.request)
			}
		}
		d.mutex.Unlock()
		time.Sleep(step)
	}
}

// updateMembers adds entries to the replicated state and removes them from it as the coordinator
// does.
func (d *deployment) updateMembers() {
	if d.leader == nil || d.now()%planInterval >= step {
		return
	}
	for _, e := range d.entries {
		name := e.self.GetName()
		silence := d.now() - max(d.since, d.polledAt[name])
		switch {
		case d.now()-d.polledAt[name] < removeAfter && d.polledAt[name] >= d.since:
			d.registered[name] = e.self
			delete(d.silent, name)
		case d.registered[name] != nil && silence > removeAfter:
			d.silent[name] = d.registered[name]
			delete(d.registered, name)
		case d.silent[name] != nil && silence > timekeeper.SilentEnd:
			delete(d.silent, name)
		}
	}
}

// recordLimit records the highest limit in force on any entry.
func (d *deployment) recordLimit() {
	most := 0.0
	take := func(t *parser.Team) {
		if t != nil {
			most = max(most, (t.Rate*window.Seconds()+t.Burst)*(1+toleratedFraction)+toleratedRequests)
		}
	}
	take(d.teams[teamName])
	for _, e := range d.entries {
		if c := e.currentView().Configuration; c != nil {
			take(c.Teams[teamName])
		}
	}
	d.limits = append(d.limits, limitSample{d.now(), most})
}

// restart kills an entry and starts it again.
func (d *deployment) restart(i int) {
	old := d.entries[i]
	old.cancel()
	d.entries[i] = d.newEntry(len(d.entries), old.self.GetName(), old.self.GetIncarnation()+1)
}

// failLeader ends the leader's term. After a gap the given member leads, which may be the same
// one. kill also ends the old leader's process.
func (d *deployment) failLeader(kill bool, gap time.Duration, next int) {
	if d.leader == nil {
		return
	}
	for i, m := range d.members {
		if m == d.leader && kill {
			d.members[i] = d.newMember()
		}
	}
	d.leader = nil
	d.done.Go(func() {
		time.Sleep(gap)
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.leader, d.term, d.since = d.members[next], d.term+1, d.now()
	})
}

// cutOff makes control unreachable for an entry, which callers and targets still reach.
func (d *deployment) cutOff(i int, span time.Duration) {
	d.cutUntil[d.entries[i].self.GetName()] = d.now() + span
}

func (d *deployment) setLimit(rate float64) {
	d.teams = map[string]*parser.Team{teamName: {Name: teamName, Rate: rate, Burst: rate}}
}

// fullestWindow returns the window that holds the most relative to its limit: this fraction, its
// start and its number of requests.
func (d *deployment) fullestWindow() (fraction float64, at time.Duration, n int) {
	from := 0
	for i, t := range d.runs {
		for t-d.runs[from] > window {
			from++
		}
		begun, most := d.runs[from], 0.0
		if begun < time.Hour+warmUp {
			continue
		}
		for _, l := range d.limits {
			if l.at >= begun-window-changeDelay && l.at <= t {
				most = max(most, l.most)
			}
		}
		if p := float64(i+1-from) / most; p > fraction {
			fraction, at, n = p, begun-time.Hour, i+1-from
		}
	}
	return fraction, at, n
}

// audit runs a case on simulated time and fails if a window holds more than the limit.
func audit(t *testing.T, seed uint64, entries int, rate, times float64, actions func(d *deployment) func(at time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := newDeployment(ctx, rand.New(rand.NewPCG(seed, 1)), entries, rate, times)
		d.play(actions(d))
		cancel()
		d.done.Wait()
		fraction, at, n := d.fullestWindow()
		t.Logf("fullest window: %.3f of what is tolerated, %d requests from %v on; %d ran, %d refused", fraction, n, at, len(d.runs), d.refused)
		if fraction > 1 {
			t.Errorf("%d requests ran in %v from %v on: %.3f of what is tolerated", n, window, at, fraction)
		}
	})
}

// TestCutEntriesBeforeAChangeOfLeader guards against a new leader that gives away the shares of
// entries which the previous leader had removed from the members, though they still use them.
func TestCutEntriesBeforeAChangeOfLeader(t *testing.T) {
	for _, rate := range []float64{60, 206} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			audit(t, 1, 12, rate, 6, func(d *deployment) func(time.Duration) {
				return func(at time.Duration) {
					switch at {
					case 12 * time.Second:
						for i := range 6 {
							d.cutOff(i, 9*time.Second)
						}
					case 15 * time.Second:
						d.failLeader(true, 600*time.Millisecond, 1)
					}
				}
			})
		})
	}
}

// TestRestartsInAWindow guards against buckets that start full in a new run of an entry, though
// the previous run has just spent their tokens.
func TestRestartsInAWindow(t *testing.T) {
	for _, rate := range []float64{60, 206} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			audit(t, 2, 12, rate, 1, func(d *deployment) func(time.Duration) {
				return func(at time.Duration) {
					switch at {
					case 8 * time.Second: // the buckets fill up
						d.offeredRate = 1
					case 14 * time.Second:
						d.offeredRate = 8 * rate
					case 14200 * time.Millisecond, 15500 * time.Millisecond, 17 * time.Second:
						for i := range d.entries {
							d.restart(i)
						}
					}
				}
			})
		})
	}
}

// TestRepeatsInAWindow guards against retries on a second target that are not counted against the
// limit.
func TestRepeatsInAWindow(t *testing.T) {
	for _, rate := range []float64{39, 50} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			audit(t, 3, 12, rate, 1.5, func(d *deployment) func(time.Duration) {
				return func(at time.Duration) {
					switch at {
					case 8 * time.Second: // the buckets fill up
						d.offeredRate = 1
					case 14 * time.Second:
						d.offeredRate, d.targetLoss = 20*rate, 1
					}
				}
			})
		})
	}
}

// TestChangesBetweenSharesAndLoans guards against buckets that start full when a team switches
// between shares and lent tokens.
func TestChangesBetweenSharesAndLoans(t *testing.T) {
	audit(t, 4, 12, 60, 1, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch at {
			case 4 * time.Second:
				d.setLimit(40) // the first leader still divides the rate, later ones lend
			case 12 * time.Second:
				d.failLeader(false, 300*time.Millisecond, 1)
			case 14 * time.Second:
				d.offeredRate = 1
			case 20 * time.Second: // the bucket and the tokens held by entries are full
				d.offeredRate = 400
			case 20500 * time.Millisecond:
				d.failLeader(false, 300*time.Millisecond, 0)
			}
		}
	})
}

// TestJoinsBeforeAChangeOfLeader guards against a new leader that derives what a silent entry may
// hold from the current number of entries, though there were fewer when the entry got its share.
func TestJoinsBeforeAChangeOfLeader(t *testing.T) {
	audit(t, 8, 4, 206, 6, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch at {
			case 12 * time.Second:
				for i := range 3 {
					d.cutOff(i, 9*time.Second)
				}
				for i := range 20 {
					d.weights = append(d.weights, 1)
					d.entries = append(d.entries, d.newEntry(24, fmt.Sprint("joined", i), 1))
				}
			case 13 * time.Second:
				d.failLeader(true, 600*time.Millisecond, 1)
			}
		}
	})
}

// TestLoansBesideShares guards against a leader that lends tokens at a team's whole rate while
// entries cut off from it still use shares of that rate.
func TestLoansBesideShares(t *testing.T) {
	audit(t, 6, 12, 60, 20, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch at {
			case 4 * time.Second:
				d.setLimit(40) // the first leader still divides the rate
			case 14 * time.Second: // too late for their removal from the members
				for i := range 6 {
					d.cutOff(i, 12*time.Second)
				}
			case 15 * time.Second:
				d.failLeader(true, 300*time.Millisecond, 1)
			}
		}
	})
}

// TestTeamThatComesBack guards against new, full buckets for a team that was removed from the
// configuration and added again.
func TestTeamThatComesBack(t *testing.T) {
	audit(t, 7, 12, 40, 1, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch {
			case at == 12*time.Second:
				d.offeredRate = 1000
			case at > 12*time.Second && at < 17*time.Second && at%time.Second == 0:
				d.teams = map[string]*parser.Team{}
			case at > 12*time.Second && at < 18*time.Second && at%time.Second == 400*time.Millisecond:
				d.setLimit(40)
			}
		}
	})
}

// TestLongSilence guards against the loss of silent entries' shares at control while the entries
// still use them.
func TestLongSilence(t *testing.T) {
	audit(t, 5, 12, 206, 6, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			if at == 6*time.Second {
				for i := range 8 {
					d.cutOff(i, time.Hour)
				}
			}
		}
	})
}

// TestLimitsUnderFaults runs random series of all faults.
func TestLimitsUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 2))
			entries := []int{6, 12, 12, 17, 72}[r.IntN(5)]
			rate := []float64{2, 10, 31, 44, 60, 120, 206, 449}[r.IntN(8)]
			t.Logf("%d entries, %v requests per second", entries, rate)
			audit(t, seed, entries, rate, []float64{1.2, 3, 8}[r.IntN(3)], func(d *deployment) func(time.Duration) {
				return d.randomFaults(r, rate)
			})
		})
	}
}

// randomFaults injects a random fault about once a second.
func (d *deployment) randomFaults(r *rand.Rand, rate float64) func(time.Duration) {
	next := warmUp
	return func(at time.Duration) {
		if at < next {
			return
		}
		next = at + time.Duration(r.IntN(2000))*time.Millisecond
		switch r.IntN(11) {
		case 0, 1: // some or all entries restart
			fraction := []float64{0.2, 0.5, 1}[r.IntN(3)]
			for i := range d.entries {
				if r.Float64() < fraction {
					d.restart(i)
				}
			}
		case 2, 3: // some entries are cut off
			span := time.Duration(1000+r.IntN(14000)) * time.Millisecond
			for i := range d.entries {
				if r.IntN(3) == 0 {
					d.cutOff(i, span)
				}
			}
		case 4, 5, 6:
			d.failLeader(r.IntN(2) == 0, time.Duration(100+r.IntN(1500))*time.Millisecond, r.IntN(len(d.members)))
		case 7:
			d.setLimit(rate * []float64{0.3, 0.6, 1, 1.5}[r.IntN(4)])
		case 8:
			if d.teams[teamName] != nil {
				d.teams = map[string]*parser.Team{}
			} else {
				d.setLimit(rate)
			}
		case 9:
			d.controlLoss, d.targetLoss = []float64{0, 0.2, 0.5}[r.IntN(3)], []float64{0, 0.3, 1}[r.IntN(3)]
		case 10: // the demand shifts between entries
			for i := range d.weights {
				d.weights[i] = r.ExpFloat64() + 0.001
			}
		}
		if d.teams[teamName] == nil {
			next = at + 700*time.Millisecond
		}
	}
}
