// Package generator sends load to entries that it finds by lookups, and checks each response.
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

// Bounds of a load, and the range and precision of its latencies.
const (
	maxRequests         = 2_000_000
	maxDuration         = 2 * time.Minute
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Minute / time.Microsecond)
	significantDigits   = 3
	requestTimeout      = 30 * time.Second
)

// Config describes a load. The configured addresses must be on loopback.
type Config struct {
	// LookupAddresses are the addresses of entries that are asked which entries to use.
	LookupAddresses []string
	Service         string
	// DirectAddress is the address of an upstream that is called without entries, for
	// comparison.
	DirectAddress string
	Method        string
	Path          string
	Key           string
	Body          string
	Rate          float64
	Duration      time.Duration
	Seed          uint64
}

// Report holds the results of a load.
type Report struct {
	Sent       int
	Done       int
	NotRun     map[string]int
	Unknown    map[string]int
	Truncated  int
	Mismatched int
	Latency    *hdrhistogram.Histogram
	Unanswered int
}

// Generator sends requests at a constant rate, independent of response times.
type Generator struct {
	config Config
	client *http.Client
	mutex  sync.Mutex
	report Report
	lookup lookupResult
	random *rand.Rand
}

// lookupResult is a cached response to a lookup.
type lookupResult struct {
	entries []string
	expires time.Time
}

// NewGenerator returns a Generator, or an error if the load exceeds its bounds or an address is
// not on loopback.
func NewGenerator(c Config) (*Generator, error) {
	if c.Duration > maxDuration || c.Rate*c.Duration.Seconds() > maxRequests {
		return nil, errors.Errorf("a load is limited to %v and %d requests", maxDuration, maxRequests)
	}
	for _, a := range append([]string{c.DirectAddress}, c.LookupAddresses...) {
		if a != "" && !strings.HasPrefix(a, "127.") {
			return nil, errors.Errorf("%s is not on loopback", a)
		}
	}
	return &Generator{
		config: c,
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		report: Report{
			NotRun: map[string]int{}, Unknown: map[string]int{},
			Latency: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits),
		},
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}, nil
}

// Run sends the load until it is complete or ctx is done, and returns its report.
func (g *Generator) Run(ctx context.Context) Report {
	defer g.client.CloseIdleConnections()
	var all sync.WaitGroup
	interval := time.Duration(float64(time.Second) / g.config.Rate)
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= g.config.Duration || ctx.Err() != nil {
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

// send sends one request. Its latency is measured from the time at which it was due.
func (g *Generator) send(ctx context.Context, i int, due time.Time) {
	address := g.entryAddress(ctx)
	id := fmt.Sprintf("%d-%d", g.config.Seed, i)
	if address == "" {
		g.update(func(r *Report) { r.Sent++; r.Unanswered++ })
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
	response, err := g.client.Do(r)
	if err != nil {
		g.dropLookup()
		g.update(func(r *Report) { r.Sent++; r.Unanswered++ })
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.classify(response, string(body), err, id, time.Since(due))
}

func (g *Generator) classify(response *http.Response, body string, err error, id string, latency time.Duration) {
	outcome := response.Header.Get(outcomeHeader)
	wantPrefix := g.config.Method + " " + g.config.Path + " " + id + " by "
	g.update(func(r *Report) {
		r.Sent++
		switch {
		case strings.HasPrefix(outcome, "notRun"):
			r.NotRun[outcome]++
		case strings.HasPrefix(outcome, "unknown"):
			r.Unknown[outcome]++
		case err != nil:
			r.Truncated++
		case response.Header.Get(idHeader) != id || !strings.HasPrefix(body, wantPrefix):
			r.Mismatched++
		default:
			r.Done++
			_ = r.Latency.RecordValue(min(int64(latency/time.Microsecond), highestMicroseconds)) // within range
		}
	})
}

func (g *Generator) update(f func(*Report)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(&g.report)
}

// entryAddress returns DirectAddress if it is set, else the address of a random entry from a
// lookup, which is cached for its lifetime. It returns "" if no entry is known.
func (g *Generator) entryAddress(ctx context.Context) string {
	if g.config.DirectAddress != "" {
		return g.config.DirectAddress
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if time.Now().After(g.lookup.expires) {
		g.refreshLookup(ctx)
	}
	if len(g.lookup.entries) == 0 {
		return ""
	}
	return g.lookup.entries[g.random.IntN(len(g.lookup.entries))]
}

// dropLookup discards the cached lookup after an entry did not respond.
func (g *Generator) dropLookup() {
	g.update(func(*Report) { g.lookup.expires = time.Time{} })
}

func (g *Generator) refreshLookup(ctx context.Context) {
	for _, a := range g.config.LookupAddresses {
		var out struct {
			Entries         []string
			LifetimeSeconds float64
		}
		if g.getJSON(ctx, "http://"+a+lookupPath+"?service="+url.QueryEscape(g.config.Service), &out) != nil {
			continue
		}
		g.lookup = lookupResult{out.Entries, time.Now().Add(time.Duration(out.LifetimeSeconds * float64(time.Second)))}
		return
	}
}

func (g *Generator) getJSON(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// Print writes the report in human-readable form.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "sent %d, done %d, not run %d %v, unknown %d %v, broken off %d, wrong answer %d, no answer %d\n",
		r.Sent, r.Done, sum(r.NotRun), r.NotRun, sum(r.Unknown), r.Unknown, r.Truncated, r.Mismatched, r.Unanswered)
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
