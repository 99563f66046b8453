package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// load offers requests in equal intervals of one millisecond to an Admitter. slots serve them, and each
// needs its work there; a request waits behind those that were admitted before.
type load struct {
	admitter *Admitter
	now      time.Duration
	slots    float64
	// queued is the admitted work that is not done yet.
	queued   time.Duration
	asked    map[string]int
	admitted map[string]int
	late     map[string]int
	retries  []time.Duration
}

func newLoad(slots float64) *load {
	return &load{
		admitter: NewAdmitter(testConfig()), now: time.Hour, slots: slots,
		asked: map[string]int{}, admitted: map[string]int{}, late: map[string]int{},
	}
}

// step passes a millisecond and offers requests, counted under a name.
func (l *load) step(name string, r Request, work time.Duration) Decision {
	busy := float64(short)
	wait := time.Duration(float64(l.queued)/l.slots) - work
	if wait <= 0 {
		busy, wait = enough, 0
	}
	f := Forecast{Found: true, Busy: busy, Wait: wait, Processing: work}
	d := l.admitter.Decide(l.now, r, f)
	l.asked[name]++
	if d.Verdict != Admit {
		l.retries = append(l.retries, l.admitter.RecordRefused(l.now, r, d))
		return d
	}
	l.admitter.RecordAdmitted(l.now, r, work)
	l.queued += work
	l.admitted[name]++
	if r.Age+wait+work > r.Aim {
		l.late[name]++
	}
	return d
}

func (l *load) pass(d time.Duration) {
	l.now += d
	l.queued = max(0, l.queued-time.Duration(l.slots*float64(d)))
}

func (l *load) fraction(name string) float64 {
	return float64(l.admitted[name]) / float64(l.asked[name])
}

// TestBurst offers twice as many requests of one kind as fit: the queue is cut at the door.
func TestBurst(t *testing.T) {
	is := is.New(t)
	l := newLoad(50)
	for range perTest {
		l.pass(ms)
		l.step("seats", seats(), 100*ms)
	}
	is.True(l.fraction("seats") > 0.45) // the slots stay busy
	is.Equal(l.late["seats"], 0)
	is.True(spread(l.retries) > 100*ms) // refused callers don't come back together
}

func spread(list []time.Duration) time.Duration {
	low, high := list[0], list[0]
	for _, d := range list {
		low, high = min(low, d), max(high, d)
	}
	return high - low
}

// TestPriorities overloads a shared service with two routes of different priority: the urgent one is
// served more often, and the other one keeps its least share.
func TestPriorities(t *testing.T) {
	for _, urgentEvery := range []int{2, 4} { // the urgent ones alone need all slots, or half of them
		t.Run(fmt.Sprint("urgent 1 of ", urgentEvery), func(t *testing.T) {
			is := is.New(t)
			l := newLoad(50)
			for i := range perTest * 2 {
				l.pass(ms)
				if i%urgentEvery == 0 {
					l.step("orders", orders(), 100*ms)
					continue
				}
				l.step("seats", seats(), 100*ms)
			}
			is.True(l.fraction("orders") > l.fraction("seats"))
			is.True(l.fraction("seats") > 0.25*(l.fraction("orders")+l.fraction("seats"))/2)
		})
	}
}

// TestWave lets demand rise above the slots and fall again, as it moves over regions: once it has
// fallen, nothing is refused any more.
func TestWave(t *testing.T) {
	is := is.New(t)
	l := newLoad(50)
	for range perTest {
		l.pass(ms)
		l.step("high", seats(), 100*ms)
	}
	for range 200 { // the wave falls
		l.pass(3 * ms)
		l.step("falling", seats(), 100*ms)
	}
	for range perTest {
		l.pass(3 * ms)
		l.step("low", seats(), 100*ms)
	}
	is.True(l.fraction("high") < 0.6)
	is.Equal(l.fraction("low"), 1.0)
}

