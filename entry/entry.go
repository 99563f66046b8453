// Package entry composes the process between callers and upstreams: it answers lookups and runs
// each request through the pipeline.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/listener"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/starter"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/acceptor"
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/authenticator"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/deduplicator"
	"github.com/filberthoist/filberthoist/entry/delegator"
	"github.com/filberthoist/filberthoist/entry/detector"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/explainer"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/inquirer"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/prober"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/renewer"
	"github.com/filberthoist/filberthoist/entry/resolver"
	"github.com/filberthoist/filberthoist/entry/shifter"
	"github.com/filberthoist/filberthoist/entry/splitter"
	"github.com/filberthoist/filberthoist/entry/tallier"
)

// LookupPath is the path at which callers look up which entries to use.
const LookupPath = "/filberthoist/lookup"

// Bounds of the callers' listener until a configuration is received, and of the process.
const (
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 60 * time.Second
	callerHeaderBytes   = 16 << 10
	// callerConnectionFraction is the fraction of the process's descriptors that connections of
	// callers may use before responses ask callers to close them; connections to targets and
	// peers and files need the rest.
	callerConnectionFraction = 0.4
	// stopMargin is added to Settings.Drain as the time for all other parts of a shutdown.
	stopMargin = time.Minute
)

// Extensions are the extension points for builds for other platforms. The zero value is the default
// build.
type Extensions struct {
	Dialect handler.Dialect
	// ReadExtraSections reads the additional sections of the settings of this build when the
	// settings are reloaded.
	ReadExtraSections func(starter.Source)
	// Listeners returns the configuration of additional listeners. If it is set, the callers'
	// listener does not serve lookups.
	Listeners func(p Queries) []listener.Config
}

// Queries are the functions of an entry that additional listeners may use.
type Queries struct {
	// Entries returns at most a number of addresses for callers of live entries, the nearest to
	// a region and availability zone first.
	Entries func(region, zone string, most int) []string
	// Ready reports whether this entry accepts callers.
	Ready func() bool
}

// New composes an entry process from its settings.
func New(s Settings, x Extensions) starter.Program {
	if x.Dialect.Key == "" {
		x.Dialect = handler.DefaultDialect()
	}
	var l logger.Logger
	var v *receiver.Receiver
	app := fx.New(
		fx.Populate(&l, &v),
		fx.NopLogger,
		fx.StopTimeout(s.Drain+stopMargin),
		fx.Supply(s, x, s.Limits),
		fx.Provide(
			starter.NewQueue,
			newLogger,
			newReporter,
			starter.NewReserver,
			starter.NewSeats,
			starter.NewGroup,
			timekeeper.NewClock,
			newRefs,
			asserter.NewAsserter,
			newConnector,
			newSelf,
			newShifter,
			newMeter,
			newTallier,
			newReceiver,
			newOwner,
			newGrantLimiter,
			newBorrower,
			newShareLimiter,
			newGranter,
			newClient,
			newForwarder,
			newDispatcher,
			newPicker,
			newDetector,
			newDelegator,
			newInquirer,
			newBalancer,
			newAcceptor,
			newDeduplicator,
			newProber,
			newResolver,
			newExplainer,
			newHandler,
		),
		fx.Invoke(registerHooks),
	)
	return starter.Program{
		App: app, Logger: func() logger.Logger { return l },
		ReadExtraSections: x.ReadExtraSections,
		Reload: func(r starter.Source) error {
			n, err := ReadSettings(r)
			if err == nil {
				v.SetControls(n.Controls)
			}
			return err
		},
	}
}

