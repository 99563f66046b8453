package delegator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

const (
	idempotent = parser.ClassIdempotent
	atMostOnce = parser.ClassAtMostOnce
)

// fixture is a Delegator of an isolated entry with its members, whose addresses are those of servers.
type fixture struct {
	*Delegator
	view    *receiver.View
	dialect handler.Dialect
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, handler.DefaultDialect())
}

// signedDialect returns a dialect of callers who read the outcome from the status, and of targets that sign.
func signedDialect() handler.Dialect {
	return handler.Dialect{
		Key: "Key", Deadline: "Deadline", RequestID: "Id", Signature: "Signature", NotRun: "Not-Run", Delegated: "Delegated", Leaving: "Leaving",
		NotRunStatuses: []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable},
	}
}

func newFixtureWith(t *testing.T, d handler.Dialect) *fixture {
	t.Helper()
	clock := timekeeper.NewClock()
	w := forwarder.NewForwarder(forwarder.Config{Clock: clock, Fresh: func() bool { return true }, Dialect: &d})
	t.Cleanup(w.Close)
	self := &wire.EntryMember{Name: "self", Region: "north", AvailabilityZone: "north1"}
	f := &fixture{dialect: d, view: &receiver.View{Entries: map[string]*wire.EntryMember{"self": self}}}
	f.Delegator = NewDelegator(Config{
		Clock: clock, Scope: tally.NoopScope, Self: self, Isolated: func() bool { return true }, Send: w.Delegate, Relay: w.Relay,
	})
	return f
}

// add adds a live entry of the zone north1 that serves with a handler; nil refuses connections.
func (f *fixture) add(t *testing.T, name string, serve http.HandlerFunc) *wire.EntryMember {
	t.Helper()
	s := httptest.NewServer(serve)
	t.Cleanup(s.Close)
	if serve == nil {
		s.Close()
	}
	m := &wire.EntryMember{Name: name, Region: "north", AvailabilityZone: "north1", Address: s.Listener.Addr().String()}
	f.view.Entries[name] = m
	return m
}

// newExchange returns a request with a body, a second before its deadline.
func (f *fixture) newExchange(class parser.Class, body string) (*handler.Exchange, *httptest.ResponseRecorder) {
	w, now := httptest.NewRecorder(), timekeeper.NewClock().Now()
	return &handler.Exchange{
		Writer: w, Request: httptest.NewRequest(http.MethodPost, "/charges/7?a=b", strings.NewReader(body)), View: f.view,
		ID: "r1", Start: now, Deadline: now + time.Second, Body: []byte(body), Dialect: &f.dialect,
		Route: &parser.Route{Class: class, Timeout: time.Second}, Service: &parser.Service{Name: "lamps"},
	}, w
}

func answer(status int, header ...string) http.HandlerFunc {
	return answerWithBody(status, "", header...)
}

