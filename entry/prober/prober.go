// Package prober polls the health of targets, and the platform's list of VMs for those that are
// leaving. It runs with roles, for the targets that this entry dispatches to.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
)

// Intervals and bounds of probes.
const (
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	maxResponseBytes = 1 << 20
)

// Health is the response of a target to GET /health.
type Health struct {
	// State is "ready" or "leaving".
	State string `json:"state"`
	// Load is a fraction from 0 to 1.
	Load float64 `json:"load"`
}

// VM is one item of the platform's list, the response to GET /vms.
type VM struct {
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// StateLeaving is the state of a target or VM that takes no new work.
const StateLeaving = "leaving"

// Config configures a Prober.
type Config struct {
	Clock timekeeper.Clock
	// PlatformAddress is the address of the platform's list of VMs; empty if there is none.
	PlatformAddress string
	Targets         func() []dispatcher.ProbeTarget
	Report          func(dispatcher.ProbeTarget, dispatcher.Health)
}

// Prober periodically probes the targets that this entry dispatches to.
type Prober struct {
	config Config
	client *http.Client
}

// NewProber returns a Prober.
func NewProber(c Config) *Prober {
	transport := inspector.Transport{Next: &http.Transport{IdleConnTimeout: 2 * probeInterval}}
	return &Prober{config: c, client: &http.Client{Timeout: probeTimeout, Transport: transport}}
}

// Run probes until the context ends.
func (p *Prober) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	return p.run(ctx)
}

func (p *Prober) run(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			p.probeAll(ctx)
		}
	}
}

// probeAll probes every target once. A failed probe reports nothing: the target may still serve
// requests, and their results show whether it does.
func (p *Prober) probeAll(ctx context.Context) {
	targets := p.config.Targets()
	if len(targets) == 0 {
		return
	}
	leaving := p.leavingVMs(ctx)
	var all sync.WaitGroup
	for _, t := range targets {
		all.Go(func() { p.probe(ctx, t, leaving[t.Address]) })
	}
	all.Wait()
}

// probe reports the health of a target. A target whose VM is leaving is reported even if it does
// not respond.
func (p *Prober) probe(ctx context.Context, t dispatcher.ProbeTarget, vmLeaving bool) {
	sent := p.config.Clock.Now()
	var h Health
	err := p.getJSON(ctx, "http://"+t.Address+"/health", &h)
	if err != nil && !vmLeaving {
		return
	}
	p.config.Report(t, dispatcher.Health{Leaving: vmLeaving || h.State == StateLeaving, Load: h.Load, ProbedAt: sent})
}

// leavingVMs returns which addresses the platform lists as leaving. It is empty if there is no list
// or the request for it fails.
func (p *Prober) leavingVMs(ctx context.Context) map[string]bool {
	out := map[string]bool{}
	if p.config.PlatformAddress == "" {
		return out
	}
	var vms []VM
	if err := p.getJSON(ctx, "http://"+p.config.PlatformAddress+"/vms", &vms); err != nil {
		return out
	}
	for _, v := range vms {
		out[v.Address] = v.State == StateLeaving
	}
	return out
}

func (p *Prober) getJSON(ctx context.Context, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := p.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into)
}
