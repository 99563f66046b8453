// Package auditor counts what all entries together admit, against what was promised. It
// drives the product's own parts in one process, without a network and on simulated time.
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

// The rule, as deployments state it.
const (
	window        = 5 * time.Second
	tolerated     = 0.1
	slack         = 20
	changeInForce = 2500 * time.Millisecond
	// overdraftPart is the part of what is tolerated that entries are set up to use.
	overdraftPart = 0.4
)

// Times of the model, those of the product where it has them.
const (
	step        = 10 * time.Millisecond
	span        = 45 * time.Second
	settled     = 5 * time.Second
	pollPause   = 250 * time.Millisecond
	startPause  = 20 * time.Millisecond
	startTime   = 200 * time.Millisecond
	oneWay      = 10 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	removeAfter = timekeeper.RoleLease + timekeeper.RoleLease/2
	planPause   = 50 * time.Millisecond
	patience    = 4 * time.Second
	service     = "lamps"
	hot         = "hot"
)

// errLost is the outcome of a call whose answer does not come.
var errLost = errors.New("no answer")

// member is a control member; what it keeps in memory outlives its terms, not its process.
type member struct {
	apportioner *apportioner.Apportioner
	lender      *lender.Lender
}

// entry is one run of an entry process.
type entry struct {
	owner  *deployment
	self   *wire.EntryMember
	cancel context.CancelFunc
	random *rand.Rand
	// shares, divided and borrower are the product's own.
	shares   receiver.Shares
	divided  *limiter.Divided
	borrower *limiter.Borrower
	repeats  *balancer.Budget
	mutex    sync.Mutex
	view     *receiver.View
}

// deployment is everything that entries share, and the record of what ran.
type deployment struct {
	ctx   context.Context
	begun time.Time
	done  sync.WaitGroup
	mutex sync.Mutex
	// random is used under the mutex.
	random  *rand.Rand
	entries []*entry
	members []*member
	leader  *member
	term    uint64
	since   time.Duration
	// known are the members of the replicated state.
	known map[string]*wire.EntryMember
	// silent were taken out of them and may still use what they hold.
	silent  map[string]*wire.EntryMember
	polled  map[string]time.Duration
	teams   map[string]*parser.Team
	cut     map[string]time.Duration
	lossy   float64
	repeats float64
	// weights say how the demand falls on the entries.
	weights []float64
	offered float64
	runs    []time.Duration
	refused int
	limits  []limitAt
}

// limitAt is the most that a window may hold by the limits that entries had at a moment.
type limitAt struct {
	at   time.Duration
	most float64
}

func newDeployment(ctx context.Context, r *rand.Rand, entries int, rate, times float64) *deployment {
	d := &deployment{
		ctx: ctx, begun: time.Now(), random: r, known: map[string]*wire.EntryMember{}, silent: map[string]*wire.EntryMember{}, polled: map[string]time.Duration{},
		cut: map[string]time.Duration{}, offered: rate * times,
		teams: map[string]*parser.Team{hot: {Name: hot, Rate: rate, Burst: rate}},
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
		Clock: d.clock(), Teams: func() map[string]*parser.Team { return d.teams }, Entries: func() int { return len(d.known) },
		Shares: func(term uint64, since time.Duration, team string, lentFor time.Duration) float64 {
			return m.apportioner.Outstanding(term, since, team, lentFor)
		},
	})
	m.apportioner = apportioner.NewApportioner(apportioner.Config{
		Clock: d.clock(), Lends: m.lender.Lends,
		Entries: func() map[string]*wire.EntryMember { return d.known },
		Silent:  func() map[string]*wire.EntryMember { return d.silent },
	})
	return m
}

// newEntry starts a run of an entry; an earlier one of the same name ends.
func (d *deployment) newEntry(entries int, name string, incarnation uint64) *entry {
	ctx, cancel := context.WithCancel(d.ctx)
	e := &entry{
		owner: d, cancel: cancel, self: &wire.EntryMember{Name: name, Incarnation: incarnation}, view: &receiver.View{},
		random: rand.New(rand.NewPCG(d.random.Uint64(), incarnation)),
		repeats: balancer.NewBudget(balancer.BudgetConfig{
			Share: 0.1, Reserve: 32, Window: 10 * time.Second, Clock: d.clock(), Entries: func() int { return entries },
		}),
	}
	e.borrower = limiter.NewBorrower(limiter.BorrowerConfig{Clock: d.clock(), Scope: tally.NoopScope, Call: e.borrow})
	e.divided = limiter.NewDivided(limiter.DividedConfig{
		Clock: d.clock(), View: e.current, Borrower: e.borrower, ShareChanged: e.shares.Changes,
		Share:     func(team string) float64 { return e.shares.Of(team, d.now()) },
		Overdraft: limiter.Overdraft{Part: overdraftPart * tolerated, Window: window, Tokens: overdraftPart * slack},
	})
	d.done.Go(func() { _ = e.borrower.Run(ctx) }) // ends with the context
	d.done.Go(func() { e.run(ctx) })
	return e
}

