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

// pumpInterval is how often pools look for permits that ran out and targets that warmed up.
const pumpInterval = 20 * time.Millisecond

// GranterConfig sets up a Granter.
type GranterConfig struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Assert *asserter.Asserter
	View   func() *receiver.View
	// Holds returns the epoch under which this entry holds a role now.
	Holds func(role string) (epoch uint64, ok bool)
}

// Granter grants permits of the pools that this entry dispatches.
type Granter struct {
	config GranterConfig
	mutex  sync.Mutex
	pools  map[string]*pool
}

// NewGranter returns a Granter without pools.
func NewGranter(c GranterConfig) *Granter {
	return &Granter{config: c, pools: map[string]*pool{}}
}

// Run keeps the pools moving until the context ends.
func (g *Granter) Run(ctx context.Context) error {
	return g.run(ctx)
}

// Acquire waits for a permit up to the caller's bound.
func (g *Granter) Acquire(ctx context.Context, r *wire.AcquireRequest) *wire.AcquireResponse {
	id := PermitID{Holder: wire.Incarnation(r.GetEntry(), r.GetIncarnation()), Number: r.GetPermit()}
	granted, reason := g.enqueue(id, r)
	if granted == nil {
		return reason
	}
	timer := time.NewTimer(time.Duration(r.GetWaitMilliseconds()) * time.Millisecond)
	defer timer.Stop()
	select {
	case p := <-granted:
		return &wire.AcquireResponse{Granted: true, Target: p.Target}
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.giveUp(id, r.GetPool(), granted)
}

// Report takes in results, and the permits that an entry holds.
func (g *Granter) Report(r *wire.ReportRequest) *wire.ReportResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pool(r.GetPool(), r.GetEpoch())
	if p == nil {
		return &wire.ReportResponse{NotDispatcher: true}
	}
	now := g.config.Clock.Now()
	holder := wire.Incarnation(r.GetEntry(), r.GetIncarnation())
	for _, e := range r.GetReleases() {
		p.ledger.Release(now, PermitID{holder, e.GetPermit()}, Result{
			Latency: time.Duration(e.GetLatencyMicroseconds()) * time.Microsecond,
			Failed:  e.GetFailed(), Leaving: e.GetLeaving(),
		})
	}
	if r.GetComplete() {
		p.reported(r.GetEntry(), heldPermits(now, holder, r.GetHeld()))
		g.noteReady(p)
	}
	p.pump(now)
	return &wire.ReportResponse{}
}

