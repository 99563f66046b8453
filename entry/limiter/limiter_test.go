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

// simulation is a set of entries that share one team's limit. Messages between them are delayed,
// lost or duplicated, and owners freeze or are cut off from control until another one succeeds them.
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
	// flushSteps is the mean number of steps between reports of an entry that needs no tokens.
	flushSteps int
	// toggleSteps is the mean number of steps after which a member turns idle or busy.
	toggleSteps int
	idealTokens float64
	idealAt     time.Duration
	admitted    int
}

// member is one entry, both as a client of the owner and as an owner.
type member struct {
	simulation *simulation
	number     int
	client     *bucketClient
	owner      *Owner
	// epoch and leaseEnd are the member's view of its own role.
	epoch    uint64
	leaseEnd time.Duration
	// seenEpoch is the latest epoch in the member's view.
	seenEpoch uint64
	pending   bool
	waiting   []*waiter
	frozen    bool
	// cut is set while control does not receive the member's polls. A cut owner continues to grant
	// until its lease expires.
	cut bool
	// idle members receive no requests for a while.
	idle bool
}

// delivery is an action at a simulated time.
type delivery struct {
	at time.Duration
	do func()
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), epoch: 1, now: time.Hour}
	s.team = &parser.Team{Name: "a", Rate: float64(1 + s.random.IntN(2000)), Burst: float64(1 + s.random.IntN(500))}
	s.idealTokens, s.idealAt = s.team.Burst, s.now
	s.flushSteps, s.toggleSteps = 1<<s.random.IntN(10), 1<<(3+s.random.IntN(6))
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
			Roles:         map[string]*wire.Role{wire.TeamRole("a"): {Previous: s.previous, Epoch: m.seenEpoch}},
		}
		for _, m := range s.members {
			if s.now < m.leaseEnd+removedAfter {
				v.Entries[m.name()] = &wire.EntryMember{}
			}
		}
		return v
	}
	m.owner = NewOwner(OwnerConfig{
		Clock: clock, Assert: asserter.NewPanicking(), View: view,
		HoldsRole: func(string) (uint64, bool) { return m.epoch, m.epoch > 0 && s.now < m.leaseEnd },
	})
	self := &wire.EntryMember{Name: m.name(), Incarnation: uint64(i + 1)}
	maySpend := func() bool { return s.now < m.leaseEnd }
	m.client = newBucketClient(&GrantLimiter{config: GrantLimiterConfig{Clock: clock, Scope: tally.NoopScope, Self: self, View: view, MaySpend: maySpend}}, wire.TeamRole("a"))
	return m
}

// removedAfter is the time after the lease's expiry at which control removes a silent entry.
const removedAfter = timekeeper.RoleLease / 2

func (m *member) name() string {
	return fmt.Sprint("entry", m.number)
}

// assign makes a member the owner in the current epoch.
func (s *simulation) assign(i int) {
	s.previous = s.members[s.holder].name()
	s.holder = i
	s.members[i].epoch, s.members[i].seenEpoch, s.members[i].leaseEnd = s.epoch, s.epoch, s.now+timekeeper.RoleLease
}

// send puts a message on the network, which may lose, duplicate or delay it.
func (s *simulation) send(do func()) {
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

// step advances the time a little and runs everything that is due.
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

// poll takes the latest state together with a new lease, as an entry does with a response from
// control.
func (m *member) poll() {
	s := m.simulation
	if !m.frozen && !m.cut && s.random.IntN(20) == 0 {
		m.seenEpoch, m.leaseEnd = s.epoch, s.now+timekeeper.RoleLease
	}
}

// act sends requests to a member, and the member's calls to the owner.
func (m *member) act() {
	if m.frozen {
		return
	}
	s := m.simulation
	if s.random.IntN(s.toggleSteps) == 0 {
		m.idle = !m.idle
	}
	requests := s.random.IntN(4) * (1 + m.number%2*3)
	if m.idle {
		requests = 0
		m.hoard()
	}
	for range requests {
		if m.client.tryTake(1) {
			s.admit()
		} else if len(m.waiting) < 10 {
			w := newWaiter(1)
			m.waiting = append(m.waiting, w)
			m.client.waiters = append(m.client.waiters, w)
		}
	}
	m.collect()
	m.call()
}

// hoard makes an idle member ask for far more tokens than it needs, so that it holds many when the
// owner changes, and spend them all at once later.
func (m *member) hoard() {
	s := m.simulation
	switch s.random.IntN(s.toggleSteps) {
	case 0:
		m.client.cache.AddDemand(s.now, 1e6)
	case 1:
		for m.client.tryTake(1) {
			s.admit()
		}
	}
}

// collect counts the waiters that were granted a token, and abandons some of the others.
func (m *member) collect() {
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		select {
		case <-w.result:
			m.simulation.admit()
			continue
		default:
		}
		w.abandoned = m.simulation.random.IntN(20) == 0
		if !w.abandoned {
			kept = append(kept, w)
		}
	}
	m.waiting = kept
}

