package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/bench/tabulator"
	"github.com/filberthoist/filberthoist/control/distributor"
	"github.com/filberthoist/filberthoist/control/mover"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

// Shape of the moves experiment.
const (
	moveEntries = 12
	moveTargets = 20
	moveRate    = 150
	moveSpan    = 120 * time.Second
	moveBake    = 30 * time.Second
	moveCap     = 0.2
	moveWork    = 20 * time.Millisecond
	// moveTrip is the time from a decision of the leader until entries act on it.
	moveTrip = 100 * time.Millisecond
	// usualFailures is the part of answers that fails on either side.
	usualFailures = 0.002
	goodRuns      = 140
	badRuns       = 40
	// Baseline: a ramp by the clock that is taken back above a failure rate.
	rampThreshold = 0.05
	rampWindow    = 5 * time.Second
	rampLeast     = 20
)

// moveMoment is what the fate of an answer may depend on.
type moveMoment struct {
	now     time.Duration
	stepped time.Duration
	route   string
	// load is the requests per second on one target of the new side, as a part of what a
	// whole move would bring.
	load  float64
	isNew bool
}

// moveKind is one way that a new version may behave: the part of answers that fails beside
// the usual ones, and a factor of their time.
type moveKind struct {
	name string
	good bool
	fate func(m moveMoment) (failing, slowness float64)
}

const lateAt = 70 * time.Second

var moveKinds = []moveKind{
	{"as good", true, func(moveMoment) (float64, float64) { return 0, 1 }},
	{"a dependency fails", true, func(m moveMoment) (float64, float64) {
		if m.now%(20*time.Second) < 5*time.Second {
			return 0.6, 3
		}
		return 0, 1
	}},
	{"cold after each step", true, func(m moveMoment) (float64, float64) {
		if m.isNew && m.now-m.stepped < 3*time.Second {
			return 0, 1.5
		}
		return 0, 1
	}},
	{"fails at once", false, func(m moveMoment) (float64, float64) { return when(m.isNew, 0.2), 1 }},
	{"slow at once", false, func(m moveMoment) (float64, float64) { return 0, 1 + 4*when(m.isNew, 1) }},
	{"fails on a rare route", false, func(m moveMoment) (float64, float64) { return when(m.isNew && m.route == "rare", 0.5), 1 }},
	{"fails under load", false, func(m moveMoment) (float64, float64) { return when(m.isNew && m.load > 0.8, 0.2), 1 }},
	{"fails late", false, func(m moveMoment) (float64, float64) { return when(m.isNew && m.now > lateAt, 0.2), 1 }},
	{"slow late", false, func(m moveMoment) (float64, float64) { return 0, 1 + 4*when(m.isNew && m.now > lateAt, 1) }},
}

func when(holds bool, v float64) float64 {
	if holds {
		return v
	}
	return 0
}

// moveScore is what one move came to.
type moveScore struct {
	takenBack bool
	done      time.Duration
	sent      int
	toNew     int
	// shown is when the first answer of the new side beyond the usual was bad; stopped is
	// when it got no more work.
	shown    time.Duration
	stopped  time.Duration
	overruns int
}

func runMoves(c Config) ([]tabulator.Result, error) {
	out := tabulator.Result{Name: "moves", XLabel: "seconds", YLabel: "share of the new side, one run each"}
	goods, takenBack, late, overruns := 0, 0, 0, 0
	for i, k := range moveKinds {
		runs := badRuns
		if k.good {
			runs = goodRuns
		}
		ours := make([]moveScore, 0, runs)
		plain := make([]moveScore, 0, runs)
		for n := range runs {
			seed := c.Seed + uint64(1000*i+n)
			var line *tabulator.Line
			if n == 0 {
				line = &tabulator.Line{Name: k.name}
			}
			ours = append(ours, newMoveRun(k, seed, line).product())
			plain = append(plain, newMoveRun(k, seed, nil).baseline())
			if line != nil {
				out.Lines = append(out.Lines, *line)
			}
		}
		out.Rows = append(out.Rows, moveRows(k, "filberthoist", ours)...)
		out.Rows = append(out.Rows, moveRows(k, "ramp with a threshold", plain)...)
		for _, s := range ours {
			overruns += s.overruns
			if k.good {
				goods++
				takenBack += int(when(s.takenBack, 1))
				late += int(when(!s.takenBack && (s.done == 0 || s.done > moveSpan), 1))
			}
		}
	}
	out.Rows = append(out.Rows,
		tabulator.Judge("good versions taken back", "filberthoist", "<= 1 in 200", takenBack*200 <= goods, "%d of %d", takenBack, goods),
		tabulator.Judge("good versions past their time", "filberthoist", "0", late == 0, "%d of %d", late, goods),
		tabulator.Judge("requests beyond a share", "filberthoist", "0", overruns == 0, "%d", overruns))
	return []tabulator.Result{out}, nil
}

