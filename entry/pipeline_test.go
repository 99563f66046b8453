package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/acceptor"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

const testKey = "pipeline-key"

const testConfigurationText = `[configuration]
revision = 1
deployment = test
[limits]
bodyBytes = 1000
bodyTimeout = 200ms
[region north]
availabilityZones = north1
[service lamps]
version = v1
[route status]
service = lamps
path = /lamps/
methods = GET, POST
class = idempotent
timeout = 2s
[route charge]
service = lamps
path = /charges/
methods = POST
class = atMostOnce
timeout = 2s
[target lamps1]
service = lamps
address = %s
region = north
availabilityZone = north1
slots = 1000
version = v1
[team good]
rate = 1000000
burst = 1000000
[team small]
rate = 1
burst = 2
[key good1]
team = good
digest = %s
[key small1]
team = small
digest = %s
`

func testConfiguration(upstream string) string {
	return fmt.Sprintf(testConfigurationText, upstream, digester.Key(testKey), digester.Key("small-key"))
}

// newPipeline returns the pipeline of a single entry that holds every role.
func newPipeline(t testing.TB, upstream string) http.Handler {
	t.Helper()
	c, problems := parser.Parse(testConfiguration(upstream))
	if c == nil {
		t.Fatal(problems)
	}
	self := &wire.EntryMember{Name: "entry1", Incarnation: 1, Region: "north"}
	view := &receiver.View{Configuration: c, Entries: map[string]*wire.EntryMember{"entry1": self}, Roles: map[string]*wire.Role{}}
	for _, n := range []string{wire.TeamRole("good"), wire.TeamRole("small"), wire.Pool{Service: "lamps", Region: "north", Version: "v1"}.Role()} {
		view.Roles[n] = &wire.Role{Name: n, Holder: "entry1", Incarnation: 1, Epoch: 1}
	}
	clock, assert := timekeeper.NewClock(), asserter.NewPanicking()
	currentView := func() *receiver.View { return view }
	holds := func(string) (uint64, bool) { return 1, true }
	fresh := func() bool { return true }
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		t.Fatal(err)
	}
	group := supervisor.NewGroup(supervisor.Config{})
	t.Cleanup(group.Stop)
	f := forwarder.NewForwarder(forwarder.Config{Clock: clock, Fresh: fresh})
	t.Cleanup(f.Close)
	granter := dispatcher.NewGranter(dispatcher.GranterConfig{Clock: clock, Assert: assert, View: currentView, HoldsRole: holds})
	group.Go("granter", granter.Run)
	client := dispatcher.NewClient(dispatcher.ClientConfig{Clock: clock, Connector: n, Group: group, Self: self, View: currentView, Granter: granter})
	owner := limiter.NewOwner(limiter.OwnerConfig{Clock: clock, Assert: assert, View: currentView, HoldsRole: holds})
	l := limiter.NewGrantLimiter(limiter.GrantLimiterConfig{Clock: clock, Scope: tally.NoopScope, Connector: n, Group: group, Self: self, View: currentView, MaySpend: fresh, Owner: owner})
	d := dispatcher.NewDispatcher(dispatcher.Config{Clock: clock, Scope: tally.NoopScope, Region: "north", Client: client, Forward: f.Forward})
	k := classifier.NewClassifier(classifier.Config{Clock: clock})
	a := authenticator.NewAuthenticator(authenticator.Config{Fresh: fresh})
	return handler.NewHandler(handler.Config{
		Clock: clock, Logger: logger.Logger{}, Scope: tally.NoopScope, View: currentView,
		Steps: []handler.Step{k.Step(), a.Step(), k.BodyStep(), l.Step(), shifter.NewShifter(shifter.Config{Scope: tally.NoopScope, Region: "north"}).Step(), d.Step()},
	})
}

// server serves callers with the acceptor, as an entry does.
type server struct {
	URL      string
	acceptor *acceptor.Acceptor
}

func newServer(t testing.TB, h http.Handler) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := acceptor.Limits{HeaderBytes: callerHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	a := acceptor.NewAcceptor(acceptor.Config{Handler: h, Limits: func() acceptor.Limits { return limits }})
	go func() { _ = a.Serve(l) }()
	return &server{URL: "http://" + l.Addr().String(), acceptor: a}
}

// Close aborts running requests.
func (s *server) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.acceptor.Shutdown(ctx)
}

