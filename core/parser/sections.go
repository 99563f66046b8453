package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
)

func (c *compiler) readConfiguration(_ string, r *loader.Reader) {
	c.seenKinds["configuration"] = true
	c.out.Revision = uint64(r.Int("revision", 0, 1, math.MaxInt))
	if r.Optional("revision", "") == "" {
		r.Fail("revision", "missing")
	}
	c.out.Deployment = r.Required("deployment")
	r.Finish()
}

func (c *compiler) readLimits(_ string, r *loader.Reader) {
	l := &c.out.Limits
	l.BodyBytes = r.Int("bodyBytes", l.BodyBytes, 0, maxBodyBytes)
	l.BodyTimeout = r.Duration("bodyTimeout", l.BodyTimeout, 100*time.Millisecond, maxTimeout)
	l.LimitWait = r.Duration("limitWait", l.LimitWait, 0, 10*time.Second)
	l.LookupLifetime = r.Duration("lookupLifetime", l.LookupLifetime, time.Second, time.Minute)
	l.RetryShare = r.Float("retryShare", l.RetryShare, 0, 1)
	l.HeaderBytes = r.Int("headerBytes", l.HeaderBytes, 256, maxBodyBytes)
	l.HeaderTimeout = r.Duration("headerTimeout", l.HeaderTimeout, time.Millisecond, maxTimeout)
	l.IdleTimeout = r.Duration("idleTimeout", l.IdleTimeout, time.Millisecond, time.Hour)
	r.Finish()
}

func (c *compiler) readRegion(name string, r *loader.Reader) {
	g := &Region{Name: name, AvailabilityZones: r.List("availabilityZones")}
	if len(g.AvailabilityZones) == 0 {
		r.Fail("availabilityZones", "missing")
	}
	for _, z := range g.AvailabilityZones {
		for _, other := range c.out.Regions {
			if slices.Contains(other.AvailabilityZones, z) {
				r.Fail("availabilityZones", "%s belongs to region %s already", z, other.Name)
			}
		}
	}
	c.out.Regions[name] = g
	r.Finish()
}

func (c *compiler) readLink(name string, r *loader.Reader) {
	l := &Link{}
	l.BitsPerSecond = r.Float("bitsPerSecond", 0, minLinkBitsPerSecond, maxLinkBitsPerSecond)
	r.Required("bitsPerSecond")
	l.Delay = r.Duration("delay", 0, 0, 10*time.Second)
	ends := strings.Fields(name)
	if len(ends) != 2 || ends[0] == ends[1] {
		r.Fail("", "a link names two regions, as in [link cairo aswan]")
		return
	}
	for _, e := range ends {
		if c.out.Regions[e] == nil {
			r.Fail("", "region %s is not in the text", e)
		}
	}
	l.Name = NewLinkName(ends[0], ends[1])
	if c.out.Links[l.Name] != nil {
		r.Fail("", "the link stands twice")
	}
	c.out.Links[l.Name] = l
	r.Finish()
}

func (c *compiler) readService(name string, r *loader.Reader) {
	s := &Service{Name: name, DependsOn: r.List("dependsOn"), Version: r.Optional("version", "")}
	s.AnswerBytes = r.Int("answerBytes", defaultAnswerBytes, 1, maxBodyBytes)
	s.Connections = r.Int("connections", 0, 0, maxConnections)
	s.ColdRate = r.Float("coldRate", 0, 0, maxRate)
	s.HealthPath = r.Optional("healthPath", "")
	c.out.Services[name] = s
	r.Finish()
}

func (c *compiler) readRoute(name string, r *loader.Reader) {
	t := &Route{Name: name, Host: r.Optional("host", ""), Path: r.Required("path"), Methods: r.List("methods")}
	if !strings.HasPrefix(t.Path, "/") {
		r.Fail("path", "%q does not begin with /", t.Path)
	}
	t.Class = Class(r.Choice("class", "", string(ClassIdempotent), string(ClassAtMostOnce), string(ClassOpen)))
	t.Public = r.Bool("public", false)
	t.Timeout = r.Duration("timeout", defaultTimeout, time.Millisecond, maxTimeout)
	t.Aim = r.Duration("aim", 0, 0, maxTimeout)
	t.Priority = r.Int("priority", 0, 0, maxPriority)
	t.Attempts = r.Int("attempts", 0, 0, maxAttempts)
	if r.Optional("attempts", "") == "0" {
		r.Fail("attempts", "a request needs one target at least")
	}
	t.Affinity = r.Bool("affinity", false)
	t.Homes = c.readHomes(r)
	t.Version = uint64(r.Int("itemVersion", 0, 0, math.MaxInt))
	c.readRouteServices(t, r)
	c.checkMethods(t, r)
	c.out.Routes = append(c.out.Routes, t)
	r.Finish()
}

