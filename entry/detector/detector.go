// Package detector detects that this entry can reach none of its targets although it is up. It
// considers only whether targets respond: what they respond does not matter.
package detector

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// Parameters of probe rounds.
const (
	// suspectedTargets is the number of distinct targets that must fail, with no success between,
	// before a round. A deployment with a single target is therefore never probed.
	suspectedTargets = 2
	// probesPerRound is the number of targets that a round probes.
	probesPerRound = 5
	// dialTimeout bounds establishing a probe's connection, and responseTimeout the wait for the
	// first byte of the response.
	dialTimeout     = 250 * time.Millisecond
	responseTimeout = 250 * time.Millisecond
	// isolatedInterval is the time between rounds while the entry is isolated.
	isolatedInterval = 500 * time.Millisecond
	// minInterval and maxInterval bound the time between rounds while it is not. The interval
	// doubles with each round, since dead targets keep the suspicion alive.
	minInterval = 250 * time.Millisecond
	maxInterval = 2 * time.Second
	// clearRounds is the number of consecutive rounds in which most probes succeed that end the
	// isolation, and partialRounds the same for rounds with any success, since most targets may be
	// dead.
	clearRounds   = 2
	partialRounds = 6
)

// Config configures a Detector.
type Config struct {
	Clock  timekeeper.Clock
	Logger logger.Logger
	Scope  tally.Scope
	// Targets returns the targets that may be probed.
	Targets func() []*parser.Target
	// ExpectedTarget is the header that names the intended target of a request, which any other
	// target refuses without a slot; empty means that targets know no such header, and that
	// probes ask for their health.
	ExpectedTarget string
	// Probe sends a request to an address and returns an error unless any response arrives; nil
	// means over TCP.
	Probe func(ctx context.Context, address string) error
}

// Detector decides from the results of requests, and of probes once these give cause, whether this
// entry is isolated from all targets. It is safe for concurrent use.
type Detector struct {
	config   Config
	isolated atomic.Bool
	// suspected mirrors whether failed has entries, so that successes rarely take the mutex.
	suspected atomic.Bool
	wake      chan struct{}
	mutex     sync.Mutex
	// failed holds the names of the targets that failed since the last success.
	failed map[string]bool
	// interval is the time from the last round to the next while the entry is not isolated.
	interval time.Duration
	// lastRound is when the last round began; probed is set once there was one.
	lastRound time.Duration
	probed    bool
	// clear and partial count the consecutive rounds with most and with any probes successful.
	clear   int
	partial int
	rounds  tally.Counter
	gauge   tally.Gauge
}

// NewDetector returns a Detector of an entry that is not isolated.
func NewDetector(c Config) *Detector {
	if c.Probe == nil {
		c.Probe = httpProbe{request: probeRequest(c.ExpectedTarget)}.probe
	}
	return &Detector{
		config: c, wake: make(chan struct{}, 1), failed: map[string]bool{}, interval: minInterval,
		rounds: c.Scope.Counter("isolationProbeRounds"), gauge: c.Scope.Gauge("isolated"),
	}
}

// IsIsolated reports whether this entry can reach none of its targets.
func (d *Detector) IsIsolated() bool {
	return d.isolated.Load()
}

// Record records whether a target was reached: whether it sent any response.
func (d *Detector) Record(t *parser.Target, reached bool) {
	if reached && !d.suspected.Load() {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if reached {
		d.clearSuspicion()
		return
	}
	d.failed[t.Name] = true
	d.suspected.Store(true)
	if len(d.failed) >= suspectedTargets {
		select {
		case d.wake <- struct{}{}:
		default: // the loop is woken already
		}
	}
}

func (d *Detector) clearSuspicion() {
	clear(d.failed)
	d.suspected.Store(false)
}

// Run probes targets when needed until the context ends.
func (d *Detector) Run(ctx context.Context) error {
	return d.run(ctx)
}

func (d *Detector) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait, needed := d.nextRound()
		if needed && wait <= 0 {
			d.probe(ctx)
			continue
		}
		var due <-chan time.Time
		if needed {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-due:
		}
	}
	return ctx.Err()
}

