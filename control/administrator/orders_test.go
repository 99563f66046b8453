package administrator

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/applier"
	"github.com/filberthoist/filberthoist/core/asserter"
	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/wire"
)

func item(name string, version uint64, pairs ...string) *wire.Item {
	s := loader.Section{Name: name}
	for i := 0; i < len(pairs); i += 2 {
		s.Keys = append(s.Keys, loader.Key{Name: pairs[i], Value: pairs[i+1]})
	}
	return &wire.Item{Name: name, Version: version, Section: wire.ToTextSection(s)}
}

func route(name string, version uint64, pairs ...string) *wire.Item {
	return item("route "+name, version, append([]string{"path", "/a/", "methods", "*", "class", "idempotent", "attempts", "2"}, pairs...)...)
}

func team(name string, version uint64, key string) *wire.Item {
	return item("team "+name, version, "rate", "10", "burst", "10", "keys", digester.Key(key).String())
}

// newState returns a State after one accepted order with the given items.
func newState(t *testing.T, items ...*wire.Item) *applier.State {
	t.Helper()
	s := applier.NewState(asserter.NewPanicking())
	b, err := proto.Marshal(&wire.Command{Kind: &wire.Command_ChangeItems{ChangeItems: &wire.ChangeItemsCommand{Items: items, Digest: "first"}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(1, b)
	return s
}

// TestJudgeItems checks that a change with an invalid item is refused as a whole, and that an
// order that was accepted before is not refused when it is sent again, even if it has become
// invalid.
func TestJudgeItems(t *testing.T) {
	current := []*wire.Item{
		item("service lamps", 5), route("status", 5, "service", "lamps"), team("good", 5, "key"),
		item("service gone", 5), {Name: "service gone", Version: 6, Dropped: true},
	}
	cases := []struct {
		name    string
		digest  string
		items   []*wire.Item
		refused bool
	}{
		{"changed route", "", []*wire.Item{route("status", 6, "service", "lamps", "timeout", "2s")}, false},
		{"new route and its service", "", []*wire.Item{item("service b", 6), route("b", 6, "services", "b 90, lamps 10")}, false},
		{"older version of a route", "", []*wire.Item{route("status", 4, "service", "lamps")}, false},
		{"unknown service", "", []*wire.Item{route("b", 6, "service", "none")}, true},
		{"dropped service", "", []*wire.Item{route("b", 6, "service", "gone")}, true},
		{"one invalid item among valid ones", "", []*wire.Item{item("service b", 6), route("b", 6, "service", "none")}, true},
		{"weights add up to 0", "", []*wire.Item{route("b", 6, "services", "lamps 0")}, true},
		{"no attempts", "", []*wire.Item{item("route b", 6, "path", "/b/", "methods", "*", "class", "idempotent", "attempts", "0", "service", "lamps")}, true},
		{"path without a slash", "", []*wire.Item{item("route b", 6, "path", "b/", "methods", "*", "class", "idempotent", "service", "lamps")}, true},
		{"unknown class", "", []*wire.Item{item("route b", 6, "path", "/b/", "methods", "*", "class", "odd", "service", "lamps")}, true},
		{"key of another team", "", []*wire.Item{team("other", 6, "key")}, true},
		{"key moves to another team", "", []*wire.Item{team("other", 6, "key"), team("good", 6, "new")}, false},
		{"older version of a route is invalid", "", []*wire.Item{route("status", 4, "service", "none")}, true},
		{"unknown home region", "", []*wire.Item{route("b", 6, "service", "lamps", "homes", "moon")}, true},
		{"dropping a service in use", "", []*wire.Item{{Name: "service lamps", Version: 6, Dropped: true}}, true},
		{"accepted order is sent again", "first", []*wire.Item{route("b", 5, "service", "gone")}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &Administrator{config: Config{State: newState(t, current...), Zones: map[string]string{"north1": "north"}}}
			reasons := a.validateItems(&wire.ChangeItemsCommand{Items: c.items, Digest: c.digest})
			t.Log(reasons)
			is.New(t).Equal(len(reasons) > 0, c.refused)
		})
	}
}

// TestLearnerFor checks which joining members become learners, and which members they replace.
func TestLearnerFor(t *testing.T) {
	voters := func(n uint64) []*wire.ControlMember {
		var out []*wire.ControlMember
		for i := uint64(1); i <= n; i++ {
			out = append(out, &wire.ControlMember{Id: i, Address: string(rune('a' + i))})
		}
		return out
	}
	newcomer := &wire.ControlMember{Id: 100, Address: "new"}
	cases := []struct {
		name     string
		members  []*wire.ControlMember
		offered  *wire.ControlMember
		silent   map[uint64]time.Duration
		added    bool
		replaces uint64
	}{
		{"too few members", voters(3), newcomer, nil, true, 0},
		{"enough members", voters(5), newcomer, nil, false, 0},
		{"member already", voters(5), voters(5)[2], nil, false, 0},
		{"new incarnation at the same address", voters(5), &wire.ControlMember{Id: 100, Address: voters(5)[2].GetAddress()}, nil, true, 3},
		{"voter is silent", voters(5), newcomer, map[uint64]time.Duration{4: voterSilenceTimeout + 1}, true, 4},
		{"voter is silent for less than the limit", voters(5), newcomer, map[uint64]time.Duration{4: voterSilenceTimeout - 1}, false, 0},
		{"the voter that is silent for longest is replaced", voters(5), newcomer,
			map[uint64]time.Duration{2: voterSilenceTimeout + 1, 4: 2 * voterSilenceTimeout, 5: voterSilenceTimeout + 2}, true, 4},
		{"silent voter is being replaced already", append(voters(5), &wire.ControlMember{Id: 9, Learner: true, Replaces: 4}), newcomer,
			map[uint64]time.Duration{4: voterSilenceTimeout + 1}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := learnerFor(c.members, c.offered, 5, func(id uint64) time.Duration { return c.silent[id] })
			is.Equal(got != nil, c.added)
			is.Equal(got.GetReplaces(), c.replaces)
			is.True(got == nil || got.GetLearner())
		})
	}
}
