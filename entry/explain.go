package entry

import (
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/detector"
	"github.com/filberthoist/filberthoist/entry/explainer"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/resolver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

// explainerParams are the components that decide about a request.
type explainerParams struct {
	fx.In
	Receiver     *receiver.Receiver
	Resolver     *resolver.Resolver
	Detector     *detector.Detector
	ShareLimiter *limiter.ShareLimiter
	Shifter      *shifter.Shifter
	Balancer     *balancer.Balancer
	AcceptorRef  *acceptorRef
}

func newExplainer(s Settings, x Extensions, c timekeeper.Clock, self *wire.EntryMember, p explainerParams) *explainer.Explainer {
	return explainer.NewExplainer(explainer.Config{
		Clock: c, Dialect: &x.Dialect, Self: self, Roles: s.Roles, View: p.Receiver.View, Fresh: p.Receiver.Fresh, Isolated: p.Detector.IsIsolated,
		Refusing: p.AcceptorRef.isRefusing, Entries: p.Resolver.Entries, Classify: classifier.NewClassifier(classifier.Config{Clock: c}).Step().Handle,
		Limit: p.ShareLimiter.Explain, Sides: p.Shifter.Sides, Choose: p.Balancer.Explain,
	})
}
