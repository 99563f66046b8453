// Package accountant reports the usage of each window to the platform, from the control member that
// holds this duty. The counts of a window are committed to the replicated log before they are first
// sent, so that each repetition of a report is the same, whoever sends it.
package accountant

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/collector"
	"github.com/filberthoist/filberthoist/control/holder"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Duty is the name of the duty in the replicated state.
const Duty = "usage"

const (
	interval       = 100 * time.Millisecond
	proposeTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the pause after a report that the platform did not take.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// maxRejections is the number of times that the platform may call one report invalid before it is
	// dropped, so that it does not hold up those that follow.
	maxRejections = 5
	// settleFraction is the fraction of a window after its end from which the reports of entries hold
	// all of its counts: requests that turn out not to have run are taken back by then.
	settleFraction = 0.1
	// forcedFraction is the fraction of Settings.Due after which a window is decided without the reports
	// of silent entries.
	forcedFraction = 0.5
	// collectFraction is the fraction of Settings.Due for which a new leader waits for the reports of
	// entries before it decides without some of them.
	collectFraction = 0.2
)

// Settings are what the platform asks for.
type Settings struct {
	// Window is the length of a window; 0 means that no usage is reported.
	Window time.Duration
	// Due is how long after the end of a window its report is due.
	Due time.Duration
	// Lease is the shortest time between the acts of two holders.
	Lease time.Duration
	// Rate bounds the reports, in reports per second.
	Rate float64
}

// Report is the usage of one window.
type Report struct {
	// Holder is the name of this control member, and Fence the number of its tenure.
	Holder string
	Fence  uint64
	// Window is the number of the window; window n begins n times the length of a window after the
	// start of 1970.
	Window uint64
	// Counts holds the number of requests that targets began to run, by team.
	Counts map[string]uint64
	// Confirm must be called once the connection stands, right before the report is sent. The call must
	// end within the returned time.
	Confirm func(ctx context.Context) (time.Duration, error)
}

// Config configures an Accountant.
type Config struct {
	Settings
	Logger    logger.Logger
	Scope     tally.Scope
	Collector *collector.Collector
	Holder    *holder.Holder
	// Serving returns the term of this member, and since when it leads on the Clock, if it is the leader
	// with a complete state.
	Serving func() (term uint64, since time.Duration, ok bool)
	Record  func() *wire.Duty
	// Entries returns the entries, and SilentEntries those that were removed since they fell silent.
	Entries       func() map[string]*wire.EntryMember
	SilentEntries func() map[string]*wire.EntryMember
	// Propose proposes a command if this member leads in a term.
	Propose func(ctx context.Context, term uint64, c *wire.Command) (applier.Result, error)
	// Send sends a report and returns the status of the response.
	Send func(ctx context.Context, r Report) (status int, err error)
	// Now returns the time of day.
	Now   func() time.Time
	Clock timekeeper.Clock
}

// Accountant decides and sends the reports while its control member holds the duty.
type Accountant struct {
	config Config
	// nextSend is when the next report may be sent, and retryDelay the pause after the next failure.
	nextSend   time.Duration
	retryDelay time.Duration
	// rejected is the window whose report the platform calls invalid, and rejections how often it did.
	rejected   uint64
	rejections int
	// acquired is the fence whose acquisition was logged last.
	acquired uint64
	// mutex guards status.
	mutex   sync.Mutex
	status  Status
	pending tally.Gauge
	sent    tally.Counter
	failed  tally.Counter
	forced  tally.Counter
}

// Status is the state of the duty for operators.
type Status struct {
	Holding     bool
	Fence       uint64
	LastDecided uint64
	Pending     int
	LastError   string
}

// NewAccountant returns an Accountant.
func NewAccountant(c Config) *Accountant {
	return &Accountant{
		config: c, retryDelay: minRetryDelay, pending: c.Scope.Gauge("reportsPending"), sent: c.Scope.Counter("reportsSent"),
		failed: c.Scope.Counter("reportsFailed"), forced: c.Scope.Counter("reportsForced"),
	}
}

// Run decides and sends reports until the context ends.
func (a *Accountant) Run(ctx context.Context) error {
	return a.run(ctx)
}

// Dump returns the Status.
func (a *Accountant) Dump() any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.status
}

func (a *Accountant) run(ctx context.Context) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			a.step(ctx)
		}
	}
}

// step decides the windows that are complete and sends the oldest report that waits.
func (a *Accountant) step(ctx context.Context) {
	term, since, ok := a.config.Serving()
	if !ok {
		a.publish(nil)
		return
	}
	a.config.Collector.Reset(term, a.config.Record().GetDecided())
	d, err := a.config.Holder.Hold(ctx)
	if err != nil {
		a.publish(nil)
		return
	}
	if d.GetFence() != a.acquired {
		a.acquired = d.GetFence()
		a.config.Logger.Log(logger.DutyAcquired, logger.F("duty", Duty), logger.F("fence", d.GetFence()), logger.F("pending", len(d.GetPending())))
	}
	a.decide(ctx, d, term, since)
	fence := d.GetFence()
	if d = a.config.Record(); d.GetFence() != fence {
		return // another member has become the holder
	}
	a.publish(d)
	a.config.Collector.Reset(term, d.GetDecided())
	a.send(ctx, d, term)
}

