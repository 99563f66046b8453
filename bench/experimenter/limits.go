package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/bench/tabulator"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of the limits experiment.
const (
	limitEntries  = 12
	limitRegions  = 3
	limitDuration = 8 * time.Second
	limitWait     = 300 * time.Millisecond
	// ownerLossAt is when the owner of the largest team stops in the scenario ownerLost.
	ownerLossAt = 4 * time.Second
	// shiftInterval is how often the hot entry of each team changes.
	shiftInterval = 2 * time.Second
)

// limitScenario is a load pattern with an optional fault.
type limitScenario struct {
	name string
	// load is the demand as a fraction of the rate.
	load float64
	// hotFraction is the fraction of a team's requests that go to its hot entry; the others go
	// to random entries.
	hotFraction float64
	ownerLoss   bool
	oneWayDelay time.Duration
	hasTarget   bool
}

var limitScenarios = []limitScenario{
	{name: "skewed", load: 0.9, hotFraction: 0.8, oneWayDelay: 20 * time.Millisecond, hasTarget: true},
	{name: "flooding", load: 2, hotFraction: 0.5, oneWayDelay: 20 * time.Millisecond},
	{name: "ownerLost", load: 0.9, hotFraction: 0.8, oneWayDelay: 20 * time.Millisecond, ownerLoss: true},
}

// limitTeam is one team with its baselines and counters.
type limitTeam struct {
	team *parser.Team
	// idealBucket makes its own decisions, as do splitBuckets, one for each entry;
	// admittedBucket records what the limiter admits.
	idealBucket    *tokenBucket
	admittedBucket *tokenBucket
	splitBuckets   []*tokenBucket
	offered        atomic.Int64
	refused        atomic.Int64
	wrongful       atomic.Int64
	// wrongfulOutsideLease counts wrongful refusals except of requests that arrive from
	// limitWait before the loss of an owner until its role lease has expired.
	wrongfulOutsideLease atomic.Int64
	idealRefused         atomic.Int64
	splitRefused         atomic.Int64
	splitWrongful        atomic.Int64
}

// limitFleet runs twelve limiters on loopback that call each other with the delay between
// regions.
type limitFleet struct {
	clock       timekeeper.Clock
	oneWayDelay time.Duration
	view        atomic.Pointer[receiver.View]
	changed     atomic.Pointer[chan struct{}]
	members     []*wire.EntryMember
	limiters    []*limiter.GrantLimiter
	dead        []atomic.Bool
	group       *supervisor.Group
	servers     []*httptest.Server
	teams       []*limitTeam
	lostAt      time.Duration
}

func runLimits(c Config) ([]tabulator.Result, error) {
	var out []tabulator.Result
	for _, s := range limitScenarios {
		f, err := newLimitFleet(s)
		if err != nil {
			return nil, err
		}
		series := f.run(s, rand.New(rand.NewPCG(c.Seed, 0)))
		f.close()
		out = append(out, f.result(s, series))
	}
	return out, nil
}

// limitTeams returns 8 teams, a few of them with a high rate.
func limitTeams() []*parser.Team {
	var out []*parser.Team
	for i, rate := range []float64{800, 600, 400, 100, 100, 80, 40, 20} {
		out = append(out, &parser.Team{Name: fmt.Sprint("team", i), Rate: rate, Burst: rate / 2, Weight: 1})
	}
	return out
}

func newLimitFleet(s limitScenario) (*limitFleet, error) {
	f := &limitFleet{clock: timekeeper.NewClock(), oneWayDelay: s.oneWayDelay, group: supervisor.NewGroup(supervisor.Config{})}
	f.dead = make([]atomic.Bool, limitEntries)
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		return nil, err
	}
	now := f.clock.Now()
	for _, t := range limitTeams() {
		l := &limitTeam{team: t, idealBucket: newTokenBucket(now, t.Rate, t.Burst), admittedBucket: newTokenBucket(now, t.Rate, t.Burst)}
		for range limitEntries {
			l.splitBuckets = append(l.splitBuckets, newTokenBucket(now, t.Rate/limitEntries, max(1, t.Burst/limitEntries)))
		}
		f.teams = append(f.teams, l)
	}
	wake := make(chan struct{})
	f.changed.Store(&wake)
	f.view.Store(&receiver.View{})
	for i := range limitEntries {
		f.addEntry(i, n)
	}
	f.assign(func(i int) int { return (i * 5) % limitEntries }, 1, "")
	return f, nil
}

