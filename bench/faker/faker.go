// Package faker is a small upstream with slots and faults, for tests and experiments.
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

// Headers that a fake upstream knows; they are the ones that entries send.
const (
	requestHeader = "Filberthoist-Request"
	outcomeHeader = "Filberthoist-Outcome"
	keyHeader     = "Filberthoist-Key"
	teamHeader    = "Filberthoist-Team"
	// idHeader carries the caller's own id, which the answer repeats.
	idHeader = "Load-Id"
	// AdminPath is the route that changes faults.
	AdminPath = "/fake/faults"
)

// Faults are the ways in which a fake upstream misbehaves. The zero value is healthy.
type Faults struct {
	// FailEvery fails each n-th request with status 500; 0 for none.
	FailEvery int
	// Delay is added to the service time.
	Delay time.Duration
	// Silent reads requests and never answers.
	Silent bool
	// CutEvery breaks off each n-th answer midway; 0 for none.
	CutEvery int
	// CutBefore closes the connection without an answer, after the request ran.
	CutBefore bool
	// WrongID answers with another request's id.
	WrongID bool
	// Leaving says so on the health route and refuses new work.
	Leaving bool
	// Load is what the health route claims.
	Load float64
}

// Config sets up a Fake.
type Config struct {
	Name        string
	Slots       int
	ServiceTime time.Duration
}

// Counts is what a Fake has seen.
type Counts struct {
	// Ran counts requests that ran, by the caller's id.
	Ran map[string]int
	// Total counts requests that ran.
	Total int
	// Refused counts requests that found no slot.
	Refused int
	// Most is the highest number of requests that ran at once.
	Most int
	// SawKey counts requests that still carried a caller's key.
	SawKey int
	// AfterLeaving counts requests that came more than a grace after leaving.
	AfterLeaving int
	// Teams counts requests that ran, by team.
	Teams map[string]int
}

// leavingGrace is how long after leaving new work is still expected.
const leavingGrace = 3 * time.Second

// Fake is one upstream.
type Fake struct {
	config  Config
	mutex   sync.Mutex
	faults  Faults
	counts  Counts
	running int
	left    time.Time
}

// NewFake returns a healthy Fake.
func NewFake(c Config) *Fake {
	return &Fake{config: c, counts: Counts{Ran: map[string]int{}, Teams: map[string]int{}}}
}

// Handler serves requests on every path, health, and the faults.
func (f *Fake) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/health", f.serveHealth).Methods(http.MethodGet)
	m.HandleFunc(AdminPath, f.serveFaults)
	m.PathPrefix("/").HandlerFunc(f.serve)
	return m
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(n Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if n.Leaving && !f.faults.Leaving {
		f.left = time.Now()
	}
	f.faults = n
}

// Counts returns a copy of what was seen.
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
	faults, number, ok := f.begin(r)
	if !ok {
		w.Header().Set(outcomeHeader, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer f.end()
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
	f.answer(w, r, body, faults, number)
}

// begin takes a slot and counts the request as run; ok is false if there is none.
func (f *Fake) begin(r *http.Request) (faults Faults, number int, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Header.Get(keyHeader) != "" {
		f.counts.SawKey++
	}
	if f.faults.Leaving && time.Since(f.left) > leavingGrace {
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

func (f *Fake) end() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

// answer repeats what the caller sent, so that it can tell whose answer it is.
func (f *Fake) answer(w http.ResponseWriter, r *http.Request, body []byte, faults Faults, number int) {
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
