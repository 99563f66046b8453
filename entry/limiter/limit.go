package limiter

import (
	"strings"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of the limits on links.
const (
	// bytesPerToken is the number of bytes that one token of a link stands for.
	bytesPerToken = 1024
	// linkFraction is the fraction of a link's capacity that our traffic may use steadily.
	linkFraction = 0.8
	// linkBurstSeconds is the burst, as a time at the link's full capacity. Steady traffic and
	// burst together never exceed the capacity of one second within any second.
	linkBurstSeconds = 0.2
	bitsPerByte      = 8
)

// Limit is the rate of a bucket in tokens per second, and its burst in tokens.
type Limit struct {
	Rate  float64
	Burst float64
}

// limitOf returns the limit of the bucket that belongs to an owner's role. ok is false if the
// configuration has no such team or link.
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
	w, is := wire.ParseLinkRole(role)
	link := c.Links[parser.NewLinkName(w.From, w.To)]
	if !is || link == nil {
		return Limit{}, false
	}
	tokens := link.BitsPerSecond / bitsPerByte / bytesPerToken
	return Limit{Rate: tokens * linkFraction, Burst: tokens * linkBurstSeconds}, true
}