func newUpstream(t testing.TB) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestRefusals(t *testing.T) {
	s := newServer(t, newPipeline(t, newUpstream(t)))
	defer s.Close()
	cases := []struct {
		name, method, path, key, deadline, body, outcome string
		status                                           int
	}{
		{"served", "GET", "/lamps/7", testKey, "", "", "done", 200},
		{"no route", "GET", "/nothing", testKey, "", "", "notRun; reason=noRoute", 404},
		{"wrong method", "GET", "/charges/7", testKey, "", "", "notRun; reason=noRoute", 405},
		{"path with dot segments", "GET", "/lamps/..%2fcharges/7", testKey, "", "", "notRun; reason=noRoute", 404},
		{"no key", "GET", "/lamps/7", "", "", "", "notRun; reason=key", 401},
		{"wrong key", "GET", "/lamps/7", "wrong", "", "", "notRun; reason=key", 401},
		{"malformed deadline", "GET", "/lamps/7", testKey, "soon", "", "notRun; reason=badRequest", 400},
		{"deadline passed", "GET", "/lamps/7", testKey, "0", "", "notRun; reason=deadline", 504},
		{"body at the limit", "POST", "/charges/7", testKey, "", strings.Repeat("x", 1000), "done", 200},
		{"body too large", "POST", "/charges/7", testKey, "", strings.Repeat("x", 1001), "notRun; reason=tooLarge", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, err := http.NewRequest(c.method, s.URL+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			q.Header.Set(handler.DeadlineHeader, c.deadline)
			q.Header.Set(handler.KeyHeader, c.key)
			if c.key == "" {
				q.Header.Del(handler.KeyHeader)
			}
			r, err := http.DefaultClient.Do(q)
			is.NoErr(err)
			defer r.Body.Close()
			is.Equal(r.Header.Get(handler.OutcomeHeader), c.outcome)
			is.Equal(r.StatusCode, c.status)
		})
	}
	t.Run("over the rate", func(t *testing.T) {
		is := is.New(t)
		var outcomes []string
		for range 3 {
			q, _ := http.NewRequest(http.MethodGet, s.URL+"/lamps/7", nil)
			q.Header.Set(handler.KeyHeader, "small-key")
			r, err := http.DefaultClient.Do(q)
			is.NoErr(err)
			r.Body.Close()
			outcomes = append(outcomes, r.Header.Get(handler.OutcomeHeader))
		}
		is.Equal(outcomes, []string{"done", "done", "notRun; reason=limit"})
	})
	t.Run("two keys", func(t *testing.T) {
		is := is.New(t)
		q, _ := http.NewRequest(http.MethodGet, s.URL+"/lamps/7", nil)
		q.Header[handler.KeyHeader] = []string{testKey, testKey}
		r, err := http.DefaultClient.Do(q)
		is.NoErr(err)
		r.Body.Close()
		is.Equal(r.StatusCode, http.StatusUnauthorized)
	})
}

// TestSlowSender checks that a request whose body does not arrive in time is refused as not run.
func TestSlowSender(t *testing.T) {
	is := is.New(t)
	s := newServer(t, newPipeline(t, newUpstream(t)))
	defer s.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /charges/7 HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 10\r\n\r\n12", handler.KeyHeader, testKey)
	is.NoErr(err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer r.Body.Close()
	is.Equal(r.Header.Get(handler.OutcomeHeader), "notRun; reason=slowSender")
}

// TestCutAnswer checks that a response body that the upstream truncates does not appear complete to
// the caller: a short one yields the outcome unknown, and for a long one, which is already being
// sent, the caller's connection is closed.
func TestCutAnswer(t *testing.T) {
	for name, size := range map[string]int{"short": 4, "long": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Transfer-Encoding", "chunked")
				_, _ = io.WriteString(w, strings.Repeat("h", size))
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer u.Close()
			s := newServer(t, newPipeline(t, u.Listener.Addr().String()))
			defer s.Close()
			q, _ := http.NewRequest(http.MethodPost, s.URL+"/charges/7", nil)
			q.Header.Set(handler.KeyHeader, testKey)
			r, err := http.DefaultClient.Do(q)
			if err != nil {
				return // closed before anything was received
			}
			defer r.Body.Close()
			_, err = io.ReadAll(r.Body)
			if r.StatusCode == http.StatusBadGateway {
				is.Equal(r.Header.Get(handler.OutcomeHeader), "unknown; reason=upstream")
				return
			}
			is.True(err != nil)
		})
	}
}

func TestOversizedHeaders(t *testing.T) {
	is := is.New(t)
	s := newServer(t, newPipeline(t, newUpstream(t)))
	defer s.Close()
	q, _ := http.NewRequest(http.MethodGet, s.URL+"/lamps/7", nil)
	q.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	a, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	a.Body.Close()
	is.Equal(a.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

// BenchmarkPipeline compares a request through one entry with one sent directly to the upstream.
func BenchmarkPipeline(b *testing.B) {
	upstream := newUpstream(b)
	s := newServer(b, newPipeline(b, upstream))
	defer s.Close()
	for _, c := range []struct{ name, url, method string }{
		{"direct", "http://" + upstream + "/lamps/7", http.MethodGet},
		{"idempotent", s.URL + "/lamps/7", http.MethodGet},
		{"atMostOnce", s.URL + "/charges/7", http.MethodPost},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q, _ := http.NewRequestWithContext(context.Background(), c.method, c.url, nil)
				q.Header.Set(handler.KeyHeader, testKey)
				r, err := http.DefaultClient.Do(q)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
				if r.StatusCode != http.StatusOK {
					b.Fatal(r.Header.Get(handler.OutcomeHeader))
				}
			}
		})
	}
}
