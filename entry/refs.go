package entry

import (
	"github.com/filberthoist/filberthoist/entry/acceptor"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/detector"
	"github.com/filberthoist/filberthoist/entry/limiter"
)

// newRefs returns the references that break dependency cycles. The components set their values.
func newRefs() (*shareLimiterRef, *detectorRef, *pickerRef, *acceptorRef) {
	return &shareLimiterRef{}, &detectorRef{}, &pickerRef{}, &acceptorRef{}
}

// shareLimiterRef breaks the dependency cycle between the receiver, which reports the limiter's
// rates, and the limiter, which reads the receiver's shares.
type shareLimiterRef struct {
	value *limiter.ShareLimiter
}

func (d *shareLimiterRef) requestRates() map[string]float64 {
	if d.value == nil {
		return nil
	}
	return d.value.RequestRates()
}

// detectorRef breaks the dependency cycle between the receiver, which reports whether this entry is
// isolated, and the detector, which probes the receiver's targets.
type detectorRef struct {
	value *detector.Detector
}

func (d *detectorRef) isIsolated() bool {
	return d.value != nil && d.value.IsIsolated()
}

// pickerRef breaks the dependency cycle between the receiver, which reports leaving targets, and the
// picker, which depends on the receiver.
type pickerRef struct {
	value *balancer.Picker
}

func (p *pickerRef) leavingTargets() []string {
	if p.value == nil {
		return nil
	}
	return p.value.LeavingTargets()
}

// acceptorRef breaks the dependency cycle between the pipeline, which refuses requests while the process
// stops, and the acceptor, which runs the pipeline.
type acceptorRef struct {
	value *acceptor.Acceptor
}

func (a *acceptorRef) isRefusing() bool {
	return a.value != nil && a.value.IsRefusing()
}