// stepParams are the components of the pipeline. The limiter and the last step depend on the mode:
// with roles, owners grant tokens and dispatchers grant permits (GrantLimiter, Dispatcher); without,
// this entry admits by its shares and picks targets itself (ShareLimiter, Balancer).
type stepParams struct {
	fx.In
	GrantLimiter *limiter.GrantLimiter
	ShareLimiter *limiter.ShareLimiter
	Deduplicator *deduplicator.Deduplicator
	Shifter      *shifter.Shifter
	Dispatcher   *dispatcher.Dispatcher
	Balancer     *balancer.Balancer
	Delegator    *delegator.Delegator
	AcceptorRef  *acceptorRef
	Reserver     *reserver.Reserver
}

// newHandler composes the pipeline: the steps that each request runs through, in this order.
func newHandler(s Settings, x Extensions, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, v *receiver.Receiver, p stepParams) *handler.Handler {
	n := classifier.NewClassifier(classifier.Config{Clock: c, Reserver: p.Reserver, Stopping: p.AcceptorRef.isRefusing})
	a := authenticator.NewAuthenticator(authenticator.Config{Fresh: v.Fresh})
	limit, send := p.ShareLimiter.Step(), p.Balancer.Step()
	if s.Roles {
		limit, send = p.GrantLimiter.Step(), p.Dispatcher.Step()
	}
	return handler.NewHandler(handler.Config{
		Clock: c, Logger: l, Scope: r.Scope, View: v.View, Dialect: &x.Dialect,
		Trace: tracer{logger: l, servedFraction: s.LogRequests}.trace,
		Steps: []handler.Step{
			n.Step(),
			a.Step(),
			n.BodyStep(),
			renewer.NewRenewer(renewer.Config{Steps: []handler.Step{n.Step(), a.Step()}}).Step(),
			p.Delegator.Step(),
			limit,
			p.Deduplicator.Step(),
			splitter.NewSplitter().Step(),
			p.Shifter.Step(),
			send,
		},
	})
}

func newLogger(s Settings, q *logger.Queue) logger.Logger {
	return starter.NewLogger(s.Name, s.LogLevel, q)
}

func newReporter(s Settings, l fx.Lifecycle) *reporter.Reporter {
	return starter.NewReporter("entry", s.Name, l)
}

func newConnector(s Settings) (*connector.Connector, error) {
	return connector.NewConnector(s.TLS)
}

// newSelf describes this entry to control and peers. Its incarnation is random and not 0, so that
// restarts can be distinguished.
func newSelf(s Settings) *wire.EntryMember {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return &wire.EntryMember{
		Name: s.Name, Incarnation: binary.LittleEndian.Uint64(b[:]) | 1,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress,
		Region: s.Region, AvailabilityZone: s.AvailabilityZone,
	}
}

func newReceiver(s Settings, c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, r *reporter.Reporter,
	n *connector.Connector, self *wire.EntryMember, t *shifter.Shifter, d *shareLimiterRef, m *balancer.Meter, i *detectorRef, k *pickerRef, u *tallier.Tallier,
) *receiver.Receiver {
	return receiver.NewReceiver(receiver.Config{
		Clock: c, Logger: l, Assert: a, Scope: r.Scope, Connector: n, Controls: s.Controls, Self: self,
		Evidence: t.Evidence, RequestRates: d.requestRates, Demands: m.Demands, LeavingTargets: k.leavingTargets, Zones: s.Zones, Lenient: s.Lenient,
		Isolated: i.isIsolated, Usage: u.Report, ConfirmUsage: u.Confirm,
	})
}

func newDetector(x Extensions, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, v *receiver.Receiver, p *balancer.Picker, d *detectorRef) *detector.Detector {
	d.value = detector.NewDetector(detector.Config{
		Clock: c, Logger: l, Scope: r.Scope, ExpectedTarget: x.Dialect.ExpectedTarget,
		Targets: func() []*parser.Target {
			return slices.DeleteFunc(listTargets(v.View()), func(t *parser.Target) bool { return !p.AcceptsProbes(t) })
		},
	})
	return d.value
}

