// Package control composes the control process, which stores the state of a deployment in a
// replicated log. It serves the operators, tracks the entries and assigns roles to them.
package control

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/control/accountant"
	"github.com/filberthoist/filberthoist/control/administrator"
	"github.com/filberthoist/filberthoist/control/allocator"
	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/apportioner"
	"github.com/filberthoist/filberthoist/control/collector"
	"github.com/filberthoist/filberthoist/control/coordinator"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/founder"
	"github.com/filberthoist/filberthoist/control/lender"
	"github.com/filberthoist/filberthoist/control/messenger"
	"github.com/filberthoist/filberthoist/control/mover"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/registrar"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/control/surveyor"
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
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Extensions are the extension points for builds for other platforms. The zero value is the standard
// build.
type Extensions struct {
	// ListTargets reads the platform's list of targets and counts the items that could not be used.
	// nil means that the platform has no list.
	ListTargets func(ctx context.Context) (targets []surveyor.Target, skipped int, err error)
	// SendReport sends the report of one window to the platform and returns the status of the response.
	// nil means that the platform takes no reports.
	SendReport func(ctx context.Context, r accountant.Report) (status int, err error)
	// ReadExtraSections reads the platform's own sections of the settings when the settings are
	// reloaded, so that they are not reported as unknown.
	ReadExtraSections func(starter.Source)
	// Listeners returns the configurations of additional listeners for operators.
	Listeners func(a *administrator.Administrator, l logger.Logger, r *reserver.Reserver) []listener.Config
}

const (
	// stopTimeout limits a graceful stop.
	stopTimeout = 10 * time.Second
	// maxCallBytes bounds an operator's call.
	maxCallBytes = 32 << 20
	// drainTimeout limits the wait for calls in progress. It exceeds timekeeper.PollHold, for which
	// entries ask control to hold a poll.
	drainTimeout = 2 * time.Second
	// closeTimeout limits the wait for each listener once calls have ended.
	closeTimeout = 500 * time.Millisecond
)

// New composes a control process from its settings and extensions.
func New(s Settings, x Extensions) starter.Program {
	var l logger.Logger
	var f *founder.Founder
	app := fx.New(
		fx.Populate(&l, &f),
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(s, x, s.Limits),
		fx.Provide(
			starter.NewQueue,
			newLogger,
			newReporter,
			starter.NewReserver,
			starter.NewSeats,
			starter.NewGroup,
			timekeeper.NewClock,
			asserter.NewAsserter,
			newConnector,
			newRecorder,
			newState,
			newMessenger,
			newSequencer,
			newSurveyor,
			newApportionerRef,
			newLender,
			newApportioner,
			newAllocator,
			newCollector,
			newAccountant,
			newDistributor,
			newCoordinator,
			newMover,
			newAdministrator,
			newRegistrar,
			newFounder,
			newDrainer,
		),
		fx.Invoke(run),
	)
	return starter.Program{
		App: app, Logger: func() logger.Logger { return l },
		ReadExtraSections: x.ReadExtraSections,
		Reload: func(r starter.Source) error {
			n, err := ReadSettings(r)
			if err == nil {
				f.SetFounders(n.Founders)
			}
			return err
		},
	}
}

func newLogger(s Settings, q *logger.Queue) logger.Logger {
	return starter.NewLogger(s.Name, s.LogLevel, q)
}

func newReporter(s Settings, l fx.Lifecycle) *reporter.Reporter {
	return starter.NewReporter("control", s.Name, l)
}

func newConnector(s Settings) (*connector.Connector, error) {
	return connector.NewConnector(s.TLS)
}

func newRecorder(s Settings, l fx.Lifecycle) (*recorder.Recorder, error) {
	r, err := recorder.NewRecorder(recorder.Config{Folder: s.Folder, Disk: recorder.NewDisk()})
	if err != nil {
		return nil, err
	}
	l.Append(fx.StopHook(r.Close))
	return r, nil
}

// sequencerRef breaks the dependency cycle between the messenger and the sequencer.
type sequencerRef struct {
	value *sequencer.Sequencer
}

