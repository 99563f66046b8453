package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxTurnAway bounds the time for which a target may turn this entry away with one response.
const maxTurnAway = 10 * time.Minute

// statesLeaving reports whether a target states in a response that it is leaving.
func statesLeaving(name string, h http.Header) bool {
	if name == "" {
		return false
	}
	for _, v := range h.Values(name) {
		if strings.TrimSpace(v) == "1" {
			return true
		}
	}
	return false
}

// parseRetryAfter returns how long a target that responded with status 503 wants no requests: the
// longest of its Retry-After fields in seconds, or as a date in relation to the response's own Date.
// ok is false if there is a field that can't be used. Fields that are 0 or in the past have no effect.
func parseRetryAfter(h http.Header) (d time.Duration, ok bool) {
	ok = true
	for _, v := range h.Values("Retry-After") {
		n, known := parseDelay(strings.TrimSpace(v), h.Get("Date"))
		d, ok = max(d, n), ok && known
	}
	return min(d, maxTurnAway), ok
}

func parseDelay(text, date string) (d time.Duration, ok bool) {
	if s, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
			return 0, false
		}
		return time.Duration(min(s, maxTurnAway.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	from, err := http.ParseTime(date)
	if err != nil {
		return 0, false
	}
	return until.Sub(from), true
}
