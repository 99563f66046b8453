// Package founder brings a control member into the quorum without an operator: the first
// members form it once, and all others offer themselves to its leader.
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

// Times of the founder.
const (
	// outsideInterval is the pause between offers while this member is outside the quorum.
	outsideInterval = 200 * time.Millisecond
	// insideInterval is the pause between looks while it is inside.
	insideInterval = time.Second
	joinTimeout    = time.Second
	formTimeout    = 5 * time.Second
)

// Config sets up a Founder.
type Config struct {
	Name    string
	Address string
	// Founders are the peer addresses of the first members.
	Founders []string
	// First tells that the deployment starts for the first time.
	First     bool
	Logger    logger.Logger
	Connector *connector.Connector
	Sequencer *sequencer.Sequencer
	// Form makes the first membership of this member and the other founders.
	Form func(ctx context.Context) error
}

// Founder watches whether its member belongs to the quorum.
type Founder struct {
	mutex  sync.Mutex
	config Config
	client *http.Client
	next   int
	failed string
}

// NewFounder returns a Founder.
func NewFounder(c Config) *Founder {
	return &Founder{config: c, client: c.Connector.Client()}
}

// SetFounders changes the addresses that this member offers itself at.
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

// Run forms or joins as needed, until the context ends.
func (f *Founder) Run(ctx context.Context) error {
	return f.run(ctx)
}

func (f *Founder) run(ctx context.Context) error {
	for {
		pause := insideInterval
		if !f.inside() {
			pause = outsideInterval
			f.enter(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// inside tells whether a leader counts this member in. One that was removed while it was
// down hears of no leader.
func (f *Founder) inside() bool {
	v := f.config.Sequencer.View()
	return v.LeaderID != 0 && slices.ContainsFunc(v.Members.GetMembers(), func(m *wire.ControlMember) bool { return m.GetId() == v.ID })
}

func (f *Founder) enter(ctx context.Context) {
	v := f.config.Sequencer.View()
	if f.config.First && !v.Formed() && f.forms() {
		ctx, cancel := context.WithTimeout(ctx, formTimeout)
		defer cancel()
		f.note(f.config.Form(ctx))
		return
	}
	f.note(f.join(ctx, v))
}

// forms tells whether this member is the one that forms the quorum. Only one may, since two
// memberships could both reach a majority of their own.
func (f *Founder) forms() bool {
	list := f.founders()
	return len(list) > 0 && slices.Min(list) == f.config.Address
}

// join offers this member to one of the addresses that are known, each in its turn.
func (f *Founder) join(ctx context.Context, v *sequencer.View) error {
	list := slices.Clone(f.founders())
	for _, m := range v.Members.GetMembers() {
		list = append(list, m.GetAddress())
	}
	list = slices.DeleteFunc(list, func(a string) bool { return a == f.config.Address })
	if len(list) == 0 {
		return nil
	}
	f.next++
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	c := wireconnect.NewAdministrationServiceClient(f.client, f.config.Connector.URL(list[f.next%len(list)]))
	_, err := c.Join(ctx, connect.NewRequest(&wire.JoinRequest{
		Member: &wire.ControlMember{Id: v.ID, Name: f.config.Name, Address: f.config.Address},
	}))
	return err
}

// note logs why this member is outside, once for each reason.
func (f *Founder) note(err error) {
	if err == nil || err.Error() == f.failed {
		return
	}
	f.failed = err.Error()
	f.config.Logger.Log(logger.OutsideQuorum, logger.F("error", err))
}
