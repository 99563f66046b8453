// Package reporter serves the metrics, the health and the state of a process to operators.
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

// flushInterval is how often tally reports its values to Prometheus.
const flushInterval = time.Second

// Dump returns a JSON-encodable snapshot of one part of the process.
type Dump func() any

// Config holds the labels of all metrics of a process.
type Config struct {
	Process string
	Name    string
}

// Reporter collects the metrics and the state dumps of one process.
type Reporter struct {
	Scope          tally.Scope
	metricsHandler http.Handler
	close          func() error
	mutex          sync.Mutex
	dumps          map[string]Dump
	health         func() error
	handlers       map[string]http.Handler
}

// NewReporter returns a Reporter without dumps.
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
	return &Reporter{Scope: scope, metricsHandler: p.HTTPHandler(), close: closer.Close, dumps: map[string]Dump{}, handlers: map[string]http.Handler{}}
}

// Add registers the dump of a part of the process under a name.
func (r *Reporter) Add(name string, d Dump) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dumps[name] = d
}

// SetHealth registers a check that returns an error while the process cannot do its work.
func (r *Reporter) SetHealth(check func() error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.health = check
}

// AddHandler registers the handler of GET requests for a further path. It must be called before Handler.
func (r *Reporter) AddHandler(path string, h http.Handler) {
	r.handlers[path] = h
}

// Handler serves /metrics, /health, /dump, /dump/{part} and the paths of AddHandler.
func (r *Reporter) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/metrics", r.metricsHandler).Methods(http.MethodGet)
	m.HandleFunc("/health", r.serveHealth).Methods(http.MethodGet)
	m.HandleFunc("/dump", r.serveDump).Methods(http.MethodGet)
	m.HandleFunc("/dump/{part}", r.serveDumpPart).Methods(http.MethodGet)
	for path, h := range r.handlers {
		m.Handle(path, h).Methods(http.MethodGet)
	}
	return m
}

// Close reports the last values of the metrics.
func (r *Reporter) Close() error {
	return r.close()
}

// serveHealth responds with status 503 and the error of the check if it fails, else with 200.
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
	out := map[string]json.RawMessage{}
	for _, name := range r.dumpNames() {
		b, err := json.Marshal(r.findDump(name)())
		if err != nil {
			b, _ = json.Marshal(map[string]string{"error": err.Error()}) // strings are always encoded
		}
		out[name] = b
	}
	writeJSON(w, out)
}

func (r *Reporter) serveDumpPart(w http.ResponseWriter, q *http.Request) {
	d := r.findDump(mux.Vars(q)["part"])
	if d == nil {
		http.NotFound(w, q)
		return
	}
	writeJSON(w, d())
}

func (r *Reporter) findDump(name string) Dump {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dumps[name]
}

func (r *Reporter) dumpNames() []string {
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
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append(b, '\n')) // fails if the client has disconnected
}
