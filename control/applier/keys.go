package applier

import (
	"fmt"
	"strings"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Prefixes of the keys of records that are not sent to entries, and the key of the head.
const (
	revisionPrefix = "revision/"
	oncePrefix     = "once/"
	// formPrefix is for items in the form in which operators wrote them, orderPrefix for the digests
	// of orders.
	formPrefix  = "form/"
	orderPrefix = "order/"
	// dutyPrefix is for the holders of duties and what they have to send.
	dutyPrefix = "duty/"
	// HeadKey holds the RevisionRecord of the text in force.
	HeadKey = "head"
)

// Distributed reports whether the record of a key is sent to entries.
func Distributed(key string) bool {
	for _, p := range []string{revisionPrefix, oncePrefix, formPrefix, orderPrefix, dutyPrefix, wire.SilentRecords} {
		if strings.HasPrefix(key, p) {
			return false
		}
	}
	return true
}

func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", revisionPrefix, revision)
}
