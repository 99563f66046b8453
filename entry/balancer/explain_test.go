package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/admitter"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// TestExplanationIsThePick guards against an explanation that differs from what happens to the next request, or that
// changes it: two entries get the same requests, and only one of them is asked.
func TestExplanationIsThePick(t *testing.T) {
	is := is.New(t)
	asked, silent := newStatements(12), newStatements(12)
	slow := served()
	slow.Load = &forwarder.Load{Running: 3, Slots: 6, Slowness: 3}
	results := []*forwarder.SendResult{served(), slow, {Result: failure}, {Unreachable: true, Result: failure}, leaving()}
	picked, refused := 0, 0
	for i := range 2000 {
		x := asked.entry.picker.Explain(asked.request())
		asked.count--
		result := results[0]
		if i%7 == 0 {
			result = results[i/7%len(results)]
		}
		name, delay := asked.send(result)
		is.Equal(x.Pick, name)
		is.Equal(x.Refusal == "", name != "")
		is.Equal(x.Delay, delay)
		same, _ := silent.send(result)
		is.Equal(name, same)
		if name == "" {
			refused++
		} else {
			picked++
		}
		if i%500 == 400 { // new targets replace those that have left
			asked.replaceTargets(i)
			silent.replaceTargets(i)
		}
		asked.now += 20 * time.Millisecond
		silent.now += 20 * time.Millisecond
	}
	is.True(picked > 1000)
	t.Logf("%d picks, %d refusals", picked, refused)
}

// TestExplainedAdmission guards against an explanation that names another decision of admission than the next request
// meets.
func TestExplainedAdmission(t *testing.T) {
	for name, running := range map[string]int{"room": 0, "short": 6, "a queue": 9, "a long queue": 60} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(0, []func() *forwarder.SendResult{answers})
			b.config.Admitter = admitter.NewAdmitter(admitter.Config{Short: 0.9, LeastShare: 0.5, HoldShare: 0.01})
			b.admission = newAdmission(b.config)
			warm := newExchange(b, view, parser.ClassAtMostOnce)
			b.config.Picker.Pick(b.pickRequest(warm)) // lists the targets
			for _, s := range b.config.Picker.services["drafts"].list {
				s.running, s.tried = running, true
			}
			e := newExchange(b, view, parser.ClassAtMostOnce)
			e.Route.Aim = 300 * time.Millisecond
			x := b.Explain(e, e.Selection)
			o := b.balance(context.Background(), e)
			is.True(x.Admission != nil)
			is.Equal(x.Pick != "", o.Run == handler.Done)
			is.Equal(x.Admission.Verdict == "admit", o.Run == handler.Done)
			if x.Pick != "" {
				is.Equal((*sent)[len(*sent)-1], x.Pick)
			} else {
				is.Equal(e.Trace.Cause, string(x.Admission.Cause))
			}
		})
	}
}

func (s *statements) replaceTargets(generation int) {
	var list []*receiver.ListedTarget
	for i := range 12 {
		l := copyOf(s.view.Targets["drafts"][i], false)
		t := *l.Target
		t.Name = fmt.Sprintf("south-%d-%d", generation, i)
		l.Target, l.ColdUntil = &t, s.now+time.Second
		list = append(list, l)
	}
	s.list(list...)
}

// TestExclusions checks the rule that an explanation names for a target that can't be picked.
func TestExclusions(t *testing.T) {
	cases := []struct {
		rule   string
		change func(s *statements, d *PickRequest, one *target)
	}{
		{"its availability zone is evacuated", func(s *statements, _ *PickRequest, _ *target) {
			s.view.Evacuated = map[string]bool{"south1": true}
		}},
		{"its version takes no such requests", func(_ *statements, d *PickRequest, _ *target) {
			d.Allows = handler.Selection{Version: "v2"}.Allows
		}},
		{"its region is not among the homes", func(_ *statements, d *PickRequest, _ *target) { d.Homes = []string{"north"} }},
		{"another target answers at its address", func(_ *statements, _ *PickRequest, one *target) { one.replaced = true }},
		{"it is leaving", func(_ *statements, _ *PickRequest, one *target) { one.leavingSince = time.Minute }},
		{"it turns this entry away for another 2s", func(s *statements, _ *PickRequest, one *target) { one.turnedAwayUntil = s.now + 2*time.Second }},
		{"it is cold, and its rate is used up", func(s *statements, d *PickRequest, one *target) {
			d.ColdRate, one.coldTokens, one.coldRefilledAt = 1, 0, s.now
			one.listed.ColdUntil = s.now + time.Second
		}},
		{"it is ejected after failures for another 3s", func(s *statements, _ *PickRequest, one *target) { one.ejectedUntil = s.now + 3*time.Second }},
	}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			is := is.New(t)
			s := newStatements(3)
			s.send(served())
			one, d := s.state("south-1"), s.request()
			c.change(s, &d, one)
			x := s.entry.picker.Explain(d)
			is.Equal(len(x.Targets), 3)
			for _, v := range x.Targets {
				if v.Name == "south-1" {
					is.Equal(v.Excluded, c.rule)
				}
				is.Equal(v.Excluded == "", v.Verdict != "") // each target is either ranked or excluded
			}
			is.Equal(x.Pick == "", x.Refusal != "")
		})
	}
}
