package wire

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestStateNames checks the name of each state, and that a state of a later release survives being
// read and written by this one.
func TestStateNames(t *testing.T) {
	for s, want := range map[EntryState]string{
		EntryState_ENTRY_STATE_LIVE: "live", EntryState_ENTRY_STATE_LEAVING: "leaving", EntryState_ENTRY_STATE_ISOLATED: "isolated", 99: "99",
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			is.Equal(StateName(s), want)
			data, err := proto.Marshal(&EntryMember{Name: "entry0", State: s})
			is.NoErr(err)
			var m EntryMember
			is.NoErr(proto.Unmarshal(data, &m))
			is.Equal(m.GetState(), s)
		})
	}
}