// nextRound returns the time until the next round; needed is false if there is no cause for one.
func (d *Detector) nextRound() (wait time.Duration, needed bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	since := d.config.Clock.Now() - d.lastRound
	switch {
	case d.isolated.Load():
		return isolatedInterval - since, true
	case len(d.failed) < suspectedTargets:
		return 0, false
	case !d.probed || since > 2*maxInterval:
		d.interval = minInterval
		return 0, true
	}
	return d.interval - since, true
}

// probe runs one round.
func (d *Detector) probe(ctx context.Context) {
	d.mutex.Lock()
	d.lastRound, d.probed = d.config.Clock.Now(), true
	d.mutex.Unlock()
	targets := choose(d.config.Targets())
	succeeded := 0
	if len(targets) >= suspectedTargets {
		d.rounds.Inc(1)
		succeeded = d.probeAll(ctx, targets)
	}
	if ctx.Err() == nil {
		d.judge(len(targets), succeeded)
	}
}

// probeAll probes the targets concurrently and returns the number of successes.
func (d *Detector) probeAll(ctx context.Context, targets []*parser.Target) int {
	var succeeded atomic.Int64
	var all sync.WaitGroup
	for _, t := range targets {
		all.Go(func() {
			if d.config.Probe(ctx, t.Address) == nil {
				succeeded.Add(1)
			}
		})
	}
	all.Wait()
	return int(succeeded.Load())
}

// choose returns a random choice of targets that covers many services and availability zones.
func choose(targets []*parser.Target) []*parser.Target {
	left := make([]*parser.Target, len(targets))
	for i, n := range rand.Perm(len(targets)) {
		left[i] = targets[n]
	}
	services, zones := map[string]int{}, map[string]int{}
	var out []*parser.Target
	for len(out) < probesPerRound && len(left) > 0 {
		best := 0
		for i, t := range left {
			if services[t.Service]+zones[t.AvailabilityZone] < services[left[best].Service]+zones[left[best].AvailabilityZone] {
				best = i
			}
		}
		t := left[best]
		services[t.Service]++
		zones[t.AvailabilityZone]++
		out, left[best] = append(out, t), left[len(left)-1]
		left = left[:len(left)-1]
	}
	return out
}

// judge updates the state from the result of a round. If too few targets are listed, they can't show
// whether the fault is theirs, so that the entry doesn't count as isolated.
func (d *Detector) judge(probes, succeeded int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.clear, d.partial = count(d.clear, 2*succeeded > probes), count(d.partial, succeeded > 0)
	conclusive := probes >= suspectedTargets
	switch {
	case !d.isolated.Load() && conclusive && succeeded == 0:
		d.setIsolated(true, logger.TargetsUnreachable, probes)
	case !d.isolated.Load():
		d.clearSuspicion()
		d.interval = min(2*d.interval, maxInterval)
	case !conclusive || d.clear >= clearRounds || d.partial >= partialRounds:
		d.clearSuspicion()
		d.interval = minInterval
		d.setIsolated(false, logger.TargetsReachable, probes)
	}
}

// count returns the number of consecutive rounds after one more.
func count(n int, ok bool) int {
	if !ok {
		return 0
	}
	return n + 1
}

func (d *Detector) setIsolated(isolated bool, e logger.Event, probes int) {
	d.isolated.Store(isolated)
	value := 0.0
	if isolated {
		value = 1
	}
	d.gauge.Update(value)
	d.config.Logger.Log(e, logger.F("probes", probes))
}

// State describes a Detector.
type State struct {
	Isolated bool
	// Failed is the number of targets that failed since the last success.
	Failed   int
	Interval time.Duration
}

// Dump returns the State.
func (d *Detector) Dump() any {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return State{Isolated: d.isolated.Load(), Failed: len(d.failed), Interval: d.interval}
}
