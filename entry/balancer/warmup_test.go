package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/forwarder"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

const (
	coldRate = 10
	// excluded stands for the CheckNeed of a target that gets no request.
	excluded carrier.CheckNeed = -1
	moment                     = time.Nanosecond
)

// Results of attempts that end before a response.
var (
	lost      = &forwarder.SendResult{ConnectionLost: true}
	withheld  = &forwarder.SendResult{Withheld: true}
	abandoned = &forwarder.SendResult{}
)

// newWarmupStatements returns statements of three targets, whose entry began long ago.
func newWarmupStatements() *statements {
	s := newStatements(3)
	s.entry.picker.Forecast(s.request()) // takes the list
	s.now += outbreakSpan
	return s
}

// checkedRequest returns a request of a service whose targets state their warm-up.
func (s *statements) checkedRequest() PickRequest {
	d := s.request()
	d.ColdRate, d.StatesWarmup = coldRate, true
	return d
}

// pickOnly picks a target for a request that may go to no other one; k is nil if it may not go there.
func (s *statements) pickOnly(name string, d PickRequest) (k *Pick, _ PickRequest) {
	for _, l := range s.view.Targets["drafts"] {
		if l.Name != name {
			d.Excluded = append(d.Excluded, l.Name)
		}
	}
	k, _ = s.entry.picker.Pick(d)
	return k, d
}

// finish records the result of a request to a target, which must get it.
func (s *statements) finish(name string, r *forwarder.SendResult) {
	k, d := s.pickOnly(name, s.checkedRequest())
	s.entry.picker.Done(k, d, r, 0)
}

// answer records what a target answers to a check.
func (s *statements) answer(name string, left time.Duration, stated bool) {
	k, d := s.pickOnly(name, s.checkedRequest())
	s.entry.picker.RecordWarmup(k, left, stated)
	r := abandoned
	if left > 0 || !stated {
		r = withheld
	}
	s.entry.picker.Done(k, d, r, 0)
}

// needOf returns when a target is asked before a given request.
func (s *statements) needOf(name string, d PickRequest) carrier.CheckNeed {
	k, d := s.pickOnly(name, d)
	if k == nil {
		return excluded
	}
	s.entry.picker.Done(k, d, abandoned, 0)
	return k.CheckNeed
}

func (s *statements) need(name string) carrier.CheckNeed {
	return s.needOf(name, s.checkedRequest())
}

// isCold reports whether a target counts as cold at the entry, by the latest list.
func (s *statements) isCold(name string) bool {
	s.entry.picker.Forecast(s.request())
	return s.state(name).isCold(s.now)
}

// relist shows the list without a target, and after a time the target as given.
func (s *statements) relist(name string, gone time.Duration, change func(l *receiver.ListedTarget)) {
	before := s.view.Targets["drafts"]
	var others, next []*receiver.ListedTarget
	for _, l := range before {
		n := *l
		if l.Name == name {
			change(&n)
		} else {
			others = append(others, l)
		}
		next = append(next, &n)
	}
	if gone > 0 {
		s.list(others...)
		s.entry.picker.Forecast(s.request())
		s.now += gone
	}
	s.list(next...)
}

func unchanged(*receiver.ListedTarget) {}

// evacuate shows a zone as evacuated, or as no longer so.
func (s *statements) evacuate(zones ...string) {
	v := *s.view
	v.Evacuated = map[string]bool{}
	for _, z := range zones {
		v.Evacuated[z] = true
	}
	s.view = &v
	s.entry.picker.Forecast(s.request())
}

