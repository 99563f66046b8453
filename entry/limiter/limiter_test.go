package limiter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestMain fixes the seed unless one is given; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

// simulation is a set of entries that share one team's limit, with messages between them
// that are late, lost or repeated, and owners that die or freeze.
type simulation struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Duration
	team     *parser.Team
	members  []*member
	holder   int
	previous string
	epoch    uint64
	network  []delivery
	// flushing is how often entries report without demand, one in so many steps.
	flushing int
	// pace is the mean number of steps after which a member turns idle or busy.
	pace     int
	ideal    float64
	idealAt  time.Duration
	admitted int
}

// member is one entry: its side of the limit, and its side as an owner.
type member struct {
	simulation *simulation
	number     int
	account    *account
	owner      *Owner
	// epoch and leased are what it believes of its role.
	epoch  uint64
	leased time.Duration
	// seen is the epoch that it knows of.
	seen    uint64
	pending bool
	waiting []*waiter
	frozen  bool
	// cut owners go on granting, but control does not hear them.
	cut bool
	// idle members have no requests for a while.
	idle bool
}

// delivery is something that happens at a moment.
type delivery struct {
	at time.Duration
	do func()
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), epoch: 1, now: time.Hour}
	s.team = &parser.Team{Name: "a", Rate: float64(1 + s.random.IntN(2000)), Burst: float64(1 + s.random.IntN(500))}
	s.ideal, s.idealAt = s.team.Burst, s.now
	s.flushing, s.pace = 1<<s.random.IntN(10), 1<<(3+s.random.IntN(6))
	for i := range 2 + s.random.IntN(5) {
		s.members = append(s.members, s.newMember(i))
	}
	s.assign(0)
	return s
}

func (s *simulation) newMember(i int) *member {
	m := &member{simulation: s, number: i}
	clock := timekeeper.Clock{Now: func() time.Duration { return s.now }}
	view := func() *receiver.View {
		v := &receiver.View{
			Configuration: &parser.Configuration{Teams: map[string]*parser.Team{"a": s.team}},
			Entries:       map[string]*wire.EntryMember{},
			Roles:         map[string]*wire.Role{wire.TeamRole("a"): {Previous: s.previous, Epoch: m.seen}},
		}
		for _, m := range s.members {
			if s.now < m.leased+removedAfter {
				v.Entries[m.name()] = &wire.EntryMember{}
			}
		}
		return v
	}
	m.owner = NewOwner(OwnerConfig{
		Clock: clock, Assert: asserter.NewPanicking(), View: view,
		Holds: func(string) (uint64, bool) { return m.epoch, m.epoch > 0 && s.now < m.leased },
	})
	self := &wire.EntryMember{Name: m.name(), Incarnation: uint64(i + 1)}
	maySpend := func() bool { return s.now < m.leased }
	m.account = newAccount(&Limiter{config: Config{Clock: clock, Scope: tally.NoopScope, Self: self, View: view, MaySpend: maySpend}}, wire.TeamRole("a"))
	return m
}

// removedAfter is how long after its lease control takes a silent entry out.
const removedAfter = timekeeper.RoleLease / 2

func (m *member) name() string {
	return fmt.Sprint("entry", m.number)
}

// assign makes a member the owner under the present epoch.
func (s *simulation) assign(i int) {
	s.previous = s.members[s.holder].name()
	s.holder = i
	s.members[i].epoch, s.members[i].seen, s.members[i].leased = s.epoch, s.epoch, s.now+timekeeper.RoleLease
}

// later puts something on the network, which may lose, repeat or delay it.
func (s *simulation) later(do func()) {
	if s.random.IntN(20) == 0 {
		return
	}
	for range 1 + s.random.IntN(20)/19 {
		delay := time.Duration(s.random.IntN(50)) * time.Millisecond
		if s.random.IntN(50) == 0 {
			delay *= 20
		}
		s.network = append(s.network, delivery{s.now + delay, do})
	}
}

// step lets a little time pass and everything due happen.
func (s *simulation) step() {
	s.now += time.Duration(s.random.IntN(5000)) * time.Microsecond
	var due []delivery
	kept := s.network[:0]
	for _, d := range s.network {
		if d.at <= s.now {
			due = append(due, d)
		} else {
			kept = append(kept, d)
		}
	}
	s.network = kept
	for _, d := range due {
		d.do()
	}
	for _, m := range s.members {
		m.poll()
		m.act()
	}
	s.succeed()
}

// poll brings the latest state and a lease together, as control's fresh answers do.
func (m *member) poll() {
	s := m.simulation
	if !m.frozen && !m.cut && s.random.IntN(20) == 0 {
		m.seen, m.leased = s.epoch, s.now+timekeeper.RoleLease
	}
}

