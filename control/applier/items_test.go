package applier

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/wire"
)

// applyAll applies commands in order and returns the state. Halfway it restores the state from a
// snapshot.
func applyAll(t *testing.T, commands ...*wire.Command) *State {
	t.Helper()
	is := is.New(t)
	s := NewState(asserter.NewPanicking())
	s.SetZones(map[string]string{"north1": "north"})
	for i, c := range commands {
		b, err := proto.Marshal(c)
		is.NoErr(err)
		s.Apply(uint64(i+1), b)
		if i == len(commands)/2 {
			data, err := s.Snapshot()
			is.NoErr(err)
			s = NewState(asserter.NewPanicking())
			s.SetZones(map[string]string{"north1": "north"})
			is.NoErr(s.Restore(uint64(i+1), data))
		}
	}
	return s
}

func changeItems(digest string, items ...*wire.Item) *wire.Command {
	return &wire.Command{Kind: &wire.Command_ChangeItems{ChangeItems: &wire.ChangeItemsCommand{Items: items, Digest: digest}}}
}

func item(name string, version uint64, keys ...loader.Key) *wire.Item {
	return &wire.Item{Name: name, Version: version, Section: wire.ToTextSection(loader.Section{Name: name, Keys: keys}), Form: []byte(name)}
}

func dropped(name string, version uint64) *wire.Item {
	return &wire.Item{Name: name, Version: version, Dropped: true}
}

// TestItems checks that the highest version of an item is kept, in whatever order changes arrive.
func TestItems(t *testing.T) {
	route := func(version uint64, path string) *wire.Item {
		return item("route r", version, loader.Key{Name: "path", Value: path})
	}
	cases := []struct {
		name    string
		changes []*wire.Item
		version uint64
		path    string
	}{
		{"set", []*wire.Item{route(3, "/a/")}, 3, "/a/"},
		{"replaced by a higher version", []*wire.Item{route(3, "/a/"), route(7, "/b/")}, 7, "/b/"},
		{"a lower version arrives late", []*wire.Item{route(7, "/b/"), route(3, "/a/")}, 7, "/b/"},
		{"an equal version with other content", []*wire.Item{route(7, "/b/"), route(7, "/a/")}, 7, "/b/"},
		{"dropped", []*wire.Item{route(3, "/a/"), dropped("route r", 4)}, 4, ""},
		{"an older version does not restore it", []*wire.Item{dropped("route r", 4), route(3, "/a/")}, 4, ""},
		{"a newer version restores it", []*wire.Item{dropped("route r", 4), route(5, "/a/")}, 5, "/a/"},
		{"dropped under a lower version", []*wire.Item{route(5, "/a/"), dropped("route r", 4)}, 5, "/a/"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var commands []*wire.Command
			for _, i := range c.changes {
				commands = append(commands, changeItems("", i))
			}
			s := applyAll(t, commands...)
			got := s.Items()["route r"]
			is.Equal(got.GetVersion(), c.version)
			path, _ := wire.FromTextSection(got.GetSection()).Value("path")
			is.Equal(path, c.path)
			is.Equal(got.GetDropped(), c.path == "")
			is.Equal(len(s.Forms()), map[bool]int{true: 0, false: 1}[c.path == ""])
			records, _, _ := s.Since(0)
			is.Equal(len(records), 1) // the form and the order are not distributed
		})
	}
}

// TestOrders checks that a resent order is recognized after newer ones and after a restart.
func TestOrders(t *testing.T) {
	is := is.New(t)
	s := applyAll(t, changeItems("one", item("service a", 1)), changeItems("two", item("service a", 2)), changeItems("three", item("service a", 3)))
	is.True(s.HasOrder("one"))
	is.True(s.HasOrder("three"))
	is.True(!s.HasOrder("four"))
}

// TestEvacuations checks that an evacuation lasts until it is withdrawn, and that both commands may
// be resent.
func TestEvacuations(t *testing.T) {
	evacuate := func(zone string, withdrawn bool) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Evacuate{Evacuate: &wire.EvacuateCommand{AvailabilityZone: zone, Withdrawn: withdrawn}}}
	}
	is := is.New(t)
	is.Equal(applyAll(t, evacuate("a", false), evacuate("a", false), evacuate("b", false)).EvacuatedZones(), []string{"a", "b"})
	is.Equal(applyAll(t, evacuate("a", false), evacuate("b", false), evacuate("a", true), evacuate("a", true)).EvacuatedZones(), []string{"b"})
}

// TestOrderedMoves checks that an ordered move becomes an item, that a resent order changes
// nothing, and that a version whose move was taken back is barred in later moves.
func TestOrderedMoves(t *testing.T) {
	is := is.New(t)
	move := func(to string, begun int64) *wire.Command {
		return &wire.Command{Kind: &wire.Command_BeginMove{BeginMove: &wire.BeginMoveCommand{
			Service: "lamps", To: to, DurationMilliseconds: 16_000, BegunUnixMilliseconds: begun,
		}}}
	}
	taken := &wire.Command{Kind: &wire.Command_AdvanceMove{AdvanceMove: &wire.AdvanceMoveCommand{Move: &wire.MoveRecord{
		Name: "lamps", Change: 1, Stage: wire.MoveStage_MOVE_STAGE_TAKEN_BACK,
	}}}}
	value := func(s *State, key string) string {
		v, _ := wire.FromTextSection(s.Items()["move lamps"].GetSection()).Value(key)
		return v
	}
	s := applyAll(t, move("v2", 1000), move("v2", 9000))
	is.Equal(value(s, "to"), "v2")
	is.Equal(value(s, "deadline"), "1970-01-01T00:00:17Z")
	s = applyAll(t, move("v2", 1000), taken, move("v3", 9000))
	is.Equal(value(s, "to"), "v3")
	is.Equal(value(s, "barred"), "v2")
	c, err := applyAll(t, changeItems("", item("service lamps", 1)), move("v2", 1000)).Configuration()
	is.NoErr(err)
	is.Equal(c.Moves["lamps"].Exposure, 0.05)
}
