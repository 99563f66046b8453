// Package prober asks targets and the platform who is leaving.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
)

// Times and bounds of the questions.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	maxAnswer     = 1 << 20
)

// Health is the answer of a target to GET /health.
type Health struct {
	// State is "ready" or "leaving".
	State string `json:"state"`
	// Load is from 0 to 1.
	Load float64 `json:"load"`
}

// VM is one item of the platform's list, the answer to GET /vms.
type VM struct {
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Leaving is the state of a target or VM that takes no new work.
const Leaving = "leaving"

// Config sets up a Prober.
type Config struct {
	Clock timekeeper.Clock
	// Platform is the address of the platform's list; empty if there is none.
	Platform string
	Targets  func() []dispatcher.ProbeTarget
	Report   func(dispatcher.ProbeTarget, dispatcher.Health)
}

// Prober asks again and again about the targets that this entry dispatches to.
type Prober struct {
	config Config
	client *http.Client
}

// NewProber returns a Prober.
func NewProber(c Config) *Prober {
	return &Prober{config: c, client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{IdleConnTimeout: 2 * probeInterval}}}
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
			p.round(ctx)
		}
	}
}

// round asks everybody once. Silence is no news: a target that does not answer its
// health may still serve, and requests show whether it does.
func (p *Prober) round(ctx context.Context) {
	targets := p.config.Targets()
	if len(targets) == 0 {
		return
	}
	listed := p.listed(ctx)
	var all sync.WaitGroup
	for _, t := range targets {
		all.Go(func() { p.probe(ctx, t, listed[t.Address]) })
	}
	all.Wait()
}

func (p *Prober) probe(ctx context.Context, t dispatcher.ProbeTarget, listed bool) {
	asked := p.config.Clock.Now()
	var h Health
	err := p.get(ctx, "http://"+t.Address+"/health", &h)
	if err != nil && !listed {
		return
	}
	p.config.Report(t, dispatcher.Health{Leaving: listed || h.State == Leaving, Load: h.Load, Asked: asked})
}

// listed returns the addresses that the platform calls leaving.
func (p *Prober) listed(ctx context.Context) map[string]bool {
	out := map[string]bool{}
	if p.config.Platform == "" {
		return out
	}
	var vms []VM
	if err := p.get(ctx, "http://"+p.config.Platform+"/vms", &vms); err != nil {
		return out
	}
	for _, v := range vms {
		out[v.Address] = v.State == Leaving
	}
	return out
}

func (p *Prober) get(ctx context.Context, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := p.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(into)
}
