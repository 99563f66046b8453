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

// Timeouts, intervals and limits of the calls to dispatchers.
const (
	// callTimeout is the time allowed for a call on top of the wait that it requests.
	callTimeout      = 300 * time.Millisecond
	reportRetryDelay = 100 * time.Millisecond
	// roleCheckInterval is how often all pools are checked for a new dispatcher.
	roleCheckInterval    = 100 * time.Millisecond
	maxReleasesPerReport = 256
	// maxReportedLatency caps a release's latency, which has 32 bits for microseconds.
	maxReportedLatency = time.Hour
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Clock       timekeeper.Clock
	Connector   *connector.Connector
	Group       *supervisor.Group
	Self        *wire.EntryMember
	View        func() *receiver.View
	ViewChanged func() <-chan struct{}
	// Granter serves the pools whose dispatcher is this entry.
	Granter *Granter
}

// Client acquires permits from the dispatchers of the pools and releases them.
type Client struct {
	config ClientConfig
	client *http.Client
	number atomic.Uint64
	mutex  sync.Mutex
	pools  map[string]*clientPool
}

// HeldPermit is a permit that was granted to this entry and is not yet released.
type HeldPermit struct {
	Pool    string
	Number  uint64
	Target  string
	Team    string
	Expires time.Duration
	granted time.Duration
}

// clientPool is the client side of one pool: the permits held and the releases to report.
type clientPool struct {
	client *Client
	role   string
	mutex  sync.Mutex
	held   map[uint64]*HeldPermit
	// pendingReleases are the releases that no dispatcher has acknowledged yet.
	pendingReleases []*wire.Release
	// reportedEpoch is the last epoch to whose dispatcher a complete list of the held permits
	// was sent; reportAcknowledged is set once that dispatcher has answered.
	reportedEpoch      uint64
	reportAcknowledged bool
	wake               chan struct{}
}

// NewClient returns a Client that holds no permits.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, client: c.Connector.Client(), pools: map[string]*clientPool{}}
}

// Run reports the held permits to each new dispatcher until the context ends.
func (c *Client) Run(ctx context.Context) error {
	return c.run(ctx)
}

// Acquire requests a permit from the dispatcher of a pool and waits for it at most wait.
// The permit may be held for run. held is nil if none was granted; refused is true if the
// dispatcher refused, and false if no dispatcher could be asked.
func (c *Client) Acquire(ctx context.Context, role, team string, wait, run time.Duration, excluded []string) (held *HeldPermit, refused bool) {
	v := c.config.View()
	h := v.Roles[role]
	holder := v.Entries[h.GetHolder()]
	if holder == nil || h.GetVacant() || run <= 0 {
		return nil, false
	}
	p := c.pool(role)
	n := c.number.Add(1)
	sent := c.config.Clock.Now()
	// The expiry counts from before the call; the dispatcher counts it from the grant, which is
	// later.
	held = &HeldPermit{Pool: role, Number: n, Team: team, Expires: sent + run + timekeeper.SlotGrace, granted: sent}
	r := &wire.AcquireRequest{
		Pool: role, Epoch: h.GetEpoch(), Entry: c.config.Self.GetName(), Incarnation: c.config.Self.GetIncarnation(),
		Team: team, Permit: n, WaitMilliseconds: milliseconds(wait), RunMilliseconds: milliseconds(run), Excluded: excluded,
	}
	answer, err := c.requestPermit(ctx, holder, r, wait)
	switch {
	case err != nil:
		p.release(&wire.Release{Permit: n}) // the dispatcher may have granted it
		return nil, false
	case !answer.GetGranted():
		return nil, !answer.GetNotDispatcher()
	}
	held.Target, held.granted = answer.GetTarget(), c.config.Clock.Now()
	if !p.addHeld(held, h.GetEpoch()) {
		p.release(&wire.Release{Permit: n})
		return nil, false
	}
	return held, false
}

// Release returns a permit, with the result of its request.
func (c *Client) Release(h *HeldPermit, r Result) {
	p := c.pool(h.Pool)
	p.removeHeld(h)
	p.release(&wire.Release{
		Permit: h.Number, LatencyMicroseconds: uint32(min(r.Latency, maxReportedLatency) / time.Microsecond), Failed: r.Failed, Leaving: r.Leaving,
	})
}

