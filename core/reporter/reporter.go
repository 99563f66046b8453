// Package reporter shows operators a process's metrics, health and state.
package reporter

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// flushInterval is how often tally hands its values on.
const flushInterval = time.Second

// Dump returns a JSON-encodable picture of one part of the process.
type Dump func() any

// Config names the process in its metrics.
type Config struct {
	Process string
	Name    string
}

// Reporter collects the metrics and the state dumps of one process.
type Reporter struct {
	Scope  tally.Scope
	pages  http.Handler
	close  func() error
	mutex  sync.Mutex
	dumps  map[string]Dump
	health func() error
}

// NewReporter returns a Reporter with an empty dump.
func NewReporter(c Config) *Reporter {
	registry := prometheus.NewRegistry()
	p := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "filberthoist",
		Tags:            map[string]string{"process": c.Process, "name": c.Name},
		CachedReporter:  p,
		Separator:       tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}, flushInterval)
	return &Reporter{Scope: scope, pages: p.HTTPHandler(), close: closer.Close, dumps: map[string]Dump{}}
}

// Add registers the dump of one part under its name.
func (r *Reporter) Add(name string, d Dump) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dumps[name] = d
}

// SetHealth registers what tells whether the process can do its work.
func (r *Reporter) SetHealth(check func() error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.health = check
}

// Handler serves /metrics, /health, /dump and /dump/{part}.
func (r *Reporter) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", r.pages).Methods(http.MethodGet)
	m.HandleFunc("/health", r.serveHealth).Methods(http.MethodGet)
	m.HandleFunc("/dump", r.serveDump).Methods(http.MethodGet)
	m.HandleFunc("/dump/{part}", r.servePart).Methods(http.MethodGet)
	return m
}

// Close hands on the last values.
func (r *Reporter) Close() error {
	return r.close()
}

func (r *Reporter) serveHealth(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	check := r.health
	r.mutex.Unlock()
	if check == nil {
		return
	}
	if err := check(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (r *Reporter) serveDump(w http.ResponseWriter, _ *http.Request) {
	whole := map[string]any{}
	for _, name := range r.names() {
		whole[name] = r.dump(name)()
	}
	writeJSON(w, whole)
}

func (r *Reporter) servePart(w http.ResponseWriter, q *http.Request) {
	d := r.dump(mux.Vars(q)["part"])
	if d == nil {
		http.NotFound(w, q)
		return
	}
	writeJSON(w, d())
}

func (r *Reporter) dump(name string) Dump {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dumps[name]
}

func (r *Reporter) names() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	names := make([]string, 0, len(r.dumps))
	for n := range r.dumps {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v) // the reader has gone
}
