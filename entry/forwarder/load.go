package forwarder

import (
	"math"
	"strconv"
	"strings"
)

// Load is the load that a target reports in a response: numbers of running and waiting requests
// and of slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the ratio of the time that work takes at the target now to the usual one; 0 if the
	// target did not state it.
	Slowness float64
}

// usualSlowness is how targets state that work takes as long as usual.
const usualSlowness = 100

// ParseLoad parses the numbers of running and waiting requests and of slots, and the slowness in
// percent, separated by commas. The slowness may be missing or malformed, and further figures are
// ignored. It returns nil if one of the first three is missing or malformed.
func ParseLoad(text string) *Load {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return nil
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return nil
		}
		n[i] = v
	}
	l := &Load{Running: n[0], Waiting: n[1], Slots: n[2]}
	if len(parts) > 3 {
		l.Slowness = parseSlowness(parts[3])
	}
	return l
}

// parseSlowness returns 0 if the text is not a positive number.
func parseSlowness(text string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v / usualSlowness
}
