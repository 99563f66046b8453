// Package entry is the program between callers and upstreams: it answers look-ups and
// takes each request through the pipeline.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/listener"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/starter"
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
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/prober"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/resolver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

// LookupPath is where callers ask which entries to use.
const LookupPath = "/filberthoist/lookup"

// Bounds of the callers' listener before a configuration is known.
const (
	callerHeaderTimeout = 5 * time.Second
	callerIdleTimeout   = 60 * time.Second
	callerHeaderBytes   = 16 << 10
	// stopMargin is added to the drain for the rest of a shutdown.
	stopMargin = time.Minute
)

// New composes an entry process from its settings.
func New(s Settings) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(s.Drain+stopMargin),
		fx.Supply(s),
		fx.Provide(
			newLogger,
			newReporter,
			starter.NewGroup,
			timekeeper.NewClock,
			asserter.NewAsserter,
			newConnector,
			newSelf,
			newShifter,
			newReceiver,
			newOwner,
			newLimiter,
			newGranter,
			newClient,
			newForwarder,
			newDispatcher,
			newDeduplicator,
			newProber,
			newResolver,
			newHandler,
		),
		fx.Invoke(run),
	)
}

// newHandler is the pipeline: each request takes these steps in this order.
func newHandler(c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, v *receiver.Receiver,
	m *limiter.Limiter, u *deduplicator.Deduplicator, t *shifter.Shifter, d *dispatcher.Dispatcher,
) *handler.Handler {
	n := classifier.NewClassifier(classifier.Config{Clock: c})
	a := authenticator.NewAuthenticator(authenticator.Config{Fresh: v.Fresh})
	return handler.NewHandler(handler.Config{
		Clock: c, Logger: l, Scope: r.Scope, View: v.View,
		Steps: []handler.Step{
			n.Step(),
			a.Step(),
			n.BodyStep(),
			m.Step(),
			u.Step(),
			t.Step(),
			d.Step(),
		},
	})
}

func newLogger(s Settings) logger.Logger {
	return starter.NewLogger(s.Name, s.LogLevel)
}

func newReporter(s Settings, l fx.Lifecycle) *reporter.Reporter {
	return starter.NewReporter("entry", s.Name, l)
}

func newConnector(s Settings) (*connector.Connector, error) {
	return connector.NewConnector(s.TLS)
}

// newSelf describes this run of the process; its incarnation is random.
func newSelf(s Settings) *wire.EntryMember {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, says crypto/rand
	return &wire.EntryMember{
		Name: s.Name, Incarnation: binary.LittleEndian.Uint64(b[:]) | 1,
		Address: s.CallerAddress, PeerAddress: s.PeerAddress,
		Region: s.Region, AvailabilityZone: s.AvailabilityZone,
	}
}

func newReceiver(s Settings, c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, r *reporter.Reporter,
	n *connector.Connector, self *wire.EntryMember, t *shifter.Shifter,
) *receiver.Receiver {
	return receiver.NewReceiver(receiver.Config{
		Clock: c, Logger: l, Assert: a, Scope: r.Scope, Connector: n, Controls: s.Controls, Self: self,
		Evidence: t.Evidence,
	})
}

func newShifter(s Settings, l logger.Logger, r *reporter.Reporter) *shifter.Shifter {
	return shifter.NewShifter(shifter.Config{Logger: l, Scope: r.Scope, Region: s.Region})
}

func newOwner(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, v *receiver.Receiver) *limiter.Owner {
	return limiter.NewOwner(limiter.OwnerConfig{Clock: c, Logger: l, Assert: a, View: v.View, Holds: v.Holds})
}

func newLimiter(c timekeeper.Clock, r *reporter.Reporter, n *connector.Connector, g *supervisor.Group,
	self *wire.EntryMember, v *receiver.Receiver, o *limiter.Owner,
) *limiter.Limiter {
	return limiter.NewLimiter(limiter.Config{
		Clock: c, Scope: r.Scope, Connector: n, Group: g, Self: self,
		View: v.View, Changed: v.Changed, MaySpend: v.Acting, Owner: o,
	})
}

func newGranter(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, v *receiver.Receiver) *dispatcher.Granter {
	return dispatcher.NewGranter(dispatcher.GranterConfig{Clock: c, Logger: l, Assert: a, View: v.View, Holds: v.Holds})
}

func newClient(c timekeeper.Clock, n *connector.Connector, g *supervisor.Group, self *wire.EntryMember,
	v *receiver.Receiver, t *dispatcher.Granter,
) *dispatcher.Client {
	return dispatcher.NewClient(dispatcher.ClientConfig{
		Clock: c, Connector: n, Group: g, Self: self, View: v.View, Changed: v.Changed, Granter: t,
	})
}

func newForwarder(c timekeeper.Clock, v *receiver.Receiver, l fx.Lifecycle) *forwarder.Forwarder {
	f := forwarder.NewForwarder(forwarder.Config{Clock: c, Fresh: v.Fresh})
	l.Append(fx.StopHook(f.Close))
	return f
}