func (f *limitFleet) addEntry(i int, n *connector.Connector) {
	self := &wire.EntryMember{Name: fmt.Sprint("entry", i), Incarnation: uint64(i + 1), Region: fmt.Sprint("region", i%limitRegions)}
	owner := limiter.NewOwner(limiter.OwnerConfig{
		Clock: f.clock, Assert: asserter.NewPanicking(), View: f.view.Load,
		HoldsRole: func(role string) (uint64, bool) {
			h := f.view.Load().Roles[role]
			return h.GetEpoch(), h.GetHolder() == self.Name && !f.dead[i].Load()
		},
	})
	l := limiter.NewGrantLimiter(limiter.GrantLimiterConfig{
		Clock: f.clock, Scope: tally.NoopScope, Connector: n, Group: f.group, Self: self,
		View: f.view.Load, ViewChanged: f.viewChanged, MaySpend: func() bool { return true }, Owner: owner,
	})
	f.group.Go("limiter", l.Run)
	_, h := wireconnect.NewLimitServiceHandler(l)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serveDelayed(i, h, w, r) }))
	self.PeerAddress = s.Listener.Addr().String()
	f.members, f.limiters, f.servers = append(f.members, self), append(f.limiters, l), append(f.servers, s)
}

// serveDelayed adds the delay between regions in both directions. A dead entry closes the
// connection instead of responding.
func (f *limitFleet) serveDelayed(i int, h http.Handler, w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.oneWayDelay)
	if f.dead[i].Load() {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	h.ServeHTTP(w, r)
	time.Sleep(f.oneWayDelay)
}

// assign publishes a view with the owners of an epoch, as control does.
func (f *limitFleet) assign(holder func(team int) int, epoch uint64, previous string) {
	v := &receiver.View{
		Configuration: &parser.Configuration{Teams: map[string]*parser.Team{}, Limits: parser.Limits{LimitWait: limitWait}},
		Entries:       map[string]*wire.EntryMember{}, Roles: map[string]*wire.Role{},
	}
	for _, m := range f.members {
		v.Entries[m.GetName()] = m
	}
	for i, t := range f.teams {
		v.Configuration.Teams[t.team.Name] = t.team
		name := wire.TeamRole(t.team.Name)
		v.Roles[name] = &wire.Role{Name: name, Holder: f.members[holder(i)].GetName(), Epoch: epoch, Previous: previous}
	}
	wake := make(chan struct{})
	old := f.changed.Swap(&wake)
	f.view.Store(v)
	if old != nil {
		close(*old)
	}
}

func (f *limitFleet) viewChanged() <-chan struct{} {
	return *f.changed.Load()
}

// run sends the requests of every team and returns the wrongful refusals over time.
func (f *limitFleet) run(s limitScenario, random *rand.Rand) []tabulator.Series {
	start := f.clock.Now()
	var all sync.WaitGroup
	for i, t := range f.teams {
		r := rand.New(rand.NewPCG(random.Uint64(), 0))
		all.Go(func() { f.sendRequests(s, i, t, r, start) })
	}
	if s.ownerLoss {
		all.Go(func() { f.loseOwner(start) })
	}
	series := []tabulator.Series{{Name: "filberthoist"}, {Name: "static split"}}
	for now := f.clock.Now(); now-start < limitDuration; now = f.clock.Now() {
		time.Sleep(100 * time.Millisecond)
		wrongful, splitWrongful := int64(0), int64(0)
		for _, t := range f.teams {
			wrongful, splitWrongful = wrongful+t.wrongful.Load(), splitWrongful+t.splitWrongful.Load()
		}
		at := (now - start).Seconds()
		series[0].Points = append(series[0].Points, tabulator.Point{X: at, Y: float64(wrongful)})
		series[1].Points = append(series[1].Points, tabulator.Point{X: at, Y: float64(splitWrongful)})
	}
	all.Wait()
	return series
}

// sendRequests sends one team's requests as a Poisson process.
func (f *limitFleet) sendRequests(s limitScenario, i int, t *limitTeam, r *rand.Rand, start time.Duration) {
	var all sync.WaitGroup
	next := 0.0
	for {
		next += r.ExpFloat64() / (t.team.Rate * s.load)
		due := start + time.Duration(next*float64(time.Second))
		if due-start >= limitDuration {
			break
		}
		time.Sleep(due - f.clock.Now())
		shift := int((due - start) / shiftInterval)
		entry := (i + shift*7) % limitEntries
		if r.Float64() > s.hotFraction {
			entry = r.IntN(limitEntries)
		}
		if f.dead[entry].Load() {
			entry = (entry + 1) % limitEntries
		}
		all.Go(func() { f.sendRequest(t, entry) })
	}
	all.Wait()
}