func answerWithBody(status int, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against handing a request that waited to an entry that has stopped since: the view of the request's start
// still lists it.
func TestDelegatesByTheLatestView(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.add(t, "stopped", answer(http.StatusBadGateway))
	e, w := f.newExchange(atMostOnce, "")
	latest := &receiver.View{Entries: map[string]*wire.EntryMember{"self": f.view.Entries["self"]}}
	e.CurrentView = func() *receiver.View { return latest }
	is.Equal(f.delegate(context.Background(), e).Run, handler.NotRun) // nobody is left
	f.view = latest
	f.add(t, "joined", answer(http.StatusOK))
	is.Equal(f.delegate(context.Background(), e).Run, handler.Done)
	is.Equal(w.Code, http.StatusOK)
}

// TestRelay checks that requests and responses pass unchanged but for the deadline and the mark.
func TestRelay(t *testing.T) {
	for _, size := range []int{0, 10, 3 << 20} {
		is := is.New(t)
		f := newFixture(t)
		var seen *http.Request
		body := strings.Repeat("x", size)
		f.add(t, "a", func(w http.ResponseWriter, r *http.Request) {
			seen = r.Clone(context.Background())
			got, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Own", "1")
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(got)
		})
		e, w := f.newExchange(atMostOnce, body)
		e.CallerKey = "key"
		e.Deadline += 10 * time.Second
		o := f.delegate(context.Background(), e)
		is.Equal(o.Run, handler.Done)
		is.Equal(w.Code, http.StatusCreated)
		is.Equal(w.Header().Get("X-Own"), "1")
		is.True(w.Body.String() == body)
		is.Equal(seen.RequestURI, "/charges/7?a=b")
		is.Equal(seen.Host, e.Request.Host)
		is.Equal(seen.Header.Get(handler.KeyHeader), "key")
		is.Equal(seen.Header.Get(handler.RequestHeader), "r1")
		is.True(seen.Header.Get(handler.DeadlineHeader) != "")
		is.True(seen.Header.Get(handler.DelegatedHeader) != "")
	}
}

// TestStatedOutcomes checks that another entry's refusals and failures are passed on with the
// outcome that they state.
func TestStatedOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		status int
		stated string
		run    handler.Run
	}{
		{"over the limit", 429, "notRun; reason=limit", handler.NotRun},
		{"no room", 503, "notRun; reason=noRoom", handler.NotRun},
		{"may have run", 502, "unknown; reason=upstream", handler.Unknown},
		{"the target failed", 500, "done", handler.Done},
		{"unstated failure", 502, "", handler.Unknown},
		{"unstated refusal", 408, "", handler.Unknown},
		{"unknown statement", 503, "perhaps", handler.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.add(t, "a", answer(c.status, handler.OutcomeHeader, c.stated, "Retry-After", "0.25"))
			e, w := f.newExchange(atMostOnce, "x")
			o := f.delegate(context.Background(), e)
			is.Equal(o.Run, c.run)
			is.True(o.Relayed || o.Run == handler.Done)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(handler.OutcomeHeader), c.stated)
			is.Equal(w.Header().Get("Retry-After"), "0.25")
		})
	}
}

// TestOtherEntries checks which other entries get a request, and how often.
func TestOtherEntries(t *testing.T) {
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		_ = c.Close()
	}
	isolated := answer(503, handler.OutcomeHeader, "notRun", handler.DelegatedHeader, declinedIsolated)
	unreachable := answer(503, handler.OutcomeHeader, "notRun", handler.DelegatedHeader, declinedUnreachable)
	leaving := func(m *wire.EntryMember) { m.State = wire.EntryState_ENTRY_STATE_LEAVING }
	alsoIsolated := func(m *wire.EntryMember) { m.State = wire.EntryState_ENTRY_STATE_ISOLATED }
	cases := []struct {
		name  string
		first http.HandlerFunc
		alter func(m *wire.EntryMember)
		run   handler.Run
		// served is whether the second entry serves.
		served bool
	}{
		{"dial failure", nil, nil, handler.Done, true},
		{"declined as isolated", isolated, nil, handler.Done, true},
		{"declined as unreachable", unreachable, nil, handler.Done, true},
		{"broken connection", breaks, nil, handler.Unknown, false},
		{"leaving", breaks, leaving, handler.Done, true},
		{"isolated", breaks, alsoIsolated, handler.Done, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			m := f.add(t, "a", c.first)
			if c.alter != nil {
				c.alter(m)
			}
			served := 0
			b := f.add(t, "b", func(http.ResponseWriter, *http.Request) { served++ })
			b.AvailabilityZone, b.Region = "south1", "south" // used only without the first
			m.AvailabilityZone = "north2"
			e, _ := f.newExchange(atMostOnce, "x")
			is.Equal(f.delegate(context.Background(), e).Run, c.run)
			is.Equal(served == 1, c.served)
		})
	}
}

