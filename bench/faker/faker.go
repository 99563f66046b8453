// Package faker implements a fake upstream with slots and faults, for tests and experiments.
package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Headers that a fake upstream reads and writes. The names with the prefix Filberthoist- are
// those that entries use.
const (
	requestHeader = "Filberthoist-Request"
	outcomeHeader = "Filberthoist-Outcome"
	keyHeader     = "Filberthoist-Key"
	teamHeader    = "Filberthoist-Team"
	// idHeader carries the caller's own request ID, which the response repeats.
	idHeader = "Load-Id"
	// FaultsPath returns the counts on GET, and sets the faults on other methods.
	FaultsPath = "/fake/faults"
)

// Faults configures how a fake upstream fails. The zero value has no faults.
type Faults struct {
	// FailEvery fails each n-th request with status 500; 0 for none.
	FailEvery int
	// Delay is added to the service time of each request.
	Delay time.Duration
	// Silent reads requests and never responds.
	Silent bool
	// CutEvery truncates each n-th response in the middle; 0 for none.
	CutEvery int
	// CutBefore closes the connection without a response, after the request ran.
	CutBefore bool
	// WrongID responds with the ID of another request.
	WrongID bool
	// Leaving reports the state "leaving" on the health route and refuses new requests.
	Leaving bool
	// Load is the load that the health route reports.
	Load float64
}

// Config configures a Fake.
type Config struct {
	Name        string
	Slots       int
	ServiceTime time.Duration
}

// Counts holds the counters of a Fake.
type Counts struct {
	// Ran counts requests that ran, by the caller's request ID.
	Ran map[string]int
	// Total counts requests that ran.
	Total int
	// Refused counts requests that were refused, as no slot was free or the upstream was
	// leaving.
	Refused int
	// Most is the maximum number of requests that ran concurrently.
	Most int
	// SawKey counts requests with a caller's key, which entries must remove.
	SawKey int
	// AfterLeaving counts requests that arrived more than leavingGrace after leaving began.
	AfterLeaving int
	// Teams counts requests that ran, by team.
	Teams map[string]int
}

// leavingGrace is how long new requests are still expected after leaving began.
const leavingGrace = 3 * time.Second

// Fake is a fake upstream.
type Fake struct {
	config       Config
	mutex        sync.Mutex
	faults       Faults
	counts       Counts
	running      int
	leavingSince time.Time
}

// NewFake returns a Fake without faults.
func NewFake(c Config) *Fake {
	return &Fake{config: c, counts: Counts{Ran: map[string]int{}, Teams: map[string]int{}}}
}

// Handler serves the health route, FaultsPath, and requests on every other path.
func (f *Fake) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/health", f.serveHealth).Methods(http.MethodGet)
	m.HandleFunc(FaultsPath, f.serveFaults)
	m.PathPrefix("/").HandlerFunc(f.serve)
	return m
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(n Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if n.Leaving && !f.faults.Leaving {
		f.leavingSince = time.Now()
	}
	f.faults = n
}

// Counts returns a copy of the counters.
func (f *Fake) Counts() Counts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := f.counts
	c.Ran, c.Teams = map[string]int{}, map[string]int{}
	for k, v := range f.counts.Ran {
		c.Ran[k] = v
	}
	for k, v := range f.counts.Teams {
		c.Teams[k] = v
	}
	return c
}

func (f *Fake) serveHealth(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := "ready"
	if f.faults.Leaving {
		state = "leaving"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "load": f.faults.Load})
}

func (f *Fake) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(f.Counts())
		return
	}
	var n Faults
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(n)
}

func (f *Fake) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(requestHeader, r.Header.Get(requestHeader))
	faults, number, ok := f.startRequest(r)
	if !ok {
		w.Header().Set(outcomeHeader, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer f.finishRequest()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(f.config.ServiceTime + faults.Delay):
	case <-r.Context().Done():
		return
	}
	if faults.CutBefore {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	f.writeResponse(w, r, body, faults, number)
}

// startRequest takes a slot and counts the request as run. It returns ok = false if the request
// is refused.
func (f *Fake) startRequest(r *http.Request) (faults Faults, number int, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Header.Get(keyHeader) != "" {
		f.counts.SawKey++
	}
	if f.faults.Leaving && time.Since(f.leavingSince) > leavingGrace {
		f.counts.AfterLeaving++
	}
	if f.running >= f.config.Slots || f.faults.Leaving {
		f.counts.Refused++
		return f.faults, 0, false
	}
	f.running++
	f.counts.Most = max(f.counts.Most, f.running)
	f.counts.Total++
	f.counts.Teams[r.Header.Get(teamHeader)]++
	if id := r.Header.Get(idHeader); id != "" {
		f.counts.Ran[id]++
	}
	return f.faults, f.counts.Total, true
}

func (f *Fake) finishRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

// writeResponse echoes the request, so that the caller can check that the response belongs to it.
func (f *Fake) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, faults Faults, number int) {
	id := r.Header.Get(requestHeader)
	if faults.WrongID {
		id = "another"
	}
	w.Header().Set(requestHeader, id)
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	w.Header().Set("Fake-Target", f.config.Name)
	status := http.StatusOK
	if faults.FailEvery > 0 && number%faults.FailEvery == 0 {
		status = http.StatusInternalServerError
	}
	text := r.Method + " " + r.URL.Path + " " + r.Header.Get(idHeader) + " by " + f.config.Name + "\n" + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if faults.CutEvery > 0 && number%faults.CutEvery == 0 {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	_, _ = io.WriteString(w, text)
}
