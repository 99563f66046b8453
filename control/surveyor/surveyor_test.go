package surveyor

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestStartedAgain checks that a target that starts again under its ID is reported as gone, and as
// ready with the next reading.
func TestStartedAgain(t *testing.T) {
	is := is.New(t)
	s := NewSurveyor(Config{Clock: timekeeper.NewClock(), Scope: tally.NoopScope})
	n := Target{ID: "a", Service: "lamps", Address: "10.0.0.1:1", AvailabilityZone: "z1", Version: "v1", Slots: 6, Born: 1}
	s.update(7, []Target{n})
	n.Born = 2
	for _, state := range []wire.TargetState{wire.TargetState_TARGET_STATE_GONE, wire.TargetState_TARGET_STATE_READY} {
		v := s.Since(nil).GetVersion()
		s.update(7, []Target{n})
		is.Equal(s.Since(v).GetTargets()[0].GetState(), state)
	}
	v := s.Since(nil).GetVersion()
	s.update(7, []Target{n})
	is.True(s.Since(v) == nil)
}

// TestRecordLeaving checks that what a target stated to an entry is told to all entries once, holds
// while the list still shows the target as ready, and ends when it is gone.
func TestRecordLeaving(t *testing.T) {
	is := is.New(t)
	s := NewSurveyor(Config{Clock: timekeeper.NewClock(), Scope: tally.NoopScope})
	ready := Target{ID: "a", Service: "lamps", Address: "10.0.0.1:1", AvailabilityZone: "z1", Version: "v1", Slots: 6}
	s.update(7, []Target{ready})
	changed, v := s.Changed(), s.Since(nil).GetVersion()
	s.RecordLeaving(6, []string{"a"}) // a poll of an earlier term
	s.RecordLeaving(7, []string{"unknown"})
	is.True(s.Since(v) == nil)
	for range 2 { // two entries
		s.RecordLeaving(7, []string{"a", "unknown"})
		s.update(7, []Target{ready}) // the list shows it later
	}
	list := s.Since(v)
	is.Equal(len(list.GetTargets()), 1)
	is.Equal(list.GetTargets()[0].GetState(), wire.TargetState_TARGET_STATE_LEAVING)
	is.Equal(list.GetVersion().GetChange(), v.GetChange()+1)
	is.Equal(len(s.Slots()), 0)
	<-changed
	s.update(7, nil)
	s.update(7, []Target{ready}) // it started again
	is.Equal(s.Since(v).GetTargets()[0].GetState(), wire.TargetState_TARGET_STATE_READY)
}

// TestChanges checks that entries are sent exactly the changes since the version that they have.
func TestChanges(t *testing.T) {
	ready := Target{ID: "a", Service: "lamps", Address: "10.0.0.1:1", AvailabilityZone: "z1", Version: "v1", Slots: 6}
	other := Target{ID: "b", Service: "lamps", Address: "10.0.0.2:1", AvailabilityZone: "z1", Version: "v1", Slots: 6}
	leaving, cold, warming := ready, ready, ready
	started, startedAgain := ready, ready
	started.Born, startedAgain.Born = 1, 2
	leaving.Leaving, cold.ColdFor, warming.ColdFor = true, 3*time.Second, 2500*time.Millisecond
	cases := []struct {
		name          string
		before, after []Target
		// sent holds the IDs and states that are sent after the second reading.
		sent map[string]wire.TargetState
	}{
		{"nothing", []Target{ready, other}, []Target{ready, other}, nil},
		{"leaving", []Target{ready, other}, []Target{leaving, other}, map[string]wire.TargetState{"a": wire.TargetState_TARGET_STATE_LEAVING}},
		{"gone", []Target{ready, other}, []Target{other}, map[string]wire.TargetState{"a": wire.TargetState_TARGET_STATE_GONE}},
		{"joined", []Target{ready}, []Target{ready, other}, map[string]wire.TargetState{"b": wire.TargetState_TARGET_STATE_READY}},
		{"cold again", []Target{ready}, []Target{cold}, map[string]wire.TargetState{"a": wire.TargetState_TARGET_STATE_READY}},
		{"warming up as sent before", []Target{cold}, []Target{warming}, nil},
		{"started again", []Target{started}, []Target{startedAgain}, map[string]wire.TargetState{"a": wire.TargetState_TARGET_STATE_GONE}},
		{"empty list", []Target{ready}, nil, map[string]wire.TargetState{"a": wire.TargetState_TARGET_STATE_GONE}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			s := NewSurveyor(Config{Clock: timekeeper.Clock{Now: func() time.Duration { return now }}, Scope: tally.NoopScope})
			is.True(s.Since(nil) == nil) // the list was not read yet
			s.update(7, c.before)
			first := s.Since(nil)
			is.True(first.GetWhole())
			is.Equal(len(first.GetTargets()), len(c.before))
			changed := s.Changed()
			now += 500 * time.Millisecond
			s.update(7, c.after)
			got := map[string]wire.TargetState{}
			for _, n := range s.Since(first.GetVersion()).GetTargets() {
				got[n.GetId()] = n.GetState()
			}
			is.Equal(len(got), len(c.sent))
			for id, state := range c.sent {
				is.Equal(got[id], state)
			}
			select {
			case <-changed:
				is.True(c.sent != nil)
			default:
				is.True(c.sent == nil)
			}
			s.update(8, c.after)
			is.True(s.Since(first.GetVersion()) == nil || s.Since(first.GetVersion()).GetWhole()) // the whole list in another term
		})
	}
}