// Guards against a request that a third entry gets although the second passed it on to a target: entries of earlier
// versions name a target that is leaving where others state that they decline, and copy what a target writes there.
func TestOnlyEntriesDecline(t *testing.T) {
	cases := []struct {
		name   string
		method string
		body   string
		header []string
		served bool
	}{
		{"declined", http.MethodPost, "notRun: isolated\n", []string{"Delegated", declinedIsolated}, true},
		{"declined without a body", http.MethodHead, "", []string{"Delegated", declinedIsolated}, true},
		{"a leaving target failed", http.MethodPost, "", []string{"Leaving", "1", "Delegated", "lamp7"}, false},
		{"a target's own header", http.MethodPost, "", []string{"Delegated", "1"}, false},
		{"a target's own reason", http.MethodPost, "", []string{"Delegated", declinedIsolated}, false},
		{"signed", http.MethodPost, "notRun: isolated\n", []string{"Delegated", declinedIsolated, "Signature", "s"}, false},
		{"no reason", http.MethodPost, "notRun: noRoom\n", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(t, signedDialect())
			f.config.Leaving = func(string) {}
			f.add(t, "a", answerWithBody(http.StatusServiceUnavailable, c.body, append(c.header, "Id", "r1")...))
			served := false
			b := f.add(t, "b", func(w http.ResponseWriter, _ *http.Request) {
				served = true
				answer(http.StatusOK, "Id", "r1", "Signature", "s")(w, nil)
			})
			b.AvailabilityZone, b.Region = "south1", "south" // used only without the first
			e, _ := f.newExchange(atMostOnce, "x")
			e.Request.Method = c.method
			f.delegate(context.Background(), e)
			is.Equal(served, c.served)
		})
	}
}

// Guards against a promise that a request has not run, read by the caller from the status of a target that ran it: entries
// of earlier versions pass it on.
func TestRelayedPromises(t *testing.T) {
	const refused = "notRun: limit\n"
	cases := []struct {
		name   string
		class  parser.Class
		status int
		body   string
		header []string
		code   int
		run    handler.Run
	}{
		{"refused", atMostOnce, 429, refused, nil, 429, handler.NotRun},
		{"unknown", atMostOnce, 502, "unknown: upstream\n", nil, 502, handler.Unknown},
		{"a target's status", atMostOnce, 429, "slow down", nil, 502, handler.Unknown},
		{"a target's signed status", atMostOnce, 503, refused, []string{"Signature", "s"}, 502, handler.Unknown},
		{"no body", atMostOnce, 408, "", nil, 502, handler.Unknown},
		{"another status", atMostOnce, 404, "none", nil, 404, handler.Unknown},
		{"another signed status", atMostOnce, 500, refused, []string{"Signature", "s"}, 500, handler.Done},
		{"idempotent", idempotent, 503, "slow down", nil, 503, handler.Unknown},
		{"answered", atMostOnce, 200, refused, []string{"Signature", "s"}, 200, handler.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixtureWith(t, signedDialect())
			f.add(t, "a", answerWithBody(c.status, c.body, append(c.header, "Id", "r1")...))
			e, w := f.newExchange(c.class, "x")
			o := f.delegate(context.Background(), e)
			is.Equal(o.Run, c.run)
			if o.Relayed || o.Run == handler.Done {
				is.Equal(w.Code, c.code)
			} else {
				is.Equal(o.Status, c.code)
			}
		})
	}
}