// decide decides the oldest undecided window if the reports of entries are complete, or if it can't
// wait for them any longer. The command is proposed in the term of the reports alone, since the collector
// begins anew with each term.
func (a *Accountant) decide(ctx context.Context, d *wire.Duty, term uint64, since time.Duration) {
	n := d.GetDecided() + 1
	due, forced := a.isDecidable(n, since)
	if !due || len(d.GetPending()) >= applier.MaxPendingReports {
		return
	}
	w := &wire.UsageWindow{Number: n, Counts: a.config.Collector.Counts(n)}
	r, err := a.propose(ctx, term, &wire.Command{Kind: &wire.Command_DecideReport{DecideReport: &wire.DecideReportCommand{
		Duty: Duty, Fence: d.GetFence(), Window: w,
	}}})
	if err != nil || !r.Done {
		return // the next step begins from the state at that time
	}
	if forced {
		a.forced.Inc(1)
	}
	a.config.Collector.DropEnded(a.config.Entries(), a.config.SilentEntries())
	a.config.Logger.Log(logger.ReportDecided, logger.F("window", n), logger.F("teams", len(w.GetCounts())), logger.F("forced", forced))
}

// isDecidable reports whether a window may be decided now, and whether that is without all reports. As
// long as there are entries, their time of day tells that the window is over. Entries that fell silent
// within Settings.Due before the window go on serving if only control is out of their reach.
func (a *Accountant) isDecidable(n uint64, since time.Duration) (due, forced bool) {
	end := wire.WindowEnd(n, a.config.Window)
	settled := end.Add(time.Duration(settleFraction * float64(a.config.Window)))
	entries := a.config.Entries()
	if a.config.Collector.IsComplete(entries, a.config.SilentEntries(), end.Add(-a.config.Window-a.config.Due), settled) {
		return len(entries) > 0 || !a.config.Now().Before(settled), false
	}
	limit := end.Add(time.Duration(forcedFraction * float64(a.config.Due)))
	collected := a.config.Clock.Now() >= since+time.Duration(collectFraction*float64(a.config.Due))
	return collected && !a.config.Now().Before(limit), true
}

// send sends the oldest report that waits, unless the platform needs a pause.
func (a *Accountant) send(ctx context.Context, d *wire.Duty, term uint64) {
	if len(d.GetPending()) == 0 || a.config.Clock.Now() < a.nextSend {
		return
	}
	w := d.GetPending()[0]
	status, err := a.config.Send(ctx, Report{
		Holder: d.GetHolderName(), Fence: d.GetFence(), Window: w.GetNumber(), Counts: w.GetCounts(),
		Confirm: func(ctx context.Context) (time.Duration, error) { return a.config.Holder.Confirm(ctx, d.GetFence()) },
	})
	switch {
	case err == nil && status == http.StatusOK:
		a.recordSuccess(w.GetNumber(), d)
	case err == nil && a.isHopeless(w.GetNumber(), status):
		a.config.Logger.Log(logger.ReportDropped, logger.F("window", w.GetNumber()), logger.F("status", status))
	default:
		a.recordFailure(w.GetNumber(), status, err)
		return
	}
	// If this fails, the same report is sent again.
	_, _ = a.propose(ctx, term, &wire.Command{Kind: &wire.Command_FinishReport{FinishReport: &wire.FinishReportCommand{
		Duty: Duty, Fence: d.GetFence(), Window: w.GetNumber(),
	}}})
}

// recordSuccess logs that the platform has a report, and paces the next one.
func (a *Accountant) recordSuccess(window uint64, d *wire.Duty) {
	a.retryDelay = minRetryDelay
	a.nextSend = a.config.Clock.Now() + time.Duration(float64(time.Second)/a.config.Rate)
	a.sent.Inc(1)
	a.setError("")
	a.config.Logger.Log(logger.ReportSent, logger.F("window", window), logger.F("fence", d.GetFence()), logger.F("pending", len(d.GetPending())-1))
}

// isHopeless reports whether the platform has called a report invalid maxRejections times.
func (a *Accountant) isHopeless(window uint64, status int) bool {
	if status != http.StatusBadRequest && status != http.StatusRequestEntityTooLarge && status != http.StatusUnprocessableEntity {
		return false
	}
	if window != a.rejected {
		a.rejected, a.rejections = window, 0
	}
	a.rejections++
	return a.rejections >= maxRejections
}

// recordFailure logs that the platform may not have a report, and delays the next attempt.
func (a *Accountant) recordFailure(window uint64, status int, err error) {
	a.failed.Inc(1)
	a.nextSend = a.config.Clock.Now() + a.retryDelay
	a.config.Logger.Log(logger.ReportFailed, logger.F("window", window), logger.F("status", status), logger.F("error", err), logger.F("pause", a.retryDelay))
	a.retryDelay = min(2*a.retryDelay, maxRetryDelay)
	if err != nil {
		a.setError(err.Error())
		return
	}
	a.setError(http.StatusText(status))
}

func (a *Accountant) setError(text string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.status.LastError = text
}

func (a *Accountant) propose(ctx context.Context, term uint64, c *wire.Command) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return a.config.Propose(ctx, term, c)
}

// publish sets the Status from the record under which this member acts; nil means that it does not.
func (a *Accountant) publish(d *wire.Duty) {
	a.pending.Update(float64(len(d.GetPending())))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.status.Holding, a.status.Fence, a.status.LastDecided, a.status.Pending = d != nil, d.GetFence(), d.GetDecided(), len(d.GetPending())
}
