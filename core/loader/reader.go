// Package loader parses INI settings files and operators' texts. It collects all problems of a
// file instead of stopping at the first.
package loader

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Reader reads typed values from one section and collects a problem for each invalid one.
// Methods with a fallback return it if the value is absent or invalid.
type Reader struct {
	section   Section
	knownKeys map[string]bool
	problems  *Problems
}

// NewReader returns a Reader of a section that appends to problems.
func NewReader(s Section, problems *Problems) *Reader {
	return &Reader{section: s, knownKeys: map[string]bool{}, problems: problems}
}

// Fail adds a problem of a key.
func (r *Reader) Fail(key, format string, args ...any) {
	p := Problem{Section: r.section.Name, Key: key, Text: fmt.Sprintf(format, args...)}
	*r.problems = append(*r.problems, p)
}

// Finish adds a problem for each key of the section that was not read.
func (r *Reader) Finish() {
	*r.problems = append(*r.problems, unknownKeys(r.section, r.knownKeys)...)
}

// Optional returns the value of a key, or the fallback if it is absent or empty.
func (r *Reader) Optional(key, fallback string) string {
	r.knownKeys[key] = true
	v, ok := r.section.Value(key)
	if !ok || v == "" {
		return fallback
	}
	return v
}

// Required returns the value of a key and adds a problem if it is absent or empty.
func (r *Reader) Required(key string) string {
	v := r.Optional(key, "")
	if v == "" {
		r.Fail(key, "missing")
	}
	return v
}

// List returns the comma-separated values of a key, or nil if it is absent.
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

// Float returns a number from low to high; NaN is invalid.
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

// Int returns an integer from low to high.
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

// Duration returns a duration such as 250ms or 3s, from low to high.
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

// Bool returns a boolean, written true or false.
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

// Choice returns a value that must be one of the choices.
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

// Address returns a required IP address with a port, in the syntax of netip.ParseAddrPort.
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