// TestNoOtherEntry checks that a request that no entry can take is refused at once.
func TestNoOtherEntry(t *testing.T) {
	cases := []struct {
		name  string
		setUp func(t *testing.T, f *fixture, e *handler.Exchange)
	}{
		{"alone", func(*testing.T, *fixture, *handler.Exchange) {}},
		{"all unreachable", func(t *testing.T, f *fixture, _ *handler.Exchange) { f.add(t, "a", nil) }},
		{"not a home", func(t *testing.T, f *fixture, e *handler.Exchange) {
			f.add(t, "a", answer(200))
			e.Route.Homes = []string{"south"}
		}},
		{"homes of route and team differ", func(t *testing.T, f *fixture, e *handler.Exchange) {
			f.add(t, "a", answer(200))
			e.Route.Homes, e.Team = []string{"north"}, &parser.Team{Homes: []string{"south"}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			e, w := f.newExchange(idempotent, "x")
			c.setUp(t, f, e)
			begun := time.Now()
			is.Equal(f.delegate(context.Background(), e), handler.Refuse(http.StatusServiceUnavailable, handler.ReasonIsolated))
			is.True(time.Since(begun) < 200*time.Millisecond)
			is.True(e.RetryAfter >= minRetryAfter && e.RetryAfter <= maxRetryAfter)
			is.Equal(w.Header().Get("Connection"), "close")
		})
	}
}

// TestNoLoops checks that a delegated request is declined, never delegated.
func TestNoLoops(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.add(t, "a", answer(200))
	e, w := f.newExchange(idempotent, "x")
	e.Delegated = true
	is.Equal(f.delegate(context.Background(), e).Run, handler.NotRun)
	is.Equal(w.Header().Get(handler.DelegatedHeader), declinedIsolated)
	o, ok := f.DelegateUnreachable(context.Background(), e)
	is.True(ok)
	is.Equal(o.Run, handler.NotRun)
	is.Equal(w.Header().Get(handler.DelegatedHeader), declinedUnreachable)
}

// TestUnreachableService checks that a service whose targets no entry reaches does not occupy other
// entries with all its requests.
func TestUnreachableService(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	tries := 0
	decline := answer(503, handler.OutcomeHeader, "notRun", handler.DelegatedHeader, declinedUnreachable)
	f.add(t, "a", func(w http.ResponseWriter, r *http.Request) { tries++; decline(w, r) })
	for range 10 {
		e, _ := f.newExchange(idempotent, "x")
		_, ok := f.DelegateUnreachable(context.Background(), e)
		is.True(!ok)
	}
	is.Equal(tries, 1)
	f.delegate(context.Background(), first(f.newExchange(idempotent, "x")))
	is.Equal(tries, 2)
}

func first(e *handler.Exchange, _ *httptest.ResponseRecorder) *handler.Exchange { return e }

// TestBegunRequest checks that a request for which an earlier step holds a record stays here.
func TestBegunRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.add(t, "a", answer(200))
	e, _ := f.newExchange(atMostOnce, "x")
	e.OnFinish = func(handler.Outcome) {}
	_, ok := f.DelegateUnreachable(context.Background(), e)
	is.True(!ok)
}

// TestCallerLeaves checks that the connection to the other entry is closed with the caller's.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	begun, closed := make(chan struct{}), make(chan struct{})
	f.add(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(closed)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-begun; leave() }()
	is.Equal(f.delegate(ctx, first(f.newExchange(idempotent, "x"))).Run, handler.Unknown)
	<-closed
}

// TestSpread checks that requests go to the own availability zone unless too few of its entries are
// left, and evenly.
func TestSpread(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for _, n := range []string{"a", "b", "c", "d", "e", "f"} {
		f.view.Entries[n] = &wire.EntryMember{Name: n, Region: "north", AvailabilityZone: "north1"}
	}
	f.view.Entries["f"].AvailabilityZone = "north2"
	e, _ := f.newExchange(idempotent, "")
	count := func() map[string]int {
		picks := map[string]int{}
		for range 500 {
			picks[f.pick(e, nil).GetName()]++
		}
		return picks
	}
	picks := count()
	is.Equal(len(picks), 5)
	for _, n := range picks {
		is.True(n > 50 && n < 200)
	}
	for _, n := range []string{"b", "c", "d", "e"} {
		f.view.Entries[n].State = wire.EntryState_ENTRY_STATE_ISOLATED
	}
	picks = count()
	is.Equal(len(picks), 2)
	is.True(picks["f"] > 100)
}

// TestUnreachableEntry checks that an entry that could not be reached is avoided for a while.
func TestUnreachableEntry(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	now := time.Hour
	f.config.Clock = timekeeper.Clock{Now: func() time.Duration { return now }}
	m := f.add(t, "a", nil)
	e, _ := f.newExchange(idempotent, "")
	is.Equal(f.pick(e, nil), m)
	f.avoid(f.entries, "a")
	is.True(f.pick(e, nil) == nil)
	now += avoidDuration
	is.Equal(f.pick(e, nil), m)
}