// readRouteServices reads the services of a route: one service, or a list of services with
// weights such as "lamps 90, bulbs 10".
func (c *compiler) readRouteServices(t *Route, r *loader.Reader) {
	list := r.List("services")
	if one := r.Optional("service", ""); one != "" {
		list = append(list, one+" 1")
	}
	if len(list) == 0 {
		r.Fail("service", "missing")
	}
	total := 0.0
	for _, text := range list {
		name, weight, _ := strings.Cut(text, " ")
		w, err := strconv.ParseFloat(strings.TrimSpace(weight), 64)
		if err != nil || !(w >= 0 && w <= maxRate) {
			r.Fail("services", "%q is not a service and its weight, such as lamps 90", text)
			continue
		}
		s := c.out.Services[name]
		if s == nil {
			r.Fail("service", "service %s is not in the text", name)
			continue
		}
		total += w
		t.WeightedServices = append(t.WeightedServices, WeightedService{Service: s, Weight: w})
	}
	if len(t.WeightedServices) == 0 {
		return
	}
	t.Service = t.WeightedServices[0].Service
	if total <= 0 {
		r.Fail("services", "the weights add up to 0")
	}
}

// checkMethods reports a missing list of methods and methods in lower case.
func (c *compiler) checkMethods(t *Route, r *loader.Reader) {
	if len(t.Methods) == 0 {
		r.Fail("methods", "missing")
	}
	for _, m := range t.Methods {
		if m != strings.ToUpper(m) {
			r.Fail("methods", "%q is not in capitals", m)
		}
	}
}

func (c *compiler) readHomes(r *loader.Reader) []string {
	homes := r.List("homes")
	for _, h := range homes {
		c.checkRegionExists(r, "homes", h)
	}
	return homes
}

func (c *compiler) readTarget(name string, r *loader.Reader) {
	t := &Target{Name: name, Service: r.Required("service"), Address: r.Address("address")}
	t.Region = r.Required("region")
	t.AvailabilityZone = r.Required("availabilityZone")
	t.Slots = r.Int("slots", 0, 1, maxSlots)
	r.Required("slots")
	t.Version = r.Required("version")
	if t.Service != "" && c.out.Services[t.Service] == nil {
		r.Fail("service", "service %s is not in the text", t.Service)
	}
	c.checkLocation(t, r)
	c.out.Targets[name] = t
	r.Finish()
}

// checkLocation reports an unknown region or an availability zone outside the region.
func (c *compiler) checkLocation(t *Target, r *loader.Reader) {
	if t.Region == "" || t.AvailabilityZone == "" {
		return
	}
	g := c.out.Regions[t.Region]
	if g == nil {
		r.Fail("region", "region %s is not in the text", t.Region)
		return
	}
	if !slices.Contains(g.AvailabilityZones, t.AvailabilityZone) {
		r.Fail("availabilityZone", "%s is not in region %s", t.AvailabilityZone, t.Region)
	}
}

func (c *compiler) readTeam(name string, r *loader.Reader) {
	t := &Team{Name: name}
	if r.Required("rate") == unlimitedRate {
		t.Unlimited = true
		r.Optional("burst", "")
	} else {
		t.Rate = r.Float("rate", 0, 0, maxRate)
		t.Burst = r.Float("burst", 1, 1, maxRate)
		r.Required("burst")
	}
	t.Weight = r.Float("weight", 1, 0.001, 1000)
	if r.Optional("priority", "") != "" {
		p := r.Int("priority", 0, 0, maxPriority)
		t.Priority = &p
	}
	t.Homes = c.readHomes(r)
	c.out.Teams[name] = t
	for i, text := range r.List("keys") {
		c.addKey(r, "keys", &Key{Name: fmt.Sprintf("%s-%d", name, i+1), Team: t}, text)
	}
	r.Finish()
}

// unlimitedRate is the value of rate for teams without a limit.
const unlimitedRate = "unlimited"

// addKey parses the digest of a key and adds the key. Problems are reported for the given field.
func (c *compiler) addKey(r *loader.Reader, field string, k *Key, text string) {
	d, ok := digester.Parse(text)
	if !ok {
		r.Fail(field, "not a SHA-256 digest in hexadecimal; 'filberthoist keys new' prints one")
		return
	}
	if other := c.out.Keys[d]; other != nil {
		r.Fail(field, "key %s has the same digest", other.Name)
	}
	k.Digest = d
	c.out.Keys[d] = k
}

func (c *compiler) readKey(name string, r *loader.Reader) {
	k := &Key{Name: name}
	if team := r.Required("team"); team != "" {
		k.Team = c.out.Teams[team]
		if k.Team == nil {
			r.Fail("team", "team %s is not in the text", team)
		}
	}
	if text := r.Required("digest"); text != "" {
		c.addKey(r, "digest", k, text)
	}
	r.Finish()
}

