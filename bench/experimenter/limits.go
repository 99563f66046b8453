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

// Shape of the limits experiment.
const (
	limitEntries  = 12
	limitRegions  = 3
	limitDuration = 8 * time.Second
	limitWait     = 300 * time.Millisecond
	// lossAt is when the owners' entry is lost in the scenario of that name.
	lossAt = 4 * time.Second
	// shiftEvery is how often the demand moves to other entries.
	shiftEvery = 2 * time.Second
)

// limitScenario is one way of demand and fault.
type limitScenario struct {
	name string
	// load is the demand as a part of the rate.
	load float64
	// hot is the part of a team's demand that comes through one entry.
	hot     float64
	loss    bool
	oneWay  time.Duration
	targets bool
}

var limitScenarios = []limitScenario{
	{name: "skewed", load: 0.9, hot: 0.8, oneWay: 20 * time.Millisecond, targets: true},
	{name: "flooding", load: 2, hot: 0.5, oneWay: 20 * time.Millisecond},
	{name: "ownerLost", load: 0.9, hot: 0.8, oneWay: 20 * time.Millisecond, loss: true},
}

// limitTeam is one team with its counts.
type limitTeam struct {
	team *parser.Team
	// ideal decides on its own what it admits; admitted checks what the limiter admits.
	ideal    *idealBucket
	admitted *idealBucket
	splits   []*idealBucket
	offered  atomic.Int64
	refused  atomic.Int64
	wrongful atomic.Int64
	// wrongfulLate counts those outside the time that an owner's loss may cost.
	wrongfulLate  atomic.Int64
	idealRefused  atomic.Int64
	splitRefused  atomic.Int64
	splitWrongful atomic.Int64
}

// limitFleet is twelve limiters on loopback with delays between regions.
type limitFleet struct {
	clock    timekeeper.Clock
	oneWay   time.Duration
	view     atomic.Pointer[receiver.View]
	changed  atomic.Pointer[chan struct{}]
	members  []*wire.EntryMember
	limiters []*limiter.Limiter
	dead     []atomic.Bool
	group    *supervisor.Group
	servers  []*httptest.Server
	teams    []*limitTeam
	lost     time.Duration
}

func runLimits(c Config) ([]tabulator.Result, error) {
	var out []tabulator.Result
	for _, s := range limitScenarios {
		f, err := newLimitFleet(s)
		if err != nil {
			return nil, err
		}
		lines := f.run(s, rand.New(rand.NewPCG(c.Seed, 0)))
		f.close()
		out = append(out, f.result(s, lines))
	}
	return out, nil
}

// limitTeams are 8 teams, a few of them large.
func limitTeams() []*parser.Team {
	var out []*parser.Team
	for i, rate := range []float64{800, 600, 400, 100, 100, 80, 40, 20} {
		out = append(out, &parser.Team{Name: fmt.Sprint("team", i), Rate: rate, Burst: rate / 2, Weight: 1})
	}
	return out
}

func newLimitFleet(s limitScenario) (*limitFleet, error) {
	f := &limitFleet{clock: timekeeper.NewClock(), oneWay: s.oneWay, group: supervisor.NewGroup(supervisor.Config{})}
	f.dead = make([]atomic.Bool, limitEntries)
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		return nil, err
	}
	now := f.clock.Now()
	for _, t := range limitTeams() {
		l := &limitTeam{team: t, ideal: newIdealBucket(now, t.Rate, t.Burst), admitted: newIdealBucket(now, t.Rate, t.Burst)}
		for range limitEntries {
			l.splits = append(l.splits, newIdealBucket(now, t.Rate/limitEntries, max(1, t.Burst/limitEntries)))
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
		Holds: func(role string) (uint64, bool) {
			h := f.view.Load().Roles[role]
			return h.GetEpoch(), h.GetHolder() == self.Name && !f.dead[i].Load()
		},
	})
	l := limiter.NewLimiter(limiter.Config{
		Clock: f.clock, Scope: tally.NoopScope, Connector: n, Group: f.group, Self: self,
		View: f.view.Load, Changed: f.changes, MaySpend: func() bool { return true }, Owner: owner,
	})
	f.group.Go("limiter", l.Run)
	_, h := wireconnect.NewLimitServiceHandler(l)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.delayed(i, h, w, r) }))
	self.PeerAddress = s.Listener.Addr().String()
	f.members, f.limiters, f.servers = append(f.members, self), append(f.limiters, l), append(f.servers, s)
}

// delayed answers after the delay of a trip between regions; a dead entry never does.
func (f *limitFleet) delayed(i int, h http.Handler, w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.oneWay)
	if f.dead[i].Load() {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	h.ServeHTTP(w, r)
	time.Sleep(f.oneWay)
}

// assign puts the owners of an epoch into the view, as control would.
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

func (f *limitFleet) changes() <-chan struct{} {
	return *f.changed.Load()
}

