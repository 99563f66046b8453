package explainer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/entry/balancer"
	"github.com/filberthoist/filberthoist/entry/classifier"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/limiter"
	"github.com/filberthoist/filberthoist/entry/receiver"
	"github.com/filberthoist/filberthoist/entry/shifter"
)

const configurationText = `[configuration]
revision = 1
deployment = test
[region north]
availabilityZones = north1
[service lamps]
version = v1
[target lamps1]
service = lamps
address = 127.0.0.1:1
region = north
availabilityZone = north1
slots = 6
version = v1
[route status]
service = lamps
path = /lamps/
methods = GET
class = idempotent
timeout = 2s
[route open]
service = lamps
path = /open/
methods = GET
class = open
timeout = 1s
[team good]
rate = 10
burst = 10
`

// fixture is an Explainer whose neighbours are set by a test.
type fixture struct {
	Config
	isolated, stale, refusing bool
	standing                  limiter.Standing
	sides                     []shifter.Side
	choice                    balancer.Explanation
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	c, problems := parser.Parse(configurationText)
	if c == nil {
		t.Fatal(problems)
	}
	view := &receiver.View{Index: 7, Configuration: c, Roles: map[string]*wire.Role{
		wire.TeamRole("good"): {Holder: "entry2"}, wire.Pool{Service: "lamps", Region: "north", Version: "v1"}.Role(): {Holder: "entry3"},
	}}
	clock, d := timekeeper.NewClock(), handler.DefaultDialect()
	f := &fixture{
		standing: limiter.Standing{Admitted: true, Reason: "a token is there"}, choice: balancer.Explanation{Pick: "lamps1"},
		sides: []shifter.Side{{Share: 1}},
	}
	f.Config = Config{
		Clock: clock, Dialect: &d, Self: &wire.EntryMember{Name: "entry1"}, View: func() *receiver.View { return view },
		Fresh: func() bool { return !f.stale }, Isolated: func() bool { return f.isolated }, Refusing: func() bool { return f.refusing },
		Entries:  func(region, zone string, _ int) []string { return []string{region + "/" + zone} },
		Classify: classifier.NewClassifier(classifier.Config{Clock: clock}).Step().Handle,
		Limit:    func(*parser.Team, time.Duration) limiter.Standing { return f.standing },
		Sides:    func(*handler.Exchange) []shifter.Side { return f.sides },
		Choose:   func(*handler.Exchange, handler.Selection) *balancer.Explanation { return &f.choice },
	}
	return f
}

// ask answers a question given as a query.
func (f *fixture) ask(t *testing.T, query string) (*Answer, error) {
	t.Helper()
	v, err := url.ParseQuery(query)
	if err != nil {
		t.Fatal(err)
	}
	q, err := ParseQuestion(v)
	if err != nil {
		return nil, err
	}
	return NewExplainer(f.Config).Explain(context.Background(), q)
}

// TestInvalidQuestions checks that an operator is told which part of a question is wrong.
func TestInvalidQuestions(t *testing.T) {
	for query, want := range map[string]string{
		"":                                      "path:",
		"path=lamps":                            "path:",
		"path=/lamps/7":                         "team: missing",
		"path=/lamps/7&team=bad":                `team: none is called "bad"`,
		"path=/lamps/7&team=good&team=small":    "team: given 2 times",
		"path=/lamps/7&team=good&zones=a":       "zones: unknown",
		"path=/lamps/7&team=good&timeout=soon":  "timeout:",
		"path=/lamps/7&team=good&timeout=0s":    "timeout:",
		"path=/lamps/7&team=good&timeout=-1s":   "timeout:",
		"path=/lamps/7&team=good&host=a/b":      "host:",
		"path=/lamps/7&team=good&method=a%20b":  "method or path",
		"path=/lamps/%25zz&team=good":           "method or path",
		"path=/lamps/7&team=good&method=GET%0a": "method or path",
	} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			_, err := newFixture(t).ask(t, query)
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), want))
		})
	}
	t.Run("no configuration", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		f.View = func() *receiver.View { return &receiver.View{} }
		_, err := f.ask(t, "path=/lamps/7")
		is.True(err != nil)
	})
}