func (e *entry) current() *receiver.View {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.view
}

// run polls control as a receiver does.
func (e *entry) run(ctx context.Context) {
	pause := time.Duration(e.random.Int64N(int64(startTime)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = time.Duration(e.random.Int64N(int64(2 * pollPause)))
		if e.shares.InUse() == 0 {
			pause = startPause // control answers at once
		}
		e.poll()
	}
}

func (e *entry) poll() {
	start := e.owner.now()
	reported := false
	q := &wire.PollRequest{Member: e.self, SharesInUse: e.shares.InUse()}
	if n := len(e.current().Entries); n > 0 {
		q.LeastEntries = uint32(e.shares.Count(start, n))
	}
	if e.shares.Due(e.owner.address(), start) {
		rates := e.divided.Rates()
		q.Demands, reported = e.shares.Demands(rates, start, e.owner.address()), rates != nil
	}
	time.Sleep(oneWay)
	answer, view, address, ok := e.owner.answer(e, q)
	time.Sleep(oneWay)
	if !ok || e.owner.loses(e) {
		return
	}
	e.mutex.Lock()
	e.view = view
	e.mutex.Unlock()
	e.shares.Take(answer, start, reported, address)
}

func (e *entry) borrow(ctx context.Context, demands []*wire.TokenDemand) (*wire.BorrowResponse, error) {
	d := e.owner
	for _, n := range demands {
		n.LentMilliseconds = e.shares.LentFor(n.GetTeam(), d.now())
	}
	time.Sleep(oneWay)
	d.mutex.Lock()
	var answer *wire.BorrowResponse
	if d.reaches(e) {
		q := &wire.BorrowRequest{Entry: e.self.GetName(), Incarnation: e.self.GetIncarnation(), Demands: demands}
		answer = d.leader.lender.Answer(d.term, d.since, q)
	}
	d.mutex.Unlock()
	time.Sleep(oneWay)
	if answer == nil || d.loses(e) {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return nil, errLost
	}
	for _, n := range answer.GetLoans() {
		if n.GetDivided() {
			e.shares.Divide(n.GetTeam())
		}
	}
	return answer, nil
}

// reaches tells whether an entry reaches the leader, for callers that hold the mutex.
func (d *deployment) reaches(e *entry) bool {
	return d.leader != nil && d.now() >= d.cut[e.self.GetName()]
}

// loses tells whether an answer is lost on its way.
func (d *deployment) loses(e *entry) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return !d.reaches(e) || d.random.Float64() < d.lossy
}

// address names the leader of a term; entries report in full to one that they did not know.
func (d *deployment) address() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return fmt.Sprint("leader of term ", d.term)
}

func (d *deployment) answer(e *entry, q *wire.PollRequest) (p *wire.PollResponse, v *receiver.View, address string, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.reaches(e) {
		return nil, nil, "", false
	}
	name := e.self.GetName()
	d.polled[name] = d.now()
	p = &wire.PollResponse{}
	p.Shares, p.SharesNumber = d.leader.apportioner.Answer(d.term, d.since, q)
	v = &receiver.View{Configuration: &parser.Configuration{Teams: maps.Clone(d.teams)}, Entries: maps.Clone(d.known)}
	return p, v, fmt.Sprint("leader of term ", d.term), true
}

// request is one request of the team at an entry.
func (e *entry) request() {
	v := e.current()
	if v.Configuration == nil || v.Configuration.Teams[hot] == nil {
		return // no key of the team is known
	}
	d := e.owner
	x := &handler.Exchange{Team: v.Configuration.Teams[hot], View: v, Begun: d.now(), Deadline: d.now() + patience}
	if o := e.divided.Step().Handle(d.ctx, x); o.Over() {
		d.count(false)
		return
	}
	e.repeats.Earn(service)
	if d.count(true) && e.repeats.Spend(service) && x.Charge(d.ctx) {
		d.count(true)
	}
}

// count notes a request that ran or was refused, and tells whether its answer is lost.
func (d *deployment) count(ran bool) (lost bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !ran {
		d.refused++
		return false
	}
	d.runs = append(d.runs, d.now())
	return d.random.Float64() < d.repeats
}