// moveRows judges the runs of one kind.
func moveRows(k moveKind, subject string, list []moveScore) []tabulator.Row {
	back, share, worst, slowest := 0, 0.0, 0.0, time.Duration(0)
	for _, s := range list {
		back += int(when(s.takenBack, 1))
		part := float64(s.toNew) / float64(max(1, s.sent))
		share += part / float64(len(list))
		worst = max(worst, part)
		if s.shown > 0 {
			slowest = max(slowest, s.stopped-s.shown)
		}
	}
	count := tabulator.Compare("taken back", subject+": "+k.name, "%d of %d", back, len(list))
	if k.good {
		return []tabulator.Row{count}
	}
	part := tabulator.Compare("share of requests until taken back: mean, worst", subject+": "+k.name, "%.2f %%, %.2f %%", 100*share, 100*worst)
	wait := tabulator.Compare("from the first bad answer to no new work, worst", subject+": "+k.name, "%v", slowest.Round(10*time.Millisecond))
	return []tabulator.Row{count, part, wait}
}

// moveRun is one move in virtual time.
type moveRun struct {
	kind   moveKind
	random *rand.Rand
	text   *parser.Configuration
	move   *parser.Move
	begun  time.Time
	line   *tabulator.Line
	score  moveScore
}

var moveRoutes = []struct {
	name string
	path string
	part float64
}{
	{"status", "/lamps/", 0.9},
	{"rare", "/lamps/history/", 0.04},
	{"arm", "/schedules/", 0.06},
}

func newMoveRun(k moveKind, seed uint64, line *tabulator.Line) *moveRun {
	begun := time.Date(2027, 3, 1, 12, 0, 0, 0, time.UTC)
	m := &parser.Move{
		Name: "toNext", Service: "lamps", From: "v1", To: "v2", Cap: moveCap, Bake: moveBake,
		Deadline: begun.Add(moveSpan), Definition: "a",
	}
	s := &parser.Service{Name: "lamps", Version: "v1"}
	c := &parser.Configuration{Moves: map[string]*parser.Move{m.Name: m}}
	for _, r := range moveRoutes {
		class := parser.ClassIdempotent
		if r.name == "arm" {
			class = parser.ClassAtMostOnce
		}
		c.Routes = append(c.Routes, &parser.Route{Name: r.name, Service: s, Class: class})
	}
	return &moveRun{kind: k, random: rand.New(rand.NewPCG(seed, 1)), text: c, move: m, begun: begun, line: line}
}

// draw returns the time until the next request, and its route.
func (r *moveRun) draw() (time.Duration, int) {
	wait := time.Duration(r.random.ExpFloat64() / moveRate * float64(time.Second))
	pick := r.random.Float64()
	for i, m := range moveRoutes {
		if pick -= m.part; pick < 0 {
			return wait, i
		}
	}
	return wait, 0
}

// answer draws how a request goes, and notes the new side's first bad answer.
func (r *moveRun) answer(m moveMoment) (latency time.Duration, failed bool) {
	failing, slowness := r.kind.fate(m)
	latency = time.Duration(r.random.ExpFloat64() * float64(moveWork) * slowness)
	failed = r.random.Float64() < usualFailures+failing
	bad := (failing > 0 && failed) || slowness > 2
	if m.isNew && bad && r.score.shown == 0 {
		r.score.shown = m.now
	}
	return latency, failed
}

func (r *moveRun) count(isNew bool, now time.Duration) {
	r.score.sent++
	if isNew {
		r.score.toNew++
		r.score.stopped = now
	}
}

// leadership is the leader's side of a move, and what is on its way to the entries.
type leadership struct {
	list   []mover.Stage
	record *wire.MoveRecord
	judge  *mover.Judge
	index  uint64
	// window is when the next window ends.
	window time.Duration
	// next takes effect at nextAt.
	next   *receiver.View
	nextAt time.Duration
}