// act sends requests into an entry and its calls to the owner.
func (m *member) act() {
	if m.frozen {
		return
	}
	s := m.simulation
	if s.random.IntN(s.pace) == 0 {
		m.idle = !m.idle
	}
	requests := s.random.IntN(4) * (1 + m.number%2*3)
	if m.idle {
		requests = 0
		m.hoard()
	}
	for range requests {
		if m.account.take(1) {
			s.admit()
		} else if len(m.waiting) < 10 {
			w := newWaiter(1)
			m.waiting = append(m.waiting, w)
			m.account.waiters = append(m.account.waiters, w)
		}
	}
	m.collect()
	m.call()
}

// hoard makes an idle member ask for far more than it needs, so that many tokens are in
// hand when owners change, and spends them all at once later.
func (m *member) hoard() {
	s := m.simulation
	switch s.random.IntN(s.pace) {
	case 0:
		m.account.allowance.Want(s.now, 1e6)
	case 1:
		for m.account.take(1) {
			s.admit()
		}
	}
}

// collect counts the waiters that were granted, and lets some give up.
func (m *member) collect() {
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		select {
		case <-w.told:
			m.simulation.admit()
			continue
		default:
		}
		w.gone = m.simulation.random.IntN(20) == 0
		if !w.gone {
			kept = append(kept, w)
		}
	}
	m.waiting = kept
}

// call sends the call that is due, at most one at a time until it is given up.
func (m *member) call() {
	s := m.simulation
	if m.pending && s.random.IntN(30) > 0 {
		return
	}
	m.account.noteEpoch(m.seen)
	c := m.account.next(s.random.IntN(s.flushing) == 0)
	if c == nil {
		return
	}
	m.pending = true
	owner, request := s.members[s.holder], proto.CloneOf(c.request)
	s.later(func() { s.serve(owner, m, c, request) })
}

// serve lets an owner answer; a call that waits there is tried again later.
func (s *simulation) serve(owner, m *member, c *call, request *wire.GrantRequest) {
	if owner.frozen {
		s.network = append(s.network, delivery{s.now + 10*time.Millisecond, func() { s.serve(owner, m, c, request) }})
		return
	}
	answer, nap := owner.owner.try(request, c.sent+ownerWait)
	if answer == nil {
		owner.owner.stopWaiting(request)
		s.network = append(s.network, delivery{s.now + nap, func() { s.serve(owner, m, c, request) }})
		return
	}
	s.later(func() { s.answer(m, c, answer) })
}

// answer reaches a member, or waits for it while it is frozen.
func (s *simulation) answer(m *member, c *call, answer *wire.GrantResponse) {
	if m.frozen {
		s.network = append(s.network, delivery{s.now + 10*time.Millisecond, func() { s.answer(m, c, answer) }})
		return
	}
	if m.account.pending == c {
		m.account.finish(c, answer, nil)
		m.pending = false
	}
}

// admit checks an admitted request against one ideal bucket: a sequence conforms to rate
// and burst over every window exactly if that bucket never runs dry.
func (s *simulation) admit() {
	s.admitted++
	s.ideal = min(s.team.Burst, s.ideal+s.team.Rate*(s.now-s.idealAt).Seconds()) - 1
	s.idealAt = s.now
	if s.ideal < -tolerance*s.team.Burst {
		s.t.Fatalf("admitted %v more than rate and burst allow", -s.ideal)
	}
}

// fail freezes, thaws or cuts a member, mostly the owner. The role moves on once the
// lease of its holder has run out.
func (s *simulation) fail() {
	m := s.members[s.random.IntN(len(s.members))]
	switch s.random.IntN(4) {
	case 0:
		s.members[s.holder].frozen = true
	case 1:
		s.members[s.holder].cut = true
	case 2:
		m.frozen = false
	case 3:
		m.cut = !m.cut
	}
}

// succeed gives the role to another member as soon as that is safe, as control does.
func (s *simulation) succeed() {
	if s.now < s.members[s.holder].leased+time.Duration(s.random.IntN(100))*time.Millisecond {
		return
	}
	s.epoch++
	s.assign((s.holder + 1) % len(s.members))
	s.members[s.holder].frozen, s.members[s.holder].cut = false, false
}

// TestRateAndBurstOverAllEntries runs entries and owners under random faults; over no
// window may more be admitted than rate and burst allow.
func TestRateAndBurstOverAllEntries(t *testing.T) {
	total, epochs := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 200 + s.random.IntN(2000) {
			s.step()
			if s.random.IntN(100) == 0 {
				s.fail()
			}
		}
		total += s.admitted
		epochs += s.epoch
	})
	t.Logf("admitted %d under %d epochs", total, epochs)
	is := is.New(t)
	is.True(total > 10_000) // the runs admit something
	is.True(epochs > 400)   // owners change
}

