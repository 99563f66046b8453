// Package generator sends load through look-up and entries, and checks each answer.
package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Headers of a request.
const (
	keyHeader     = "Filberthoist-Key"
	outcomeHeader = "Filberthoist-Outcome"
	idHeader      = "Load-Id"
	lookupPath    = "/filberthoist/lookup"
)

// Bounds of a load.
const (
	maxRequests    = 2_000_000
	maxDuration    = 2 * time.Minute
	lowest         = 1
	highest        = int64(time.Minute / time.Microsecond)
	digits         = 3
	requestTimeout = 30 * time.Second
)

// Config describes a load. Only loopback is ever addressed.
type Config struct {
	// Lookups are addresses of entries to ask first.
	Lookups []string
	Service string
	// Direct is the address of an upstream that is called without the system; for comparison.
	Direct   string
	Method   string
	Path     string
	Key      string
	Body     string
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Report is what a load came to.
type Report struct {
	Sent       int
	Done       int
	NotRun     map[string]int
	Unknown    map[string]int
	Broken     int
	Wrong      int
	Latency    *hdrhistogram.Histogram
	Unanswered int
}

// Generator sends requests at a steady rate, independent of how fast they are answered.
type Generator struct {
	config Config
	client *http.Client
	mutex  sync.Mutex
	report Report
	lookup lookup
	random *rand.Rand
}

// lookup is a kept answer to a look-up.
type lookup struct {
	entries []string
	until   time.Time
}

// NewGenerator checks the load and returns a Generator.
func NewGenerator(c Config) (*Generator, error) {
	if c.Duration > maxDuration || c.Rate*c.Duration.Seconds() > maxRequests {
		return nil, errors.Errorf("a load is bounded to %v and %d requests", maxDuration, maxRequests)
	}
	for _, a := range append([]string{c.Direct}, c.Lookups...) {
		if a != "" && !strings.HasPrefix(a, "127.") {
			return nil, errors.Errorf("%s is not on loopback", a)
		}
	}
	return &Generator{
		config: c,
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		report: Report{
			NotRun: map[string]int{}, Unknown: map[string]int{},
			Latency: hdrhistogram.New(lowest, highest, digits),
		},
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}, nil
}

// Run sends the whole load and returns its report.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.client.CloseIdleConnections()
	var all sync.WaitGroup
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	begun := time.Now()
	for i := 0; ; i++ {
		due := begun.Add(time.Duration(i) * interval)
		if due.Sub(begun) >= g.config.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		all.Go(func() { g.send(ctx, i, due) })
	}
	all.Wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.report
}

// send sends one request; its latency counts from when it was due.
func (g *Generator) send(ctx context.Context, i int, due time.Time) {
	address := g.address(ctx)
	id := fmt.Sprintf("%d-%d", g.config.Seed, i)
	if address == "" {
		g.note(func(r *Report) { r.Sent++; r.Unanswered++ })
		return
	}
	r, err := http.NewRequestWithContext(ctx, g.config.Method, "http://"+address+g.config.Path, strings.NewReader(g.config.Body))
	if err != nil {
		return
	}
	r.Header.Set(idHeader, id)
	if g.config.Key != "" {
		r.Header.Set(keyHeader, g.config.Key)
	}
	answer, err := g.client.Do(r)
	if err != nil {
		g.forget()
		g.note(func(r *Report) { r.Sent++; r.Unanswered++ })
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	g.judge(answer, string(body), err, id, time.Since(due))
}

func (g *Generator) judge(answer *http.Response, body string, err error, id string, latency time.Duration) {
	outcome := answer.Header.Get(outcomeHeader)
	want := g.config.Method + " " + g.config.Path + " " + id + " by "
	g.note(func(r *Report) {
		r.Sent++
		switch {
		case strings.HasPrefix(outcome, "notRun"):
			r.NotRun[outcome]++
		case strings.HasPrefix(outcome, "unknown"):
			r.Unknown[outcome]++
		case err != nil:
			r.Broken++
		case answer.Header.Get(idHeader) != id || !strings.HasPrefix(body, want):
			r.Wrong++
		default:
			r.Done++
			_ = r.Latency.RecordValue(min(int64(latency/time.Microsecond), highest)) // within range
		}
	})
}

func (g *Generator) note(f func(*Report)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(&g.report)
}

// address returns an entry to use, from a look-up that is kept for its lifetime.
func (g *Generator) address(ctx context.Context) string {
	if g.config.Direct != "" {
		return g.config.Direct
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if time.Now().After(g.lookup.until) {
		g.ask(ctx)
	}
	if len(g.lookup.entries) == 0 {
		return ""
	}
	return g.lookup.entries[g.random.IntN(len(g.lookup.entries))]
}

// forget drops a look-up whose entry did not answer.
func (g *Generator) forget() {
	g.note(func(*Report) { g.lookup.until = time.Time{} })
}

func (g *Generator) ask(ctx context.Context) {
	for _, a := range g.config.Lookups {
		var out struct {
			Entries         []string
			LifetimeSeconds float64
		}
		if g.get(ctx, "http://"+a+lookupPath+"?service="+url.QueryEscape(g.config.Service), &out) != nil {
			continue
		}
		g.lookup = lookup{out.Entries, time.Now().Add(time.Duration(out.LifetimeSeconds * float64(time.Second)))}
		return
	}
}

func (g *Generator) get(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	answer, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", answer.StatusCode)
	}
	return json.NewDecoder(answer.Body).Decode(into)
}

// Print writes the report for people.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, done %d, not run %d %v, unknown %d %v, broken off %d, wrong answer %d, no answer %d\n",
		r.Sent, r.Done, sum(r.NotRun), r.NotRun, sum(r.Unknown), r.Unknown, r.Broken, r.Wrong, r.Unanswered)
	for _, q := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(w, "p%-5v %v\n", q, time.Duration(r.Latency.ValueAtQuantile(q))*time.Microsecond)
	}
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