// TestDoubt guards against a request without a check to a target that may have restarted, against checks without a
// reason, and against those that never end.
func TestDoubt(t *testing.T) {
	const zone = "south1"
	cases := []struct {
		name string
		do   func(s *statements)
		want carrier.CheckNeed
	}{
		{"nothing was seen", func(*statements) {}, carrier.IfBroken},
		{"a request was served", func(s *statements) { s.finish("south-0", served()) }, carrier.IfBroken},
		{"a connection is lost", func(s *statements) { s.finish("south-0", lost) }, carrier.UnlessOpen},
		{"a connection to another target is lost", func(s *statements) { s.finish("south-1", lost) }, carrier.IfBroken},
		{"a connection is lost during a check", func(s *statements) {
			s.finish("south-0", &forwarder.SendResult{Withheld: true, ConnectionLost: true})
			s.now += checkPause
		}, carrier.UnlessOpen},
		{"the doubt is about to lapse", func(s *statements) {
			s.finish("south-0", lost)
			s.now += doubtExpiry - moment
		}, carrier.UnlessOpen},
		{"the doubt has lapsed", func(s *statements) {
			s.finish("south-0", lost)
			s.now += doubtExpiry
		}, carrier.IfBroken},
		{"lost again, so that the doubt goes on", func(s *statements) {
			s.finish("south-0", lost)
			s.now += doubtExpiry - moment
			s.finish("south-0", lost)
			s.now += doubtExpiry - moment
		}, carrier.UnlessOpen},
		{"warm, by itself", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", 0, true)
		}, carrier.IfBroken},
		{"cold, by itself", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", time.Second, true)
			s.now += time.Second
		}, carrier.UnlessOpen},
		{"cold, by itself, and served after", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", time.Second, true)
			s.now += time.Second
			r := served()
			r.Status = 200
			s.finish("south-0", r)
		}, carrier.IfBroken},
		{"cold, by itself, long ago", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", time.Second, true)
			s.now += time.Second + doubtExpiry
		}, carrier.IfBroken},
		{"cold, by itself, after an old connection is lost", func(s *statements) {
			k, d := s.pickOnly("south-0", s.checkedRequest())
			s.entry.picker.RecordWarmup(k, checkPause/2, true)
			s.entry.picker.Done(k, d, &forwarder.SendResult{Withheld: true, ConnectionLost: true}, 0)
			s.now += checkPause / 2
		}, carrier.UnlessOpen},
		{"cold, and a connection is lost after", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", time.Second, true)
			s.now += time.Second
			s.finish("south-0", lost)
		}, carrier.UnlessOpen},
		{"states nothing", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-0", 0, false)
			s.now += checkPause
		}, carrier.UnlessOpen},
		{"listed anew", func(s *statements) {
			s.finish("south-0", lost)
			s.relist("south-0", 0, unchanged)
		}, carrier.UnlessOpen},
		{"gone and listed again", func(s *statements) {
			s.finish("south-0", lost)
			s.relist("south-0", doubtExpiry/2, unchanged)
		}, carrier.UnlessOpen},
		{"gone and listed at another address", func(s *statements) {
			s.finish("south-0", lost)
			s.relist("south-0", doubtExpiry/2, func(l *receiver.ListedTarget) {
				n := *l.Target
				n.Address = "another"
				l.Target = &n
			})
		}, carrier.IfBroken},
		{"its zone was evacuated", func(s *statements) {
			s.evacuate(zone)
			s.evacuate()
		}, carrier.Always},
		{"its zone was evacuated, with another that still is", func(s *statements) {
			s.evacuate(zone, "north1")
			s.evacuate("north1")
		}, carrier.Always},
		{"its zone was evacuated, and its targets are listed anew", func(s *statements) {
			s.evacuate(zone)
			s.relist("south-0", 0, unchanged)
			s.evacuate()
		}, carrier.Always},
		{"another zone was evacuated", func(s *statements) {
			s.evacuate("north1")
			s.evacuate()
		}, carrier.IfBroken},
		{"its zone was evacuated long ago", func(s *statements) {
			s.evacuate(zone)
			s.evacuate()
			s.now += doubtExpiry
		}, carrier.IfBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newWarmupStatements()
			is.Equal(s.need("south-0"), carrier.IfBroken) // nothing is doubted yet
			c.do(s)
			is.Equal(s.need("south-0"), c.want)
		})
	}
}