// Targets lists the targets of the pools that this entry dispatches, with their addresses.
func (g *Granter) Targets() []ProbeTarget {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var out []ProbeTarget
	for role, p := range g.pools {
		if epoch, ok := g.config.Holds(role); !ok || epoch != p.epoch || p.revision == nil {
			continue
		}
		for _, n := range p.ledger.order {
			if t := p.revision.Targets[n]; t != nil {
				out = append(out, ProbeTarget{Pool: role, Name: n, Address: t.Address})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ProbeTarget is a target to be asked for its health.
type ProbeTarget struct {
	Pool    string
	Name    string
	Address string
}

// SetHealth takes in what a target said.
func (g *Granter) SetHealth(t ProbeTarget, h Health) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pools[t.Pool]
	if p == nil {
		return
	}
	if old := p.ledger.targets[t.Name]; old != nil && h.Leaving && !old.leaving {
		g.config.Logger.Log(logger.TargetLeaving, logger.F("target", t.Name))
	}
	now := g.config.Clock.Now()
	p.ledger.SetHealth(now, t.Name, h)
	p.pump(now)
}

// Dump describes the pools.
func (g *Granter) Dump() any {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.config.Clock.Now()
	out := map[string]PoolDump{}
	for role, p := range g.pools {
		d := PoolDump{Epoch: p.epoch, Waiting: p.ledger.Waiting(), Targets: map[string]TargetDump{}}
		for n, t := range p.ledger.targets {
			d.Targets[n] = TargetDump{
				Slots: t.slots, Running: t.running, Allowed: t.allowed(now),
				LatencyMilliseconds: float64(t.latency) / float64(time.Millisecond),
				Leaving:             t.leaving, Ejected: t.ejected(now),
			}
		}
		out[role] = d
	}
	return out
}

// PoolDump describes one pool.
type PoolDump struct {
	Epoch   uint64
	Waiting int
	Targets map[string]TargetDump
}

// TargetDump describes one target.
type TargetDump struct {
	Slots               int
	Running             int
	Allowed             int
	LatencyMilliseconds float64
	Leaving             bool
	Ejected             bool
}

func (g *Granter) run(ctx context.Context) error {
	t := time.NewTicker(pumpInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			g.pumpAll()
		}
	}
}

func (g *Granter) pumpAll() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for role, p := range g.pools {
		if epoch, ok := g.config.Holds(role); ok && epoch == p.epoch {
			p.pump(g.config.Clock.Now())
		}
	}
}

// enqueue adds a demand and returns where its permit will come, or the refusal.
func (g *Granter) enqueue(id PermitID, r *wire.AcquireRequest) (chan *Permit, *wire.AcquireResponse) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.pool(r.GetPool(), r.GetEpoch())
	if p == nil {
		return nil, &wire.AcquireResponse{NotDispatcher: true}
	}
	now := g.config.Clock.Now()
	d := Demand{
		ID: id, Team: r.GetTeam(), Weight: g.weight(r.GetTeam()),
		Run:      time.Duration(r.GetRunMilliseconds())*time.Millisecond + timekeeper.SlotGrace,
		Until:    now + time.Duration(r.GetWaitMilliseconds())*time.Millisecond + time.Millisecond,
		Excluded: r.GetExcluded(),
	}
	if !p.ledger.Enqueue(now, d) {
		return nil, &wire.AcquireResponse{}
	}
	granted := make(chan *Permit, 1)
	p.waiting[id] = granted
	p.pump(now)
	return granted, nil
}

// giveUp takes a demand back, unless its permit came at the last moment.
func (g *Granter) giveUp(id PermitID, role string, granted chan *Permit) *wire.AcquireResponse {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	select {
	case p := <-granted:
		return &wire.AcquireResponse{Granted: true, Target: p.Target}
	default:
	}
	if p := g.pools[role]; p != nil {
		delete(p.waiting, id)
		p.ledger.Cancel(id)
	}
	return &wire.AcquireResponse{}
}

// pool returns the pool that a call is for, or nil if this entry may not grant from it.
func (g *Granter) pool(role string, epoch uint64) *pool {
	held, ok := g.config.Holds(role)
	v := g.config.View()
	name, known := wire.ParsePool(role)
	if !ok || held != epoch || v.Configuration == nil || !known {
		return nil
	}
	now := g.config.Clock.Now()
	p := g.pools[role]
	if p == nil || p.epoch != epoch {
		p = &pool{
			name: name, epoch: epoch, ledger: NewLedger(g.config.Assert),
			waiting: map[PermitID]chan *Permit{}, unreported: map[string]bool{}, ready: epoch == wire.FirstEpoch,
		}
		if epoch != wire.FirstEpoch {
			p.learn(now, v)
		}
		g.pools[role] = p
	}
	p.useTargets(now, v)
	return p
}

func (g *Granter) noteReady(p *pool) {
	if p.ready || len(p.unreported) > 0 {
		return
	}
	p.ready = true
	g.config.Logger.Log(logger.DispatcherReady, logger.F("pool", p.name.Role()), logger.F("epoch", p.epoch))
}

func (g *Granter) weight(team string) float64 {
	if t := g.config.View().Configuration.Teams[team]; t != nil {
		return t.Weight
	}
	return 1
}

func heldPermits(now time.Duration, holder string, list []*wire.HeldPermit) []Permit {
	var out []Permit
	for _, h := range list {
		out = append(out, Permit{
			ID: PermitID{holder, h.GetPermit()}, Target: h.GetTarget(), Team: h.GetTeam(), Weight: 1,
			Granted: now, Expires: now + time.Duration(h.GetLeftMilliseconds())*time.Millisecond,
		})
	}
	return out
}
