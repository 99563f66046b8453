package handler

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxSeries bounds the number of counters, since labels come from requests.
const maxSeries = 2000

// requestMetrics counts requests by their labels and records their latency by route. Metrics
// are cached, so that a known label set needs no lookup in the scope.
type requestMetrics struct {
	scope    tally.Scope
	mutex    sync.RWMutex
	requests map[labels]tally.Counter
	latency  map[string]tally.Histogram
	buckets  tally.DurationBuckets
}

type labels struct {
	route, team, run, reason, step string
}

func newRequestMetrics(s tally.Scope) *requestMetrics {
	return &requestMetrics{
		scope: s, requests: map[labels]tally.Counter{}, latency: map[string]tally.Histogram{},
		buckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16),
	}
}

func (c *requestMetrics) record(e *Exchange, o Outcome, step string, took time.Duration) {
	route := "none"
	if e.Route != nil {
		route = e.Route.Name
	}
	l := labels{route, e.TeamName(), string(o.Run), string(o.Reason), step}
	c.mutex.RLock()
	n, h := c.requests[l], c.latency[route]
	c.mutex.RUnlock()
	if n == nil || h == nil {
		n, h = c.add(l, route)
	}
	n.Inc(1)
	h.RecordDuration(took)
}

// add creates the metrics of a label set. Past maxSeries, further label sets share one counter
// per Run value and one histogram.
func (c *requestMetrics) add(l labels, route string) (tally.Counter, tally.Histogram) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.requests) >= maxSeries {
		l, route = labels{route: "other", run: l.run}, "other"
	}
	if c.requests[l] == nil {
		tags := map[string]string{"route": l.route, "team": l.team, "run": l.run, "reason": l.reason, "step": l.step}
		c.requests[l] = c.scope.Tagged(tags).Counter("requests")
	}
	if c.latency[route] == nil {
		c.latency[route] = c.scope.Tagged(map[string]string{"route": route}).Histogram("requestTime", c.buckets)
	}
	return c.requests[l], c.latency[route]
}
