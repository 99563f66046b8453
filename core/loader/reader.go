// Package loader reads INI settings and texts, and collects every fault of a reading.
package loader

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values of one section and notes each fault it meets.
type Reader struct {
	section  Section
	asked    map[string]bool
	problems *Problems
}

// NewReader returns a Reader that adds its faults to problems.
func NewReader(s Section, problems *Problems) *Reader {
	return &Reader{section: s, asked: map[string]bool{}, problems: problems}
}

// Fail notes a fault of a key.
func (r *Reader) Fail(key, format string, args ...any) {
	p := Problem{Section: r.section.Name, Key: key, Text: fmt.Sprintf(format, args...)}
	*r.problems = append(*r.problems, p)
}

// Finish notes every key of the section that was not asked for.
func (r *Reader) Finish() {
	*r.problems = append(*r.problems, unknownKeys(r.section, r.asked)...)
}

// Optional returns a value, or the fallback if the key is absent.
func (r *Reader) Optional(key, fallback string) string {
	r.asked[key] = true
	v, ok := r.section.Value(key)
	if !ok || v == "" {
		return fallback
	}
	return v
}

// Required returns a value and notes a fault if it is absent or empty.
func (r *Reader) Required(key string) string {
	v := r.Optional(key, "")
	if v == "" {
		r.Fail(key, "missing")
	}
	return v
}

// List returns the comma-separated values of a key.
func (r *Reader) List(key string) []string {
	v := r.Optional(key, "")
	if v == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		p = strings.TrimSpace(p)
		if p == "" {
			r.Fail(key, "empty item in the list")
			continue
		}
		out = append(out, p)
	}
	return out
}

// Float returns a number between low and high.
func (r *Reader) Float(key string, fallback, low, high float64) float64 {
	v := r.Optional(key, "")
	if v == "" {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		r.Fail(key, "%q is not a number", v)
		return fallback
	}
	if !(f >= low && f <= high) {
		r.Fail(key, "%v is not between %v and %v", v, low, high)
		return fallback
	}
	return f
}

// Int returns a whole number between low and high.
func (r *Reader) Int(key string, fallback, low, high int) int {
	v := r.Optional(key, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		r.Fail(key, "%q is not a whole number", v)
		return fallback
	}
	if n < low || n > high {
		r.Fail(key, "%d is not between %d and %d", n, low, high)
		return fallback
	}
	return n
}

// Duration returns a duration such as 250ms or 3s between low and high.
func (r *Reader) Duration(key string, fallback, low, high time.Duration) time.Duration {
	v := r.Optional(key, "")
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.Fail(key, "%q is not a duration such as 250ms or 3s", v)
		return fallback
	}
	if d < low || d > high {
		r.Fail(key, "%v is not between %v and %v", d, low, high)
		return fallback
	}
	return d
}

// Bool returns true or false.
func (r *Reader) Bool(key string, fallback bool) bool {
	v := r.Optional(key, "")
	switch v {
	case "":
		return fallback
	case "true":
		return true
	case "false":
		return false
	}
	r.Fail(key, "%q is neither true nor false", v)
	return fallback
}

// Choice returns one of the given values.
func (r *Reader) Choice(key, fallback string, choices ...string) string {
	v := r.Optional(key, fallback)
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	r.Fail(key, "%q is none of %s", v, strings.Join(choices, ", "))
	return fallback
}

// Address returns an IP address with a port, in the form of net/netip.
func (r *Reader) Address(key string) string {
	v := r.Required(key)
	if v == "" {
		return ""
	}
	r.checkAddress(key, v)
	return v
}

// Addresses returns a list of at least one IP address with a port.
func (r *Reader) Addresses(key string) []string {
	list := r.List(key)
	if len(list) == 0 {
		r.Fail(key, "missing")
	}
	for _, v := range list {
		r.checkAddress(key, v)
	}
	return list
}

func (r *Reader) checkAddress(key, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		r.Fail(key, "%q is not an IP address with a port, such as 10.0.0.1:7000", v)
	}
}
