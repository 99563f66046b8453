package balancer

import (
	"context"
	"time"

	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Parameters of inquiries.
const (
	// maxInquiries is the number of targets that are asked for their load before a request is sent.
	maxInquiries = targetsPerObject
	// maxReportAge is the age from which a target's report is too old to rely on.
	maxReportAge = 50 * time.Millisecond
	// inquiryPause is the time for which a target that did not answer is not asked again.
	inquiryPause = time.Second
)

// inform asks for the load of the target that a request would get, if what is known of it is old, and
// again if the answer makes another one the best.
func (b *Balancer) inform(ctx context.Context, e *handler.Exchange, d PickRequest) {
	if b.config.Ask == nil || e.Service.HealthPath == "" {
		return
	}
	for range maxInquiries {
		t := b.config.Picker.Unsure(d)
		if t == nil {
			return
		}
		b.config.Picker.RecordInquiry(t, b.config.Ask(ctx, t.Target, e.Service.HealthPath))
	}
}

// Unsure returns the target that a request would get now if its last report is too old to rely on and
// asking it takes little time; otherwise nil. Only targets of services that state their slowness are
// asked, since it changes fast; targets in other regions are too far away, and cold ones are spared.
func (p *Picker) Unsure(d PickRequest) *receiver.ListedTarget {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.config.View()
	p.updateView(v)
	s := p.services[d.Service]
	if s == nil || !s.statesSlowness {
		return nil
	}
	now := p.config.Clock.Now()
	k := p.cheapest(now, v, d)
	switch {
	case k == nil, k.Target.Region != p.config.Region, k.state.isCold(now):
		return nil
	case now-k.state.reportedAt < maxReportAge, now < k.state.inquireFrom:
		return nil
	}
	return k.Target
}

// RecordInquiry records the load with which a target answered an inquiry; nil if it did not.
func (p *Picker) RecordInquiry(l *receiver.ListedTarget, answer *forwarder.Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.services[l.Service]
	if s == nil || s.targets[l.Name] == nil {
		return
	}
	now, t := p.config.Clock.Now(), s.targets[l.Name]
	if answer == nil {
		t.inquireFrom = now + inquiryPause
	}
	t.recordLoad(now, answer)
}