// call sends the next call if it is due. It has one call in flight, which it abandons at random.
func (m *member) call() {
	s := m.simulation
	if m.pending && s.random.IntN(30) > 0 {
		return
	}
	m.client.observeEpoch(m.seenEpoch)
	c := m.client.nextCall(s.random.IntN(s.flushSteps) == 0)
	if c == nil {
		return
	}
	m.pending = true
	owner, request := s.members[s.holder], proto.CloneOf(c.request)
	s.send(func() { s.serve(owner, m, c, request) })
}

// serve lets an owner answer. A call that has to wait for tokens is tried again later.
func (s *simulation) serve(owner, m *member, c *grantCall, request *wire.GrantRequest) {
	if owner.frozen {
		s.network = append(s.network, delivery{s.now + 10*time.Millisecond, func() { s.serve(owner, m, c, request) }})
		return
	}
	answer, pause := owner.owner.tryGrant(request, c.sent+ownerWait)
	if answer == nil {
		owner.owner.stopWaiting(request)
		s.network = append(s.network, delivery{s.now + pause, func() { s.serve(owner, m, c, request) }})
		return
	}
	s.send(func() { s.answer(m, c, answer) })
}

// answer delivers a response to a member, once that is not frozen.
func (s *simulation) answer(m *member, c *grantCall, answer *wire.GrantResponse) {
	if m.frozen {
		s.network = append(s.network, delivery{s.now + 10*time.Millisecond, func() { s.answer(m, c, answer) }})
		return
	}
	if m.client.pending == c {
		m.client.handleResponse(c, answer, nil)
		m.pending = false
	}
}

// admit checks an admitted request against one ideal token bucket. A sequence of requests conforms
// to rate and burst in every window exactly if that bucket never runs dry.
func (s *simulation) admit() {
	s.admitted++
	s.idealTokens = min(s.team.Burst, s.idealTokens+s.team.Rate*(s.now-s.idealAt).Seconds()) - 1
	s.idealAt = s.now
	if s.idealTokens < -tolerance*s.team.Burst {
		s.t.Fatalf("admitted %v more than rate and burst allow", -s.idealTokens)
	}
}

// fail freezes the owner, cuts it off from control, or thaws, cuts off or reconnects a random
// member. The role moves on once the lease of its holder has expired.
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

// succeed assigns the role to another member once the holder's lease has expired, as control does.
func (s *simulation) succeed() {
	if s.now < s.members[s.holder].leaseEnd+time.Duration(s.random.IntN(100))*time.Millisecond {
		return
	}
	s.epoch++
	s.assign((s.holder + 1) % len(s.members))
	s.members[s.holder].frozen, s.members[s.holder].cut = false, false
}

// TestRateAndBurstOverAllEntries runs entries and owners under random faults and checks that no
// window admits more than rate and burst allow.
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
	is.True(total > 10_000) // the runs admit requests
	is.True(epochs > 400)   // owners change
}