func (c *compiler) readMove(name string, r *loader.Reader) {
	m := &Move{
		Name: name, Service: r.Required("service"), From: r.Optional("from", ""), To: r.Optional("to", ""),
		FromRegion: r.Optional("fromRegion", ""), ToRegion: r.Optional("toRegion", ""),
	}
	m.Cap = c.readPercentage(r, "cap")
	m.Barred = r.List("barred")
	if r.Optional("exposure", "") != "" {
		m.Exposure = c.readPercentage(r, "exposure")
	}
	m.Bake = r.Duration("bake", defaultBake, 0, maxBake)
	if d := r.Required("deadline"); d != "" {
		t, err := time.Parse(time.RFC3339, d)
		if err != nil {
			r.Fail("deadline", "%q is not a time such as 2027-03-01T18:00:00Z", d)
		}
		m.Deadline = t
	}
	s := c.out.Services[m.Service]
	if m.Service != "" && s == nil {
		r.Fail("service", "service %s is not in the text", m.Service)
	}
	c.checkSides(m, s, r)
	for _, o := range c.out.Moves {
		if o.Service == m.Service {
			r.Fail("service", "move %s moves service %s already", o.Name, m.Service)
		}
	}
	m.Definition = m.definitionDigest()
	c.out.Moves[name] = m
	r.Finish()
}

// checkSides validates the old and the new side of a move.
func (c *compiler) checkSides(m *Move, s *Service, r *loader.Reader) {
	if m.Regional() || m.ToRegion != "" {
		c.checkMoveRegions(m, r)
		return
	}
	r.Required("to")
	if s == nil || s.Version != "" {
		r.Required("from")
	}
	if m.From != "" && m.From == m.To {
		r.Fail("to", "from and to are the same version")
	}
	if s != nil && m.From != "" && m.From != s.Version {
		r.Fail("from", "service %s runs version %s", s.Name, s.Version)
	}
}

func (c *compiler) checkMoveRegions(m *Move, r *loader.Reader) {
	r.Required("fromRegion")
	r.Required("toRegion")
	if m.From != "" || m.To != "" {
		r.Fail("fromRegion", "a move is between versions or between regions, not both")
	}
	if m.FromRegion == m.ToRegion {
		r.Fail("toRegion", "fromRegion and toRegion are the same")
	}
	c.checkRegionExists(r, "fromRegion", m.FromRegion)
	c.checkRegionExists(r, "toRegion", m.ToRegion)
}

func (c *compiler) checkRegionExists(r *loader.Reader, key, region string) {
	if region != "" && c.out.Regions[region] == nil {
		r.Fail(key, "region %s is not in the text", region)
	}
}

// definitionDigest returns the value of Definition. It is stored, so its input must not change.
func (m *Move) definitionDigest() string {
	from, to := m.Sides()
	text := fmt.Sprintf("%s|%s|%s|%v|%g|%s|%s", m.Service, from, to, m.Regional(), m.Cap, m.Bake, m.Deadline.UTC().Format(time.RFC3339Nano))
	d := sha256.Sum256([]byte(text))
	return hex.EncodeToString(d[:8])
}

func (c *compiler) readClients(name string, r *loader.Reader) {
	n := &Clients{Name: name, Region: r.Required("region")}
	c.checkRegionExists(r, "region", n.Region)
	for _, text := range r.List("blocks") {
		p, err := netip.ParsePrefix(text)
		switch {
		case err != nil:
			r.Fail("blocks", "%q is not a block such as 10.1.0.0/16", text)
		case p != p.Masked():
			r.Fail("blocks", "%s has bits behind its length; %s is meant, or a longer block", p, p.Masked())
		case c.blockOwners[p] != "":
			r.Fail("blocks", "%s stands in clients %s already", p, c.blockOwners[p])
		default:
			c.blockOwners[p] = name
			n.Blocks = append(n.Blocks, p)
		}
	}
	if len(n.Blocks) == 0 {
		r.Fail("blocks", "missing")
	}
	c.out.Clients = append(c.out.Clients, n)
	r.Finish()
}

// readPercentage reads a share such as "10%" and returns it as a number from 0 to 1.
func (c *compiler) readPercentage(r *loader.Reader, key string) float64 {
	v := r.Required(key)
	if v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(strings.TrimSuffix(v, "%"), 64)
	if err != nil || !strings.HasSuffix(v, "%") {
		r.Fail(key, "%q is not a share such as 10%%", v)
		return 0
	}
	if !(f > 0 && f <= 100) {
		r.Fail(key, "%s is not above 0%% and at most 100%%", v)
		return 0
	}
	return f / 100
}
