package balancer

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// withLeaving returns the targets of a view, with those of a region leaving.
func withLeaving(v *receiver.View, region string) map[string][]*receiver.ListedTarget {
	out := map[string][]*receiver.ListedTarget{}
	for _, l := range v.Targets["drafts"] {
		n := *l
		n.Leaving = l.Region == region
		out["drafts"] = append(out["drafts"], &n)
	}
	return out
}

// Guards against later attempts that pick their target by the view of the request's start, and reach a zone
// that was evacuated or a target that began to leave since.
func TestAttemptsUseTheLatestView(t *testing.T) {
	cases := []struct {
		name   string
		change func(v *receiver.View)
	}{
		{"evacuated zone", func(v *receiver.View) { v.Evacuated = map[string]bool{"south1": true} }},
		{"leaving targets", func(v *receiver.View) { v.Targets = withLeaving(v, "south") }},
		{"targets are gone", func(v *receiver.View) {
			v.Targets = map[string][]*receiver.ListedTarget{"drafts": v.Targets["drafts"][3:]}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(map[string]int{"south": 3})
			for i := range 3 {
				m.addTarget("north", fmt.Sprint("north-", i))
			}
			before, after := m.view, *m.view
			c.change(&after)
			b, _, _ := newBalancer(1000, nil)
			current, late := before, 0
			b.config.Picker.config.View = func() *receiver.View { return current }
			b.config.Send = func(_ context.Context, _ *handler.Exchange, t *parser.Target) *forwarder.SendResult {
				if current == before {
					current = &after
					return breaks()
				}
				if t.Region == "south" {
					late++
				}
				return answers()
			}
			for i := range 100 {
				current = before
				e := newExchange(b, before, parser.ClassIdempotent)
				e.ID = fmt.Sprint(i)
				b.balance(context.Background(), e)
			}
			is.Equal(late, 0)
		})
	}
}

// Guards against a request that brings back the targets of an older view, after another has used a newer one:
// a target that is leaving would count as staying, and the state of those that joined would be lost.
func TestOlderRequestKeepsNewerTargets(t *testing.T) {
	is := is.New(t)
	m := newSimulation(map[string]int{"south": 3})
	before, after := m.view, *m.view
	after.Targets = withLeaving(before, "south")
	after.Targets["drafts"][0].Leaving = false
	b, _, sent := newBalancer(1000, []func() *forwarder.SendResult{answers})
	b.config.Picker.config.View = func() *receiver.View { return &after }
	b.balance(context.Background(), newExchange(b, &after, parser.ClassIdempotent))
	for range 20 {
		b.balance(context.Background(), newExchange(b, before, parser.ClassIdempotent))
	}
	for _, name := range *sent {
		is.Equal(name, after.Targets["drafts"][0].Name)
	}
	for _, l := range b.config.Picker.services["drafts"].list {
		is.Equal(l.leavingSince > 0, l.listed.Name != after.Targets["drafts"][0].Name)
	}
}

// Guards against later attempts on the side of a move that the first attempt took, although control has taken the
// move back, or has completed it, since.
func TestAttemptsFollowTheMove(t *testing.T) {
	for _, c := range []struct{ name, before, after string }{{"taken back", "v2", "v1"}, {"done", "v1", "v2"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(map[string]int{"south": 6})
			for i, l := range m.view.Targets["drafts"] {
				l.Version = []string{"v1", "v2"}[i%2]
			}
			b, _, _ := newBalancer(10, nil)
			b.config.Picker.config.View = func() *receiver.View { return m.view }
			b.config.Reselect = func(e *handler.Exchange) { e.Selection.Version = c.after }
			var versions []string
			b.config.Send = func(_ context.Context, _ *handler.Exchange, t *parser.Target) *forwarder.SendResult {
				versions = append(versions, t.Version)
				return breaks()
			}
			e := newExchange(b, m.view, parser.ClassIdempotent)
			e.Selection = handler.Selection{Version: c.before}
			b.balance(context.Background(), e)
			is.Equal(versions, []string{c.before, c.after})
		})
	}
}
