// Package control is the program that keeps a deployment's state: the replicated log,
// the operators' interface, the list of entries and the roles they hold.
package control

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/control/administrator"
	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/coordinator"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/messenger"
	"github.com/filberthoist/filberthoist/control/mover"
	"github.com/filberthoist/filberthoist/control/recorder"
	"github.com/filberthoist/filberthoist/control/registrar"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/listener"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/starter"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

const (
	// stopTimeout bounds a graceful stop.
	stopTimeout = 10 * time.Second
	// drainTimeout bounds the wait for calls under way; a poll is held for less.
	drainTimeout = 2 * time.Second
)

// New composes a control process from its settings.
func New(s Settings) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(s),
		fx.Provide(
			newLogger,
			newReporter,
			starter.NewGroup,
			timekeeper.NewClock,
			asserter.NewAsserter,
			newConnector,
			newRecorder,
			applier.NewState,
			newMessenger,
			newSequencer,
			newDistributor,
			newCoordinator,
			newMover,
			newAdministrator,
			newRegistrar,
		),
		fx.Invoke(run),
	)
}

func newLogger(s Settings) logger.Logger {
	return starter.NewLogger(s.Name, s.LogLevel)
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

// sequencerSlot breaks the circle between the messenger and the sequencer.
type sequencerSlot struct {
	value *sequencer.Sequencer
}

func newMessenger(s Settings, l logger.Logger, c *connector.Connector, g *supervisor.Group) (*messenger.Messenger, *sequencerSlot) {
	slot := &sequencerSlot{}
	m := messenger.NewMessenger(messenger.Config{
		Name: s.Name, Address: s.Advertised, Logger: l, Connector: c, Group: g,
		Sequencer: func() *sequencer.Sequencer { return slot.value },
	})
	return m, slot
}

func newSequencer(c timekeeper.Clock, l logger.Logger, a *asserter.Asserter, r *reporter.Reporter,
	d *recorder.Recorder, t *applier.State, m *messenger.Messenger, slot *sequencerSlot,
) (*sequencer.Sequencer, error) {
	s, err := sequencer.NewSequencer(sequencer.Config{
		Clock: c, Logger: l, Assert: a, Scope: r.Scope, Recorder: d, State: t,
		Send: m.Send, Random: rand.Int64N,
	})
	slot.value = s
	return s, err
}

func newDistributor(c timekeeper.Clock, s *sequencer.Sequencer, t *applier.State) *distributor.Distributor {
	return distributor.NewDistributor(distributor.Config{Clock: c, Sequencer: s, State: t})
}

func newRegistrar(s *sequencer.Sequencer) *registrar.Registrar {
	return registrar.NewRegistrar(registrar.Config{Sequencer: s})
}

func newCoordinator(c timekeeper.Clock, l logger.Logger, s *sequencer.Sequencer, t *applier.State, d *distributor.Distributor) *coordinator.Coordinator {
	return coordinator.NewCoordinator(coordinator.Config{Clock: c, Logger: l, Sequencer: s, State: t, Distributor: d})
}

func newAdministrator(s Settings, c timekeeper.Clock, l logger.Logger, n *connector.Connector, q *sequencer.Sequencer,
	t *applier.State, d *distributor.Distributor, m *messenger.Messenger, v *mover.Mover,
) *administrator.Administrator {
	return administrator.NewAdministrator(administrator.Config{
		Name: s.Name, PeerAddress: s.Advertised, Peers: s.Peers, Clock: c, Logger: l, Connector: n,
		Sequencer: q, State: t, Distributor: d, Messenger: m, Moves: v.Status,
	})
}

func newMover(l logger.Logger, a *asserter.Asserter, s *sequencer.Sequencer, t *applier.State, d *distributor.Distributor) *mover.Mover {
	return mover.NewMover(mover.Config{Logger: l, Assert: a, Sequencer: s, State: t, Distributor: d, Now: time.Now})
}

// parts are what run puts into motion.
type parts struct {
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
	Administrator *administrator.Administrator
	State         *applier.State
	Lifecycle     fx.Lifecycle
	Shutdowner    fx.Shutdowner
}

// run opens the listeners and starts the loops.
func run(p parts) error {
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
			p.Logger.Log(logger.ProcessStarted, logger.F("peer", p.Settings.PeerAddress), logger.F("incarnation", p.Sequencer.View().ID))
			return nil
		},
		OnStop: func(context.Context) error {
			p.Logger.Log(logger.ProcessStopping)
			for _, l := range listeners {
				_ = l.StopWithin(drainTimeout) // callers ask another member
			}
			p.Group.Stop()
			p.Logger.Log(logger.ProcessStopped)
			return nil
		},
	})
	return nil
}

func openListeners(p parts) ([]*listener.Listener, error) {
	peer := http.NewServeMux()
	peer.Handle(wireconnect.NewReplicationServiceHandler(p.Messenger))
	peer.Handle(wireconnect.NewDistributionServiceHandler(p.Distributor))
	peer.Handle(wireconnect.NewOutcomeServiceHandler(p.Registrar))
	peer.Handle(wireconnect.NewAdministrationServiceHandler(p.Administrator))
	operators := http.NewServeMux()
	operators.Handle(wireconnect.NewAdministrationServiceHandler(administrator.Direct(p.Administrator)))
	var out []*listener.Listener
	for _, c := range []listener.Config{
		{Name: "peer", Address: p.Settings.PeerAddress, Server: p.Connector.Server(peer)},
		{Name: "administration", Address: p.Settings.AdministrationAddress,
			Server: p.Connector.Server(administrator.Guard(p.Settings.Operators, operators))},
		{Name: "report", Address: p.Settings.ReportAddress, Server: p.Connector.Server(p.Reporter.Handler())},
	} {
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

func addDumps(p parts) {
	p.Reporter.Add("settings", func() any { return p.Settings.Public() })
	p.Reporter.Add("log", func() any { return p.Sequencer.View() })
	p.Reporter.Add("entries", func() any { return p.State.Entries() })
	p.Reporter.Add("roles", func() any { return p.State.Roles() })
	p.Reporter.Add("revision", func() any { return p.State.Head() })
	p.Reporter.SetHealth(p.Sequencer.Healthy)
}
