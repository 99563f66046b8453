package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ms      = time.Millisecond
	short   = 0.95
	enough  = 0.5
	perTest = 2000
)

func testConfig() Config {
	return Config{Short: 0.85, LeastShare: 0.5, HoldShare: 0.1}
}

// seats and orders are two routes of one service, the second the more urgent one.
func seats() Request {
	return Request{
		Caller: Caller{Host: "c", Team: "t", Kind: "seats", Object: "o"}, Service: "hall", Priority: 2,
		Aim: 200 * ms, Remaining: 1500 * ms, OrdinaryWait: 120 * ms,
	}
}

func orders() Request {
	r := seats()
	r.Kind, r.Priority, r.Aim, r.OrdinaryWait = "orders", 1, 300*ms, 180*ms
	return r
}

func calm() Standing {
	return Standing{Admitted: 1, ServiceAdmitted: 1, TeamAdmitted: 1, UrgentAdmitted: 1, Surge: 1, RelativeWork: 1}
}

func forecast(busy float64, wait time.Duration) Forecast {
	return Forecast{Found: true, Busy: busy, Wait: wait, Processing: 80 * ms, RoundTrip: 10 * ms}
}

// TestEvaluate checks single decisions. Each case names the load.
func TestEvaluate(t *testing.T) {
	early, returned, late, held := seats(), seats(), seats(), seats()
	early.Returned, early.Early = true, true
	returned.Returned, returned.Age = true, 400*ms
	late.Age = 150 * ms
	held.Held = 20 * ms
	ending := seats()
	ending.Remaining = 100 * ms
	surge, inverted, starved, heavy, returnedOften := calm(), calm(), calm(), calm(), calm()
	surge.Surge = 3
	inverted.HasUrgent, inverted.UrgentAdmitted = true, 0.9
	starved.Admitted, starved.ServiceAdmitted, starved.HasUrgent, starved.UrgentAdmitted = 0.2, 0.6, true, 0.1
	heavy.RelativeWork = 2
	returnedOften.Returned = 0.5
	urgent, patient := calm(), orders()
	urgent.HasLessUrgent = true
	cases := []struct {
		name     string
		standing Standing
		request  Request
		forecast Forecast
		verdict  Verdict
		cause    Cause
	}{
		{"enough room", calm(), seats(), forecast(enough, 0), Admit, None},
		{"enough room, a queue at the object's targets", calm(), late, forecast(enough, 100*ms), Admit, None},
		{"overload, in aim", calm(), seats(), forecast(short, 100*ms), Admit, None},
		{"overload, in aim a moment later", calm(), seats(), forecast(short, 120*ms), Hold, Aim},
		{"overload, held once already", calm(), held, forecast(short, 120*ms), Refuse, Aim},
		{"overload, late by its queue", calm(), seats(), forecast(short, 200*ms), Refuse, Aim},
		{"overload, late in any case, no slot free", calm(), late, forecast(short, 50*ms), Refuse, Aim},
		{"overload, late in any case, a slot free", calm(), late, forecast(short, 0), Admit, None},
		{"no time left", calm(), ending, forecast(enough, 50*ms), Refuse, Deadline},
		{"overload by returning callers, few admitted", calm(), returned, forecast(short, 50*ms), Admit, None},
		{"overload by returning callers, many admitted", returnedOften, returned, forecast(short, 50*ms), Refuse, Aim},
		{"callers that come back at once", calm(), early, forecast(short, 0), Refuse, Share},
		{"callers that come back at once, enough room", calm(), early, forecast(enough, 0), Admit, None},
		{"hot team", surge, seats(), forecast(short, 0), Refuse, Share},
		{"hot team, enough room", surge, seats(), forecast(enough, 0), Admit, None},
		{"two priorities, the more urgent is refused more often", inverted, seats(), forecast(short, 0), Refuse, Priority},
		{"two priorities, the less urgent is starved", starved, seats(), forecast(short, 100*ms), Admit, None},
		{"two priorities, the more urgent is late", urgent, late, forecast(short, 100*ms), Admit, None},
		{"two priorities, the more urgent in aim behind a long queue", urgent, patient, forecast(short, 200*ms), Admit, None},
		{"two kinds, the one with more work", heavy, seats(), forecast(short, 80*ms), Refuse, Work},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Evaluate(testConfig(), c.standing, c.request, c.forecast)
			is.Equal(d.Verdict, c.verdict)
			is.Equal(d.Cause, c.cause)
			is.Equal(d.Verdict == Refuse, d.Room > 0)                                                   // a refusal knows when there is room
			is.True(d.Hold <= time.Duration(testConfig().HoldShare*float64(c.request.Aim)))             // a hold is bounded
			is.True(d.Verdict != Admit || c.forecast.Wait+c.forecast.Processing <= c.request.Remaining) // nothing begins that can't end
		})
	}
}
