package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Times of the calls to dispatchers.
const (
	// callTimeout bounds a call beyond the wait that it asks for.
	callTimeout = 300 * time.Millisecond
	reportRetry = 100 * time.Millisecond
	// checkInterval is how often pools are looked through for new dispatchers.
	checkInterval = 100 * time.Millisecond
	reportBatch   = 256
	// longestLatency is the longest that a release can tell.
	longestLatency = time.Hour
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	Clock     timekeeper.Clock
	Connector *connector.Connector
	Group     *supervisor.Group
	Self      *wire.EntryMember
	View      func() *receiver.View
	Changed   func() <-chan struct{}
	// Granter serves the pools that this entry dispatches itself.
	Granter *Granter
}

// Client gets permits from the dispatchers of pools and returns them.
type Client struct {
	config ClientConfig
	client *http.Client
	number atomic.Uint64
	mutex  sync.Mutex
	pools  map[string]*clientPool
}

// Held is a permit in the hands of this entry.
type Held struct {
	Pool    string
	Number  uint64
	Target  string
	Team    string
	Expires time.Duration
	granted time.Duration
}

// clientPool is this entry's side of one pool.
type clientPool struct {
	client *Client
	role   string
	mutex  sync.Mutex
	held   map[uint64]*Held
	// unsent are releases that the dispatcher does not know of yet.
	unsent []*wire.Release
	// toldEpoch is the last epoch whose dispatcher was sent every permit held here; told
	// tells that it answered.
	toldEpoch uint64
	told      bool
	wake      chan struct{}
}

// NewClient returns a Client without permits.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, client: c.Connector.Client(), pools: map[string]*clientPool{}}
}

// Run tells new dispatchers what is held, until the context ends.
func (c *Client) Run(ctx context.Context) error {
	return c.run(ctx)
}

// Acquire asks a pool's dispatcher for a permit and waits up to a bound. It returns nil
// if there is none; refused tells that the dispatcher said so, and not that there was no
// dispatcher to ask.
func (c *Client) Acquire(ctx context.Context, role, team string, wait, run time.Duration, excluded []string) (held *Held, refused bool) {
	v := c.config.View()
	h := v.Roles[role]
	holder := v.Entries[h.GetHolder()]
	if holder == nil || h.GetVacant() || run <= 0 {
		return nil, false
	}
	p := c.pool(role)
	n := c.number.Add(1)
	sent := c.config.Clock.Now()
	// Held before it is granted, so that a new dispatcher is told of it either way.
	held = &Held{Pool: role, Number: n, Team: team, Expires: sent + run + timekeeper.SlotGrace, granted: sent}
	r := &wire.AcquireRequest{
		Pool: role, Epoch: h.GetEpoch(), Entry: c.config.Self.GetName(), Incarnation: c.config.Self.GetIncarnation(),
		Team: team, Permit: n, WaitMilliseconds: milliseconds(wait), RunMilliseconds: milliseconds(run), Excluded: excluded,
	}
	answer, err := c.ask(ctx, holder, r, wait)
	switch {
	case err != nil:
		p.release(&wire.Release{Permit: n}) // it may have been granted
		return nil, false
	case !answer.GetGranted():
		return nil, !answer.GetNotDispatcher()
	}
	held.Target, held.granted = answer.GetTarget(), c.config.Clock.Now()
	if !p.hold(held, h.GetEpoch()) {
		p.release(&wire.Release{Permit: n})
		return nil, false
	}
	return held, false
}

// Release returns a permit with its result.
func (c *Client) Release(h *Held, r Result) {
	p := c.pool(h.Pool)
	p.unhold(h)
	p.release(&wire.Release{
		Permit: h.Number, LatencyMicroseconds: uint32(min(r.Latency, longestLatency) / time.Microsecond), Failed: r.Failed, Leaving: r.Leaving,
	})
}

func (c *Client) run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		changed := c.config.Changed()
		for role := range c.config.View().Roles {
			if isPool(role) {
				c.pool(role).signal()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C:
		}
	}
}