func (c *Client) run(ctx context.Context) error {
	t := time.NewTicker(roleCheckInterval)
	defer t.Stop()
	for {
		changed := c.config.ViewChanged()
		for role := range c.config.View().Roles {
			if isPoolRole(role) {
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
		p = &clientPool{client: c, role: role, held: map[uint64]*HeldPermit{}, wake: make(chan struct{}, 1)}
		c.pools[role] = p
		c.config.Group.Go("reports "+role, p.run)
	}
	return p
}

func (c *Client) requestPermit(ctx context.Context, holder *wire.EntryMember, r *wire.AcquireRequest, wait time.Duration) (*wire.AcquireResponse, error) {
	if holder.GetName() == c.config.Self.GetName() {
		return c.config.Granter.Acquire(ctx, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	answer, err := c.permitClient(holder).Acquire(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (c *Client) permitClient(holder *wire.EntryMember) wireconnect.PermitServiceClient {
	return wireconnect.NewPermitServiceClient(c.client, c.config.Connector.URL(holder.GetPeerAddress()))
}

// addHeld records a granted permit. It returns false if the dispatcher of a later epoch was
// already sent the list of held permits, which lacks this one.
func (p *clientPool) addHeld(h *HeldPermit, epoch uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reportedEpoch > epoch {
		return false
	}
	p.held[h.Number] = h
	return true
}

func (p *clientPool) removeHeld(h *HeldPermit) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.held, h.Number)
}

func (p *clientPool) release(r *wire.Release) {
	p.mutex.Lock()
	p.pendingReleases = append(p.pendingReleases, r)
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
			continue // whatever arrived during the report has signalled wake
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportRetryDelay):
			p.signal()
		}
	}
}

// report sends the next report to the dispatcher. It returns false if the report has to be
// sent again after a delay.
func (p *clientPool) report(ctx context.Context) bool {
	c := p.client
	v := c.config.View()
	h := v.Roles[p.role]
	holder := v.Entries[h.GetHolder()]
	if holder == nil || h.GetVacant() {
		return true // a change of the roles signals wake
	}
	r, batch := p.nextReport(h.GetEpoch())
	if r == nil {
		return true
	}
	answer, err := p.sendReport(ctx, holder, r)
	if err != nil || answer.GetNotDispatcher() {
		return false
	}
	p.acknowledge(h.GetEpoch(), batch)
	return true
}

// nextReport returns the report to send, or nil, and the number of releases in it. The first
// report of an epoch is complete: it lists every permit held.
func (p *clientPool) nextReport(epoch uint64) (*wire.ReportRequest, int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	complete := p.reportedEpoch != epoch || !p.reportAcknowledged
	batch := min(len(p.pendingReleases), maxReleasesPerReport)
	if !complete && batch == 0 {
		return nil, 0
	}
	c := p.client
	r := &wire.ReportRequest{
		Pool: p.role, Epoch: epoch, Entry: c.config.Self.GetName(), Incarnation: c.config.Self.GetIncarnation(),
		Releases: p.pendingReleases[:batch:batch], Complete: complete,
	}
	if complete {
		p.reportedEpoch, p.reportAcknowledged = epoch, false // from here on, addHeld rejects permits of earlier epochs
		r.Held = p.encodeHeld()
	}
	return r, batch
}

func (p *clientPool) encodeHeld() []*wire.HeldPermit {
	now := p.client.config.Clock.Now()
	var out []*wire.HeldPermit
	for _, h := range p.held {
		out = append(out, &wire.HeldPermit{
			Permit: h.Number, Target: h.Target, Team: h.Team, LeftMilliseconds: milliseconds(h.Expires - now),
		})
	}
	return out
}

func (p *clientPool) sendReport(ctx context.Context, holder *wire.EntryMember, r *wire.ReportRequest) (*wire.ReportResponse, error) {
	c := p.client
	if holder.GetName() == c.config.Self.GetName() {
		return c.config.Granter.Report(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.permitClient(holder).Report(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// acknowledge records that the dispatcher of an epoch accepted a report with batch releases.
func (p *clientPool) acknowledge(epoch uint64, batch int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pendingReleases = p.pendingReleases[batch:]
	p.reportAcknowledged = p.reportedEpoch == epoch
	if len(p.pendingReleases) > 0 || !p.reportAcknowledged {
		p.signal()
	}
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d) / time.Millisecond)
}
