// Package explainer tells operators where a request would go now, and why, without sending it. It asks the functions that
// decide about requests, and changes no state.
package explainer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

// Path is the path of questions on the report listener.
const Path = "/explain"

// maxEntries is the number of entries that an answer names to a caller.
const maxEntries = 8

// Config configures an Explainer.
type Config struct {
	Clock   timekeeper.Clock
	Dialect *handler.Dialect
	// Self describes this entry.
	Self *wire.EntryMember
	// Roles is set in the mode in which other entries may grant tokens and permits, of which this one knows too little.
	Roles bool
	View  func() *receiver.View
	// Fresh reports whether keyed requests may be served from the current view, Isolated whether this entry reaches no
	// target, and Refusing whether the process stops.
	Fresh    func() bool
	Isolated func() bool
	Refusing func() bool
	// Entries returns at most a number of addresses for callers of a region and zone.
	Entries func(region, zone string, limit int) []string
	// Classify sets the route, its service and the deadline.
	Classify func(ctx context.Context, e *handler.Exchange) handler.Outcome
	// Limit tells what a request of a team would meet, with a time left until its deadline.
	Limit func(t *parser.Team, left time.Duration) limiter.Standing
	// Sides returns the selections that a request may get, and Choose where it would go with one.
	Sides  func(e *handler.Exchange) []shifter.Side
	Choose func(e *handler.Exchange, c handler.Selection) *balancer.Explanation
}

// Explainer answers questions about requests. It is safe for concurrent use.
type Explainer struct {
	config Config
}

// NewExplainer returns an Explainer.
func NewExplainer(c Config) *Explainer {
	return &Explainer{config: c}
}

