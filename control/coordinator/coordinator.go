// Package coordinator maintains the list of entries. If entries hold roles, it assigns each role to
// one entry at a time, under an epoch, so that no two entries ever act in it.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Intervals, timeouts and bounds of the coordinator.
const (
	planInterval   = 50 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// maxProposals bounds the concurrent proposals. Each takes a round trip between control
	// members, and many entries may join at once.
	maxProposals = 32
)

// Config configures a Coordinator.
type Config struct {
	Clock       timekeeper.Clock
	Logger      logger.Logger
	Sequencer   *sequencer.Sequencer
	State       *applier.State
	Distributor *distributor.Distributor
	// Propose proposes a command if this member leads in a term. After sequencer.ErrUnknown it may yet take effect.
	Propose func(ctx context.Context, term uint64, c *wire.Command) (applier.Result, error)
	// Roles is true if entries hold roles: owners of token buckets and dispatchers of pools.
	Roles bool
}

// Coordinator assigns roles and updates the list of entries while its control member is the leader.
type Coordinator struct {
	config   Config
	compiled *parser.Configuration
	required []RequiredRole
	// unsettled is set while a proposed command may yet take effect.
	unsettled atomic.Bool
}

// NewCoordinator returns a Coordinator.
func NewCoordinator(c Config) *Coordinator {
	return &Coordinator{config: c}
}

// Run plans and proposes commands every planInterval until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	return c.run(ctx)
}

func (c *Coordinator) run(ctx context.Context) error {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		v := c.config.Sequencer.View()
		if !v.Serving() {
			continue
		}
		c.round(ctx, v)
	}
}

// round plans and proposes commands. If the outcome of an earlier one is unknown, the plan waits until the state
// tells: a command that is given twice, such as a removal, may mean something else the second time.
func (c *Coordinator) round(ctx context.Context, v *sequencer.View) {
	if c.unsettled.Load() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := c.config.Propose(ctx, v.Term, &wire.Command{}); err != nil {
			return
		}
		c.unsettled.Store(false)
	}
	commands := Plan(c.planInput(v))
	var all sync.WaitGroup
	for _, command := range commands[:min(len(commands), maxProposals)] {
		p := proposal{coordinator: c, term: v.Term, command: command, done: &all}
		all.Add(1)
		go p.run(ctx)
	}
	all.Wait() // the next round plans what is left, from the state at that time
}

// planInput collects the input of a plan.
func (c *Coordinator) planInput(v *sequencer.View) PlanInput {
	return PlanInput{
		LeaderSince:   v.LeaderSince,
		Entries:       c.config.State.Entries(),
		SilentEntries: c.config.State.SilentEntries(),
		Roles:         c.config.State.Roles(),
		Callers:       c.config.Distributor.Callers(),
		Required:      c.requiredRoles(),
		// Read last, so that no caller in the view has polled after it.
		Now: c.config.Clock.Now(),
	}
}

// requiredRoles returns the roles that the text in force requires. It lists them again only if the
// text has changed, and returns the previous ones if the text does not compile.
func (c *Coordinator) requiredRoles() []RequiredRole {
	if !c.config.Roles {
		return nil
	}
	compiled, err := c.config.State.Configuration()
	if err != nil {
		c.config.Logger.Log(logger.ConfigurationBad, logger.F("error", err))
		return c.required
	}
	if compiled == nil || compiled == c.compiled {
		return c.required
	}
	c.compiled, c.required = compiled, RequiredRoles(compiled)
	return c.required
}

// proposal proposes one command of a plan in the term of the plan.
type proposal struct {
	coordinator *Coordinator
	term        uint64
	command     *wire.Command
	done        *sync.WaitGroup
}

func (p proposal) run(ctx context.Context) {
	defer p.done.Done()
	p.coordinator.propose(ctx, p.term, p.command)
}

// propose proposes a command and logs what it changed.
func (c *Coordinator) propose(ctx context.Context, term uint64, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	before := c.config.State.Entries()
	r, err := c.config.Propose(ctx, term, command)
	if err != nil && !errors.Is(err, sequencer.ErrNotLeader) {
		c.unsettled.Store(true)
	}
	if err != nil || !r.Done {
		return // the next round plans from the state at that time
	}
	switch k := command.GetKind().(type) {
	case *wire.Command_PutEntry:
		c.logMember(before[k.PutEntry.GetMember().GetName()], k.PutEntry.GetMember())
	case *wire.Command_RemoveEntry:
		if c.config.State.SilentEntries()[k.RemoveEntry.GetName()] != nil { // the first removal; that of the silent record is not logged
			c.config.Logger.Log(logger.EntryRemoved, logger.F("entry", k.RemoveEntry.GetName()))
		}
	case *wire.Command_AssignRole:
		a := k.AssignRole.GetRole()
		c.config.Logger.Log(logger.RoleAssigned, logger.F("role", a.GetName()), logger.F("holder", a.GetHolder()),
			logger.F("epoch", a.GetEpoch()), logger.F("vacant", a.GetVacant()))
	}
}

// logMember logs that an entry joined, or only that its state changed from that of old, which is nil
// for a new entry.
func (c *Coordinator) logMember(old, m *wire.EntryMember) {
	if old.GetIncarnation() != m.GetIncarnation() || old.GetState() == m.GetState() {
		c.config.Logger.Log(logger.EntryJoined, logger.F("entry", m.GetName()))
		return
	}
	c.config.Logger.Log(logger.EntryStateChanged, logger.F("entry", m.GetName()), logger.F("state", wire.StateName(m.GetState())))
}
