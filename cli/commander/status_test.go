package commander

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/wire"
)

// TestEntryStates checks what the status shows of an entry.
func TestEntryStates(t *testing.T) {
	cases := []struct {
		want   string
		status *wire.EntryStatus
	}{
		{"live", &wire.EntryStatus{}},
		{"leaving", &wire.EntryStatus{Member: &wire.EntryMember{State: wire.EntryState_ENTRY_STATE_LEAVING}}},
		{"isolated", &wire.EntryStatus{Member: &wire.EntryMember{State: wire.EntryState_ENTRY_STATE_ISOLATED}}},
		{"silent for 3 s", &wire.EntryStatus{
			LeaseLapsed: true, SecondsSincePoll: 3, Member: &wire.EntryMember{State: wire.EntryState_ENTRY_STATE_ISOLATED},
		}},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			(&Commander{config: Config{Out: &b}}).printStatus(&wire.StatusResponse{Entries: []*wire.EntryStatus{c.status}})
			is.True(strings.Contains(b.String(), "  "+c.want+"\n"))
		})
	}
}
