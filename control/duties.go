package control

import (
	"context"
	"time"

	"github.com/filberthoist/filberthoist/control/accountant"
	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/collector"
	"github.com/filberthoist/filberthoist/control/holder"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/reporter"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// newCollector returns nil unless the platform takes reports of usage.
func newCollector(s Settings, x Extensions) *collector.Collector {
	if s.Usage.Window == 0 || x.SendReport == nil {
		return nil
	}
	return collector.NewCollector()
}

// newAccountant returns nil unless the platform takes reports of usage.
func newAccountant(s Settings, x Extensions, c timekeeper.Clock, l logger.Logger, r *reporter.Reporter, q *sequencer.Sequencer,
	t *applier.State, o *collector.Collector,
) *accountant.Accountant {
	if o == nil {
		return nil
	}
	h := newUsageHolder(s, c, q, t)
	return accountant.NewAccountant(accountant.Config{
		Settings: s.Usage, Logger: l, Scope: r.Scope, Collector: o, Holder: h, Clock: c, Now: time.Now,
		Serving: func() (uint64, time.Duration, bool) {
			v := q.View()
			return v.Term, v.LeaderSince, v.Serving()
		},
		Record: func() *wire.Duty { return t.Duty(accountant.Duty) }, Entries: t.Entries, SilentEntries: t.SilentEntries, Propose: q.ProposeIn, Send: x.SendReport,
	})
}

// newUsageHolder returns the holder of the duty to report usage. The windows up to the first
// acquisition are not reported.
func newUsageHolder(s Settings, c timekeeper.Clock, q *sequencer.Sequencer, t *applier.State) *holder.Holder {
	self := q.View().ID
	return holder.NewHolder(holder.Config{
		Clock: c, Duty: accountant.Duty, Self: self, Lease: s.Usage.Lease,
		Serving: func() bool { return q.View().Serving() }, Confirm: q.ConfirmLeadership,
		Record: func() *wire.Duty { return t.Duty(accountant.Duty) },
		Acquire: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
			defer cancel()
			_, err := q.Propose(ctx, &wire.Command{Kind: &wire.Command_AcquireDuty{AcquireDuty: &wire.AcquireDutyCommand{
				Name: accountant.Duty, Holder: self, HolderName: s.Name, FirstDecided: wire.WindowNumber(time.Now(), s.Usage.Window) - 1,
			}}})
			return err
		},
	})
}

// acquireTimeout bounds the wait for a duty.
const acquireTimeout = 2 * time.Second
