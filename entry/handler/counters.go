package handler

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries bounds the counters that labels of requests can make.
const maxSeries = 2000

// counters count requests by their labels. A counter is looked up once and kept.
type counters struct {
	scope   tally.Scope
	mutex   sync.RWMutex
	series  map[labels]tally.Counter
	latency map[string]tally.Histogram
	buckets tally.DurationBuckets
}

type labels struct {
	route, team, run, reason, step string
}

func newCounters(s tally.Scope) *counters {
	return &counters{
		scope: s, series: map[labels]tally.Counter{}, latency: map[string]tally.Histogram{},
		buckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16),
	}
}

func (c *counters) count(e *Exchange, o Outcome, step string, took time.Duration) {
	route := "none"
	if e.Route != nil {
		route = e.Route.Name
	}
	l := labels{route, e.TeamName(), string(o.Run), string(o.Reason), step}
	c.mutex.RLock()
	n, h := c.series[l], c.latency[route]
	c.mutex.RUnlock()
	if n == nil || h == nil {
		n, h = c.add(l, route)
	}
	n.Inc(1)
	h.RecordDuration(took)
}

// add makes a counter; past the bound all further ones are one.
func (c *counters) add(l labels, route string) (tally.Counter, tally.Histogram) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.series) >= maxSeries {
		l, route = labels{route: "other", run: l.run}, "other"
	}
	if c.series[l] == nil {
		tags := map[string]string{"route": l.route, "team": l.team, "run": l.run, "reason": l.reason, "step": l.step}
		c.series[l] = c.scope.Tagged(tags).Counter("requests")
	}
	if c.latency[route] == nil {
		c.latency[route] = c.scope.Tagged(map[string]string{"route": route}).Histogram("requestTime", c.buckets)
	}
	return c.series[l], c.latency[route]
}
