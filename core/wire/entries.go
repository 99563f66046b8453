package wire

import "strings"

// StateName returns the name of an entry's state for operators, such as "isolated". A state that
// this release does not know is named by its number.
func StateName(s EntryState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ENTRY_STATE_"))
}