// listTargets returns the targets that the platform lists, except leaving ones, or else those of the
// configuration.
func listTargets(v *receiver.View) []*parser.Target {
	var out []*parser.Target
	for _, list := range v.Targets {
		for _, t := range list {
			if !t.Leaving {
				out = append(out, t.Target)
			}
		}
	}
	if len(v.Targets) == 0 && v.Configuration != nil {
		return slices.Collect(maps.Values(v.Configuration.Targets))
	}
	return out
}

func newDelegator(c timekeeper.Clock, r *reporter.Reporter, self *wire.EntryMember, n *detector.Detector, f *forwarder.Forwarder, p *balancer.Picker) *delegator.Delegator {
	return delegator.NewDelegator(delegator.Config{
		Clock: c, Scope: r.Scope, Self: self, Isolated: n.IsIsolated, Send: f.Delegate, Relay: f.Relay, Leaving: p.RecordLeaving,
	})
}

func newBorrower(c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, v *receiver.Receiver) *limiter.Borrower {
	return limiter.NewBorrower(limiter.BorrowerConfig{Clock: c, Logger: l, Scope: r.Scope, Call: v.Borrow})
}

func newShareLimiter(s Settings, c timekeeper.Clock, l logger.Logger, v *receiver.Receiver, d *shareLimiterRef, b *limiter.Borrower) *limiter.ShareLimiter {
	m := limiter.NewShareLimiter(limiter.ShareLimiterConfig{
		Clock: c, Logger: l, View: v.View, Share: v.Share, ShareChanged: v.ShareChanged, Borrower: b, Overdraft: s.Overdraft,
	})
	if !s.Roles {
		d.value = m
	}
	return m
}

func newShifter(s Settings, l logger.Logger, r *reporter.Reporter) *shifter.Shifter {
	return shifter.NewShifter(shifter.Config{Logger: l, Scope: r.Scope, Region: s.Region})
}

func newOwner(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, v *receiver.Receiver) *limiter.Owner {
	return limiter.NewOwner(limiter.OwnerConfig{Clock: c, Logger: l, Assert: a, View: v.View, HoldsRole: v.HoldsRole})
}

func newGrantLimiter(c timekeeper.Clock, r *reporter.Reporter, n *connector.Connector, g *supervisor.Group,
	self *wire.EntryMember, v *receiver.Receiver, o *limiter.Owner,
) *limiter.GrantLimiter {
	return limiter.NewGrantLimiter(limiter.GrantLimiterConfig{
		Clock: c, Scope: r.Scope, Connector: n, Group: g, Self: self,
		View: v.View, ViewChanged: v.Changed, MaySpend: v.MayAct, Owner: o,
	})
}

func newGranter(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, v *receiver.Receiver) *dispatcher.Granter {
	return dispatcher.NewGranter(dispatcher.GranterConfig{Clock: c, Logger: l, Assert: a, View: v.View, HoldsRole: v.HoldsRole})
}

func newClient(c timekeeper.Clock, n *connector.Connector, g *supervisor.Group, self *wire.EntryMember,
	v *receiver.Receiver, t *dispatcher.Granter,
) *dispatcher.Client {
	return dispatcher.NewClient(dispatcher.ClientConfig{
		Clock: c, Connector: n, Group: g, Self: self, View: v.View, ViewChanged: v.Changed, Granter: t,
	})
}

func newForwarder(x Extensions, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, v *receiver.Receiver, n *detector.Detector, h fx.Lifecycle, t *reserver.Seats) *forwarder.Forwarder {
	f := forwarder.NewForwarder(forwarder.Config{Clock: c, Fresh: v.Fresh, Dialect: &x.Dialect, Record: n.Record, Logger: l, Scope: r.Scope, Seats: t})
	h.Append(fx.StopHook(f.Close))
	return f
}

func newDispatcher(s Settings, c timekeeper.Clock, r *reporter.Reporter, t *dispatcher.Client, f *forwarder.Forwarder,
	l *limiter.GrantLimiter, u *tallier.Tallier,
) *dispatcher.Dispatcher {
	return dispatcher.NewDispatcher(dispatcher.Config{
		Clock: c, Scope: r.Scope, Region: s.Region, Client: t, Forward: countForwards(u, f.Forward), ReserveLink: l.Reserve,
	})
}

