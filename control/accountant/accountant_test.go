package accountant

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/control/collector"
	"github.com/filberthoist/filberthoist/control/holder"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

const window = 5 * time.Second

// office is one control member that always leads, with a platform that answers by status.
type office struct {
	t       *testing.T
	now     time.Duration
	index   uint64
	term    uint64
	since   time.Duration
	state   *applier.State
	usage   *collector.Collector
	entries map[string]*wire.EntryMember
	silent  map[string]*wire.EntryMember
	status  int
	err     error
	sent    []string
	*Accountant
}

// newOffice returns an office that has just begun to act.
func newOffice(t *testing.T) *office {
	o := &office{t: t, term: 1, status: 200, state: applier.NewState(asserter.NewPanicking()), usage: collector.NewCollector(), now: 100 * window, entries: map[string]*wire.EntryMember{}}
	o.restart()
	o.step(t.Context())
	o.wait(4 * time.Second)
	o.sent = nil
	return o
}

// restart begins anew with the replicated state alone.
func (o *office) restart() {
	clock := timekeeper.Clock{Now: func() time.Duration { return o.now }}
	record := func() *wire.Duty { return o.state.Duty(Duty) }
	h := holder.NewHolder(holder.Config{
		Clock: clock, Duty: Duty, Self: 7, Lease: 3 * time.Second, Record: record,
		Serving: func() bool { return true }, Confirm: func(context.Context) error { return nil },
		Acquire: func(ctx context.Context) error {
			_, err := o.propose(ctx, o.term, &wire.Command{Kind: &wire.Command_AcquireDuty{AcquireDuty: &wire.AcquireDutyCommand{
				Name: Duty, Holder: 7, HolderName: "control1", FirstDecided: uint64(o.now/window) - 1,
			}}})
			return err
		},
	})
	o.Accountant = NewAccountant(Config{
		Settings: Settings{Window: window, Due: 10 * time.Second, Lease: 3 * time.Second, Rate: 50},
		Scope:    tally.NoopScope, Collector: o.usage, Holder: h, Record: record, Clock: clock, Propose: o.propose,
		Serving: func() (uint64, time.Duration, bool) { return o.term, o.since, true }, Now: func() time.Time { return time.Unix(0, int64(o.now)) },
		Entries: func() map[string]*wire.EntryMember { return o.entries }, SilentEntries: func() map[string]*wire.EntryMember { return o.silent },
		Send: func(_ context.Context, r Report) (int, error) {
			o.sent = append(o.sent, fmt.Sprint(r.Window, r.Counts))
			return o.status, o.err
		},
	})
}

func (o *office) propose(_ context.Context, _ uint64, c *wire.Command) (applier.Result, error) {
	b, err := proto.Marshal(c)
	o.index++
	return o.state.Apply(o.index, b), err
}

// wait lets time pass step by step.
func (o *office) wait(d time.Duration) {
	for end := o.now + d; o.now < end; o.now += interval {
		o.step(o.t.Context())
	}
}

// report adds the report of an entry that counted n requests of team a in the window under way.
func (o *office) report(sequence, n uint64) {
	o.usage.Add(o.term, &wire.PollRequest{Member: o.entries["e"], Usage: &wire.UsageReport{
		Sequence: sequence, UnixMilliseconds: o.now.Milliseconds(),
		Windows: []*wire.UsageWindow{{Number: uint64(o.now / window), Counts: map[string]uint64{"a": n}}},
	}})
}

func TestReports(t *testing.T) {
	cases := []struct {
		name   string
		happen func(o *office)
		sent   string
	}{
		{"each window once, empty ones too", func(o *office) { o.wait(2 * window) }, "[100 map[] 101 map[]]"},
		{"a window waits for its entries", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e"}
			o.report(1, 3)
			o.wait(3 * time.Second)
			is.New(t).Equal(len(o.sent), 0)
			o.report(2, 0)
			o.wait(time.Second)
		}, "[100 map[a:3]]"},
		{"a silent entry does not hold it up for long", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e"}
			o.report(1, 3)
			o.wait(window + 2*time.Second)
		}, "[100 map[a:3]]"},
		{"a silent entry may be back in time", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e"}
			o.report(1, 3)
			o.entries, o.silent = nil, o.entries
			o.wait(2 * window)
			is.New(t).Equal(o.sent, []string{"100 map[a:3]"}) // late, and still within its time
			o.entries, o.silent = o.silent, nil
			o.report(2, 4) // counts window 102, and is the first since window 100
			o.wait(time.Second)
		}, "[100 map[a:3] 101 map[]]"},
		{"an entry that stopped as planned is not waited for", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e", State: wire.EntryState_ENTRY_STATE_LEAVING}
			o.report(1, 3)
			o.entries, o.silent = nil, o.entries
			o.wait(2 * time.Second)
		}, "[100 map[a:3]]"},
		{"the entries' time of day counts if the leader's is behind", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e"}
			o.report(1, 3)
			o.now += window
			o.report(2, 0)
			o.now -= window
			o.wait(time.Second)
		}, "[100 map[a:3]]"},
		{"a leader that was away waits for reports of overdue windows", func(o *office) {
			o.entries["e"] = &wire.EntryMember{Name: "e"}
			o.now += 2 * window
			o.term, o.since = 2, o.now
			o.wait(time.Second)
			is.New(t).Equal(len(o.sent), 0)
			o.now -= 3 * window
			o.report(1, 3) // counted in the first window
			o.now += 3 * window
			o.wait(1500 * time.Millisecond)
		}, "[100 map[a:3] 101 map[]]"},
		{"an uncertain report is repeated as it was", func(o *office) {
			o.err = errors.New("timeout")
			o.report(1, 3)
			o.wait(2 * time.Second)
			o.report(2, 4) // too late
			o.err = nil
			o.wait(time.Second)
		}, "[100 map[a:3] 100 map[a:3] 100 map[a:3]]"},
		{"reports wait while the platform wants fewer", func(o *office) {
			o.status = 429
			o.wait(3 * window)
			o.status, o.sent = 200, nil
			o.wait(maxRetryDelay + time.Second)
		}, "[100 map[] 101 map[] 102 map[] 103 map[]]"},
		{"another start sends what waits, after the lease", func(o *office) {
			o.status = 500
			o.report(1, 3)
			o.wait(2 * time.Second)
			o.status, o.sent = 200, nil
			o.restart()
			o.wait(3 * time.Second)
			is.New(t).Equal(len(o.sent), 0)
			o.wait(time.Second)
		}, "[100 map[a:3]]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOffice(t)
			c.happen(o)
			is.New(t).Equal(fmt.Sprint(o.sent), c.sent)
		})
	}
}

// TestInvalidReport guards against one report that the platform never takes holding up all others.
func TestInvalidReport(t *testing.T) {
	is := is.New(t)
	o := newOffice(t)
	o.status = 400
	o.wait(2 * window)
	is.Equal(o.sent[maxRejections-1:maxRejections+1], []string{"100 map[]", "101 map[]"})
	o.status = 200
	o.wait(window)
	is.Equal(o.sent[len(o.sent)-1], "102 map[]")
	is.Equal(len(o.state.Duty(Duty).GetPending()), 0)
}
