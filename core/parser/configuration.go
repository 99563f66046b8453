package parser

import (
	"net/netip"
	"time"

	"github.com/filberthoist/filberthoist/core/digester"
)

// Class tells how often a request of a route may run.
type Class string

// Classes of routes.
const (
	// ClassIdempotent requests may be sent again to another target.
	ClassIdempotent Class = "idempotent"
	// ClassAtMostOnce requests are never sent again once a byte has left.
	ClassAtMostOnce Class = "atMostOnce"
	// ClassOpen requests need no key and are idempotent.
	ClassOpen Class = "open"
)

// Configuration is the checked form of the operators' text.
type Configuration struct {
	Revision   uint64
	Deployment string
	Limits     Limits
	Regions    map[string]*Region
	Links      map[LinkName]*Link
	Services   map[string]*Service
	// Routes with longer paths come first.
	Routes  []*Route
	Targets map[string]*Target
	Teams   map[string]*Team
	Keys    map[digester.Digest]*Key
	Moves   map[string]*Move
	// Clients tell where callers are, by their addresses.
	Clients []*Clients
}

// Clients are blocks of caller addresses in a region.
type Clients struct {
	Name   string
	Region string
	Blocks []netip.Prefix
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	BodyBytes int
	// BodyTimeout bounds the time a caller takes to send its body.
	BodyTimeout time.Duration
	// LimitWait bounds how long a request waits for its team's tokens.
	LimitWait time.Duration
	// LookupLifetime tells callers how long to keep a look-up's answer.
	LookupLifetime time.Duration
	// RetryShare is the share of a service's idempotent requests that may be retries, from 0 to 1.
	RetryShare float64
}

// Region is a group of availability zones.
type Region struct {
	Name              string
	AvailabilityZones []string
}

// LinkName names the two ends of a link, in alphabetical order.
type LinkName struct {
	First  string
	Second string
}

// Link connects two regions.
type Link struct {
	Name LinkName
	// BitsPerSecond is the capacity in each direction.
	BitsPerSecond float64
	Delay         time.Duration
}

// Service is a group of targets that serve the same routes.
type Service struct {
	Name      string
	DependsOn []string
	// Version that takes traffic when no move says otherwise.
	Version string
	// AnswerBytes is the usual size of an answer, for the room on links.
	AnswerBytes int
	// Targets in the order of their names.
	Targets []*Target
}

// Route maps requests by method and path prefix to a service.
type Route struct {
	Name    string
	Service *Service
	Path    string
	Methods []string
	Class   Class
	// Timeout bounds a request when the caller states no earlier deadline.
	Timeout time.Duration
}

// Target is one upstream process of a service.
type Target struct {
	Name             string
	Service          string
	Address          string
	Region           string
	AvailabilityZone string
	Slots            int
	Version          string
}

// Team is a tenant; its limits count over all entries together.
type Team struct {
	Name string
	// Rate is in requests per second.
	Rate  float64
	Burst float64
	// Weight is the team's part when targets are busy.
	Weight float64
}

// Key admits the requests of a team. Only the digest is known.
type Key struct {
	Name   string
	Team   *Team
	Digest digester.Digest
}

// Move shifts a service's traffic from one version to another, or from one region to another.
type Move struct {
	Name    string
	Service string
	// From and To are versions.
	From string
	To   string
	// FromRegion and ToRegion are set instead of From and To if the shift is between regions.
	FromRegion string
	ToRegion   string
	// Cap is the largest share that one step may shift, from 0 to 1.
	Cap float64
	// Deadline is when all traffic must have moved.
	Deadline time.Time
	// Bake is how long the last step waits for late faults.
	Bake time.Duration
	// Definition is the digest of the section; a changed section is a new move.
	Definition string
}

// Ends names the two sides of the move.
func (m *Move) Ends() (from, to string) {
	if m.FromRegion != "" {
		return m.FromRegion, m.ToRegion
	}
	return m.From, m.To
}

// Course names the service and both sides.
func (m *Move) Course() string {
	from, to := m.Ends()
	return m.Service + " " + from + " " + to
}

// Regional tells whether the shift is between regions.
func (m *Move) Regional() bool {
	return m.FromRegion != ""
}

// NewLinkName names the link between two regions, whichever comes first.
func NewLinkName(a, b string) LinkName {
	if a > b {
		a, b = b, a
	}
	return LinkName{First: a, Second: b}
}

// RoutesOf returns the routes of a service.
func (c *Configuration) RoutesOf(service string) []*Route {
	var out []*Route
	for _, r := range c.Routes {
		if r.Service.Name == service {
			out = append(out, r)
		}
	}
	return out
}

// Open tells whether the route needs no key.
func (r *Route) Open() bool {
	return r.Class == ClassOpen
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class != ClassAtMostOnce
}