func newPicker(s Settings, c timekeeper.Clock, v *receiver.Receiver, r *pickerRef) *balancer.Picker {
	r.value = balancer.NewPicker(balancer.PickerConfig{
		Clock: c, View: v.View, Entry: s.Name, Zone: s.AvailabilityZone, Region: s.Region, Regions: countRegions(s.Zones),
		ControlReachable: v.MayAct,
	})
	return r.value
}

func newMeter(s Settings, c timekeeper.Clock) *balancer.Meter {
	return balancer.NewMeter(c, s.Region)
}

func countRegions(zones map[string]string) int {
	regions := map[string]bool{}
	for _, r := range zones {
		regions[r] = true
	}
	return len(regions)
}

func newInquirer(x Extensions, r *reporter.Reporter, h fx.Lifecycle, t *reserver.Seats) *inquirer.Inquirer {
	i := inquirer.NewInquirer(inquirer.Config{Header: x.Dialect.Load, ExpectedTarget: x.Dialect.ExpectedTarget, Scope: r.Scope, Seats: t})
	h.Append(fx.StopHook(i.Close))
	return i
}

func newBalancer(s Settings, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, p *balancer.Picker,
	f *forwarder.Forwarder, v *receiver.Receiver, m *balancer.Meter, g *delegator.Delegator, t *shifter.Shifter, u *tallier.Tallier, i *inquirer.Inquirer,
) *balancer.Balancer {
	s.Repeats.Entries = func() int { return len(v.View().Entries) }
	s.Repeats.Clock, s.Repeats.Logger = c, l
	n := balancer.Config{
		Clock: c, Logger: l, Scope: r.Scope, Picker: p, Send: countSends(u, f.Send), WriteResponse: f.WriteResponse, Delegate: g.DelegateUnreachable,
		Reselect: t.Reselect, RetryBudget: balancer.NewBudget(s.Repeats), Meter: m, Ask: i.Ask,
	}
	if s.Admits {
		n.Admitter = admitter.NewAdmitter(s.Admission)
	}
	return balancer.NewBalancer(n)
}