// run sends the demand of every team and returns the wrongful refusals over time.
func (f *limitFleet) run(s limitScenario, random *rand.Rand) []tabulator.Line {
	begun := f.clock.Now()
	var all sync.WaitGroup
	for i, t := range f.teams {
		r := rand.New(rand.NewPCG(random.Uint64(), 0))
		all.Go(func() { f.demand(s, i, t, r, begun) })
	}
	if s.loss {
		all.Go(func() { f.lose(begun) })
	}
	lines := []tabulator.Line{{Name: "filberthoist"}, {Name: "static split"}}
	for now := f.clock.Now(); now-begun < limitDuration; now = f.clock.Now() {
		time.Sleep(100 * time.Millisecond)
		ours, split := int64(0), int64(0)
		for _, t := range f.teams {
			ours, split = ours+t.wrongful.Load(), split+t.splitWrongful.Load()
		}
		at := (now - begun).Seconds()
		lines[0].Points = append(lines[0].Points, tabulator.Point{X: at, Y: float64(ours)})
		lines[1].Points = append(lines[1].Points, tabulator.Point{X: at, Y: float64(split)})
	}
	all.Wait()
	return lines
}

// demand sends one team's requests as a Poisson process.
func (f *limitFleet) demand(s limitScenario, i int, t *limitTeam, r *rand.Rand, begun time.Duration) {
	var all sync.WaitGroup
	next := 0.0
	for {
		next += r.ExpFloat64() / (t.team.Rate * s.load)
		due := begun + time.Duration(next*float64(time.Second))
		if due-begun >= limitDuration {
			break
		}
		time.Sleep(due - f.clock.Now())
		shift := int((due - begun) / shiftEvery)
		entry := (i + shift*7) % limitEntries
		if r.Float64() > s.hot {
			entry = r.IntN(limitEntries)
		}
		if f.dead[entry].Load() {
			entry = (entry + 1) % limitEntries
		}
		all.Go(func() { f.request(t, entry) })
	}
	all.Wait()
}

// request puts one request to the limiter, the ideal bucket and the static split.
func (f *limitFleet) request(t *limitTeam, entry int) {
	now := f.clock.Now()
	t.offered.Add(1)
	ideal := t.ideal.take(now)
	if !ideal {
		t.idealRefused.Add(1)
	}
	if !t.splits[entry].take(now) {
		t.splitRefused.Add(1)
		if ideal {
			t.splitWrongful.Add(1)
		}
	}
	v := f.view.Load()
	e := &handler.Exchange{View: v, Team: t.team, Begun: now, Deadline: now + time.Second}
	if o := f.limiters[entry].Step().Handle(context.Background(), e); !o.Over() {
		t.admitted.force(f.clock.Now())
		return
	}
	t.refused.Add(1)
	if ideal {
		t.wrongful.Add(1)
		// Counted by arrival, so that a wait does not move a request out of the lease.
		if f.lost == 0 || now < f.lost-limitWait || now > f.lost+timekeeper.RoleLease {
			t.wrongfulLate.Add(1)
		}
	}
}

// lose kills the entry that owns the largest team; control gives its teams to others once
// its role lease has surely run out.
func (f *limitFleet) lose(begun time.Duration) {
	time.Sleep(begun + lossAt - f.clock.Now())
	f.lost = f.clock.Now()
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

func (f *limitFleet) result(s limitScenario, lines []tabulator.Line) tabulator.Result {
	out := tabulator.Result{Name: "limits-" + s.name, Lines: lines, XLabel: "seconds", YLabel: "wrongful refusals"}
	var offered, refused, wrongful, late, idealRefused, splitRefused, splitWrongful int64
	over := 0.0
	for _, t := range f.teams {
		offered += t.offered.Load()
		refused += t.refused.Load()
		wrongful += t.wrongful.Load()
		late += t.wrongfulLate.Load()
		idealRefused += t.idealRefused.Load()
		splitRefused += t.splitRefused.Load()
		splitWrongful += t.splitWrongful.Load()
		over = max(over, -t.admitted.lowest)
	}
	part := func(n int64) float64 { return 100 * float64(n) / float64(offered) }
	out.Rows = append(out.Rows,
		tabulator.Compare("requests offered", "all teams", "%d", offered),
		tabulator.Compare("refused", "ideal bucket", "%.3f %%", part(idealRefused)),
		tabulator.Compare("refused", "static split", "%.3f %%", part(splitRefused)),
		tabulator.Compare("refused though the ideal admits", "static split", "%.3f %%", part(splitWrongful)),
		tabulator.Compare("refused", "filberthoist", "%.3f %%", part(refused)),
		// The clock moves between a decision and its record here, so one token is allowed.
		tabulator.Judge("admitted over rate x t + burst", "filberthoist", "0", over <= 1, "%.2f tokens", over),
	)
	switch {
	case s.targets:
		out.Rows = append(out.Rows, tabulator.Judge("refused though the ideal admits", "filberthoist", "<= 0.1 %",
			part(wrongful) <= 0.1, "%.3f %%", part(wrongful)))
	case s.loss:
		out.Rows = append(out.Rows, tabulator.Judge("refused though the ideal admits, beyond one lease", "filberthoist", "0",
			late == 0, "%d of %d", late, wrongful))
	default:
		out.Rows = append(out.Rows, tabulator.Compare("refused though the ideal admits", "filberthoist", "%.3f %%", part(wrongful)))
	}
	return out
}
