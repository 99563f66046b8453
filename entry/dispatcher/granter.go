package dispatcher

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// grantInterval is how often pools are checked for slots that become free with time, through
// expired permits, ended ejections and slow starts.
const grantInterval = 20 * time.Millisecond

// GranterConfig configures a Granter.
type GranterConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Assert *asserter.Asserter
	View   func() *receiver.View
	// HoldsRole returns the epoch in which this entry currently holds a role.
	HoldsRole func(role string) (epoch uint64, ok bool)
}

// Granter grants the permits of the pools whose dispatcher is this entry.
type Granter struct {
	config GranterConfig
	mutex  sync.Mutex
	pools  map[string]*pool
}

// NewGranter returns a Granter without pools.
func NewGranter(c GranterConfig) *Granter {
	return &Granter{config: c, pools: map[string]*pool{}}
}

// Run grants permits as slots become free, until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	return g.run(ctx)
}

// Acquire waits for a permit, at most as long as the request asks for.
func (g *Granter) Acquire(ctx context.Context, r *wire.AcquireRequest) *wire.AcquireResponse {
	id := PermitID{Holder: wire.RunName(r.GetEntry(), r.GetIncarnation()), Number: r.GetPermit()}
	granted, refusal := g.enqueue(id, r)
	if granted == nil {
		return refusal
	}
	timer := time.NewTimer(time.Duration(r.GetWaitMilliseconds()) * time.Millisecond)
	defer timer.Stop()
	select {
	case p := <-granted:
		return &wire.AcquireResponse{Granted: true, Target: p.Target}
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.cancel(id, r.GetPool(), granted)
}

// Report records an entry's releases and, in a complete report, the permits that it holds.
func (g *Granter) Report(r *wire.ReportRequest) *wire.ReportResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pool(r.GetPool(), r.GetEpoch())
	if p == nil {
		return &wire.ReportResponse{NotDispatcher: true}
	}
	now := g.config.Clock.Now()
	holder := wire.RunName(r.GetEntry(), r.GetIncarnation())
	for _, e := range r.GetReleases() {
		p.scheduler.Release(now, PermitID{holder, e.GetPermit()}, Result{
			Latency: time.Duration(e.GetLatencyMicroseconds()) * time.Microsecond,
			Failed:  e.GetFailed(), Leaving: e.GetLeaving(),
		})
	}
	if r.GetComplete() {
		p.restoreHeld(r.GetEntry(), decodeHeldPermits(now, holder, r.GetHeld()))
		g.markReady(p)
	}
	p.grantWaiting(now)
	return &wire.ReportResponse{}
}