func TestBucket(t *testing.T) {
	start := time.Hour
	cases := []struct {
		name string
		do   func(b *Bucket) float64
		want float64
	}{
		{"full at first", func(b *Bucket) float64 { return b.Grant(start, "a", 100) }, 10},
		{"grants no more than is free", func(b *Bucket) float64 {
			b.Grant(start, "a", 8)
			return b.Grant(start, "b", 8)
		}, 2},
		{"does not refill beside pots", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			return b.Grant(start+100*time.Millisecond, "b", 10)
		}, 0},
		{"makes up for refill once uses are reported", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start+100*time.Millisecond, "a", []Use{{Tokens: 10, Age: 100 * time.Millisecond}}, 0)
			return b.Free(start + 100*time.Millisecond)
		}, 10},
		{"a late use makes up for no earlier refill", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start+100*time.Millisecond, "a", []Use{{Tokens: 10, Age: 50 * time.Millisecond}}, 0)
			return b.Free(start + 100*time.Millisecond)
		}, 5},
		{"takes back what is returned", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start, "a", nil, 4)
			return b.Free(start)
		}, 4},
		{"what runs out counts as spent", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Free(start + PotLifetime)
			return b.Free(start + PotLifetime)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := c.do(NewBucket(asserter.NewPanicking(), start, 100, 10))
			is.True(got > c.want-0.001 && got < c.want+0.001)
		})
	}
	t.Run("a successor begins empty until earlier pots ran out", func(t *testing.T) {
		is := is.New(t)
		b := NewSuccessor(asserter.NewPanicking(), start, 100, 10)
		is.Equal(b.Grant(start+PotLifetime-1, "a", 10), 0.0)
		is.True(b.Grant(start+PotLifetime+50*time.Millisecond, "a", 10) < 6)
	})
}

func TestAllowance(t *testing.T) {
	const sent, answered = time.Hour, time.Hour + 100*time.Millisecond
	t.Run("tokens run out a lifetime after the call was sent", func(t *testing.T) {
		is := is.New(t)
		var a Allowance
		a.Add(answered, sent, 2, PotLifetime)
		is.True(a.Take(sent+PotLifetime-1, 1))
		is.True(!a.Take(sent+PotLifetime, 1))
	})
	t.Run("tokens that come too late are dropped", func(t *testing.T) {
		is := is.New(t)
		var a Allowance
		a.Add(sent+PotLifetime, sent, 2, PotLifetime)
		is.Equal(a.total(), 0.0)
	})
	t.Run("unspent tokens are returned before they run out", func(t *testing.T) {
		is := is.New(t)
		var a Allowance
		a.Add(answered, sent, 2, PotLifetime)
		is.Equal(a.Returns(answered), 0.0)
		is.Equal(a.Returns(sent+PotLifetime-returnBefore), 2.0)
		is.Equal(a.total(), 0.0)
	})
	t.Run("uses are reported once, with their age", func(t *testing.T) {
		is := is.New(t)
		var a Allowance
		a.Add(answered, sent, 2, PotLifetime)
		is.True(a.Take(answered, 1))
		is.Equal(a.Reports(answered+time.Millisecond), []Use{{Tokens: 1, Age: time.Millisecond}})
		is.Equal(len(a.Reports(answered)), 0)
	})
}

// TestNewOwnerVoidsTokens: once the view names another owner, tokens of the one before
// must not be spent, however late the calls to the owner notice.
func TestNewOwnerVoidsTokens(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	v := &receiver.View{Roles: map[string]*wire.Role{wire.TeamRole("a"): {Epoch: 1}}}
	m := newAccount(&Limiter{config: Config{
		Clock:    timekeeper.Clock{Now: func() time.Duration { return now }},
		View:     func() *receiver.View { return v },
		MaySpend: func() bool { return true },
	}}, wire.TeamRole("a"))
	m.noteEpoch(1)
	m.allowance.Add(now, now, 2, PotLifetime)
	is.True(m.take(1))
	v = &receiver.View{Roles: map[string]*wire.Role{wire.TeamRole("a"): {Epoch: 2}}}
	is.True(!m.take(1))
}

// TestEpochsNeverGoBack: a look at an older view, late, must not undo a newer epoch or
// number calls again from the start.
func TestEpochsNeverGoBack(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	m := newAccount(&Limiter{config: Config{
		Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Self: &wire.EntryMember{},
		View: func() *receiver.View { return &receiver.View{} }, MaySpend: func() bool { return true },
	}}, wire.TeamRole("a"))
	m.noteEpoch(2)
	m.waiters = append(m.waiters, &waiter{need: 1})
	first := m.next(false)
	is.True(m.finish(first, &wire.GrantResponse{Granted: 0}, nil) == false)
	m.noteEpoch(1)
	is.Equal(m.epoch, uint64(2))
	m.noteEpoch(3)
	is.True(m.next(false).request.GetSequence() > first.request.GetSequence())
}