func newDispatcher(s Settings, c timekeeper.Clock, r *reporter.Reporter, t *dispatcher.Client, f *forwarder.Forwarder,
	l *limiter.Limiter,
) *dispatcher.Dispatcher {
	return dispatcher.NewDispatcher(dispatcher.Config{
		Clock: c, Scope: r.Scope, Region: s.Region, Client: t, Forward: f.Forward, Reserve: l.Reserve,
	})
}

func newDeduplicator(n *connector.Connector, v *receiver.Receiver, g *supervisor.Group) *deduplicator.Deduplicator {
	return deduplicator.NewDeduplicator(deduplicator.Config{Connector: n, Group: g, Leader: v.Leader})
}

func newProber(s Settings, c timekeeper.Clock, g *dispatcher.Granter) *prober.Prober {
	return prober.NewProber(prober.Config{Clock: c, Platform: s.Platform, Targets: g.Targets, Report: g.SetHealth})
}

func newResolver(s Settings, v *receiver.Receiver) *resolver.Resolver {
	return resolver.NewResolver(resolver.Config{View: v.View, Region: s.Region})
}

// parts are what run puts into motion.
type parts struct {
	fx.In
	Settings   Settings
	Logger     logger.Logger
	Group      *supervisor.Group
	Connector  *connector.Connector
	Reporter   *reporter.Reporter
	Receiver   *receiver.Receiver
	Owner      *limiter.Owner
	Limiter    *limiter.Limiter
	Granter    *dispatcher.Granter
	Client     *dispatcher.Client
	Dispatcher *dispatcher.Dispatcher
	Shifter    *shifter.Shifter
	Prober     *prober.Prober
	Resolver   *resolver.Resolver
	Handler    *handler.Handler
	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
}

// run opens the listeners, starts the loops and arranges the order of a shutdown.
func run(p parts) error {
	addDumps(p)
	callers, err := open(p, "callers", p.Settings.CallerAddress, callerServer(p), nil)
	if err != nil {
		return err
	}
	peers, err := open(p, "peer", p.Settings.PeerAddress, p.Connector.Server(peerHandler(p)), p.Connector)
	if err != nil {
		return err
	}
	reports, err := open(p, "report", p.Settings.ReportAddress, p.Connector.Server(p.Reporter.Handler()), p.Connector)
	if err != nil {
		return err
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range []*listener.Listener{callers, peers, reports} {
				l.Start()
			}
			p.Group.Go("receiver", p.Receiver.Run)
			p.Group.Go("granter", p.Granter.Run)
			p.Group.Go("limiter", p.Limiter.Run)
			p.Group.Go("permits", p.Client.Run)
			p.Group.Go("prober", p.Prober.Run)
			p.Group.Go("shifter", p.Shifter.Run)
			p.Logger.Log(logger.ProcessStarted, logger.F("callers", callers.Address()))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Logger.Log(logger.ProcessStopping)
			leave(p)
			err := callers.StopWithin(p.Settings.Drain)
			_ = peers.StopWithin(peerDrain) // other entries ask again elsewhere
			p.Group.Stop()
			_ = reports.StopWithin(peerDrain)
			p.Logger.Log(logger.ProcessStopped)
			return err
		},
	})
	return nil
}

const (
	// peerDrain bounds the wait for calls of other entries.
	peerDrain = time.Second
	// leaveWait bounds the wait for control to take this entry out of the look-ups.
	leaveWait  = 2 * time.Second
	leaveCheck = 20 * time.Millisecond
)

// leave takes this entry out of the look-ups and serves on until answers that callers
// have kept run out.
func leave(p parts) {
	p.Receiver.Leave()
	for end := time.Now().Add(leaveWait); !p.Receiver.Left() && time.Now().Before(end); {
		time.Sleep(leaveCheck)
	}
	if c := p.Receiver.View().Configuration; c != nil {
		time.Sleep(c.Limits.LookupLifetime)
	}
}

func callerServer(p parts) *http.Server {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	m.Handle(LookupPath, p.Resolver).Methods(http.MethodGet)
	m.PathPrefix("/").Handler(p.Handler)
	return &http.Server{
		Handler:           m,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerHeaderBytes,
	}
}

func peerHandler(p parts) http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewLimitServiceHandler(p.Limiter))
	m.Handle(wireconnect.NewPermitServiceHandler(p.Dispatcher))
	return m
}

func open(p parts, name, address string, s *http.Server, c *connector.Connector) (*listener.Listener, error) {
	return listener.NewListener(listener.Config{
		Name: name, Address: address, Server: s, Connector: c, Logger: p.Logger,
		Failed: func(error) { _ = p.Shutdowner.Shutdown(fx.ExitCode(1)) },
	})
}

func addDumps(p parts) {
	p.Reporter.Add("settings", func() any { return p.Settings })
	p.Reporter.Add("view", func() any { return dumpView(p.Receiver) })
	p.Reporter.Add("buckets", p.Owner.Dump)
	p.Reporter.Add("pools", p.Granter.Dump)
	p.Reporter.Add("moves", p.Shifter.Dump)
	p.Reporter.SetHealth(p.Receiver.Healthy)
}
