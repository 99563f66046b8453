package applier

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestRestoredStatesStayEqual applies random commands to a state and to one that is restored from
// snapshots in between, as on a member that restarts or lags: results and states must not differ, and
// versions, orders, evacuations, moves and requests must outlive snapshots.
func TestRestoredStatesStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live, restored := NewState(asserter.NewPanicking()), NewState(asserter.NewPanicking())
		for i := range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, i)
			a, b := apply(t, live, c), apply(t, restored, c)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("%v: %v, restored %v", c, a, b)
			}
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				restored = restoreCopy(t, restored)
			}
		}
		checkEqualStates(t, live, restored)
	})
}

// TestRestoredStatesDropTheSame goes past the bounds on tombstones, orders and requests.
func TestRestoredStatesDropTheSame(t *testing.T) {
	live, restored := NewState(asserter.NewPanicking()), NewState(asserter.NewPanicking())
	zone := func(n int) string { return fmt.Sprint("zone", n) }
	for i := range maxTombstones + KeptOrders {
		for _, c := range []*wire.Command{
			{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateCommand{AvailabilityZone: zone(i)}}},
			{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateCommand{AvailabilityZone: zone(i), Withdrawn: i%3 > 0}}},
			{Kind: &wire.Command_ChangeItems{ChangeItems: &wire.ChangeItemsCommand{Digest: fmt.Sprint(i)}}},
		} {
			apply(t, live, c)
			apply(t, restored, c)
		}
		if i%997 == 0 {
			restored = restoreCopy(t, restored)
		}
	}
	checkEqualStates(t, live, restored)
	if len(live.EvacuatedZones()) != (maxTombstones+KeptOrders+2)/3 {
		t.Fatalf("%d zones are evacuated", len(live.EvacuatedZones()))
	}
}

func checkEqualStates(t tester, a, b *State) {
	x, err := a.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	y, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(x, y) {
		t.Fatal("the states differ")
	}
}

// drawCommand returns a command about one of few names, so that commands meet.
func drawCommand(t *rapid.T, number int) *wire.Command {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	n := rapid.Uint64Range(0, 4).Draw(t, "number")
	flag := rapid.Bool().Draw(t, "flag")
	commands := []*wire.Command{
		{Kind: &wire.Command_ChangeItems{ChangeItems: &wire.ChangeItemsCommand{
			Items:  []*wire.Item{{Name: name, Version: n, Dropped: flag, Section: &wire.TextSection{Name: name}, Form: []byte{byte(n)}}},
			Digest: fmt.Sprint("order", number%7),
		}}},
		{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateCommand{AvailabilityZone: name, Withdrawn: flag}}},
		{Kind: &wire.Command_BeginMove{BeginMove: &wire.BeginMoveCommand{Service: name, To: fmt.Sprint(n), DurationMilliseconds: 1000}}},
		{Kind: &wire.Command_AdvanceMove{AdvanceMove: &wire.AdvanceMoveCommand{Removed: flag, Move: &wire.MoveRecord{
			Name: name, Change: n, Stage: wire.MoveStage_MOVE_STAGE_TAKEN_BACK,
		}}}},
		{Kind: &wire.Command_BeginOnce{BeginOnce: &wire.BeginOnceCommand{Key: name, Holder: fmt.Sprint(n), Digest: "x"}}},
		{Kind: &wire.Command_FinishOnce{FinishOnce: &wire.FinishOnceCommand{
			Key: name, Holder: fmt.Sprint(n), NotRun: flag, Answer: &wire.OnceAnswer{Status: 200},
		}}},
		{Kind: &wire.Command_PutEntry{PutEntry: &wire.PutEntryCommand{Member: &wire.EntryMember{Name: name, Incarnation: n}}}},
		{Kind: &wire.Command_RemoveEntry{RemoveEntry: &wire.RemoveEntryCommand{Name: name, Incarnation: n}}},
		{Kind: &wire.Command_AssignRole{AssignRole: &wire.AssignRoleCommand{Role: &wire.Role{Name: name, Epoch: n, Vacant: flag}}}},
		{Kind: &wire.Command_AcquireDuty{AcquireDuty: &wire.AcquireDutyCommand{Name: name, Holder: n, FirstDecided: n}}},
		{Kind: &wire.Command_DecideReport{DecideReport: &wire.DecideReportCommand{
			Duty: name, Fence: n, Window: &wire.UsageWindow{Number: n, Counts: map[string]uint64{"a": n, "b": 1}},
		}}},
		{Kind: &wire.Command_FinishReport{FinishReport: &wire.FinishReportCommand{Duty: name, Fence: n, Window: n}}},
		{Kind: &wire.Command_Submit{Submit: &wire.SubmitCommand{Revision: n, Digest: fmt.Sprint(n), Sections: drawSections(t)}}},
	}
	return proto.CloneOf(rapid.SampledFrom(commands).Draw(t, "command"))
}