func TestBucket(t *testing.T) {
	start := time.Hour
	cases := []struct {
		name string
		do   func(b *Bucket) float64
		want float64
	}{
		{"starts full", func(b *Bucket) float64 { return b.Grant(start, "a", 100) }, 10},
		{"grants no more than is free", func(b *Bucket) float64 {
			b.Grant(start, "a", 8)
			return b.Grant(start, "b", 8)
		}, 2},
		{"does not refill while grants use the burst", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			return b.Grant(start+100*time.Millisecond, "b", 10)
		}, 0},
		{"reported uses reclaim overflowed refill", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start+100*time.Millisecond, "a", []Use{{Tokens: 10, Age: 100 * time.Millisecond}}, 0)
			return b.Free(start + 100*time.Millisecond)
		}, 10},
		{"a use does not reclaim earlier refill", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start+100*time.Millisecond, "a", []Use{{Tokens: 10, Age: 50 * time.Millisecond}}, 0)
			return b.Free(start + 100*time.Millisecond)
		}, 5},
		{"returned tokens become free", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Report(start, "a", nil, 4)
			return b.Free(start)
		}, 4},
		{"expired tokens count as spent", func(b *Bucket) float64 {
			b.Grant(start, "a", 10)
			b.Free(start + GrantLifetime)
			return b.Free(start + GrantLifetime)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := c.do(NewBucket(asserter.NewPanicking(), start, 100, 10))
			is.True(got > c.want-0.001 && got < c.want+0.001)
		})
	}
	t.Run("a successor grants nothing until earlier grants expire", func(t *testing.T) {
		is := is.New(t)
		b := NewSuccessorBucket(asserter.NewPanicking(), start, 100, 10)
		is.Equal(b.Grant(start+GrantLifetime-1, "a", 10), 0.0)
		is.True(b.Grant(start+GrantLifetime+50*time.Millisecond, "a", 10) < 6)
	})
}

func TestTokenCache(t *testing.T) {
	const sent, answered = time.Hour, time.Hour + 100*time.Millisecond
	t.Run("tokens expire a lifetime after the call was sent", func(t *testing.T) {
		is := is.New(t)
		var a TokenCache
		a.AddGrant(answered, sent, 2, GrantLifetime)
		is.True(a.Take(sent+GrantLifetime-1, 1))
		is.True(!a.Take(sent+GrantLifetime, 1))
	})
	t.Run("tokens that arrive too late are dropped", func(t *testing.T) {
		is := is.New(t)
		var a TokenCache
		a.AddGrant(sent+GrantLifetime, sent, 2, GrantLifetime)
		is.Equal(a.total(), 0.0)
	})
	t.Run("unspent tokens are returned before they expire", func(t *testing.T) {
		is := is.New(t)
		var a TokenCache
		a.AddGrant(answered, sent, 2, GrantLifetime)
		is.Equal(a.TakeExpiring(answered), 0.0)
		is.Equal(a.TakeExpiring(sent+GrantLifetime-returnBeforeExpiry), 2.0)
		is.Equal(a.total(), 0.0)
	})
	t.Run("uses are reported once, with their age", func(t *testing.T) {
		is := is.New(t)
		var a TokenCache
		a.AddGrant(answered, sent, 2, GrantLifetime)
		is.True(a.Take(answered, 1))
		is.Equal(a.TakeUses(answered+time.Millisecond), []Use{{Tokens: 1, Age: time.Millisecond}})
		is.Equal(len(a.TakeUses(answered)), 0)
	})
}

// TestNewOwnerVoidsTokens guards against spending the tokens of an earlier owner once the view
// names another one, even if the calls to the owner have not noticed the change yet.
func TestNewOwnerVoidsTokens(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	v := &receiver.View{Roles: map[string]*wire.Role{wire.TeamRole("a"): {Epoch: 1}}}
	m := newBucketClient(&GrantLimiter{config: GrantLimiterConfig{
		Clock:    timekeeper.Clock{Now: func() time.Duration { return now }},
		View:     func() *receiver.View { return v },
		MaySpend: func() bool { return true },
	}}, wire.TeamRole("a"))
	m.observeEpoch(1)
	m.cache.AddGrant(now, now, 2, GrantLifetime)
	is.True(m.tryTake(1))
	v = &receiver.View{Roles: map[string]*wire.Role{wire.TeamRole("a"): {Epoch: 2}}}
	is.True(!m.tryTake(1))
}

