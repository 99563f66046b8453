package receiver

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestControlUnreachable checks that, without fresh responses from control, a strict entry stops
// serving keyed requests and a lenient one continues, and that neither acts in its roles or warms
// targets.
func TestControlUnreachable(t *testing.T) {
	for _, lenient := range []bool{false, true} {
		t.Run(map[bool]string{false: "strict", true: "lenient"}[lenient], func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			n, err := connector.NewConnector(connector.Config{})
			is.NoErr(err)
			r := NewReceiver(Config{
				Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Scope: tally.NoopScope, Connector: n,
				Self: &wire.EntryMember{Name: "e"}, Lenient: lenient,
			})
			r.lastFreshPoll.Store(int64(now))
			is.True(r.Fresh() && r.MayAct())
			now += timekeeper.FreshnessLease
			is.Equal(r.Fresh(), lenient)
			is.True(!r.MayAct())
		})
	}
}

// TestFollowLeader checks that a leader that stopped responding is avoided although others still name
// it, and that a member that did not respond before it became the leader is followed at once.
func TestFollowLeader(t *testing.T) {
	const named = "10.0.0.2:1"
	cases := []struct {
		name string
		// leads is set if the member was the leader when it did not respond.
		leads    bool
		after    time.Duration
		followed bool
	}{
		{"a failed leader", true, 0, false},
		{"a failed leader, later", true, avoidDuration, true},
		{"a new leader that was not up before", false, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			n, err := connector.NewConnector(connector.Config{})
			is.NoErr(err)
			r := NewReceiver(Config{
				Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Scope: tally.NoopScope, Connector: n,
				Self: &wire.EntryMember{Name: "e"}, Controls: []string{"10.0.0.1:1", named, "10.0.0.3:1"},
			})
			if c.leads {
				r.leader = named
			}
			r.markUnreachable(named, errors.New("no response"))
			now += c.after
			r.followLeader(named)
			is.Equal(r.nextAddress() == named, c.followed)
		})
	}
}

// TestTargetList checks that changes are applied incrementally and that those of a leader of an
// earlier term are ignored.
func TestTargetList(t *testing.T) {
	is := is.New(t)
	l := newTargetList(map[string]string{"z1": "north"})
	change := func(term, number uint64, whole bool, list ...*wire.ListedTarget) *wire.TargetChanges {
		return &wire.TargetChanges{Version: &wire.ListVersion{Term: term, Change: number}, Whole: whole, Targets: list}
	}
	a := &wire.ListedTarget{Id: "a", Service: "s", AvailabilityZone: "z1", Slots: 6, ColdMilliseconds: 500}
	b := &wire.ListedTarget{Id: "b", Service: "s", AvailabilityZone: "z1", State: wire.TargetState_TARGET_STATE_LEAVING}
	is.True(l.apply(change(2, 1, true, a), time.Second))
	is.True(l.apply(change(2, 2, false, b), time.Second))
	got := l.byService()["s"]
	is.Equal(len(got), 2)
	is.Equal(got[0].Region, "north")
	is.Equal(got[0].ColdUntil, 1500*time.Millisecond)
	is.True(got[1].Leaving)
	is.True(l.apply(change(2, 3, false, &wire.ListedTarget{Id: "a", State: wire.TargetState_TARGET_STATE_GONE}), time.Second))
	is.Equal(len(l.byService()["s"]), 1)
	is.True(!l.apply(change(1, 9, true, a), time.Second))
	is.Equal(l.byService()["s"][0].Name, "b")
}

