package limiter

import (
	"strings"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the room on links.
const (
	// tokenBytes is the number of bytes that one token of a link stands for.
	tokenBytes = 1024
	// linkPart is the part of a link's capacity that our traffic may take steadily.
	linkPart = 0.8
	// linkBurst is the time over which the rest may be taken at once. Over any second the
	// sum is the capacity of that second.
	linkBurst   = 0.2
	bitsPerByte = 8
)

// Limit is the rate, in tokens per second, and the burst of an account, in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// limitOf returns the limit of the account whose owner has a role.
func limitOf(c *parser.Configuration, role string) (l Limit, ok bool) {
	if c == nil {
		return Limit{}, false
	}
	if name, is := strings.CutPrefix(role, wire.TeamPrefix); is {
		t := c.Teams[name]
		if t == nil {
			return Limit{}, false
		}
		return Limit{Rate: t.Rate, Burst: t.Burst}, true
	}
	w, is := wire.ParseWay(role)
	link := c.Links[parser.NewLinkName(w.From, w.To)]
	if !is || link == nil {
		return Limit{}, false
	}
	tokens := link.BitsPerSecond / bitsPerByte / tokenBytes
	return Limit{Rate: tokens * linkPart, Burst: tokens * linkBurst}, true
}
