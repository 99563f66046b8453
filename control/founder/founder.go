// Package founder adds a control member to the quorum without an operator: one of the first
// members bootstraps the quorum once, and every other member asks to join it.
package founder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Timing of the founder.
const (
	// joinInterval is the pause between attempts to bootstrap or join while this member is outside
	// the quorum.
	joinInterval = 200 * time.Millisecond
	// checkInterval is the pause between checks while it is inside.
	checkInterval    = time.Second
	joinTimeout      = time.Second
	bootstrapTimeout = 5 * time.Second
)

// Config configures a Founder.
type Config struct {
	Name    string
	Address string
	// Founders are the peer addresses of the first members.
	Founders []string
	// FirstStart is set if the deployment starts for the first time.
	FirstStart bool
	Logger     logger.Logger
	Connector  *connector.Connector
	Sequencer  *sequencer.Sequencer
	// Bootstrap creates the first membership, of this member and the other founders.
	Bootstrap func(ctx context.Context) error
}

// Founder makes its member bootstrap or join the quorum whenever it is outside.
type Founder struct {
	mutex  sync.Mutex
	config Config
	client *http.Client
	// joinAttempts selects the address of the next join request.
	joinAttempts int
	// loggedError is the last error logged.
	loggedError string
}

// NewFounder returns a Founder.
func NewFounder(c Config) *Founder {
	return &Founder{config: c, client: c.Connector.Client()}
}

// SetFounders replaces the peer addresses of the founders.
func (f *Founder) SetFounders(addresses []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.config.Founders = addresses
}

func (f *Founder) founders() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.config.Founders
}

// Run bootstraps or joins the quorum as needed until the context ends.
func (f *Founder) Run(ctx context.Context) error {
	return f.run(ctx)
}

func (f *Founder) run(ctx context.Context) error {
	for {
		pause := checkInterval
		if !f.inQuorum() {
			pause = joinInterval
			f.bootstrapOrJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// inQuorum reports whether a leader is known and the membership includes this member. A member
// that was removed while it was down gets no messages from a leader.
func (f *Founder) inQuorum() bool {
	v := f.config.Sequencer.View()
	return v.LeaderID != 0 && slices.ContainsFunc(v.Members.GetMembers(), func(m *wire.ControlMember) bool { return m.GetId() == v.ID })
}

func (f *Founder) bootstrapOrJoin(ctx context.Context) {
	v := f.config.Sequencer.View()
	if f.config.FirstStart && !v.Bootstrapped() && f.isBootstrapMember() {
		ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		defer cancel()
		f.logFailure(f.config.Bootstrap(ctx))
		return
	}
	f.logFailure(f.join(ctx, v))
}

// isBootstrapMember reports whether this member bootstraps the quorum: the founder with the lowest
// address. No other founder may, since two memberships could each reach a majority of their own.
func (f *Founder) isBootstrapMember() bool {
	list := f.founders()
	return len(list) > 0 && slices.Min(list) == f.config.Address
}

// join asks one of the known addresses to add this member, each call the next one in turn.
func (f *Founder) join(ctx context.Context, v *sequencer.View) error {
	list := slices.Clone(f.founders())
	for _, m := range v.Members.GetMembers() {
		list = append(list, m.GetAddress())
	}
	list = slices.DeleteFunc(list, func(a string) bool { return a == f.config.Address })
	if len(list) == 0 {
		return nil
	}
	f.joinAttempts++
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	c := wireconnect.NewAdministrationServiceClient(f.client, f.config.Connector.URL(list[f.joinAttempts%len(list)]))
	_, err := c.Join(ctx, connect.NewRequest(&wire.JoinRequest{
		Member: &wire.ControlMember{Id: v.ID, Name: f.config.Name, Address: f.config.Address},
	}))
	return err
}

// logFailure logs why this member is outside the quorum, unless it repeats the last error logged.
func (f *Founder) logFailure(err error) {
	if err == nil || err.Error() == f.loggedError {
		return
	}
	f.loggedError = err.Error()
	f.config.Logger.Log(logger.OutsideQuorum, logger.F("error", err))
}