// sendRequest passes one request to the limiter, the ideal bucket and the static split.
func (f *limitFleet) sendRequest(t *limitTeam, entry int) {
	now := f.clock.Now()
	t.offered.Add(1)
	ideal := t.idealBucket.take(now)
	if !ideal {
		t.idealRefused.Add(1)
	}
	if !t.splitBuckets[entry].take(now) {
		t.splitRefused.Add(1)
		if ideal {
			t.splitWrongful.Add(1)
		}
	}
	v := f.view.Load()
	e := &handler.Exchange{View: v, Team: t.team, Start: now, Deadline: now + time.Second}
	if o := f.limiters[entry].Step().Handle(context.Background(), e); !o.IsFinal() {
		t.admittedBucket.forceTake(f.clock.Now())
		return
	}
	t.refused.Add(1)
	if ideal {
		t.wrongful.Add(1)
		// Classified by arrival time, since the request may have waited before the refusal.
		if f.lostAt == 0 || now < f.lostAt-limitWait || now > f.lostAt+timekeeper.RoleLease {
			t.wrongfulOutsideLease.Add(1)
		}
	}
}

// loseOwner stops the entry that owns the largest team. Control assigns other owners once the
// entry's role lease has expired for certain.
func (f *limitFleet) loseOwner(start time.Duration) {
	time.Sleep(start + ownerLossAt - f.clock.Now())
	f.lostAt = f.clock.Now()
	f.dead[0].Store(true)
	time.Sleep(timekeeper.RoleLease + timekeeper.DriftMargin)
	f.assign(func(i int) int { return (i*5 + 1) % limitEntries }, 2, f.members[0].GetName())
}

func (f *limitFleet) close() {
	f.group.Stop()
	for _, s := range f.servers {
		s.Close()
	}
}

func (f *limitFleet) result(s limitScenario, series []tabulator.Series) tabulator.Result {
	out := tabulator.Result{Name: "limits-" + s.name, Series: series, XLabel: "seconds", YLabel: "wrongful refusals"}
	var offered, refused, wrongful, outsideLease, idealRefused, splitRefused, splitWrongful int64
	excess := 0.0
	for _, t := range f.teams {
		offered += t.offered.Load()
		refused += t.refused.Load()
		wrongful += t.wrongful.Load()
		outsideLease += t.wrongfulOutsideLease.Load()
		idealRefused += t.idealRefused.Load()
		splitRefused += t.splitRefused.Load()
		splitWrongful += t.splitWrongful.Load()
		excess = max(excess, -t.admittedBucket.minTokens)
	}
	percent := func(n int64) float64 { return 100 * float64(n) / float64(offered) }
	out.Rows = append(out.Rows,
		tabulator.InfoRow("requests offered", "all teams", "%d", offered),
		tabulator.InfoRow("refused", "ideal bucket", "%.3f %%", percent(idealRefused)),
		tabulator.InfoRow("refused", "static split", "%.3f %%", percent(splitRefused)),
		tabulator.InfoRow("refused though the ideal admits", "static split", "%.3f %%", percent(splitWrongful)),
		tabulator.InfoRow("refused", "filberthoist", "%.3f %%", percent(refused)),
		// Time passes between a decision and its recording here, so one token is tolerated.
		tabulator.TargetRow("admitted over rate x t + burst", "filberthoist", "0", excess <= 1, "%.2f tokens", excess),
	)
	switch {
	case s.hasTarget:
		out.Rows = append(out.Rows, tabulator.TargetRow("refused though the ideal admits", "filberthoist", "<= 0.1 %",
			percent(wrongful) <= 0.1, "%.3f %%", percent(wrongful)))
	case s.ownerLoss:
		out.Rows = append(out.Rows, tabulator.TargetRow("refused though the ideal admits, beyond one lease", "filberthoist", "0",
			outsideLease == 0, "%d of %d", outsideLease, wrongful))
	default:
		out.Rows = append(out.Rows, tabulator.InfoRow("refused though the ideal admits", "filberthoist", "%.3f %%", percent(wrongful)))
	}
	return out
}