func (c *Client) pool(role string) *clientPool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pools[role]
	if p == nil {
		p = &clientPool{client: c, role: role, held: map[uint64]*Held{}, wake: make(chan struct{}, 1)}
		c.pools[role] = p
		c.config.Group.Go("reports "+role, p.run)
	}
	return p
}

func (c *Client) ask(ctx context.Context, holder *wire.EntryMember, r *wire.AcquireRequest, wait time.Duration) (*wire.AcquireResponse, error) {
	if holder.GetName() == c.config.Self.GetName() {
		return c.config.Granter.Acquire(ctx, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	answer, err := c.remote(holder).Acquire(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (c *Client) remote(holder *wire.EntryMember) wireconnect.PermitServiceClient {
	return wireconnect.NewPermitServiceClient(c.client, c.config.Connector.URL(holder.GetPeerAddress()))
}

// hold keeps a granted permit. It is refused if a later dispatcher was told already
// what this entry holds.
func (p *clientPool) hold(h *Held, epoch uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.toldEpoch > epoch {
		return false
	}
	p.held[h.Number] = h
	return true
}

func (p *clientPool) unhold(h *Held) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.held, h.Number)
}

func (p *clientPool) release(r *wire.Release) {
	p.mutex.Lock()
	p.unsent = append(p.unsent, r)
	p.mutex.Unlock()
	p.signal()
}

func (p *clientPool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *clientPool) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		if p.report(ctx) {
			continue // what came meanwhile has woken this loop again
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportRetry):
			p.signal()
		}
	}
}

// report sends what the dispatcher does not know; false asks for another try later.
func (p *clientPool) report(ctx context.Context) bool {
	c := p.client
	v := c.config.View()
	h := v.Roles[p.role]
	holder := v.Entries[h.GetHolder()]
	if holder == nil || h.GetVacant() {
		return true // the next change of the roles wakes this loop
	}
	r, batch := p.next(h.GetEpoch())
	if r == nil {
		return true
	}
	answer, err := p.send(ctx, holder, r)
	if err != nil || answer.GetNotDispatcher() {
		return false
	}
	p.sent(h.GetEpoch(), batch)
	return true
}

// next returns the report that is due, and how many releases it carries.
func (p *clientPool) next(epoch uint64) (*wire.ReportRequest, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first := p.toldEpoch != epoch || !p.told
	batch := min(len(p.unsent), reportBatch)
	if !first && batch == 0 {
		return nil, 0
	}
	c := p.client
	r := &wire.ReportRequest{
		Pool: p.role, Epoch: epoch, Entry: c.config.Self.GetName(), Incarnation: c.config.Self.GetIncarnation(),
		Releases: p.unsent[:batch:batch], Complete: first,
	}
	if first {
		p.toldEpoch, p.told = epoch, false // from now on no permit of an earlier epoch is taken
		r.Held = p.describe()
	}
	return r, batch
}

func (p *clientPool) describe() []*wire.HeldPermit {
	now := p.client.config.Clock.Now()
	var out []*wire.HeldPermit
	for _, h := range p.held {
		out = append(out, &wire.HeldPermit{
			Permit: h.Number, Target: h.Target, Team: h.Team, LeftMilliseconds: milliseconds(h.Expires - now),
		})
	}
	return out
}

func (p *clientPool) send(ctx context.Context, holder *wire.EntryMember, r *wire.ReportRequest) (*wire.ReportResponse, error) {
	c := p.client
	if holder.GetName() == c.config.Self.GetName() {
		return c.config.Granter.Report(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.remote(holder).Report(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// sent notes that the dispatcher of an epoch took a report.
func (p *clientPool) sent(epoch uint64, batch int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unsent = p.unsent[batch:]
	p.told = p.toldEpoch == epoch
	if len(p.unsent) > 0 || !p.told {
		p.signal()
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d) / time.Millisecond)
}
