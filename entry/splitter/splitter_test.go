package splitter

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestShares checks that, over any span, the share of each service is within two requests of its
// weight, also across changes of other parts of the configuration.
func TestShares(t *testing.T) {
	a, b, c := &parser.Service{Name: "a"}, &parser.Service{Name: "b"}, &parser.Service{Name: "c"}
	for name, parts := range map[string][]parser.WeightedService{
		"90 and 10":  {{Service: a, Weight: 90}, {Service: b, Weight: 10}},
		"thirds":     {{Service: a, Weight: 1}, {Service: b, Weight: 1}, {Service: c, Weight: 1}},
		"none for b": {{Service: a, Weight: 1}, {Service: b, Weight: 0}},
		"odd":        {{Service: a, Weight: 0.7}, {Service: b, Weight: 12.3}, {Service: c, Weight: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSplitter()
			count, total := map[string]int{}, 0.0
			for _, p := range parts {
				total += p.Weight
			}
			for i := range 1000 {
				r := &parser.Route{Name: "r", Service: a, WeightedServices: parts} // a new one, as after a change
				e := &handler.Exchange{View: &receiver.View{}, Route: r, Service: a}
				is.True(!s.split(context.Background(), e).IsFinal())
				count[e.Service.Name]++
				for _, p := range parts {
					due := float64(i+1) * p.Weight / total
					is.True(float64(count[p.Service.Name]) <= due+2 && float64(count[p.Service.Name]) >= due-2)
				}
			}
		})
	}
}

// Guards against requests of an older view that clear the deficits of a newer route at each turn, so that its services
// get other shares than their weights, and that still go to a service which the route has left.
func TestOlderRequestsKeepTheShares(t *testing.T) {
	is := is.New(t)
	a, b, c := &parser.Service{Name: "a"}, &parser.Service{Name: "b"}, &parser.Service{Name: "c"}
	routes := map[uint64]*parser.Route{
		7: {Name: "r", Service: a, WeightedServices: []parser.WeightedService{{Service: a, Weight: 90}, {Service: c, Weight: 10}}},
		8: {Name: "r", Service: a, WeightedServices: []parser.WeightedService{{Service: a, Weight: 90}, {Service: b, Weight: 10}}},
	}
	s, count := NewSplitter(), map[string]int{}
	for i := range 1000 {
		index := uint64(8 - i%2)
		e := &handler.Exchange{View: &receiver.View{Index: index}, Route: routes[index], Service: a}
		is.True(!s.split(context.Background(), e).IsFinal())
		count[e.Service.Name]++
	}
	is.True(count["b"] >= 98 && count["b"] <= 102)
	is.Equal(count["c"], 0)
}