// play lets time pass, with an action every so often.
func (d *deployment) play(actions func(at time.Duration)) {
	for at := time.Duration(0); at < span; at += step {
		d.mutex.Lock()
		actions(at)
		d.keepMembers()
		d.note()
		total := 0.0
		for _, w := range d.weights {
			total += w
		}
		for i, e := range d.entries {
			want := d.offered * step.Seconds() * d.weights[i] / total
			for n := int(want + d.random.Float64()); n > 0; n-- {
				d.done.Go(e.request)
			}
		}
		d.mutex.Unlock()
		time.Sleep(step)
	}
}

// keepMembers takes entries into the replicated state and out of it as the coordinator does.
func (d *deployment) keepMembers() {
	if d.leader == nil || d.now()%planPause >= step {
		return
	}
	for _, e := range d.entries {
		name := e.self.GetName()
		silence := d.now() - max(d.since, d.polled[name])
		switch {
		case d.now()-d.polled[name] < removeAfter && d.polled[name] >= d.since:
			d.known[name] = e.self
			delete(d.silent, name)
		case d.known[name] != nil && silence > removeAfter:
			d.silent[name] = d.known[name]
			delete(d.known, name)
		case d.silent[name] != nil && silence > timekeeper.SilentEnd:
			delete(d.silent, name)
		}
	}
}

// note records the highest limit that any entry goes by.
func (d *deployment) note() {
	most := 0.0
	take := func(t *parser.Team) {
		if t != nil {
			most = max(most, (t.Rate*window.Seconds()+t.Burst)*(1+tolerated)+slack)
		}
	}
	take(d.teams[hot])
	for _, e := range d.entries {
		if c := e.current().Configuration; c != nil {
			take(c.Teams[hot])
		}
	}
	d.limits = append(d.limits, limitAt{d.now(), most})
}

// restart kills an entry and starts it again.
func (d *deployment) restart(i int) {
	old := d.entries[i]
	old.cancel()
	d.entries[i] = d.newEntry(len(d.entries), old.self.GetName(), old.self.GetIncarnation()+1)
}

// lose ends the leader's term; after a gap another member leads, or the same one again. kill
// ends the old leader's process too.
func (d *deployment) lose(kill bool, gap time.Duration, next int) {
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

// cutOff takes entries out of control's reach; callers and targets still reach them.
func (d *deployment) cutOff(i int, span time.Duration) {
	d.cut[d.entries[i].self.GetName()] = d.now() + span
}

func (d *deployment) setLimit(rate float64) {
	d.teams = map[string]*parser.Team{hot: {Name: hot, Rate: rate, Burst: rate}}
}

// fullest returns the window that holds most against its limit, as a part of that.
func (d *deployment) fullest() (part float64, at time.Duration, n int) {
	from := 0
	for i, t := range d.runs {
		for t-d.runs[from] > window {
			from++
		}
		begun, most := d.runs[from], 0.0
		if begun < time.Hour+settled {
			continue
		}
		for _, l := range d.limits {
			if l.at >= begun-window-changeInForce && l.at <= t {
				most = max(most, l.most)
			}
		}
		if p := float64(i+1-from) / most; p > part {
			part, at, n = p, begun-time.Hour, i+1-from
		}
	}
	return part, at, n
}

// audit plays a case on simulated time and fails if a window holds more than the limit.
func audit(t *testing.T, seed uint64, entries int, rate, times float64, actions func(d *deployment) func(at time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d := newDeployment(ctx, rand.New(rand.NewPCG(seed, 1)), entries, rate, times)
		d.play(actions(d))
		cancel()
		d.done.Wait()
		part, at, n := d.fullest()
		t.Logf("fullest window: %.3f of what is tolerated, %d requests from %v on; %d ran, %d refused", part, n, at, len(d.runs), d.refused)
		if part > 1 {
			t.Errorf("%d requests ran in %v from %v on: %.3f of what is tolerated", n, window, at, part)
		}
	})
}

// TestCutEntriesBeforeAChangeOfLeader guards against a new leader that gives away the shares
// of entries which the leader before had taken out of the members, though they still use them.
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
						d.lose(true, 600*time.Millisecond, 1)
					}
				}
			})
		})
	}
}

