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

// FirstEpoch is the epoch of a role's first holder, before which nothing was granted.
const FirstEpoch = 1

// TeamRole names the role of the owner of a team's bucket.
func TeamRole(team string) string {
	return TeamPrefix + team
}

// Way is one direction of a link between two regions.
type Way struct {
	From string
	To   string
}

// Role names the role of the owner of the way's room.
func (w Way) Role() string {
	return LinkPrefix + w.From + "/" + w.To
}

// ParseWay returns the way that a role is for.
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

// Role names the role of the pool's dispatcher.
func (p Pool) Role() string {
	return PoolPrefix + p.Service + "/" + p.Region + "/" + p.Version
}

// ParsePool returns the pool that a role is for.
func ParsePool(role string) (p Pool, ok bool) {
	parts := strings.Split(role, "/")
	if len(parts) != 4 || parts[0]+"/" != PoolPrefix {
		return Pool{}, false
	}
	return Pool{Service: parts[1], Region: parts[2], Version: parts[3]}, true
}

// Incarnation names one run of an entry.
func Incarnation(entry string, incarnation uint64) string {
	return entry + "/" + strconv.FormatUint(incarnation, 36)
}

// Caller names one run of an entry, for use as a key.
type Caller struct {
	Name        string
	Incarnation uint64
}

// CallerOf names the run that a member describes.
func CallerOf(m *EntryMember) Caller {
	return Caller{Name: m.GetName(), Incarnation: m.GetIncarnation()}
}
