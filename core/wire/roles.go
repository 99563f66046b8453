package wire

import "strconv"

// Prefixes of the names of roles.
const (
	TeamPrefix = "team/"
	PoolPrefix = "pool/"
)

// FirstEpoch is the epoch of a role's first holder, before which nothing was granted.
const FirstEpoch = 1

// TeamRole names the role of the owner of a team's bucket.
func TeamRole(team string) string {
	return TeamPrefix + team
}

// PoolRole names the role of the dispatcher of a service's targets in a region.
func PoolRole(service, region string) string {
	return PoolPrefix + service + "/" + region
}

// Incarnation names one run of an entry.
func Incarnation(entry string, incarnation uint64) string {
	return entry + "/" + strconv.FormatUint(incarnation, 36)
}