// TestServicesWithoutChecks guards against checks of targets that state no warm-up, or that may get any number of
// requests while cold.
func TestServicesWithoutChecks(t *testing.T) {
	for name, change := range map[string]func(d *PickRequest){
		"no limit while cold": func(d *PickRequest) { d.ColdRate = 0 },
		"no statements":       func(d *PickRequest) { d.StatesWarmup = false },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newWarmupStatements()
			s.finish("south-0", lost)
			s.finish("south-1", lost)
			s.finish("south-1", withheld) // its pause holds up no request that needs no check
			for _, target := range []string{"south-0", "south-1", "south-2"} {
				d := s.request()
				d.ColdRate, d.StatesWarmup = coldRate, true
				change(&d)
				is.Equal(s.needOf(target, d), carrier.Never)
			}
		})
	}
}

// TestStatedWarmup guards against a cold target that counts as warm by an older list, and against one that restarts after
// its statement and counts as warm by that.
func TestStatedWarmup(t *testing.T) {
	cases := []struct {
		name string
		// stated is what the target stated. The list was read at a time after that, or before it, and shows the warm-up's
		// end; all times count from the statement.
		stated, read, listed time.Duration
		// end is the end of the warm-up at the entry.
		end time.Duration
	}{
		{"an older list shows it as warm", 3 * time.Second, -time.Second, -time.Second, 3 * time.Second},
		{"an older list shows an earlier end", 3 * time.Second, -time.Second, time.Second, 3 * time.Second},
		{"an older list shows a later end", time.Second, -time.Second, 5 * time.Second, time.Second},
		{"an older list shows it as cold, but it is warm", 0, -time.Second, 5 * time.Second, 0},
		{"a later list shows it as warm", 3 * time.Second, time.Second, time.Second, 3 * time.Second},
		{"a later list shows an earlier end", 3 * time.Second, time.Second, 2 * time.Second, 3 * time.Second},
		{"a later list shows a later end", time.Second, time.Second / 2, 5 * time.Second, 5 * time.Second},
		{"a later list shows that it restarted", 0, time.Second, 5 * time.Second, 5 * time.Second},
	}
	for _, c := range cases {
		for _, gone := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(c.name, ", gone for ", gone), func(t *testing.T) {
				is := is.New(t)
				s := newWarmupStatements()
				s.finish("south-0", lost)
				s.answer("south-0", c.stated, true)
				begun := s.now
				s.relist("south-0", gone, func(l *receiver.ListedTarget) { l.ReceivedAt, l.ColdUntil = begun+c.read, begun+c.listed })
				if c.end > 0 {
					s.now = begun + c.end - moment
					is.True(s.isCold("south-0"))
					need := s.need("south-0")
					is.True(need == carrier.Never || need == excluded) // it is known to be cold
				}
				s.now = begun + max(gone, c.end)
				is.True(!s.isCold("south-0"))
				want := carrier.IfBroken
				if c.stated > 0 {
					want = carrier.UnlessOpen // it may have restarted again while it got nothing
				}
				is.Equal(s.need("south-0"), want)
			})
		}
	}
}

