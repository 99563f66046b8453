package parser

import (
	"net/netip"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/digester"
)

// Class says whether a request of a route may run more than once, and whether it needs a key.
type Class string

// The classes of routes.
const (
	// ClassIdempotent requests may be retried on another target.
	ClassIdempotent Class = "idempotent"
	// ClassAtMostOnce requests are never retried once a byte of them was sent.
	ClassAtMostOnce Class = "atMostOnce"
	// ClassOpen requests are idempotent and need no key.
	ClassOpen Class = "open"
)

// Configuration is the compiled and validated form of the operators' text or of items.
type Configuration struct {
	Revision   uint64
	Deployment string
	Limits     Limits
	Regions    map[string]*Region
	Links      map[LinkName]*Link
	Services   map[string]*Service
	// Routes are in the order of matching: longer paths come first.
	Routes  []*Route
	Targets map[string]*Target
	Teams   map[string]*Team
	Keys    map[digester.Digest]*Key
	Moves   map[string]*Move
	// Clients map addresses of callers to regions.
	Clients []*Clients
}

// Clients lists the address blocks of callers that are in one region.
type Clients struct {
	Name   string
	Region string
	Blocks []netip.Prefix
}

// Limits bounds the size and the timing of requests and the number of retries.
type Limits struct {
	BodyBytes int
	// BodyTimeout bounds the time that a caller may take to send the body of a request.
	BodyTimeout time.Duration
	HeaderBytes int
	// HeaderTimeout bounds the time from the first to the last byte of a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay open without a request.
	IdleTimeout time.Duration
	// LimitWait bounds how long a request waits for its team's tokens. It applies with roles.
	LimitWait time.Duration
	// LookupLifetime is how long callers may cache the result of a lookup.
	LookupLifetime time.Duration
	// RetryShare is the fraction of a service's requests that may be retries, from 0 to 1. It
	// applies with roles; without them, the settings of each entry bound its retries.
	RetryShare float64
}

// Region is a named group of availability zones.
type Region struct {
	Name              string
	AvailabilityZones []string
}

// LinkName names the two ends of a link, in alphabetical order.
type LinkName struct {
	First  string
	Second string
}

// Link is the network link between two regions.
type Link struct {
	Name LinkName
	// BitsPerSecond is the capacity in each direction.
	BitsPerSecond float64
	// Delay is the one-way delay.
	Delay time.Duration
}

// Service is a group of targets that serve the same routes, and the services it depends on.
type Service struct {
	Name      string
	DependsOn []string
	// Version receives the traffic unless a move shifts it; empty means every version
	// except the one that a move leads to.
	Version string
	// Connections is the most connections to one target that operators ask for, over all
	// entries; 0 means no bound. It is parsed but not enforced.
	Connections int
	// ColdRate bounds the requests per second to one cold target, over all entries; 0 means
	// no bound. It applies without roles.
	ColdRate float64
	// HealthPath is the path at which targets state their health; empty if there is none.
	HealthPath string
	// AnswerBytes is the usual size of a response, for reserving capacity on links.
	AnswerBytes int
	// Targets are sorted by name.
	Targets []*Target
}

// Route maps requests by method and path prefix to a service.
type Route struct {
	Name string
	// Service is the service of the first of WeightedServices.
	Service *Service
	// WeightedServices split the route's requests in proportion to their weights.
	WeightedServices []WeightedService
	// Host is the host name of the request; empty matches every name.
	Host string
	// Path is a prefix of the path of the request.
	Path string
	// Methods are those that the route matches; AnyMethod alone matches all.
	Methods []string
	Class   Class
	// Public routes need no key, regardless of their class.
	Public bool
	// Timeout bounds a request unless the caller sets an earlier deadline.
	Timeout time.Duration
	// Aim is the latency target of a response; 0 means that there is none.
	Aim time.Duration
	// Priority is the rank of the requests when capacity is short; 0 goes first. It applies
	// without roles.
	Priority int
	// Attempts bounds the targets that may run one request; 0 means the default. It applies
	// without roles.
	Attempts int
	// Homes are the only regions that may serve the route; empty means all.
	Homes []string
	// Affinity is set if targets respond faster for an object that they handled recently.
	Affinity bool
	// Version is the version of the route's item; 0 for routes of the text.
	Version uint64
}

// WeightedService is one of the services that a route's requests are split over.
type WeightedService struct {
	Service *Service
	Weight  float64
}

// AnyMethod matches all methods.
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

// Team is a tenant. Its rate and burst apply to all entries together.
type Team struct {
	Name string
	// Rate is in requests per second.
	Rate  float64
	Burst float64
	// Unlimited teams have neither a rate nor a burst.
	Unlimited bool
	// Weight is the weight of the team's requests in the queues of the dispatchers. It applies
	// with roles.
	Weight float64
	// Priority overrides that of the routes; nil keeps it.
	Priority *int
	// Homes are the only regions that may serve the team; empty means all.
	Homes []string
}

// Key authenticates the requests of a team. Only its digest is stored.
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
	// FromRegion and ToRegion are set instead of From and To if the move is between regions.
	FromRegion string
	ToRegion   string
	// Barred versions get no traffic because earlier moves to them were taken back.
	Barred []string
	// Cap is the largest share that one step may shift, from 0 to 1.
	Cap float64
	// Exposure is the share that the new side gets until it has proven good, from 0 to 1;
	// after a short trial under half of the traffic, it then gets all. 0 means that the share
	// grows step by step.
	Exposure float64
	// Deadline is when all traffic must have moved.
	Deadline time.Time
	// Bake is how long the last step waits for late faults.
	Bake time.Duration
	// Definition is a digest of the service, the sides, Cap, Bake and Deadline. A move whose
	// definition changes gets a new record.
	Definition string
}

// Sides returns the versions or the regions of the old and the new side.
func (m *Move) Sides() (from, to string) {
	if m.FromRegion != "" {
		return m.FromRegion, m.ToRegion
	}
	return m.From, m.To
}

// Course identifies the move by its service and both sides, independent of its name.
func (m *Move) Course() string {
	from, to := m.Sides()
	return m.Service + " " + from + " " + to
}

// Regional reports whether the move is between regions.
func (m *Move) Regional() bool {
	return m.FromRegion != ""
}

// NewLinkName returns the name of the link between two regions, given in any order.
func NewLinkName(a, b string) LinkName {
	if a > b {
		a, b = b, a
	}
	return LinkName{First: a, Second: b}
}

// RoutesOf returns the routes that send requests to a service.
func (c *Configuration) RoutesOf(service string) []*Route {
	var out []*Route
	for _, r := range c.Routes {
		if r.usesService(service) {
			out = append(out, r)
		}
	}
	return out
}

func (r *Route) usesService(service string) bool {
	return r.Service.Name == service || slices.ContainsFunc(r.WeightedServices, func(p WeightedService) bool { return p.Service.Name == service })
}

// Open reports whether the route needs no key.
func (r *Route) Open() bool {
	return r.Class == ClassOpen || r.Public
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Class != ClassAtMostOnce
}
