package wire

import (
	"strconv"
	"strings"
)

// Prefixes of the names of roles.
const (
	TeamPrefix = "team/"
	PoolPrefix = "pool/"
	LinkPrefix = "link/"
)

// FirstEpoch is the epoch of a role's first holder. No grants of an earlier holder can exist.
const FirstEpoch = 1

// TeamRole returns the name of the role whose holder owns a team's token bucket.
func TeamRole(team string) string {
	return TeamPrefix + team
}

// LinkDirection is one direction of a link between two regions.
type LinkDirection struct {
	From string
	To   string
}

// Role returns the name of the role whose holder owns the capacity of this direction.
func (w LinkDirection) Role() string {
	return LinkPrefix + w.From + "/" + w.To
}

// ParseLinkRole parses the name of a link's role; ok is false for any other name.
func ParseLinkRole(role string) (w LinkDirection, ok bool) {
	parts := strings.Split(role, "/")
	if len(parts) != 3 || parts[0]+"/" != LinkPrefix {
		return LinkDirection{}, false
	}
	return LinkDirection{From: parts[1], To: parts[2]}, true
}

// Pool is the group of a service's targets of one version in one region.
type Pool struct {
	Service string
	Region  string
	Version string
}

// Role returns the name of the role whose holder is the pool's dispatcher.
func (p Pool) Role() string {
	return PoolPrefix + p.Service + "/" + p.Region + "/" + p.Version
}

// ParsePool parses the name of a pool's role; ok is false for any other name.
func ParsePool(role string) (p Pool, ok bool) {
	parts := strings.Split(role, "/")
	if len(parts) != 4 || parts[0]+"/" != PoolPrefix {
		return Pool{}, false
	}
	return Pool{Service: parts[1], Region: parts[2], Version: parts[3]}, true
}

// RunName returns a name for one run of an entry, from its start to its end.
func RunName(entry string, incarnation uint64) string {
	return entry + "/" + strconv.FormatUint(incarnation, 36)
}

// EntryRun identifies one run of an entry. It is comparable, for use as a map key.
type EntryRun struct {
	Name        string
	Incarnation uint64
}

// EntryRunOf returns the EntryRun that m describes.
func EntryRunOf(m *EntryMember) EntryRun {
	return EntryRun{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}