// TestShares checks that shares are in use once received, shrink without responses from control,
// and are not restored by the next response.
func TestShares(t *testing.T) {
	is := is.New(t)
	var s Shares
	now := time.Hour
	response := &wire.PollResponse{SharesNumber: 7, Shares: []*wire.TeamShare{{Team: "t", Share: 0.4}}}
	is.Equal(s.Of("t", now), 0.0)
	s.Apply(response, now, true, "leader")
	is.Equal(s.Of("t", now), 0.4)
	is.Equal(s.InUse(), uint64(7))
	is.True(!s.ReportDue("leader", now) && s.ReportDue("another", now) && s.ReportDue("leader", now+demandInterval))
	now += timekeeper.ShareLease + 1
	is.Equal(s.Of("t", now), 0.1)
	is.Equal(s.Of("t", now+timekeeper.SilentLease-timekeeper.ShareLease-1), 0.1)
	s.Apply(&wire.PollResponse{}, now, false, "leader")
	is.Equal(s.Of("t", now), 0.1)
	is.Equal(s.Demands(map[string]float64{"t": 5}, now, "control1")[0].GetShare(), 0.1)
	is.Equal(s.Of("t", now+timekeeper.SilentLease+1), 0.0)
}

// TestSlowResponse guards against a response that never completes because it takes longer than
// the timeout of a poll: the next attempts wait longer. The timeout of a member that does not
// respond at all stays the same.
func TestSlowResponse(t *testing.T) {
	newReceiver := func(t *testing.T, h http.HandlerFunc) *Receiver {
		t.Helper()
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		n, err := connector.NewConnector(connector.Config{})
		if err != nil {
			t.Fatal(err)
		}
		return NewReceiver(Config{
			Clock: timekeeper.NewClock(), Scope: tally.NoopScope, Connector: n, Assert: asserter.NewPanicking(),
			Self: &wire.EntryMember{Name: "e"}, Controls: []string{s.Listener.Addr().String()},
		})
	}
	t.Run("starts in time and takes long", func(t *testing.T) {
		is := is.New(t)
		b, err := proto.Marshal(&wire.PollResponse{Index: 7, Snapshot: true, Fresh: true})
		is.NoErr(err)
		var attempts atomic.Int64
		r := newReceiver(t, func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			w.Header().Set("Content-Length", strconv.Itoa(len(b)))
			_, _ = w.Write(b[:1])
			_ = http.NewResponseController(w).Flush()
			if attempts.Add(1) == 1 {
				<-q.Context().Done() // the first poll gives up, however late it notices its timeout
				return
			}
			select {
			case <-time.After(pollTimeout * 3 / 2):
			case <-q.Context().Done():
			}
			_, _ = w.Write(b[1:])
		})
		is.True(!r.poll(context.Background()))
		is.True(r.poll(context.Background()))
		is.Equal(r.View().Index, uint64(7))
		is.Equal(r.timeoutDoublings, 0)
	})
	t.Run("does not start", func(t *testing.T) {
		is := is.New(t)
		r := newReceiver(t, func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
		})
		is.True(!r.poll(context.Background()))
		is.True(!r.poll(context.Background()))
		is.Equal(r.timeoutDoublings, 0)
	})
}

// TestReportedState checks the state that an entry reports to control.
func TestReportedState(t *testing.T) {
	cases := []struct {
		name              string
		isolated, leaving bool
		want              wire.EntryState
	}{
		{"live", false, false, wire.EntryState_ENTRY_STATE_LIVE},
		{"isolated", true, false, wire.EntryState_ENTRY_STATE_ISOLATED},
		{"leaving", false, true, wire.EntryState_ENTRY_STATE_LEAVING},
		{"isolated and leaving", true, true, wire.EntryState_ENTRY_STATE_LEAVING},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, err := connector.NewConnector(connector.Config{})
			is.NoErr(err)
			r := NewReceiver(Config{
				Clock: timekeeper.NewClock(), Scope: tally.NoopScope, Connector: n, Self: &wire.EntryMember{Name: "e"},
				Isolated: func() bool { return c.isolated },
			})
			if c.leaving {
				r.Leave()
			}
			q, _ := r.pollRequest("", 0)
			is.Equal(q.GetMember().GetState(), c.want)
		})
	}
}
