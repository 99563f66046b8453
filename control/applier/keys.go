package applier

import (
	"fmt"
	"strings"
)

// Prefixes of the keys of records that stay on control, and the key of the head.
const (
	revisionPrefix = "revision/"
	oncePrefix     = "once/"
	// HeadKey holds the RevisionRecord of the text in force.
	HeadKey = "head"
)

// Distributed tells whether entries need the record of a key.
func Distributed(key string) bool {
	return !strings.HasPrefix(key, revisionPrefix) && !strings.HasPrefix(key, oncePrefix)
}

func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", revisionPrefix, revision)
}