// TestOutbreak guards against a target that restarts with others, and gets requests of an entry that has no connection
// to it, and against checks of all targets since one restarts.
func TestOutbreak(t *testing.T) {
	both := func(s *statements, between time.Duration) {
		s.finish("south-0", lost)
		s.now += between
		s.finish("south-1", lost)
	}
	cases := []struct {
		name string
		do   func(s *statements)
		want carrier.CheckNeed
	}{
		{"two targets", func(s *statements) { both(s, 0) }, carrier.UnlessOpen},
		{"two targets, barely in time", func(s *statements) { both(s, outbreakTrigger-moment) }, carrier.UnlessOpen},
		{"two targets, too far apart", func(s *statements) { both(s, outbreakTrigger) }, carrier.IfBroken},
		{"one target", func(s *statements) { s.finish("south-0", lost) }, carrier.IfBroken},
		{"one target, several times", func(s *statements) {
			for range 5 {
				s.finish("south-0", lost)
			}
		}, carrier.IfBroken},
		{"one target several times, then another", func(s *statements) {
			s.finish("south-0", lost)
			s.finish("south-0", lost)
			s.finish("south-1", lost)
		}, carrier.UnlessOpen},
		{"one target is lost, another is cold", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-1", time.Second, true)
		}, carrier.UnlessOpen},
		{"two targets are cold that responded since the last outbreak began", func(s *statements) {
			both(s, 0)
			s.now += outbreakSpan / 2
			for _, name := range []string{"south-0", "south-1"} {
				s.state(name).warmup.respondedAt = s.now
				s.answer(name, time.Second, true)
			}
			s.state("south-2").warmup.respondedAt = s.now - moment
		}, carrier.UnlessOpen},
		{"one target is lost, another is warm", func(s *statements) {
			s.finish("south-0", lost)
			s.answer("south-1", 0, true)
		}, carrier.IfBroken},
		{"about to end", func(s *statements) {
			both(s, 0)
			s.now += outbreakSpan - moment
		}, carrier.UnlessOpen},
		{"ended", func(s *statements) {
			both(s, 0)
			s.now += outbreakSpan
		}, carrier.IfBroken},
		{"goes on", func(s *statements) {
			both(s, 0)
			s.now += outbreakSpan - moment
			both(s, 0)
			s.now += outbreakSpan - moment
		}, carrier.UnlessOpen},
		{"the target responded before", func(s *statements) {
			s.finish("south-2", answeredAt())
			both(s, 0)
		}, carrier.UnlessOpen},
		{"the target has responded since", func(s *statements) {
			both(s, 0)
			s.now += moment
			s.finish("south-2", answeredAt())
		}, carrier.IfBroken},
		{"the target was warm since", func(s *statements) {
			both(s, 0)
			s.now += moment
			s.answer("south-2", 0, true)
		}, carrier.IfBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newWarmupStatements()
			c.do(s)
			is.Equal(s.need("south-2"), c.want)
		})
	}
	t.Run("the entry has just begun", func(t *testing.T) {
		is := is.New(t)
		s := newWarmupStatements()
		s.entry.picker = NewPicker(s.entry.picker.config)
		is.Equal(s.need("south-2"), carrier.UnlessOpen)
		s.now += outbreakSpan
		is.Equal(s.need("south-2"), carrier.IfBroken)
	})
}

func answeredAt() *forwarder.SendResult {
	r := served()
	r.Status = 200
	return r
}

// TestOneCheck guards against several requests that check a target at the same time, against more that follow a check
// that showed nothing, and against a target that is held up for ever.
func TestOneCheck(t *testing.T) {
	cases := []struct {
		name string
		end  func(p *Picker, k *Pick, d PickRequest)
		want carrier.CheckNeed
		// later is the need after a pause.
		later carrier.CheckNeed
	}{
		{"warm", func(p *Picker, k *Pick, _ PickRequest) { p.RecordWarmup(k, 0, true) }, carrier.IfBroken, carrier.IfBroken},
		{"warm and served", func(p *Picker, k *Pick, d PickRequest) {
			p.RecordWarmup(k, 0, true)
			p.Done(k, d, answeredAt(), 0)
		}, carrier.IfBroken, carrier.IfBroken},
		{"cold", func(p *Picker, k *Pick, d PickRequest) {
			p.RecordWarmup(k, checkPause, true)
			p.Done(k, d, withheld, 0)
		}, excluded, carrier.UnlessOpen},
		{"states nothing", func(p *Picker, k *Pick, d PickRequest) {
			p.RecordWarmup(k, 0, false)
			p.Done(k, d, withheld, 0)
		}, excluded, carrier.Always},
		{"no response in time", func(p *Picker, k *Pick, d PickRequest) { p.Done(k, d, withheld, 0) }, excluded, carrier.Always},
		{"the connection is lost", func(p *Picker, k *Pick, d PickRequest) { p.Done(k, d, lost, 0) }, carrier.Always, carrier.Always},
		{"not sent", func(p *Picker, k *Pick, d PickRequest) { p.Done(k, d, abandoned, 0) }, carrier.Always, carrier.Always},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newWarmupStatements()
			s.view.Entries = nil // no entry warms targets, so that cold ones get no request
			s.finish("south-0", lost)
			s.state("south-0").warmup.returned = true
			k, d := s.pickOnly("south-0", s.checkedRequest())
			is.Equal(k.CheckNeed, carrier.Always)
			is.Equal(s.need("south-0"), carrier.Always) // no other target may serve the request
			for range 20 {
				other, _ := s.entry.picker.Pick(s.checkedRequest())
				is.True(other.Target.Name != "south-0")
			}
			c.end(s.entry.picker, k, d)
			is.Equal(s.need("south-0"), c.want)
			s.now += checkPause - moment
			is.Equal(s.need("south-0"), c.want)
			s.now += moment
			is.Equal(s.need("south-0"), c.later)
			is.Equal(s.state("south-0").warmup.checks, 0)
		})
	}
	t.Run("a target that is not doubted itself", func(t *testing.T) {
		is := is.New(t)
		s := newWarmupStatements()
		s.finish("south-0", lost)
		s.finish("south-1", lost)
		s.finish("south-2", withheld)
		is.Equal(s.need("south-2"), excluded)
		s.now += checkPause
		is.Equal(s.need("south-2"), carrier.UnlessOpen)
	})
}