// TestResults checks which decision an answer names as the one that counts.
func TestResults(t *testing.T) {
	const question = "path=/lamps/7&team=good&timeout=1s"
	cases := []struct {
		name, query string
		change      func(f *fixture)
		want        string
	}{
		{"served", question, func(*fixture) {}, "goes to target lamps1 of service lamps"},
		{"an open route needs no team", "path=/open/", func(f *fixture) { f.stale = true }, "goes to target lamps1"},
		{"no route", "path=/else", func(*fixture) {}, "refused by classifier"},
		{"another method", "path=/lamps/7&method=POST", func(*fixture) {}, "refused by classifier"},
		{"no lease", question, func(f *fixture) { f.stale = true }, "stopped by authenticator"},
		{"isolated", question, func(f *fixture) { f.isolated = true }, "stopped by delegator"},
		{"stopping", question, func(f *fixture) { f.refusing = true }, "stopped by acceptor"},
		{"over the limit", question, func(f *fixture) { f.standing = limiter.Standing{Reason: "later"} }, "stopped by limiter"},
		{"borrowed token", question, func(f *fixture) { f.standing = limiter.Standing{Borrows: true} }, "goes to target lamps1"},
		{"no target", question, func(f *fixture) { f.choice = balancer.Explanation{Refusal: "full"} }, "refused: full"},
		{"roles", question, func(f *fixture) { f.Roles = true }, "decided by the holders of roles"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			c.change(f)
			a, err := f.ask(t, c.query)
			is.NoErr(err)
			is.True(strings.HasPrefix(a.Result, c.want))
			is.True(strings.Contains(a.Text(), a.Result))
			is.Equal(a.Index, uint64(7))
		})
	}
}

// TestShares checks that the parts of a move are shown with their shares, and the larger one is the result.
func TestShares(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.sides = []shifter.Side{
		{Selection: handler.Selection{Version: "v1"}, Share: 0.9, Reason: "old"}, {Selection: handler.Selection{Version: "v2"}, Share: 0.1, Reason: "new"},
	}
	f.Choose = func(_ *handler.Exchange, c handler.Selection) *balancer.Explanation {
		return &balancer.Explanation{Pick: c.Version}
	}
	a, err := f.ask(t, "path=/lamps/7&team=good&region=north&zone=north1")
	is.NoErr(err)
	is.Equal(len(a.Choices), 2)
	is.Equal(a.Choices[1].Share, 0.1)
	is.True(strings.Contains(a.Result, "target v1"))
	is.Equal(a.Entries, []string{"north/north1"})
}

// TestText checks that a reader sees each target with its figures or with the rule that excludes it.
func TestText(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.choice.Targets = []balancer.TargetExplanation{
		{Name: "lamps1", Slots: 6, Load: 2.5, Reported: true, ReportAge: 30 * time.Millisecond, Cost: 80 * time.Millisecond, Verdict: "picked"},
		{Name: "lamps2", Excluded: "it is leaving"}, {Name: "lamps3", Excluded: "it is leaving"},
	}
	a, err := f.ask(t, "path=/lamps/7&team=good")
	is.NoErr(err)
	text := a.Text()
	is.True(strings.Contains(text, "2.5 of 6") && strings.Contains(text, "30ms ago") && strings.Contains(text, "80ms"))
	is.True(strings.Contains(text, "excluded, since it is leaving: lamps2, lamps3\n"))
}

// TestServeHTTP checks statuses and formats.
func TestServeHTTP(t *testing.T) {
	for query, want := range map[string]struct {
		status int
		kind   string
	}{
		"path=/open/":             {http.StatusOK, "application/json"},
		"path=/open/&format=text": {http.StatusOK, "text/plain; charset=utf-8"},
		"path=open":               {http.StatusBadRequest, "text/plain; charset=utf-8"},
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		NewExplainer(newFixture(t).Config).ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
		is.Equal(w.Code, want.status)
		is.Equal(w.Header().Get("Content-Type"), want.kind)
	}
}