func newMessenger(s Settings, l logger.Logger, c *connector.Connector, g *supervisor.Group) (*messenger.Messenger, *sequencerRef) {
	ref := &sequencerRef{}
	m := messenger.NewMessenger(messenger.Config{
		Name: s.Name, Address: s.Advertised, Logger: l, Connector: c, Group: g,
		Sequencer: func() *sequencer.Sequencer { return ref.value },
	})
	return m, ref
}

func newSequencer(e Settings, c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, r *reporter.Reporter,
	d *recorder.Recorder, t *applier.State, m *messenger.Messenger, ref *sequencerRef,
) (*sequencer.Sequencer, error) {
	s, err := sequencer.NewSequencer(sequencer.Config{
		Clock: c, Logger: l, Assert: a, Scope: r.Scope, Recorder: d, State: t,
		Send: m.Send, Random: rand.Int64N,
		ElectionTimeout: e.Replication.ElectionTimeout, Heartbeat: e.Replication.Heartbeat, MinCopies: e.Replication.ToleratedLosses + 1,
	})
	ref.value = s
	return s, err
}

func newState(s Settings, a *asserter.Asserter) *applier.State {
	t := applier.NewState(a)
	t.SetZones(s.Zones)
	return t
}

func newSurveyor(s Settings, x Extensions, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, q *sequencer.Sequencer) *surveyor.Surveyor {
	return surveyor.NewSurveyor(surveyor.Config{
		Clock: c, Logger: l, Scope: r.Scope, Sequencer: q, ListTargets: x.ListTargets, Interval: s.ListInterval,
	})
}

// newApportioner returns nil if roles are assigned, since owner entries then hold the rates of
// teams.
func newApportioner(s Settings, c timekeeper.Clock, o logger.Logger, t *applier.State, l *lender.Lender, d *apportionerRef) *apportioner.Apportioner {
	if s.Roles {
		return nil
	}
	d.value = apportioner.NewApportioner(apportioner.Config{Clock: c, Logger: o, Entries: t.Entries, SilentEntries: t.SilentEntries, Lends: l.Lends})
	return d.value
}

// apportionerRef breaks the dependency cycle between the apportioner and the lender, which divide
// each team's rate between shares and loans.
type apportionerRef struct {
	value *apportioner.Apportioner
}

func newApportionerRef() *apportionerRef {
	return &apportionerRef{}
}

func (d *apportionerRef) fractionInUse(term uint64, since time.Duration, team string, lentFor time.Duration) float64 {
	if d.value == nil {
		return 1 // nothing is lent until the apportioner exists
	}
	return d.value.FractionInUse(term, since, team, lentFor)
}

// newLender returns nil if roles are assigned, since owner entries then hold the rates of teams.
func newLender(s Settings, c timekeeper.Clock, l logger.Logger, t *applier.State, d *apportionerRef) *lender.Lender {
	if s.Roles {
		return nil
	}
	lastError := ""
	return lender.NewLender(lender.Config{
		Clock: c, Entries: func() int { return len(t.Entries()) }, FractionInUse: d.fractionInUse,
		Teams: func() map[string]*parser.Team {
			n, err := t.Configuration()
			if err != nil && err.Error() != lastError { // a repeated error is logged only once
				lastError = err.Error()
				l.Log(logger.ConfigurationBad, logger.F("error", err))
			}
			if n == nil {
				return nil
			}
			return n.Teams
		},
	})
}

func newDistributor(c timekeeper.Clock, s *sequencer.Sequencer, t *applier.State, v *surveyor.Surveyor,
	a *apportioner.Apportioner, o *allocator.Allocator, n *lender.Lender, u *collector.Collector,
) *distributor.Distributor {
	return distributor.NewDistributor(distributor.Config{
		Clock: c, Sequencer: s, State: t, Surveyor: v, Apportioner: a, Allocator: o, Lender: n, Collector: u,
	})
}

