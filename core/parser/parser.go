// Package parser checks the operators' text and compiles it into a Configuration.
package parser

import (
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
)

// Bounds and defaults of values in the text.
const (
	maxSlots              = 10_000
	maxRate               = 1e9
	maxTimeout            = 5 * time.Minute
	defaultTimeout        = 10 * time.Second
	defaultBake           = 10 * time.Minute
	maxBake               = 30 * 24 * time.Hour
	defaultBodyBytes      = 1 << 20
	maxBodyBytes          = 1 << 30
	defaultBodyTimeout    = 5 * time.Second
	defaultLimitWait      = 300 * time.Millisecond
	defaultLookupLifetime = 5 * time.Second
	defaultRetryShare     = 0.1
	defaultAnswerBytes    = 4 << 10
	defaultHeaderBytes    = 16 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = time.Minute
	maxAttempts           = 100
	maxPriority           = 1000
	maxConnections        = 1_000_000
	minLinkBitsPerSecond  = 1e3
	maxLinkBitsPerSecond  = 1e13
)

// Parse splits a text into sections and compiles them.
func Parse(text string) (*Configuration, loader.Problems) {
	sections, problems := loader.Split([]byte(text))
	if len(problems) > 0 {
		return nil, problems
	}
	return Compile(sections)
}

// Compile validates sections and returns their Configuration, or all problems found.
func Compile(sections []loader.Section) (*Configuration, loader.Problems) {
	c := &compiler{out: newConfiguration(), seenKinds: map[string]bool{}, blockOwners: map[netip.Prefix]string{}}
	for _, r := range sectionReaders {
		for _, s := range sections {
			kind, name := s.Kind()
			if kind == r.kind {
				r.read(c, name, loader.NewReader(s, &c.problems))
			}
		}
	}
	c.checkKinds(sections)
	c.finish()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return c.out, nil
}

// sectionReader reads the sections of one kind.
type sectionReader struct {
	kind string
	read func(c *compiler, name string, r *loader.Reader)
}

// sectionReaders are in the order of reading. Later ones refer to what earlier ones read.
var sectionReaders = []sectionReader{
	{"configuration", (*compiler).readConfiguration},
	{"limits", (*compiler).readLimits},
	{"region", (*compiler).readRegion},
	{"link", (*compiler).readLink},
	{"service", (*compiler).readService},
	{"route", (*compiler).readRoute},
	{"target", (*compiler).readTarget},
	{"team", (*compiler).readTeam},
	{"key", (*compiler).readKey},
	{"move", (*compiler).readMove},
	{"clients", (*compiler).readClients},
}

// compiler collects the configuration that the section readers build, and all problems.
type compiler struct {
	out       *Configuration
	problems  loader.Problems
	seenKinds map[string]bool
	// blockOwners maps a block of addresses to the name of the clients section that lists it.
	blockOwners map[netip.Prefix]string
}

func newConfiguration() *Configuration {
	return &Configuration{
		Limits: Limits{
			BodyBytes: defaultBodyBytes, BodyTimeout: defaultBodyTimeout,
			LimitWait: defaultLimitWait, LookupLifetime: defaultLookupLifetime, RetryShare: defaultRetryShare,
			HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
		Regions:  map[string]*Region{},
		Links:    map[LinkName]*Link{},
		Services: map[string]*Service{},
		Targets:  map[string]*Target{},
		Teams:    map[string]*Team{},
		Keys:     map[digester.Digest]*Key{},
		Moves:    map[string]*Move{},
	}
}

func (c *compiler) fail(section, key, text string) {
	c.problems = append(c.problems, loader.Problem{Section: section, Key: key, Text: text})
}

// checkKinds reports unknown kinds, missing, superfluous or invalid names of sections, and a
// missing section configuration.
func (c *compiler) checkKinds(sections []loader.Section) {
	for _, s := range sections {
		kind, name := s.Kind()
		known := false
		for _, t := range sectionReaders {
			known = known || t.kind == kind
		}
		single := kind == "configuration" || kind == "limits"
		switch {
		case !known:
			c.fail(s.Name, "", "unknown kind of section")
		case single && name != "":
			c.fail(s.Name, "", "this section takes no name")
		case !single && name == "":
			c.fail(s.Name, "", "this section needs a name, as in ["+kind+" NAME]")
		case !validName(name):
			c.fail(s.Name, "", "a name takes letters, digits, '-', '_' and '.'")
		}
	}
	if !c.seenKinds["configuration"] {
		c.fail("configuration", "", "the section is missing")
	}
}

// finish sorts targets and routes and runs the checks that need all sections.
func (c *compiler) finish() {
	for _, t := range c.out.Targets {
		if s := c.out.Services[t.Service]; s != nil {
			s.Targets = append(s.Targets, t)
		}
	}
	for _, s := range c.out.Services {
		sort.Slice(s.Targets, func(i, j int) bool { return s.Targets[i].Name < s.Targets[j].Name })
	}
	sort.SliceStable(c.out.Routes, func(i, j int) bool {
		a, b := c.out.Routes[i], c.out.Routes[j]
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		if a.Version != b.Version {
			return a.Version > b.Version
		}
		return a.Name < b.Name
	})
	c.checkServices()
	c.checkCycles()
	c.checkRoutes()
	c.checkAddresses()
}

func validName(name string) bool {
	for _, r := range name {
		ok := r == '-' || r == '_' || r == '.' || r == ' ' ||
			(r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		if !ok {
			return false
		}
	}
	return !strings.Contains(name, "  ")
}

// Sort returns a copy of sections, sorted by the order in which kinds are read, then by name.
func Sort(sections []loader.Section) []loader.Section {
	out := append([]loader.Section(nil), sections...)
	rank := map[string]int{}
	for i, s := range sectionReaders {
		rank[s.kind] = i
	}
	sort.SliceStable(out, func(i, j int) bool {
		a, _ := out[i].Kind()
		b, _ := out[j].Kind()
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return out[i].Name < out[j].Name
	})
	return out
}