// TestRestartsInAWindow guards against buckets that a new run of an entry finds full, though
// the run before has just spent them.
func TestRestartsInAWindow(t *testing.T) {
	for _, rate := range []float64{60, 206} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			audit(t, 2, 12, rate, 1, func(d *deployment) func(time.Duration) {
				return func(at time.Duration) {
					switch at {
					case 8 * time.Second: // the buckets fill up
						d.offered = 1
					case 14 * time.Second:
						d.offered = 8 * rate
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

// TestRepeatsInAWindow guards against requests that are sent to a second target without being
// counted again.
func TestRepeatsInAWindow(t *testing.T) {
	for _, rate := range []float64{39, 50} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			audit(t, 3, 12, rate, 1.5, func(d *deployment) func(time.Duration) {
				return func(at time.Duration) {
					switch at {
					case 8 * time.Second: // the buckets fill up
						d.offered = 1
					case 14 * time.Second:
						d.offered, d.repeats = 20*rate, 1
					}
				}
			})
		})
	}
}

// TestChangesBetweenSharesAndLoans guards against buckets that begin full when a team changes
// between shares and lent tokens.
func TestChangesBetweenSharesAndLoans(t *testing.T) {
	audit(t, 4, 12, 60, 1, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch at {
			case 4 * time.Second:
				d.setLimit(40) // the first leader divides it still, others lend
			case 12 * time.Second:
				d.lose(false, 300*time.Millisecond, 1)
			case 14 * time.Second:
				d.offered = 1
			case 20 * time.Second: // the bucket and what entries hold are full
				d.offered = 400
			case 20500 * time.Millisecond:
				d.lose(false, 300*time.Millisecond, 0)
			}
		}
	})
}

// TestJoinsBeforeAChangeOfLeader guards against a new leader that reckons what a silent entry may
// hold from the number of entries now, though there were few when the entry got its share.
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
				d.lose(true, 600*time.Millisecond, 1)
			}
		}
	})
}

// TestLoansBesideShares guards against a leader that lends a team's tokens at the whole rate while
// entries cut off from it still use shares of that rate.
func TestLoansBesideShares(t *testing.T) {
	audit(t, 6, 12, 60, 20, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch at {
			case 4 * time.Second:
				d.setLimit(40) // the first leader divides it still
			case 14 * time.Second: // too late to be taken out of the members
				for i := range 6 {
					d.cutOff(i, 12*time.Second)
				}
			case 15 * time.Second:
				d.lose(true, 300*time.Millisecond, 1)
			}
		}
	})
}

// TestTeamThatComesBack guards against buckets that are made anew, and full, for a team that was
// dropped from the configuration and came back.
func TestTeamThatComesBack(t *testing.T) {
	audit(t, 7, 12, 40, 1, func(d *deployment) func(time.Duration) {
		return func(at time.Duration) {
			switch {
			case at == 12*time.Second:
				d.offered = 1000
			case at > 12*time.Second && at < 17*time.Second && at%time.Second == 0:
				d.teams = map[string]*parser.Team{}
			case at > 12*time.Second && at < 18*time.Second && at%time.Second == 400*time.Millisecond:
				d.setLimit(40)
			}
		}
	})
}

// TestLongSilence guards against shares of silent entries that control forgets while the
// entries go on using them.
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

// TestLimitsUnderFaults plays series of faults of all kinds.
func TestLimitsUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 2))
			entries := []int{6, 12, 12, 17, 72}[r.IntN(5)]
			rate := []float64{2, 10, 31, 44, 60, 120, 206, 449}[r.IntN(8)]
			t.Logf("%d entries, %v requests per second", entries, rate)
			audit(t, seed, entries, rate, []float64{1.2, 3, 8}[r.IntN(3)], func(d *deployment) func(time.Duration) {
				return d.faults(r, rate)
			})
		})
	}
}

// faults draws a fault every second or so.
func (d *deployment) faults(r *rand.Rand, rate float64) func(time.Duration) {
	next := settled
	return func(at time.Duration) {
		if at < next {
			return
		}
		next = at + time.Duration(r.IntN(2000))*time.Millisecond
		switch r.IntN(11) {
		case 0, 1: // some or all entries start again
			part := []float64{0.2, 0.5, 1}[r.IntN(3)]
			for i := range d.entries {
				if r.Float64() < part {
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
			d.lose(r.IntN(2) == 0, time.Duration(100+r.IntN(1500))*time.Millisecond, r.IntN(len(d.members)))
		case 7:
			d.setLimit(rate * []float64{0.3, 0.6, 1, 1.5}[r.IntN(4)])
		case 8:
			if d.teams[hot] != nil {
				d.teams = map[string]*parser.Team{}
			} else {
				d.setLimit(rate)
			}
		case 9:
			d.lossy, d.repeats = []float64{0, 0.2, 0.5}[r.IntN(3)], []float64{0, 0.3, 1}[r.IntN(3)]
		case 10: // the demand moves to other entries
			for i := range d.weights {
				d.weights[i] = r.ExpFloat64() + 0.001
			}
		}
		if d.teams[hot] == nil {
			next = at + 700*time.Millisecond
		}
	}
}
