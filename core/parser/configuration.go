package parser

import (
	"net/netip"
	"slices"
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
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay without a request.
	IdleTimeout time.Duration
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
	// Version that takes traffic when no move says otherwise; empty means every version
	// but the one that a move leads to.
	Version string
	// Connections bounds the connections to one target, over all entries; 0 means no bound.
	Connections int
	// ColdRate bounds the requests per second to one cold target, over all entries; 0 means
	// no bound.
	ColdRate float64
	// AnswerBytes is the usual size of an answer, for the room on links.
	AnswerBytes int
	// Targets in the order of their names.
	Targets []*Target
}

// Route maps requests by method and path prefix to a service.
type Route struct {
	Name string
	// Service is the first of Parts.
	Service *Service
	// Parts share the route's requests by weight.
	Parts []Part
	// Host is the name that callers ask for; empty takes every name.
	Host string
	Path string
	// Methods that the route takes; AnyMethod alone takes all.
	Methods []string
	Class   Class
	// Public routes need no key, whatever their class.
	Public bool
	// Timeout bounds a request when the caller states no earlier deadline.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most; 0 means none is stated.
	Aim time.Duration
	// Priority is the rank when there is not room for all; 0 goes first.
	Priority int
	// Attempts is the number of targets that one request may be sent to; 0 means the default.
	Attempts int
	// Homes are the only regions that may serve the route; empty means all.
	Homes []string
	// Affinity tells that targets answer sooner for an object that they handled lately.
	Affinity bool
	// Version is that of the route's item; 0 for routes of the text.
	Version uint64
}

// Part is one of the services that share a route.
type Part struct {
	Service *Service
	Weight  float64
}

// AnyMethod stands for all methods.
const AnyMethod = "*"

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
	// Unlimited teams have neither rate nor burst.
	Unlimited bool
	// Weight is the team's part when targets are busy.
	Weight float64
	// Priority takes precedence over the routes' ones; nil leaves them.
	Priority *int
	// Homes are the only regions that may serve the team; empty means all.
	Homes []string
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
	// Barred versions take no traffic: earlier moves to them were taken back.
	Barred []string
	// Cap is the largest share that one step may shift, from 0 to 1.
	Cap float64
	// Exposure bounds the share that the new side gets before all traffic moves at once; 0
	// means that the shares grow step by step.
	Exposure float64
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
		if r.uses(service) {
			out = append(out, r)
		}
	}
	return out
}

func (r *Route) uses(service string) bool {
	return r.Service.Name == service || slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service.Name == service })
}

// Open tells whether the route needs no key.
func (r *Route) Open() bool {
	return r.Class == ClassOpen || r.Public
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Class != ClassAtMostOnce
}