func newAcceptor(s Settings, x Extensions, l logger.Logger, r *reporter.Reporter, h *handler.Handler, n *resolver.Resolver, v *receiver.Receiver, a *acceptorRef, m *reserver.Reserver, t *reserver.Seats) *acceptor.Acceptor {
	a.value = acceptor.NewAcceptor(acceptor.Config{
		Handler: newCallerHandler(x, h, n), Refuse: http.HandlerFunc(h.Refuse), StopCause: handler.ErrStopping,
		Logger: l, Scope: r.Scope, RequestHeader: x.Dialect.RequestID,
		SoftMaxConnections: int(callerConnectionFraction * float64(s.Limits.Descriptors)), Reserver: m, Seats: t,
		Limits: func() acceptor.Limits {
			if c := v.View().Configuration; c != nil {
				return acceptor.Limits{HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout}
			}
			return acceptor.Limits{HeaderBytes: callerHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
		},
	})
	return a.value
}

func newDeduplicator(n *connector.Connector, v *receiver.Receiver, g *supervisor.Group) *deduplicator.Deduplicator {
	return deduplicator.NewDeduplicator(deduplicator.Config{Connector: n, Group: g, Leader: v.Leader})
}

func newProber(s Settings, c timekeeper.Clock, g *dispatcher.Granter) *prober.Prober {
	return prober.NewProber(prober.Config{Clock: c, PlatformAddress: s.Platform, Targets: g.Targets, Report: g.SetHealth})
}

func newResolver(s Settings, v *receiver.Receiver) *resolver.Resolver {
	return resolver.NewResolver(resolver.Config{View: v.View, Region: s.Region})
}

// lifecycleParams are the components that are started and stopped with the process.
type lifecycleParams struct {
	fx.In
	Settings     Settings
	Logger       logger.Logger
	Group        *supervisor.Group
	Connector    *connector.Connector
	Reporter     *reporter.Reporter
	Receiver     *receiver.Receiver
	Owner        *limiter.Owner
	GrantLimiter *limiter.GrantLimiter
	ShareLimiter *limiter.ShareLimiter
	Borrower     *limiter.Borrower
	Granter      *dispatcher.Granter
	Client       *dispatcher.Client
	Dispatcher   *dispatcher.Dispatcher
	Shifter      *shifter.Shifter
	Picker       *balancer.Picker
	Balancer     *balancer.Balancer
	Prober       *prober.Prober
	Detector     *detector.Detector
	Resolver     *resolver.Resolver
	Explainer    *explainer.Explainer
	Acceptor     *acceptor.Acceptor
	Tallier      *tallier.Tallier
	Seats        *reserver.Seats
	Extensions   Extensions
	Lifecycle    fx.Lifecycle
	Shutdowner   fx.Shutdowner
}

// registerHooks opens the listeners and registers the hooks that start the loops and shut the
// process down in order.
func registerHooks(p lifecycleParams) error {
	addDumps(p)
	callers, err := listener.NewListener(listener.Config{
		Name: "callers", Address: p.Settings.CallerAddress, Serve: p.Acceptor.Serve, Shutdown: p.Acceptor.Shutdown,
		Logger: p.Logger, Failed: func(error) { _ = p.Shutdowner.Shutdown(fx.ExitCode(1)) },
	})
	if err != nil {
		return err
	}
	extra, err := openExtraListeners(p)
	if err != nil {
		return err
	}
	peers, err := openListener(p, "peer", p.Settings.PeerAddress, p.Connector.Server(newPeerHandler(p)), p.Connector, nil)
	if err != nil {
		return err
	}
	reports, err := openListener(p, "report", p.Settings.ReportAddress, p.Connector.Server(p.Reporter.Handler()), p.Connector, p.Seats)
	if err != nil {
		return err
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range append([]*listener.Listener{callers, peers, reports}, extra...) {
				l.Start()
			}
			p.Group.Go("receiver", p.Receiver.Run)
			p.Group.Go("shifter", p.Shifter.Run)
			p.Group.Go("detector", p.Detector.Run)
			if p.Settings.Roles {
				p.Group.Go("granter", p.Granter.Run)
				p.Group.Go("limiter", p.GrantLimiter.Run)
				p.Group.Go("permits", p.Client.Run)
				p.Group.Go("prober", p.Prober.Run)
			} else {
				p.Group.Go("borrower", p.Borrower.Run)
			}
			p.Logger.Log(logger.ProcessStarted, logger.F("callers", callers.Address()))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Logger.Log(logger.ProcessStopping)
			end := time.Now().Add(p.Settings.Leave + p.Settings.Drain)
			leave(p)
			p.Tallier.Flush()
			err := callers.StopWithin(p.Settings.Drain)
			handOverUsage(p.Tallier, end)
			_ = peers.StopWithin(peerDrainTimeout) // other entries retry elsewhere
			p.Group.Stop()
			stopListeners(append(extra, reports), lastDrainTimeout)
			p.Logger.Log(logger.ProcessStopped)
			return err
		},
	})
	return nil
}

const (
	// peerDrainTimeout bounds the wait for running calls of other entries, and lastDrainTimeout that for
	// calls of all other listeners, which take milliseconds.
	peerDrainTimeout = time.Second
	lastDrainTimeout = 250 * time.Millisecond
	// leaveTimeout bounds the wait for control to remove this entry from lookups.
	leaveTimeout      = 2 * time.Second
	leavePollInterval = 20 * time.Millisecond
)