func BenchmarkTake(b *testing.B) {
	clock := timekeeper.NewClock()
	var a Allowance
	for b.Loop() {
		now := clock.Now()
		if !a.Take(now, 1) {
			a.Add(now, now, 1000, PotLifetime)
		}
		a.Reports(now)
	}
}

func TestLimits(t *testing.T) {
	c := &parser.Configuration{
		Teams: map[string]*parser.Team{"a": {Name: "a", Rate: 5, Burst: 7}},
		Links: map[parser.LinkName]*parser.Link{{First: "north", Second: "south"}: {BitsPerSecond: 8 * 1024 * 1000}},
	}
	cases := []struct {
		role  string
		limit Limit
		known bool
	}{
		{wire.TeamRole("a"), Limit{5, 7}, true},
		{wire.TeamRole("b"), Limit{}, false},
		{wire.Way{From: "north", To: "south"}.Role(), Limit{800, 200}, true},
		{wire.Way{From: "south", To: "north"}.Role(), Limit{800, 200}, true},
		{wire.Way{From: "south", To: "east"}.Role(), Limit{}, false},
		{"pool/a/b/c", Limit{}, false},
	}
	for _, c2 := range cases {
		t.Run(c2.role, func(t *testing.T) {
			is := is.New(t)
			got, known := limitOf(c, c2.role)
			is.Equal(known, c2.known)
			is.Equal(got, c2.limit)
		})
	}
}

// TestLinkRoom: entries that reserve on one way at once never take more than the link
// carries in any second, and get most of the part that is ours.
func TestLinkRoom(t *testing.T) {
	is := is.New(t)
	const bytes, length = 8 * 1024, 2500 * time.Millisecond
	c := &parser.Configuration{Links: map[parser.LinkName]*parser.Link{{First: "north", Second: "south"}: {BitsPerSecond: 8 * 1024 * 4000}}}
	w := wire.Way{From: "north", To: "south"}
	self := &wire.EntryMember{Name: "entry1", Incarnation: 1}
	view := &receiver.View{
		Configuration: c, Entries: map[string]*wire.EntryMember{"entry1": self},
		Roles: map[string]*wire.Role{w.Role(): {Holder: "entry1", Incarnation: 1, Epoch: 1}},
	}
	look := func() *receiver.View { return view }
	clock, group := timekeeper.NewClock(), supervisor.NewGroup(supervisor.Config{})
	defer group.Stop()
	o := NewOwner(OwnerConfig{Clock: clock, Assert: asserter.NewPanicking(), View: look, Holds: func(string) (uint64, bool) { return 1, true }})
	n, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	var mutex sync.Mutex
	var taken []time.Duration
	begun := clock.Now()
	var all sync.WaitGroup
	for i := range 3 {
		member := &wire.EntryMember{Name: "entry1", Incarnation: uint64(i + 1)}
		l := NewLimiter(Config{
			Clock: clock, Scope: tally.NoopScope, Connector: n, Group: group, Self: member,
			View: look, MaySpend: func() bool { return true }, Owner: o,
		})
		for range 20 {
			all.Go(func() {
				for clock.Now()-begun < length {
					if l.Reserve(t.Context(), w, bytes, 50*time.Millisecond) {
						mutex.Lock()
						taken = append(taken, clock.Now())
						mutex.Unlock()
					}
				}
			})
		}
	}
	all.Wait()
	for i := range taken {
		inSecond := 0
		for _, at := range taken[i:] {
			if at-taken[i] < time.Second {
				inSecond++
			}
		}
		is.True(inSecond <= 4000*1024/bytes)
	}
	t.Logf("%d reservations of 8 KiB in %v on a link of 500 a second", len(taken), length)
	is.True(len(taken) >= 500)
	is.True(NewLimiter(Config{View: look, Scope: tally.NoopScope, Connector: n}).Reserve(t.Context(), wire.Way{From: "north", To: "east"}, 1<<30, 0))
}

// TestFrozenWaiter: a request whose token came before its process was stopped does not run
// on it once the lease is over.
func TestFrozenWaiter(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("lease runs: ", alive), func(t *testing.T) {
			is := is.New(t)
			a := newAccount(&Limiter{config: Config{MaySpend: func() bool { return alive }}}, wire.TeamRole("a"))
			got := make(chan bool)
			go func() { got <- a.wait(t.Context(), 1, time.Minute) }()
			for waiting := 0; waiting == 0; {
				a.mutex.Lock()
				if waiting = len(a.waiters); waiting > 0 {
					a.waiters.next(Verdict{Admitted: true})
				}
				a.mutex.Unlock()
			}
			is.Equal(<-got, alive)
		})
	}
}