// product runs the entries' shifters, and the leader's judge and schedule.
func (r *moveRun) product() moveScore {
	l := &leadership{list: mover.Schedule(r.move, r.text.Routes, r.begun), window: mover.WindowLength, index: 1}
	l.record = mover.Begin(r.move, l.list, nil, r.begun)
	l.judge = mover.NewJudge(r.move, r.text.Routes, r.begun)
	view, stepped := r.view(l.record, l.index), time.Duration(0)
	var entries []*shifter.Shifter
	for range moveEntries {
		entries = append(entries, shifter.NewShifter(shifter.Config{Scope: tally.NoopScope}))
	}
	asked, due := map[int]*http.Request{}, 0.0
	for now := time.Duration(0); now < moveSpan && r.score.done == 0; {
		wait, route := r.draw()
		now += wait
		for ; l.window <= now; l.window += mover.WindowLength {
			r.lead(l, entries)
		}
		if l.next != nil && now >= l.nextAt {
			view, l.next, stepped = l.next, nil, l.nextAt
			r.enter(l.record, now)
		}
		if r.score.takenBack {
			return r.score
		}
		e := &handler.Exchange{View: view, Route: r.text.Routes[route], Request: request(asked, route, r.random.IntN(500))}
		due += view.Shifts["lamps"].Share(e.Route)
		r.serve(e, entries[r.random.IntN(moveEntries)], now, stepped)
		r.score.overruns += int(when(float64(r.score.toNew) > due+1e-3, 1))
	}
	return r.score
}

// lead ends a window as the leader does.
func (r *moveRun) lead(l *leadership, entries []*shifter.Shifter) {
	for _, e := range entries {
		e.Watch()
	}
	l.judge.Window(evidenceOf(entries))
	n, _ := mover.Advance(r.move, l.list, l.record, l.judge, r.begun.Add(l.window))
	if n == nil {
		return
	}
	l.record = n
	l.judge.Stepped()
	l.index++
	l.next, l.nextAt = r.view(n, l.index), l.window+moveTrip
}

// serve takes one request through an entry's shifter to one side.
func (r *moveRun) serve(e *handler.Exchange, s *shifter.Shifter, now, stepped time.Duration) {
	e.Course = handler.Course{Version: "v1"}
	s.Step().Handle(context.Background(), e)
	isNew := e.Course.Version == "v2"
	share := e.View.Shifts["lamps"].Share(e.Route)
	r.count(isNew, now)
	latency, failed := r.answer(moveMoment{now, stepped, e.Route.Name, loadOf(share), isNew})
	if e.Observe != nil {
		e.Observe(e.Course, latency, failed)
	}
	if r.line != nil && r.score.sent%moveRate == 0 {
		r.line.Points = append(r.line.Points, tabulator.Point{X: now.Seconds(), Y: e.View.Shifts["lamps"].Record.GetShare()})
	}
}

func (r *moveRun) enter(record *wire.MoveRecord, now time.Duration) {
	switch record.GetStage() {
	case wire.MoveStage_MOVE_STAGE_DONE:
		r.score.done = now
	case wire.MoveStage_MOVE_STAGE_TAKEN_BACK:
		r.score.takenBack = true
	}
}

func (r *moveRun) view(record *wire.MoveRecord, index uint64) *receiver.View {
	return &receiver.View{
		Index: index, Configuration: r.text,
		Shifts: map[string]receiver.Shift{"lamps": {Move: r.move, Record: record}},
	}
}

// request returns a request of one of many callers.
func request(known map[int]*http.Request, route, caller int) *http.Request {
	n := route*1000 + caller
	if known[n] == nil {
		known[n] = &http.Request{URL: &url.URL{Path: fmt.Sprint(moveRoutes[route].path, caller)}}
	}
	return known[n]
}

func evidenceOf(entries []*shifter.Shifter) map[wire.Caller]distributor.Caller {
	out := map[wire.Caller]distributor.Caller{}
	for i, e := range entries {
		out[wire.Caller{Name: fmt.Sprint("entry", i)}] = distributor.Caller{Evidence: e.Evidence()}
	}
	return out
}

// loadOf returns the load on one target of the new side, of which the product uses a part.
func loadOf(share float64) float64 {
	used := float64(int(share*moveTargets + 0.999999))
	if used == 0 {
		return 0
	}
	return share * moveTargets / used
}

// baseline ramps by the clock over the time that the product has, on all targets, and
// takes back once too many of the new side's last answers failed.
func (r *moveRun) baseline() moveScore {
	type answered struct {
		at     time.Duration
		failed bool
	}
	var recent []answered
	failures := 0
	for now := time.Duration(0); now < moveSpan; {
		wait, route := r.draw()
		now += wait
		share := min(1, 0.01+float64(now)/float64(moveSpan-moveBake))
		isNew := r.random.Float64() < share
		r.count(isNew, now)
		_, failed := r.answer(moveMoment{now, 0, moveRoutes[route].name, share, isNew})
		if !isNew {
			continue
		}
		recent = append(recent, answered{now, failed})
		failures += int(when(failed, 1))
		for now-recent[0].at > rampWindow {
			failures -= int(when(recent[0].failed, 1))
			recent = recent[1:]
		}
		if len(recent) >= rampLeast && float64(failures) > rampThreshold*float64(len(recent)) {
			r.score.takenBack = true
			return r.score
		}
	}
	r.score.done = moveSpan
	return r.score
}