// stopListeners stops listeners at the same time, since little is left of the grace period. Their callers
// try again elsewhere.
func stopListeners(list []*listener.Listener, timeout time.Duration) {
	var all sync.WaitGroup
	for _, l := range list {
		all.Go(func() { _ = l.StopWithin(timeout) })
	}
	all.Wait()
}

// leave removes this entry from lookups and continues to serve, until the lookup responses that callers
// cached expire, but at most for Settings.Leave.
func leave(p lifecycleParams) {
	p.Receiver.Leave()
	p.Acceptor.Drain() // callers move to other entries with their next response
	var lifetime time.Duration
	if c := p.Receiver.View().Configuration; c != nil {
		lifetime = c.Limits.LookupLifetime
	}
	waitToLeave(p.Receiver.HasLeft, lifetime, p.Settings.Leave)
}

// waitToLeave waits until control has removed this entry from lookups, or leaveTimeout passes, and
// for the lifetime of lookup responses. It waits for at most limit in all, since control may be
// unreachable.
func waitToLeave(hasLeft func() bool, lifetime, limit time.Duration) {
	end := time.Now().Add(limit)
	for removed := time.Now().Add(min(leaveTimeout, limit)); !hasLeft() && time.Now().Before(removed); {
		time.Sleep(leavePollInterval)
	}
	time.Sleep(min(lifetime, time.Until(end)))
}

// newCallerHandler returns the handler for requests and, unless an additional listener serves them,
// lookups.
func newCallerHandler(x Extensions, h *handler.Handler, r *resolver.Resolver) http.Handler {
	if x.Listeners != nil {
		return h
	}
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	m.Handle(LookupPath, r).Methods(http.MethodGet)
	m.PathPrefix("/").Handler(h)
	return m
}

// openExtraListeners opens the listeners that Extensions.Listeners configures.
func openExtraListeners(p lifecycleParams) ([]*listener.Listener, error) {
	if p.Extensions.Listeners == nil {
		return nil, nil
	}
	var out []*listener.Listener
	for _, c := range p.Extensions.Listeners(Queries{Entries: p.Resolver.Entries, Ready: p.Receiver.Ready}) {
		c.Seats, c.Logger, c.Failed = p.Seats, p.Logger, func(error) { _ = p.Shutdowner.Shutdown(fx.ExitCode(1)) }
		l, err := listener.NewListener(c)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

func newPeerHandler(p lifecycleParams) http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewLimitServiceHandler(p.GrantLimiter))
	m.Handle(wireconnect.NewPermitServiceHandler(p.Dispatcher))
	return m
}

func openListener(p lifecycleParams, name, address string, s *http.Server, c *connector.Connector, t *reserver.Seats) (*listener.Listener, error) {
	return listener.NewListener(listener.Config{
		Name: name, Address: address, Server: s, Connector: c, Seats: t, Logger: p.Logger,
		Failed: func(error) { _ = p.Shutdowner.Shutdown(fx.ExitCode(1)) },
	})
}

func addDumps(p lifecycleParams) {
	p.Reporter.Add("settings", func() any { return p.Settings })
	p.Reporter.Add("view", func() any { return dumpView(p.Receiver) })
	p.Reporter.Add("buckets", p.Owner.Dump)
	p.Reporter.Add("pools", p.Granter.Dump)
	p.Reporter.Add("moves", p.Shifter.Dump)
	p.Reporter.Add("allowances", p.ShareLimiter.Dump)
	p.Reporter.Add("loans", p.Borrower.Dump)
	p.Reporter.Add("targets", p.Picker.Dump)
	p.Reporter.Add("admission", p.Balancer.DumpAdmission)
	p.Reporter.Add("isolation", p.Detector.Dump)
	if p.Tallier.Enabled() {
		p.Reporter.Add("usage", p.Tallier.Dump)
	}
	p.Reporter.SetHealth(p.Receiver.CheckHealth)
	p.Reporter.AddHandler(explainer.Path, p.Explainer)
}