// TestWithheldAttempts guards against requests that fail since cold targets use up their attempts or the retry budget,
// and against a caller that is not told that its request has not run.
func TestWithheldAttempts(t *testing.T) {
	const idempotent, atMostOnce = parser.ClassIdempotent, parser.ClassAtMostOnce
	type script = []func() *forwarder.SendResult
	withholds := func() *forwarder.SendResult { return &forwarder.SendResult{Withheld: true, Outcome: refusal} }
	var many script
	for range maxWithheld - 1 {
		many = append(many, withholds)
	}
	cases := []struct {
		name     string
		class    parser.Class
		attempts int
		reserve  float64
		script   script
		sent     int
		run      handler.Run
		status   int
		// spent is the part of the budget that is used up, and charged how often a team pays.
		spent, charged int
	}{
		{"once", idempotent, 1, 0, script{withholds, answers}, 2, handler.Done, 200, 0, 0},
		{"once, at most once", atMostOnce, 1, 0, script{withholds, answers}, 2, handler.Done, 200, 0, 0},
		{"often", atMostOnce, 1, 0, append(many[:len(many):len(many)], answers), maxWithheld, handler.Done, 200, 0, 0},
		{"always", atMostOnce, 1, 0, script{withholds}, maxWithheld, handler.NotRun, 503, 0, 0},
		{"before a break", idempotent, 2, 1, script{withholds, breaks, answers}, 3, handler.Done, 200, 1, 1},
		{"after a break", idempotent, 2, 1, script{breaks, withholds, withholds, answers}, 4, handler.Done, 200, 1, 1},
		{"after a break, at most once", atMostOnce, 2, 1, script{breaks, answers}, 1, handler.Unknown, 502, 0, 0},
		{"between breaks", idempotent, 3, 2, script{breaks, withholds, breaks, withholds, answers}, 5, handler.Done, 200, 2, 2},
		{"between breaks, and the budget ends", idempotent, 3, 1, script{breaks, withholds, breaks, answers}, 3, handler.Unknown, 502, 1, 1},
		{"between breaks, and the attempts end", idempotent, 2, 2, script{breaks, withholds, breaks, answers}, 3, handler.Unknown, 502, 1, 1},
		{"always after a break", idempotent, 2, 1, script{breaks, withholds}, maxWithheld + 1, handler.Unknown, 502, 0, 1},
		{"among refusals", atMostOnce, 1, 10, script{refuses, withholds, refuses, withholds, refuses, withholds, answers}, 7, handler.Done, 200, 3, 0},
		{"before unreachable targets", atMostOnce, 1, 0, script{withholds, unreachable, withholds, unreachable, answers}, 5, handler.Done, 200, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, view, sent := newBalancer(c.reserve, c.script)
			for i := range maxWithheld {
				n := *view.Targets["drafts"][0]
				l := *n.Target
				l.Name = fmt.Sprint("more-", i)
				n.Target = &l
				view.Targets["drafts"] = append(view.Targets["drafts"], &n)
			}
			charged := 0
			e := newExchange(b, view, c.class)
			e.Route.Attempts = c.attempts
			e.ChargeRetry = func(context.Context) bool {
				charged++
				return true
			}
			o := b.balance(context.Background(), e)
			is.Equal(len(*sent), c.sent)
			is.Equal(o.Run, c.run)
			is.Equal(o.Status, c.status)
			is.Equal(b.config.RetryBudget.services["drafts"].tokens, c.reserve-float64(c.spent))
			is.Equal(charged, c.charged)
			is.Equal(len(e.Trace.Attempts), c.sent)
			names := map[string]bool{}
			for _, name := range *sent {
				names[name] = true
			}
			is.Equal(len(names), c.sent) // no target twice
		})
	}
}