// Answer tells where a request would go. Durations are in nanoseconds in JSON.
type Answer struct {
	Entry            string `json:"entry"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Index is that of the view by which the answer was found.
	Index uint64 `json:"index"`
	// Entries are the addresses that a caller in the question's region and zone is given; nil if it names none.
	Entries []string `json:"entries,omitempty"`
	// Result sums the answer up.
	Result string `json:"result"`
	// Steps are the steps before the choice of a target.
	Steps []Step `json:"steps"`
	// Choices are the targets for each service of the route and each side of its move.
	Choices []Choice `json:"choices,omitempty"`
}

// Step is one decision before the choice of a target.
type Step struct {
	Name string `json:"name"`
	// Passes reports whether the request passes on to the next step.
	Passes bool   `json:"passes"`
	Detail string `json:"detail"`
}

// Choice is the choice of a target for a part of the requests like the question's.
type Choice struct {
	Service string `json:"service"`
	// Version is the only version that may serve; empty if several may.
	Version string `json:"version"`
	// Share is the fraction of such requests, from 0 to 1, and Reason why it is so.
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
	*balancer.Explanation
}

// Explain answers a question. Its errors are for the operator: the question is invalid, or nothing is in force.
func (x *Explainer) Explain(ctx context.Context, q Question) (*Answer, error) {
	e, err := x.newExchange(q)
	if err != nil {
		return nil, err
	}
	s := x.config.Self
	a := &Answer{Entry: s.GetName(), Region: s.GetRegion(), AvailabilityZone: s.GetAvailabilityZone(), Index: e.View.Index}
	if q.Region != "" || q.Zone != "" {
		a.Entries = x.config.Entries(q.Region, q.Zone, maxEntries)
	}
	if o := x.config.Classify(ctx, e); o.IsFinal() {
		a.add("classifier", false, fmt.Sprintf("%s, status %d", o.Reason, o.Status))
		a.Result = "refused by classifier"
		return a, nil
	}
	a.add("classifier", true, describeRoute(e))
	if e.Team, err = findTeam(e, q.Team); err != nil {
		return nil, err
	}
	x.addSteps(a, e)
	if x.config.Roles {
		a.addHolders(e)
		return a, nil
	}
	x.addChoices(a, e)
	a.Result = a.sumUp()
	return a, nil
}

func (x *Explainer) newExchange(q Question) (*handler.Exchange, error) {
	d := x.config.Dialect
	r, err := q.newRequest(d.Deadline, d.AffinityCookie)
	if err != nil {
		return nil, err
	}
	v := x.config.View()
	if v.Configuration == nil {
		return nil, errors.New("no configuration is in force at this entry")
	}
	if q.ID == "" {
		q.ID = "explained"
	}
	return &handler.Exchange{View: v, Request: r, Dialect: d, ID: q.ID, Start: x.config.Clock.Now()}, nil
}

// findTeam returns the team of a question, or nil if it names none and the route needs none.
func findTeam(e *handler.Exchange, name string) (*parser.Team, error) {
	if e.Route.Open() {
		return nil, nil // callers of such routes have no team
	}
	if name == "" {
		return nil, errors.Errorf("team: missing; the route %s needs a key, and with it a team", e.Route.Name)
	}
	t := e.View.Configuration.Teams[name]
	if t == nil {
		return nil, errors.Errorf("team: none is called %q", name)
	}
	return t, nil
}

func describeRoute(e *handler.Exchange) string {
	r := e.Route
	text := fmt.Sprintf("route %s, class %s, priority %d, timeout %v", r.Name, r.Class, r.Priority, e.Deadline-e.Start)
	if r.Aim > 0 {
		text += fmt.Sprintf(", aim %v", r.Aim)
	}
	switch {
	case !r.Affinity:
	case e.Object() == "":
		text += "; no object is given, so that the order of the targets is that of the request's ID"
	default:
		text += ", object " + e.Object()
	}
	return text
}

// addSteps adds the steps between the route and the choice of a target.
func (x *Explainer) addSteps(a *Answer, e *handler.Exchange) {
	if x.config.Refusing() {
		a.add("acceptor", false, "the process stops and refuses requests")
	}
	if !e.Route.Open() {
		a.add("authenticator", x.config.Fresh(), map[bool]string{
			true: "team " + e.Team.Name + ", if the key is one of its own", false: "no fresh response from control: keyed requests are refused",
		}[x.config.Fresh()])
	}
	if x.config.Isolated() {
		a.add("delegator", false, "this entry reaches no target: it hands the request to another entry")
	}
	if homes := e.AllowedRegions(); len(homes) > 0 {
		a.add("homes", true, fmt.Sprintf("only regions %v may serve it", homes))
	}
	if x.config.Roles {
		return
	}
	s := x.config.Limit(e.Team, e.Deadline-e.Start)
	detail := s.Reason
	if e.Team != nil && !e.Team.Unlimited {
		detail = fmt.Sprintf("share %.3g of the team's rate, %.2f tokens: %s; wait %v", s.Share, s.Tokens, s.Reason, s.Wait.Round(time.Millisecond))
	}
	a.add("limiter", s.Admitted || s.Borrows, detail)
}

// addHolders names the entries that decide about the request where roles are assigned.
func (a *Answer) addHolders(e *handler.Exchange) {
	names := []string{}
	if e.Team != nil {
		names = append(names, wire.TeamRole(e.Team.Name))
	}
	for name, r := range e.View.Roles {
		if p, ok := wire.ParsePool(name); ok && p.Service == e.Service.Name && r != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		r := e.View.Roles[name]
		a.add(name, r.GetHolder() != "" && !r.GetVacant(), "decided by entry "+r.GetHolder()+"; see its dumps buckets and pools")
	}
	a.Result = "decided by the holders of roles"
}

// addChoices adds the choices for each service of the route and each side of its move.
func (x *Explainer) addChoices(a *Answer, e *handler.Exchange) {
	services := e.Route.WeightedServices
	if len(services) == 0 {
		services = []parser.WeightedService{{Service: e.Service, Weight: 1}}
	}
	total := 0.0
	for _, w := range services {
		total += w.Weight
	}
	for _, w := range services {
		if w.Weight <= 0 {
			continue
		}
		e.Service, e.Selection = w.Service, handler.Selection{Version: w.Service.Version}
		for _, s := range x.config.Sides(e) {
			a.Choices = append(a.Choices, Choice{
				Service: w.Service.Name, Version: s.Selection.Version, Share: w.Weight / total * s.Share, Reason: s.Reason,
				Explanation: x.config.Choose(e, s.Selection),
			})
		}
	}
}

func (a *Answer) add(name string, passes bool, detail string) {
	a.Steps = append(a.Steps, Step{Name: name, Passes: passes, Detail: detail})
}

// sumUp returns the first step that the request does not pass, or else what becomes of the largest part of such requests.
func (a *Answer) sumUp() string {
	for _, s := range a.Steps {
		if !s.Passes {
			return "stopped by " + s.Name + ": " + s.Detail
		}
	}
	var most *Choice
	for i, c := range a.Choices {
		if most == nil || c.Share > most.Share {
			most = &a.Choices[i]
		}
	}
	switch {
	case most == nil:
		return "no service takes it"
	case most.Pick == "":
		return "refused: " + most.Refusal
	}
	return "goes to target " + most.Pick + " of service " + most.Service
}

// ServeHTTP answers GET requests whose query is a question: in JSON, or as text with format=text.
func (x *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := ParseQuestion(r.URL.Query())
	if err == nil {
		var a *Answer
		if a, err = x.Explain(r.Context(), q); err == nil {
			a.write(w, r.URL.Query().Get(formatParameter))
			return
		}
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}
