package applier

import (
	"fmt"
	"strings"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Prefixes of the keys of records that stay on control, and the key of the head.
const (
	revisionPrefix = "revision/"
	oncePrefix     = "once/"
	// formPrefix holds items as their operators wrote them, orderPrefix the digests of orders.
	formPrefix  = "form/"
	orderPrefix = "order/"
	// HeadKey holds the RevisionRecord of the text in force.
	HeadKey = "head"
)

// Distributed tells whether entries need the record of a key.
func Distributed(key string) bool {
	for _, p := range []string{revisionPrefix, oncePrefix, formPrefix, orderPrefix, wire.SilentRecords} {
		if strings.HasPrefix(key, p) {
			return false
		}
	}
	return true
}

func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", revisionPrefix, revision)
}
