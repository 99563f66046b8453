package balancer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/dispatcher"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// statements is a simulation with one entry and requests that end at once.
type statements struct {
	*simulation
	entry *simulatedEntry
	count int
}

func newStatements(targets int) *statements {
	m := newSimulation(map[string]int{"south": targets})
	m.now = time.Hour
	return &statements{simulation: m, entry: m.entries[0]}
}

func (s *statements) request() PickRequest {
	s.count++
	return PickRequest{
		Service: "drafts", WorkKind: "w", Object: string(rune('a' + s.count%50)), Allows: func(string) bool { return true },
		Remaining: time.Minute, MaxQueueWait: time.Minute,
	}
}

// send sends a request, to which the target responds as given. It returns the target's name, or "" and
// the time until one has capacity.
func (s *statements) send(result *forwarder.SendResult) (name string, delay time.Duration) {
	d := s.request()
	k, delay := s.entry.picker.Pick(d)
	if k == nil {
		return "", delay
	}
	s.entry.picker.Done(k, d, result, 0)
	return k.Target.Name, 0
}

// state returns the entry's state of a target.
func (s *statements) state(name string) *target {
	return s.entry.picker.services["drafts"].targets[name]
}

// countPicks sends requests every 50 ms for a time and returns how many each target got.
func (s *statements) countPicks(d time.Duration) map[string]int {
	out := map[string]int{}
	for end := s.now + d; s.now < end; s.now += 50 * time.Millisecond {
		name, _ := s.send(served())
		out[name]++
	}
	return out
}

// list replaces the list of targets, as the platform shows it.
func (s *statements) list(targets ...*receiver.ListedTarget) {
	v := *s.view
	v.Targets = map[string][]*receiver.ListedTarget{"drafts": targets}
	s.view = &v
}

func copyOf(l *receiver.ListedTarget, leaving bool) *receiver.ListedTarget {
	n := *l
	n.Leaving = leaving
	return &n
}

func served() *forwarder.SendResult {
	return &forwarder.SendResult{Result: dispatcher.Result{Latency: 10 * time.Millisecond}}
}

func leaving() *forwarder.SendResult {
	s := served()
	s.LeavingTarget, s.Result.Leaving = "it", true
	return s
}

func turnedAway(d time.Duration) *forwarder.SendResult {
	return &forwarder.SendResult{Refused: true, Result: failure, TurnedAway: d}
}

// TestTargetStatesLeaving checks that a target that stated once that it is leaving gets no requests
// until it is gone, whatever the platform's list says meanwhile.
func TestTargetStatesLeaving(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *statements, left *receiver.ListedTarget, others []*receiver.ListedTarget)
	}{
		{"listed as ready", func(*statements, *receiver.ListedTarget, []*receiver.ListedTarget) {}},
		{"listed anew", func(s *statements, l *receiver.ListedTarget, others []*receiver.ListedTarget) {
			s.list(append(others, copyOf(l, false))...)
		}},
		{"listed as leaving, then as ready", func(s *statements, l *receiver.ListedTarget, others []*receiver.ListedTarget) {
			s.list(append(others, copyOf(l, true))...)
			s.countPicks(time.Second)
			s.list(append(others, copyOf(l, false))...)
		}},
		{"all others ejected", func(s *statements, _ *receiver.ListedTarget, others []*receiver.ListedTarget) {
			for _, l := range others {
				s.state(l.Name).ejectedUntil = s.now + time.Hour
			}
		}},
		{"ejected itself", func(s *statements, l *receiver.ListedTarget, _ []*receiver.ListedTarget) {
			s.state(l.Name).ejectedUntil = s.now + time.Second
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStatements(4)
			name, _ := s.send(leaving())
			var left *receiver.ListedTarget
			var others []*receiver.ListedTarget
			for _, l := range s.view.Targets["drafts"] {
				if l.Name == name {
					left = l
				} else {
					others = append(others, l)
				}
			}
			c.change(s, left, others)
			n := s.countPicks(time.Minute)
			is.Equal(n[name], 0)
			is.Equal(n[""], 0) // the others serve all requests
			is.True(!s.entry.picker.AcceptsProbes(left.Target))
			s.list(others...)
			s.countPicks(time.Second)
			s.list(append(others, copyOf(left, false))...) // it started again
			is.True(s.countPicks(time.Minute)[name] > 0)
		})
	}
}

