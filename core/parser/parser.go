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

// Bounds and defaults of the text.
const (
	maxSlots         = 10_000
	maxRate          = 1e9
	maxTimeout       = 5 * time.Minute
	defaultTimeout   = 10 * time.Second
	defaultBake      = 10 * time.Minute
	maxBake          = 30 * 24 * time.Hour
	defaultBody      = 1 << 20
	maxBody          = 1 << 30
	defaultSend      = 5 * time.Second
	defaultWait      = 300 * time.Millisecond
	defaultLifetime  = 5 * time.Second
	defaultRetry     = 0.1
	defaultAnswer    = 4 << 10
	defaultHeader    = 16 << 10
	defaultHeadTime  = 5 * time.Second
	defaultIdle      = time.Minute
	maxAttempts      = 100
	maxPriority      = 1000
	maxConnections   = 1_000_000
	minLeastCapacity = 1e3
	maxCapacity      = 1e13
)

// Parse reads, checks and compiles a text.
func Parse(text string) (*Configuration, loader.Problems) {
	sections, problems := loader.Split([]byte(text))
	if len(problems) > 0 {
		return nil, problems
	}
	return Compile(sections)
}

// Compile checks sections and returns their Configuration, or every problem.
func Compile(sections []loader.Section) (*Configuration, loader.Problems) {
	c := &compiler{out: newConfiguration(), seen: map[string]bool{}, blocks: map[netip.Prefix]string{}}
	for _, step := range steps {
		for _, s := range sections {
			kind, name := s.Kind()
			if kind == step.kind {
				step.read(c, name, loader.NewReader(s, &c.problems))
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

// step reads one kind of section. Later steps refer to what earlier ones read.
type step struct {
	kind string
	read func(c *compiler, name string, r *loader.Reader)
}

var steps = []step{
	{"configuration", (*compiler).readHead},
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

// compiler collects what the steps read and every problem they meet.
type compiler struct {
	out      *Configuration
	problems loader.Problems
	seen     map[string]bool
	// blocks names the section that a block of clients stands in.
	blocks map[netip.Prefix]string
}

func newConfiguration() *Configuration {
	return &Configuration{
		Limits: Limits{
			BodyBytes: defaultBody, BodyTimeout: defaultSend,
			LimitWait: defaultWait, LookupLifetime: defaultLifetime, RetryShare: defaultRetry,
			HeaderBytes: defaultHeader, HeaderTimeout: defaultHeadTime, IdleTimeout: defaultIdle,
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

func (c *compiler) checkKinds(sections []loader.Section) {
	for _, s := range sections {
		kind, name := s.Kind()
		known := false
		for _, t := range steps {
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
	if !c.seen["configuration"] {
		c.fail("configuration", "", "the section is missing")
	}
}

// finish sorts what was read and checks what needs the whole.
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

// Sort puts sections in the order of the kinds, then of their names.
func Sort(sections []loader.Section) []loader.Section {
	out := append([]loader.Section(nil), sections...)
	rank := map[string]int{}
	for i, s := range steps {
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