// newAllocator returns nil if roles are assigned, since dispatchers then pick the targets.
func newAllocator(s Settings, c timekeeper.Clock, t *applier.State, v *surveyor.Surveyor) *allocator.Allocator {
	if s.Roles {
		return nil
	}
	return allocator.NewAllocator(allocator.Config{
		Clock: c,
		Slots: func() map[string]map[string]float64 { return slotsByRegion(v.Slots(), s.Zones, t.EvacuatedZones()) },
		Configuration: func() *parser.Configuration {
			n, _ := t.Configuration() // newLender logs the error
			return n
		},
	})
}

// slotsByRegion adds up the slots of each service by region. It leaves out availability zones that
// are being evacuated.
func slotsByRegion(byZone map[string]map[string]float64, zones map[string]string, evacuated []string) map[string]map[string]float64 {
	out := map[string]map[string]float64{}
	for service, slots := range byZone {
		out[service] = map[string]float64{}
		for zone, n := range slots {
			if !slices.Contains(evacuated, zone) {
				out[service][zones[zone]] += n
			}
		}
	}
	return out
}

func newFounder(s Settings, l logger.Logger, n *connector.Connector, q *sequencer.Sequencer, a *administrator.Administrator) *founder.Founder {
	return founder.NewFounder(founder.Config{
		Name: s.Name, Address: s.Advertised, Founders: s.Founders, FirstStart: s.First, Logger: l, Connector: n, Sequencer: q,
		Bootstrap: func(ctx context.Context) error {
			_, err := a.Bootstrap(ctx, nil)
			return err
		},
	})
}

func newRegistrar(s *sequencer.Sequencer) *registrar.Registrar {
	return registrar.NewRegistrar(registrar.Config{Sequencer: s})
}

func newCoordinator(e Settings, c timekeeper.Clock, l logger.Logger, s *sequencer.Sequencer, t *applier.State, d *distributor.Distributor) *coordinator.Coordinator {
	return coordinator.NewCoordinator(coordinator.Config{Clock: c, Logger: l, Sequencer: s, State: t, Distributor: d, Propose: s.ProposeIn, Roles: e.Roles})
}

func newAdministrator(s Settings, c timekeeper.Clock, l logger.Logger, n *connector.Connector, q *sequencer.Sequencer,
	t *applier.State, d *distributor.Distributor, m *messenger.Messenger, v *mover.Mover,
) *administrator.Administrator {
	return administrator.NewAdministrator(administrator.Config{
		Name: s.Name, PeerAddress: s.Advertised, Peers: s.Peers, Clock: c, Logger: l, Connector: n,
		Sequencer: q, State: t, Distributor: d, Messenger: m, Moves: v.Status, SettledMoves: v.SettledStatus,
		Zones: s.Zones, Voters: 2*s.Replication.ToleratedLosses + 1,
	})
}

func newMover(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, s *sequencer.Sequencer, t *applier.State, d *distributor.Distributor) *mover.Mover {
	return mover.NewMover(mover.Config{
		Logger: l, Assert: a, Sequencer: s, State: t, Callers: d.TermCallers, MostReport: d.MostReport, InForce: d.InForce,
		Now: time.Now, Clock: c,
	})
}

// components are the dependencies of run.
type components struct {
	fx.In
	Settings      Settings
	Logger        logger.Logger
	Group         *supervisor.Group
	Connector     *connector.Connector
	Reporter      *reporter.Reporter
	Sequencer     *sequencer.Sequencer
	Messenger     *messenger.Messenger
	Distributor   *distributor.Distributor
	Registrar     *registrar.Registrar
	Coordinator   *coordinator.Coordinator
	Mover         *mover.Mover
	Accountant    *accountant.Accountant
	Administrator *administrator.Administrator
	State         *applier.State
	Surveyor      *surveyor.Surveyor
	Apportioner   *apportioner.Apportioner
	Lender        *lender.Lender
	Founder       *founder.Founder
	Drainer       *drainer
	Reserver      *reserver.Reserver
	Seats         *reserver.Seats
	Extensions    Extensions
	Lifecycle     fx.Lifecycle
	Shutdowner    fx.Shutdowner
}

