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

// Way is one direction of a link between two regions.
type Way struct {
	From string
	To   string
}

// Role returns the name of the role whose holder owns the capacity of this direction.
func (w Way) Role() string {
	return LinkPrefix + w.From + "/" + w.To
}

// ParseWay parses the name of a link's role; ok is false for any other name.
func ParseWay(role string) (w Way, ok bool) {
	parts := strings.Split(role, "/")
	if len(parts) != 3 || parts[0]+"/" != LinkPrefix {
		return Way{}, false
	}
	return Way{From: parts[1], To: parts[2]}, true
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

// Incarnation returns a name for one run of an entry, from its start to its end.
func Incarnation(entry string, incarnation uint64) string {
	return entry + "/" + strconv.FormatUint(incarnation, 36)
}

// Caller identifies one run of an entry. It is comparable, for use as a map key.
type Caller struct {
	Name        string
	Incarnation uint64
}

// CallerOf returns the Caller that m describes.
func CallerOf(m *EntryMember) Caller {
	return Caller{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}
