package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/deduplicator"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

const experimentKey = "experiment-key"

// onceSetup runs the pipelines of several entries in one process, in front of one upstream,
// with a control that stores records and loses calls.
type onceSetup struct {
	addresses []string
	control   *onceControl
	closers   []func()
}

func newOnceSetup(u http.Handler, seed uint64) (*onceSetup, error) {
	p := &onceSetup{control: newOnceControl(seed)}
	m := http.NewServeMux()
	m.Handle(wireconnect.NewOutcomeServiceHandler(p.control))
	controlAddress := p.serve(m)
	text := onceText(func() string { return p.serve(u) })
	c, problems := parser.Parse(text)
	if c == nil {
		return nil, errors.Wrap(problems, "parsing the experiment's text")
	}
	view := &receiver.View{Configuration: c, Entries: map[string]*wire.EntryMember{}, Roles: map[string]*wire.Role{}}
	pool := wire.Pool{Service: "billing", Region: "north", Version: "v1"}.Role()
	view.Roles[pool] = &wire.Role{Name: pool, Holder: "entry0", Incarnation: 1, Epoch: wire.FirstEpoch}
	getView := func() *receiver.View { return view }
	granter := dispatcher.NewGranter(dispatcher.GranterConfig{
		Clock: timekeeper.NewClock(), Assert: asserter.NewPanicking(), View: getView,
		HoldsRole: func(string) (uint64, bool) { return wire.FirstEpoch, true },
	})
	g := supervisor.NewGroup(supervisor.Config{})
	g.Go("granter", granter.Run)
	p.closers = append(p.closers, g.Stop)
	view.Entries["entry0"] = &wire.EntryMember{Name: "entry0", Incarnation: 1, Region: "north"}
	for i := range outcomeEntries {
		h, err := newOnceEntry(g, getView, granter, uint64(i+1), controlAddress)
		if err != nil {
			return nil, err
		}
		p.addresses = append(p.addresses, p.serve(h))
	}
	return p, nil
}

func (p *onceSetup) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	p.closers = append(p.closers, s.Close)
	return s.Listener.Addr().String()
}

func (p *onceSetup) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// newOnceEntry returns the product's pipeline without limits. All entries share the pool's
// granter; each has its own incarnation.
func newOnceEntry(g *supervisor.Group, getView func() *receiver.View, t *dispatcher.Granter, incarnation uint64, controlAddress string) (http.Handler, error) {
	clock, fresh := timekeeper.NewClock(), func() bool { return true }
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		return nil, err
	}
	self := &wire.EntryMember{Name: "entry0", Incarnation: incarnation, Region: "north"}
	client := dispatcher.NewClient(dispatcher.ClientConfig{Clock: clock, Connector: n, Group: g, Self: self, View: getView, Granter: t})
	f := forwarder.NewForwarder(forwarder.Config{Clock: clock, Fresh: fresh})
	d := dispatcher.NewDispatcher(dispatcher.Config{Clock: clock, Scope: tally.NoopScope, Region: "north", Client: client, Forward: f.Forward})
	u := deduplicator.NewDeduplicator(deduplicator.Config{Connector: n, Group: g, Leader: func() string { return controlAddress }})
	k := classifier.NewClassifier(classifier.Config{Clock: clock})
	a := authenticator.NewAuthenticator(authenticator.Config{Fresh: fresh})
	return handler.NewHandler(handler.Config{
		Clock: clock, Logger: logger.Logger{}, Scope: tally.NoopScope, View: getView,
		Steps: []handler.Step{k.Step(), a.Step(), k.BodyStep(), u.Step(), d.Step()},
	}), nil
}

func onceText(newTarget func() string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `[configuration]
revision = 1
deployment = experiment
[region north]
availabilityZones = north1
[service billing]
version = v1
[route charge]
service = billing
path = /charges/
methods = POST
class = atMostOnce
timeout = %v
[team a]
rate = 1000000
burst = 1000000
[key a1]
team = a
digest = %s
`, outcomeTimeout, digester.Key(experimentKey))
	for i := range outcomeTargets {
		fmt.Fprintf(&b, "[target billing%d]\nservice = billing\naddress = %s\nregion = north\navailabilityZone = north1\nslots = %d\nversion = v1\n",
			i, newTarget(), outcomeSlots)
	}
	return b.String()
}

// Fractions of the calls to control that fail, and the delay of late calls.
const (
	lostBeforeFraction = 0.01
	lostAfterFraction  = 0.01
	lateFraction       = 0.005
	lateCallDelay      = 2500 * time.Millisecond
)

// onceControl applies begin and finish records to the product's state, and loses calls before
// and after that.
type onceControl struct {
	mutex       sync.Mutex
	random      *rand.Rand
	state       *applier.State
	index       uint64
	faultCounts map[string]int
}

func newOnceControl(seed uint64) *onceControl {
	return &onceControl{
		random: rand.New(rand.NewPCG(seed, 3)), state: applier.NewState(asserter.NewPanicking()), faultCounts: map[string]int{},
	}
}

// Begin applies the begin record of a request.
func (k *onceControl) Begin(_ context.Context, q *connect.Request[wire.BeginOnceCommand]) (*connect.Response[wire.BeginResponse], error) {
	r, err := k.apply("begin", &wire.Command{Kind: &wire.Command_BeginOnce{BeginOnce: q.Msg}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.BeginResponse{Result: r.Begin, Answer: r.Answer}), nil
}

// Finish applies the finish record of a request.
func (k *onceControl) Finish(_ context.Context, q *connect.Request[wire.FinishOnceCommand]) (*connect.Response[wire.FinishResponse], error) {
	_, err := k.apply("finish", &wire.Command{Kind: &wire.Command_FinishOnce{FinishOnce: q.Msg}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&wire.FinishResponse{}), nil
}

func (k *onceControl) apply(name string, c *wire.Command) (applier.Result, error) {
	unavailable := connect.NewError(connect.CodeUnavailable, errors.New("no quorum"))
	fault := k.drawFault(name)
	switch fault {
	case name + " lost before":
		return applier.Result{}, unavailable
	case name + " late":
		time.Sleep(lateCallDelay) // the caller times out, but the command is applied
	}
	b, err := proto.Marshal(c)
	if err != nil {
		return applier.Result{}, err
	}
	k.mutex.Lock()
	k.index++
	r := k.state.Apply(k.index, b)
	k.mutex.Unlock()
	if fault == name+" lost after" {
		return applier.Result{}, unavailable
	}
	return r, nil
}

func (k *onceControl) drawFault(name string) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	pick := k.random.Float64()
	for _, f := range []upstreamFault{{name + " lost before", lostBeforeFraction}, {name + " lost after", lostAfterFraction}, {name + " late", lateFraction}} {
		if pick -= f.probability; pick < 0 {
			k.faultCounts[f.name]++
			return f.name
		}
	}
	return ""
}
