package entry

import (
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// ViewDump is the dump of an entry's view, without the digests of keys.
type ViewDump struct {
	Index    uint64
	Revision uint64
	Fresh    bool
	Keys     int
	Entries  map[string]*wire.EntryMember
	Roles    map[string]*wire.Role
}

func dumpView(r *receiver.Receiver) ViewDump {
	v := r.View()
	out := ViewDump{Index: v.Index, Fresh: r.Fresh(), Entries: v.Entries, Roles: v.Roles}
	if v.Configuration != nil {
		out.Revision, out.Keys = v.Configuration.Revision, len(v.Configuration.Keys)
	}
	return out
}