// run opens the listeners and starts the loops.
func run(p components) error {
	addDumps(p)
	listeners, err := openListeners(p)
	if err != nil {
		return err
	}
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range listeners {
				l.Start()
			}
			p.Group.Go("sequencer", p.Sequencer.Run)
			p.Group.Go("coordinator", p.Coordinator.Run)
			p.Group.Go("mover", p.Mover.Run)
			p.Group.Go("surveyor", p.Surveyor.Run)
			if p.Accountant != nil {
				p.Group.Go("accountant", p.Accountant.Run)
			}
			if len(p.Settings.Founders) > 0 {
				p.Group.Go("founder", p.Founder.Run)
			}
			p.Logger.Log(logger.ProcessStarted, logger.F("peer", p.Settings.PeerAddress), logger.F("incarnation", p.Sequencer.View().ID))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Logger.Log(logger.ProcessStopping)
			p.Drainer.drain()
			for _, l := range listeners {
				_ = l.StopWithin(closeTimeout) // callers can try another member
			}
			p.Group.Stop()
			p.Logger.Log(logger.ProcessStopped)
			return nil
		},
	})
	return nil
}

func openListeners(p components) ([]*listener.Listener, error) {
	peer := http.NewServeMux()
	peer.Handle(wireconnect.NewReplicationServiceHandler(p.Messenger))
	peer.Handle("/", p.Drainer.wrap(newMux(p)))
	operators := http.NewServeMux()
	operators.Handle(wireconnect.NewAdministrationServiceHandler(administrator.NewOperatorHandler(p.Administrator), connect.WithReadMaxBytes(maxCallBytes)))
	var out []*listener.Listener
	configs := []listener.Config{
		{Name: "peer", Address: p.Settings.PeerAddress, Server: p.Connector.Server(peer)},
		{Name: "administration", Address: p.Settings.AdministrationAddress,
			Server: p.Connector.Server(p.Drainer.wrap(administrator.Authenticate(p.Settings.Operators, operators))), Seats: p.Seats},
		{Name: "report", Address: p.Settings.ReportAddress, Server: p.Connector.Server(p.Reporter.Handler()), Seats: p.Seats},
	}
	if p.Extensions.Listeners != nil {
		for _, c := range p.Extensions.Listeners(p.Administrator, p.Logger, p.Reserver) {
			c.Seats = p.Seats
			c.Server.Handler = p.Drainer.wrap(c.Server.Handler)
			configs = append(configs, c)
		}
	}
	for _, c := range configs {
		c.Connector, c.Logger = p.Connector, p.Logger
		c.Failed = func(error) { _ = p.Shutdowner.Shutdown(fx.ExitCode(1)) }
		l, err := listener.NewListener(c)
		if err != nil {
			return nil, err
		}
		out = append(out, l)
	}
	return out, nil
}

// newMux serves entries, and the calls that other members forward.
func newMux(p components) *http.ServeMux {
	m := http.NewServeMux()
	// The distributor compresses responses itself, since many entries share them.
	m.Handle(wireconnect.NewDistributionServiceHandler(p.Distributor, connect.WithCompressMinBytes(math.MaxInt)))
	m.Handle(wireconnect.NewOutcomeServiceHandler(p.Registrar))
	m.Handle(wireconnect.NewAdministrationServiceHandler(p.Administrator))
	return m
}

func addDumps(p components) {
	p.Reporter.Add("settings", func() any { return p.Settings.Public() })
	p.Reporter.Add("log", func() any { return p.Sequencer.View() })
	p.Reporter.Add("entries", func() any { return p.State.Entries() })
	p.Reporter.Add("roles", func() any { return p.State.Roles() })
	p.Reporter.Add("revision", func() any { return p.State.Head() })
	if p.Apportioner != nil {
		p.Reporter.Add("shares", p.Apportioner.Dump)
		p.Reporter.Add("loans", p.Lender.Dump)
	}
	if p.Accountant != nil {
		p.Reporter.Add("usage", p.Accountant.Dump)
	}
	p.Reporter.SetHealth(p.Sequencer.CheckHealth)
}