// TestLeavingSeenByAnotherEntry checks that a target gets no requests that stated to another entry
// that it is leaving.
func TestLeavingSeenByAnotherEntry(t *testing.T) {
	is := is.New(t)
	s := newStatements(3)
	s.countPicks(time.Second)
	s.entry.picker.RecordLeaving("south-1")
	s.entry.picker.RecordLeaving("unknown")
	is.Equal(s.countPicks(time.Minute)["south-1"], 0)
}

// TestReportedLeaving checks which targets are reported as leaving: those that the list does not show
// so.
func TestReportedLeaving(t *testing.T) {
	is := is.New(t)
	s := newStatements(2)
	is.Equal(len(s.entry.picker.LeavingTargets()), 0)
	name, _ := s.send(leaving())
	is.Equal(s.entry.picker.LeavingTargets(), []string{name})
	var list []*receiver.ListedTarget
	for _, l := range s.view.Targets["drafts"] {
		list = append(list, copyOf(l, l.Name == name))
	}
	s.list(list...)
	s.countPicks(time.Second)
	is.Equal(len(s.entry.picker.LeavingTargets()), 0)
}

// TestAllTargetsLeave checks that targets serve for a short while after all have announced that they
// leave, and that requests are refused afterwards.
func TestAllTargetsLeave(t *testing.T) {
	is := is.New(t)
	s := newStatements(3)
	for range 200 {
		s.send(leaving())
	}
	n := s.countPicks(5 * time.Second)
	is.True(n[""] >= int((5*time.Second-lastResortTime)/(50*time.Millisecond)))
	is.True(n[""] < 100)
	is.Equal(s.countPicks(time.Minute), map[string]int{"": 1200})
}

// TestTurnedAway checks that a target that turns this entry away gets no request until the time that
// it stated is over, and then one at a time until one succeeds.
func TestTurnedAway(t *testing.T) {
	for _, d := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 5 * time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			is := is.New(t)
			s := newStatements(4)
			name, _ := s.send(turnedAway(d))
			begun := s.now
			for _, l := range s.view.Targets["drafts"] {
				if l.Name != name {
					s.state(l.Name).ejectedUntil = s.now + time.Second // most are ejected, so these are used
				}
			}
			is.Equal(s.countPicks(d - 50*time.Millisecond)[name], 0)
			is.True(!s.entry.picker.AcceptsProbes(&parser.Target{Service: "drafts", Name: name}))
			s.now = begun + d + maxReturnSpread
			var picked []*Pick
			var last PickRequest
			for range 400 {
				d := s.request()
				if k, _ := s.entry.picker.Pick(d); k != nil && k.Target.Name == name {
					picked, last = append(picked, k), d
				}
			}
			is.Equal(len(picked), 1)
			s.entry.picker.Done(picked[0], last, served(), 0)
			is.True(s.countPicks(time.Minute)[name] > 1)
		})
	}
	t.Run("all targets", func(t *testing.T) {
		is := is.New(t)
		s := newStatements(2)
		for range 40 {
			s.send(turnedAway(5 * time.Second))
		}
		name, delay := s.send(served())
		is.Equal(name, "")
		is.True(delay >= 5*time.Second && delay <= 5*time.Second+maxReturnSpread)
		s.now += 4 * time.Second
		_, delay = s.send(served())
		is.True(delay >= time.Second && delay <= time.Second+maxReturnSpread)
	})
	t.Run("a time that can't be used", func(t *testing.T) {
		is := is.New(t)
		s := newStatements(1)
		d := s.request()
		k, _ := s.entry.picker.Pick(d)
		is.Equal(s.entry.picker.Done(k, d, &forwarder.SendResult{Refused: true, Result: failure, TurnAwayInvalid: true}, 0), TurnedAway) // it is logged
		is.True(s.entry.picker.AcceptsProbes(k.Target.Target))
	})
	t.Run("entries return at different times", func(t *testing.T) {
		is := is.New(t)
		times := map[time.Duration]bool{}
		for range 20 {
			s := newStatements(1)
			s.send(turnedAway(2 * time.Second))
			times[s.state("south-0").turnedAwayUntil.Round(10*time.Millisecond)] = true
		}
		is.True(len(times) > 10)
	})
}