// TestHotTeam lets one of ten teams send five times its usual requests: the team pays for its surge.
func TestHotTeam(t *testing.T) {
	is := is.New(t)
	l := newLoad(80)
	ask := func(name string, team int) {
		r := seats()
		r.Team = fmt.Sprint(team)
		l.step(name, r, 50*ms)
	}
	for i := range 20_000 { // two thirds of the slots
		l.pass(ms)
		ask("before", i%10)
	}
	for i := range perTest {
		l.pass(ms)
		ask("others", 1+i%9)
		ask("hot", 0)
	}
	is.Equal(l.fraction("before"), 1.0)
	is.True(l.fraction("others") > 0.9)
	is.True(l.fraction("hot") < l.fraction("others")-0.2)
}

// TestRecognition checks which requests count as returned, and which as early.
func TestRecognition(t *testing.T) {
	now := time.Hour
	cases := []struct {
		name            string
		after           time.Duration
		change          func(*Request)
		returned, early bool
	}{
		{"waited as asked", 300 * ms, func(*Request) {}, true, false},
		{"at once", 5 * ms, func(*Request) {}, true, true},
		{"other object", 300 * ms, func(r *Request) { r.Object = "other" }, false, false},
		{"another request with a new deadline", 300 * ms, func(r *Request) { r.Remaining = 1500 * ms }, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, r := NewAdmitter(testConfig()), seats()
			retryAfter := a.RecordRefused(now, r, Decision{Room: 200 * ms})
			is.True(retryAfter >= 200*ms)
			r.Remaining -= c.after
			c.change(&r)
			a.Recognize(now+c.after, &r)
			is.Equal(r.Returned, c.returned)
			is.Equal(r.Early, c.early)
			is.Equal(r.Age > 0, c.returned)
		})
	}
}

// TestTimeouts checks that a caller whom another entry refused is recognized by the rest of its timeout, whatever
// share of the requests such callers have.
func TestTimeouts(t *testing.T) {
	is := is.New(t)
	a := NewAdmitter(testConfig())
	for i := range 300 {
		first, back := seats(), seats()
		first.Timeout, back.Timeout = 1300*ms+time.Duration(i%200)*ms, 800*ms
		a.Recognize(time.Hour, &back)
		a.Recognize(time.Hour, &first)
		is.True(!first.Returned)
		is.True(i < 100 || back.Returned)
		is.Equal(back.Age, time.Duration(0)) // not known
	}
}

// TestReturns refuses many callers of two priorities at once: the urgent ones come back first, and no two
// of one priority together as long as their deadlines allow.
func TestReturns(t *testing.T) {
	is := is.New(t)
	n, now := returns{}, time.Hour
	urgent, other := orders(), seats()
	var first, last []time.Duration
	for range 5 {
		last = append(last, n.place(now, other, 80*ms, 0))
	}
	for range 5 {
		first = append(first, n.place(now, urgent, 80*ms, 0))
		last = append(last, n.place(now, other, 80*ms, 0))
	}
	is.Equal(first[0], 80*ms)
	for i := range first[1:] {
		is.True(first[i+1] > first[i])
		is.True(last[5+i] > first[i])
	}
	for _, d := range last {
		is.True(d <= other.Remaining/2)
	}
}

// TestQueue wakes held requests by urgency, and none whose caller left.
func TestQueue(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	low, later, sooner, left := q.Add(seats(), 1), q.Add(orders(), 3), q.Add(orders(), 2), q.Add(orders(), 1)
	q.Remove(left)
	for _, h := range []*Held{sooner, later, low} {
		q.Wake("hall")
		is.Equal(len(h.Woken), 1)
	}
	q.Wake("hall")
	is.Equal(q.Len(), 0)
	is.Equal(len(left.Woken), 0)
}

// TestRefusingTargets lets targets refuse requests that were admitted, as faulty ones do at random: while the
// service has room, callers come back soon, and else spread.
func TestRefusingTargets(t *testing.T) {
	is := is.New(t)
	a := NewAdmitter(testConfig())
	for range 20 {
		is.Equal(a.PlanReturn(time.Hour, seats(), enough), minRetryAfter)
	}
	first, second := a.PlanReturn(time.Hour, seats(), short), a.PlanReturn(time.Hour, seats(), short)
	is.Equal(first, minRetryAfter)
	is.True(second > first)
}
