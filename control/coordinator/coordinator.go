// Package coordinator keeps the list of entries, and gives each role to one entry under
// an epoch, never to two that can both act.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Times of the coordinator.
const (
	planInterval   = 50 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// mostProposals bounds the proposals that are under way together. Each takes a round trip
	// between control members, and many entries join at once.
	mostProposals = 32
)

// Config sets up a Coordinator.
type Config struct {
	Clock       timekeeper.Clock
	Logger      logger.Logger
	Sequencer   *sequencer.Sequencer
	State       *applier.State
	Distributor *distributor.Distributor
	// Roles tells that entries hold roles: owners of accounts and dispatchers of pools.
	Roles bool
}

// Coordinator acts while its control member leads.
type Coordinator struct {
	config   Config
	compiled *parser.Configuration
	wanted   []WantedRole
}

// NewCoordinator returns a Coordinator.
func NewCoordinator(c Config) *Coordinator {
	return &Coordinator{config: c}
}

// Run plans again and again until the context ends.
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
		commands := Plan(c.picture(v))
		var all sync.WaitGroup
		for _, command := range commands[:min(len(commands), mostProposals)] {
			p := proposal{owner: c, command: command, done: &all}
			all.Add(1)
			go p.run(ctx)
		}
		all.Wait() // the rest is planned again from the state as it is then
	}
}

func (c *Coordinator) picture(v *sequencer.View) Picture {
	return Picture{
		LeaderSince: v.LeaderSince,
		Entries:     c.config.State.Entries(),
		Silent:      c.config.State.Silent(),
		Roles:       c.config.State.Roles(),
		Callers:     c.config.Distributor.Callers(),
		Wanted:      c.wantedRoles(),
		// Read last, so that no silence is counted too long.
		Now: c.config.Clock.Now(),
	}
}

// wantedRoles compiles the text in force again only if it changed.
func (c *Coordinator) wantedRoles() []WantedRole {
	if !c.config.Roles {
		return nil
	}
	compiled, err := c.config.State.Configuration()
	if err != nil {
		c.config.Logger.Log(logger.ConfigurationBad, logger.F("error", err))
		return c.wanted
	}
	if compiled == nil || compiled == c.compiled {
		return c.wanted
	}
	c.compiled, c.wanted = compiled, Wanted(compiled)
	return c.wanted
}

// proposal is a command of a plan on its way.
type proposal struct {
	owner   *Coordinator
	command *wire.Command
	done    *sync.WaitGroup
}

func (p proposal) run(ctx context.Context) {
	defer p.done.Done()
	p.owner.propose(ctx, p.command)
}

func (c *Coordinator) propose(ctx context.Context, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := c.config.Sequencer.Propose(ctx, command)
	if err != nil || !r.Done {
		return // planned again from the state as it is then
	}
	switch k := command.GetKind().(type) {
	case *wire.Command_PutEntry:
		c.config.Logger.Log(logger.EntryJoined, logger.F("entry", k.PutEntry.GetMember().GetName()))
	case *wire.Command_RemoveEntry:
		if c.config.State.Silent()[k.RemoveEntry.GetName()] != nil { // the first of its two removals
			c.config.Logger.Log(logger.EntryRemoved, logger.F("entry", k.RemoveEntry.GetName()))
		}
	case *wire.Command_AssignRole:
		a := k.AssignRole.GetRole()
		c.config.Logger.Log(logger.RoleAssigned, logger.F("role", a.GetName()), logger.F("holder", a.GetHolder()),
			logger.F("epoch", a.GetEpoch()), logger.F("vacant", a.GetVacant()))
	}
}