// TestEpochsNeverGoBack guards against a late read of an older view that undoes a newer epoch or
// restarts the numbering of calls.
func TestEpochsNeverGoBack(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	m := newBucketClient(&GrantLimiter{config: GrantLimiterConfig{
		Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Self: &wire.EntryMember{},
		View: func() *receiver.View { return &receiver.View{} }, MaySpend: func() bool { return true },
	}}, wire.TeamRole("a"))
	m.observeEpoch(2)
	m.waiters = append(m.waiters, &waiter{needed: 1})
	first := m.nextCall(false)
	is.True(m.handleResponse(first, &wire.GrantResponse{Granted: 0}, nil) == false)
	m.observeEpoch(1)
	is.Equal(m.epoch, uint64(2))
	m.observeEpoch(3)
	is.True(m.nextCall(false).request.GetSequence() > first.request.GetSequence())
}

func BenchmarkTake(b *testing.B) {
	clock := timekeeper.NewClock()
	var a TokenCache
	for b.Loop() {
		now := clock.Now()
		if !a.Take(now, 1) {
			a.AddGrant(now, now, 1000, GrantLifetime)
		}
		a.TakeUses(now)
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
		{wire.LinkDirection{From: "north", To: "south"}.Role(), Limit{800, 200}, true},
		{wire.LinkDirection{From: "south", To: "north"}.Role(), Limit{800, 200}, true},
		{wire.LinkDirection{From: "south", To: "east"}.Role(), Limit{}, false},
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

// TestLinkRoom checks that entries which reserve concurrently in one direction of a link never
// take more than its capacity in any second, and get most of the fraction intended for them.
func TestLinkRoom(t *testing.T) {
	is := is.New(t)
	const bytes, length = 8 * 1024, 2500 * time.Millisecond
	c := &parser.Configuration{Links: map[parser.LinkName]*parser.Link{{First: "north", Second: "south"}: {BitsPerSecond: 8 * 1024 * 4000}}}
	w := wire.LinkDirection{From: "north", To: "south"}
	self := &wire.EntryMember{Name: "entry1", Incarnation: 1}
	view := &receiver.View{
		Configuration: c, Entries: map[string]*wire.EntryMember{"entry1": self},
		Roles: map[string]*wire.Role{w.Role(): {Holder: "entry1", Incarnation: 1, Epoch: 1}},
	}
	look := func() *receiver.View { return view }
	clock, group := timekeeper.NewClock(), supervisor.NewGroup(supervisor.Config{})
	defer group.Stop()
	o := NewOwner(OwnerConfig{Clock: clock, Assert: asserter.NewPanicking(), View: look, HoldsRole: func(string) (uint64, bool) { return 1, true }})
	n, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	var mutex sync.Mutex
	var taken []time.Duration
	begun := clock.Now()
	var all sync.WaitGroup
	for i := range 3 {
		member := &wire.EntryMember{Name: "entry1", Incarnation: uint64(i + 1)}
		l := NewGrantLimiter(GrantLimiterConfig{
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
	is.True(NewGrantLimiter(GrantLimiterConfig{View: look, Scope: tally.NoopScope, Connector: n}).Reserve(t.Context(), wire.LinkDirection{From: "north", To: "east"}, 1<<30, 0))
}

// TestFrozenWaiter guards against a request that uses a token after its process was stopped and
// the lease has expired.
func TestFrozenWaiter(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint("lease runs: ", alive), func(t *testing.T) {
			is := is.New(t)
			a := newBucketClient(&GrantLimiter{config: GrantLimiterConfig{MaySpend: func() bool { return alive }}}, wire.TeamRole("a"))
			got := make(chan bool)
			go func() { got <- a.wait(t.Context(), 1, time.Minute) }()
			for waiting := 0; waiting == 0; {
				a.mutex.Lock()
				if waiting = len(a.waiters); waiting > 0 {
					a.waiters.resolveFirst(TakeResult{Admitted: true})
				}
				a.mutex.Unlock()
			}
			is.Equal(<-got, alive)
		})
	}
}
