// Package splitter divides the requests of a route among its services by weight.
package splitter

import (
	"context"
	"sync"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Splitter is the step that chooses the service of each request. Each choice goes to the
// service that is furthest behind its weight, so that the shares are exact over short spans.
type Splitter struct {
	mutex  sync.Mutex
	routes map[string]*turns
}

// turns holds how far each service of a route is behind its weight.
type turns struct {
	route  *parser.Route
	behind []float64
}

// NewSplitter returns a Splitter.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]*turns{}}
}

// Step returns the pipeline step.
func (s *Splitter) Step() handler.Step {
	return handler.Step{Name: "splitter", Handle: s.split}
}

func (s *Splitter) split(_ context.Context, e *handler.Exchange) handler.Outcome {
	if len(e.Route.Parts) > 1 {
		e.Service = s.next(e.Route)
		e.Course = handler.Course{Version: e.Service.Version}
	}
	return handler.Outcome{}
}

func (s *Splitter) next(r *parser.Route) *parser.Service {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.routes[r.Name]
	if t == nil || !sameParts(t.route, r) {
		t = &turns{behind: make([]float64, len(r.Parts))}
		s.routes[r.Name] = t
	}
	t.route = r
	total, best := 0.0, 0
	for i, p := range r.Parts {
		total += p.Weight
		t.behind[i] += p.Weight
		if t.behind[i] > t.behind[best] {
			best = i
		}
	}
	t.behind[best] -= total
	return r.Parts[best].Service
}

func sameParts(a, b *parser.Route) bool {
	if a == b {
		return true
	}
	if len(a.Parts) != len(b.Parts) {
		return false
	}
	for i, p := range a.Parts {
		if p.Service.Name != b.Parts[i].Service.Name || p.Weight != b.Parts[i].Weight {
			return false
		}
	}
	return true
}
