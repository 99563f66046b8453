// Package splitter divides the requests of a route among its services by weight.
package splitter

import (
	"context"
	"sync"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// Splitter is the step that chooses the service of each request. It chooses the service that is
// furthest behind its weight (smooth weighted round-robin), so that the shares are exact over short
// spans.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*routeDeficits
}

// routeDeficits holds how far each service of a route is behind its weight.
type routeDeficits struct {
	// index is that of the newest view of which the route was.
	index    uint64
	route    *parser.Route
	deficits []float64
}

// NewSplitter returns a Splitter.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]*routeDeficits{}}
}

// Step returns the pipeline step.
func (s *Splitter) Step() handler.Step {
	return handler.Step{Name: "splitter", Handle: s.split}
}

func (s *Splitter) split(_ context.Context, e *handler.Exchange) handler.Outcome {
	if len(e.Route.WeightedServices) > 1 {
		e.Service = s.nextService(e.View, e.Route)
		e.Selection = handler.Selection{Version: e.Service.Version}
	}
	return handler.Outcome{}
}

// nextService returns the service of the next request, and updates the deficits of the route. The request of an
// older view follows the newer route, whose deficits it would otherwise clear.
func (s *Splitter) nextService(v *receiver.View, r *parser.Route) *parser.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.routes[r.Name]
	if t != nil && v.Index < t.index {
		r = t.route
	}
	if t == nil || !sameParts(t.route, r) {
		t = &routeDeficits{deficits: make([]float64, len(r.WeightedServices))}
		s.routes[r.Name] = t
	}
	t.route, t.index = r, max(t.index, v.Index)
	total, best := 0.0, 0
	for i, p := range r.WeightedServices {
		total += p.Weight
		t.deficits[i] += p.Weight
		if t.deficits[i] > t.deficits[best] {
			best = i
		}
	}
	t.deficits[best] -= total
	return r.WeightedServices[best].Service
}

// sameParts reports whether two routes have the same services and weights.
func sameParts(a, b *parser.Route) bool {
	if a == b {
		return true
	}
	if len(a.WeightedServices) != len(b.WeightedServices) {
		return false
	}
	for i, p := range a.WeightedServices {
		if p.Service.Name != b.WeightedServices[i].Service.Name || p.Weight != b.WeightedServices[i].Weight {
			return false
		}
	}
	return true
}