// Targets returns the targets, sorted by name, of the pools whose dispatcher is this entry.
func (g *Granter) Targets() []ProbeTarget {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var out []ProbeTarget
	for role, p := range g.pools {
		if epoch, ok := g.config.HoldsRole(role); !ok || epoch != p.epoch || p.configuration == nil {
			continue
		}
		for _, n := range p.scheduler.targetNames {
			if t := p.configuration.Targets[n]; t != nil {
				out = append(out, ProbeTarget{Pool: role, Name: n, Address: t.Address})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ProbeTarget is a target to probe for its health.
type ProbeTarget struct {
	Pool    string
	Name    string
	Address string
}

// SetHealth records the health of a target.
func (g *Granter) SetHealth(t ProbeTarget, h Health) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pools[t.Pool]
	if p == nil {
		return
	}
	if old := p.scheduler.targets[t.Name]; old != nil && h.Leaving && !old.leaving {
		g.config.Logger.Log(logger.TargetLeaving, logger.F("target", t.Name))
	}
	now := g.config.Clock.Now()
	p.scheduler.SetHealth(now, t.Name, h)
	p.grantWaiting(now)
}

// Dump returns the PoolDump of each pool by its role.
func (g *Granter) Dump() any {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.config.Clock.Now()
	out := map[string]PoolDump{}
	for role, p := range g.pools {
		d := PoolDump{Epoch: p.epoch, Waiting: p.scheduler.QueueLength(), Targets: map[string]TargetDump{}}
		for n, t := range p.scheduler.targets {
			d.Targets[n] = TargetDump{
				Slots: t.slots, Running: t.running, Allowed: t.concurrencyLimit(now),
				LatencyMilliseconds: float64(t.latency) / float64(time.Millisecond),
				Leaving:             t.leaving, Ejected: t.isEjected(now),
			}
		}
		out[role] = d
	}
	return out
}

// PoolDump describes the state of one pool.
type PoolDump struct {
	Epoch   uint64
	Waiting int
	Targets map[string]TargetDump
}

// TargetDump describes the state of one target.
type TargetDump struct {
	Slots               int
	Running             int
	Allowed             int
	LatencyMilliseconds float64
	Leaving             bool
	Ejected             bool
}

func (g *Granter) run(ctx context.Context) error {
	t := time.NewTicker(grantInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			g.grantAll()
		}
	}
}

func (g *Granter) grantAll() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for role, p := range g.pools {
		if epoch, ok := g.config.HoldsRole(role); ok && epoch == p.epoch {
			p.grantWaiting(g.config.Clock.Now())
		}
	}
}

// enqueue adds a slot request and returns the channel that its permit is sent to, or the
// refusal.
func (g *Granter) enqueue(id PermitID, r *wire.AcquireRequest) (chan *Permit, *wire.AcquireResponse) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pool(r.GetPool(), r.GetEpoch())
	if p == nil {
		return nil, &wire.AcquireResponse{NotDispatcher: true}
	}
	now := g.config.Clock.Now()
	d := SlotRequest{
		ID: id, Team: r.GetTeam(), Weight: g.teamWeight(r.GetTeam()),
		MaxHold:  time.Duration(r.GetRunMilliseconds())*time.Millisecond + timekeeper.SlotGrace,
		Expires:  now + time.Duration(r.GetWaitMilliseconds())*time.Millisecond + time.Millisecond,
		Excluded: r.GetExcluded(),
	}
	if !p.scheduler.Enqueue(now, d) {
		return nil, &wire.AcquireResponse{}
	}
	granted := make(chan *Permit, 1)
	p.waiting[id] = granted
	p.grantWaiting(now)
	return granted, nil
}

// cancel removes a slot request whose wait has ended, unless its permit was just granted.
func (g *Granter) cancel(id PermitID, role string, granted chan *Permit) *wire.AcquireResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case p := <-granted:
		return &wire.AcquireResponse{Granted: true, Target: p.Target}
	default:
	}
	if p := g.pools[role]; p != nil {
		delete(p.waiting, id)
		p.scheduler.Cancel(id)
	}
	return &wire.AcquireResponse{}
}

// pool returns the pool of a role, or nil if this entry may not grant its permits in that epoch.
func (g *Granter) pool(role string, epoch uint64) *pool {
	held, ok := g.config.HoldsRole(role)
	v := g.config.View()
	name, known := wire.ParsePool(role)
	if !ok || held != epoch || v.Configuration == nil || !known {
		return nil
	}
	now := g.config.Clock.Now()
	p := g.pools[role]
	if p == nil || p.epoch != epoch {
		p = &pool{
			name: name, epoch: epoch, scheduler: NewSlotScheduler(g.config.Assert),
			waiting: map[PermitID]chan *Permit{}, unreported: map[string]bool{}, ready: epoch == wire.FirstEpoch,
		}
		if epoch != wire.FirstEpoch {
			p.startRecovery(now, v)
		}
		g.pools[role] = p
	}
	p.updateTargets(now, v)
	return p
}

func (g *Granter) markReady(p *pool) {
	if p.ready || len(p.unreported) > 0 {
		return
	}
	p.ready = true
	g.config.Logger.Log(logger.DispatcherReady, logger.F("pool", p.name.Role()), logger.F("epoch", p.epoch))
}

func (g *Granter) teamWeight(team string) float64 {
	if t := g.config.View().Configuration.Teams[team]; t != nil {
		return t.Weight
	}
	return 1
}

func decodeHeldPermits(now time.Duration, holder string, list []*wire.HeldPermit) []Permit {
	var out []Permit
	for _, h := range list {
		out = append(out, Permit{
			ID: PermitID{holder, h.GetPermit()}, Target: h.GetTarget(), Team: h.GetTeam(), Weight: 1,
			Granted: now, Expires: now + time.Duration(h.GetLeftMilliseconds())*time.Millisecond,
		})
	}
	return out
}