// TestEndedAfterWithheld guards against another check for a request whose caller has gone, or whose time is over.
func TestEndedAfterWithheld(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(map[bool]string{false: "deadline", true: "the caller leaves"}[leaves], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			b, view, sent := newBalancer(10, nil)
			e := newExchange(b, view, parser.ClassIdempotent)
			b.config.Send = func(_ context.Context, _ *handler.Exchange, t *parser.Target) *forwarder.SendResult {
				*sent = append(*sent, t.Name)
				if leaves {
					cancel()
				} else {
					e.Deadline = b.config.Clock.Now()
				}
				return &forwarder.SendResult{Withheld: true, Outcome: refusal}
			}
			is.Equal(b.balance(ctx, e).Run, handler.NotRun)
			is.Equal(len(*sent), 1)
		})
	}
}

// TestDoubtOutlivesQuietList guards against a doubt that is lost when a target is gone for a moment, since the list had not
// changed for long before.
func TestDoubtOutlivesQuietList(t *testing.T) {
	for _, quiet := range []time.Duration{warmupRetention / 2, 2 * warmupRetention} {
		t.Run(quiet.String(), func(t *testing.T) {
			is := is.New(t)
			s := newWarmupStatements()
			s.finish("south-0", served())
			s.now += quiet
			s.finish("south-0", lost)
			s.relist("south-0", time.Second, unchanged)
			is.Equal(s.need("south-0"), carrier.UnlessOpen)
		})
	}
}

// TestColdTargetsWhileMostAreEjected guards against targets that are flooded while they are cold, or asked several times at
// once, since most targets are ejected so that ejected ones are used.
func TestColdTargetsWhileMostAreEjected(t *testing.T) {
	cases := []struct {
		name string
		// restart is what happens to a target that is ejected and doubted.
		restart func(s *statements, name string)
	}{
		{"cold, by itself", func(s *statements, name string) { s.answer(name, time.Second, true) }},
		{"cold, by the list", func(s *statements, name string) {
			s.relist(name, 0, func(l *receiver.ListedTarget) { l.ReceivedAt, l.ColdUntil = s.now, s.now+time.Second })
		}},
		{"a check is under way", func(s *statements, name string) {
			s.state(name).warmup.returned = true
			s.pickOnly(name, s.checkedRequest())
		}},
		{"a check showed nothing", func(s *statements, name string) { s.answer(name, 0, false) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStatements(4)
			s.view.Entries = nil // no entry warms targets, so that cold ones get no request
			for i := range 3 {
				s.finish(fmt.Sprint("south-", i), &forwarder.SendResult{Unreachable: true, Result: failure, ConnectionLost: true})
			}
			c.restart(s, "south-0")
			is.True(s.state("south-0").isEjected(s.now))
			for range 50 {
				d := s.checkedRequest()
				if k, _ := s.entry.picker.Pick(d); k != nil {
					is.True(k.Target.Name != "south-0")
					s.entry.picker.Done(k, d, abandoned, 0)
				}
			}
		})
	}
}
