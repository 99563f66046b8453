package experimenter

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/filberthoist/filberthoist/bench/tabulator"
)

// Parameters of the outcomes experiment.
const (
	outcomeIDs     = 100_000
	outcomeCallers = 400
	outcomeTargets = 8
	outcomeSlots   = 80
	outcomeEntries = 3
	// outcomeAttempts is how often a caller sends one ID at most.
	outcomeAttempts = 4
	// outcomeTimeout is the timeout of the route; some requests run or are answered after it.
	outcomeTimeout   = 200 * time.Millisecond
	outcomeLateDelay = outcomeTimeout + 50*time.Millisecond
	callerTimeout    = 3 * time.Second
)

// upstreamFault is a fault of the upstream or of control, and its probability per request.
type upstreamFault struct {
	name        string
	probability float64
}

// upstreamFaults are drawn for each request; the other requests are answered correctly.
var upstreamFaults = []upstreamFault{
	{"closes unread", 0.02},
	{"refuses", 0.02},
	{"runs, then closes", 0.02},
	{"runs, then half an answer", 0.02},
	{"runs, then another's answer", 0.02},
	{"runs, answers late", 0.01},
	{"runs late", 0.01},
	{"stays silent", 0.01},
}

// onceUpstream runs requests with random faults and counts the runs by ID.
type onceUpstream struct {
	mutex       sync.Mutex
	random      *rand.Rand
	runsByID    map[string]int
	faultCounts map[string]int
}

func newOnceUpstream(seed uint64) *onceUpstream {
	return &onceUpstream{random: rand.New(rand.NewPCG(seed, 2)), runsByID: map[string]int{}, faultCounts: map[string]int{}}
}

func (u *onceUpstream) drawFault() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	pick := u.random.Float64()
	for _, f := range upstreamFaults {
		if pick -= f.probability; pick < 0 {
			u.faultCounts[f.name]++
			return f.name
		}
	}
	return ""
}

func (u *onceUpstream) recordRun(id string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.runsByID[id]++
}

func (u *onceUpstream) runCount(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.runsByID[id]
}

// ServeHTTP runs a request with a random fault. The request's path ends in its ID.
func (u *onceUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	fault := u.drawFault()
	w.Header().Set("Filberthoist-Request", r.Header.Get("Filberthoist-Request"))
	switch fault {
	case "closes unread":
		panic(http.ErrAbortHandler) // net/http closes the connection
	case "refuses":
		w.Header().Set("Filberthoist-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "stays silent":
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body
		<-r.Context().Done()
		return
	case "runs late":
		time.Sleep(outcomeLateDelay) // regardless of the deadline and of a closed connection
	}
	_, _ = io.Copy(io.Discard, r.Body) // a request with a truncated body runs too
	u.recordRun(id)
	response := "ran " + id
	switch fault {
	case "runs, then closes":
		panic(http.ErrAbortHandler)
	case "runs, then half an answer":
		w.Header().Set("Content-Length", fmt.Sprint(2*len(response)))
		_, _ = io.WriteString(w, response) // truncated by net/http on return
		return
	case "runs, then another's answer":
		w.Header().Set("Filberthoist-Request", "another")
	case "runs, answers late":
		time.Sleep(outcomeLateDelay)
	}
	_, _ = io.WriteString(w, response) // the entry may have closed the connection
}

// onceStats counts what the callers saw.
type onceStats struct {
	mutex          sync.Mutex
	sent           int
	done           int
	wrongResponses int
	falseNotRun    int
	outcomes       map[string]int
}

func runOutcomes(c Config) ([]tabulator.Result, error) {
	upstream := newOnceUpstream(c.Seed)
	setup, err := newOnceSetup(upstream, c.Seed)
	if err != nil {
		return nil, err
	}
	defer setup.close()
	stats := sendAll(setup.addresses, upstream)
	directUpstream := newOnceUpstream(c.Seed)
	s := httptest.NewServer(directUpstream)
	defer s.Close()
	directStats := sendAll([]string{s.Listener.Addr().String()}, directUpstream)
	out := tabulator.Result{Name: "outcomes"}
	out.Rows = append(out.Rows, onceRows("filberthoist", stats, upstream)...)
	out.Rows = append(out.Rows, onceRows("callers that retry at the upstream", directStats, directUpstream)...)
	out.Rows = append(out.Rows,
		tabulator.TargetRow("ids that ran twice", "filberthoist", "0", upstream.duplicateIDs() == 0, "%d of %d", upstream.duplicateIDs(), outcomeIDs),
		tabulator.TargetRow("false 'not run'", "filberthoist", "0", stats.falseNotRun == 0, "%d", stats.falseNotRun),
		tabulator.TargetRow("answers of another request", "filberthoist", "0", stats.wrongResponses == 0, "%d", stats.wrongResponses))
	for _, f := range upstreamFaults {
		out.Rows = append(out.Rows, tabulator.InfoRow("upstream faults met", f.name, "%d", upstream.faultCounts[f.name]))
	}
	for _, n := range slices.Sorted(maps.Keys(setup.control.faultCounts)) {
		out.Rows = append(out.Rows, tabulator.InfoRow("control faults met", n, "%d", setup.control.faultCounts[n]))
	}
	return []tabulator.Result{out}, nil
}

func onceRows(subject string, s *onceStats, u *onceUpstream) []tabulator.Row {
	rows := []tabulator.Row{
		tabulator.InfoRow("sent, answered", subject, "%d, %d of %d", s.sent, s.done, outcomeIDs),
		tabulator.InfoRow("ids that ran twice or more", subject, "%d", u.duplicateIDs()),
	}
	for _, n := range slices.Sorted(maps.Keys(s.outcomes)) {
		rows = append(rows, tabulator.InfoRow("outcome "+n, subject, "%d", s.outcomes[n]))
	}
	return rows
}

func (u *onceUpstream) duplicateIDs() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	n := 0
	for _, k := range u.runsByID {
		if k > 1 {
			n++
		}
	}
	return n
}

// sendAll sends every ID, and retries it at other addresses until it is answered or the caller
// has used its attempts.
func sendAll(addresses []string, u *onceUpstream) *onceStats {
	s := &onceStats{outcomes: map[string]int{}}
	t := &http.Transport{MaxIdleConnsPerHost: outcomeCallers}
	defer t.CloseIdleConnections()
	caller := &http.Client{Timeout: callerTimeout, Transport: t}
	var all sync.WaitGroup
	for n := range outcomeCallers {
		all.Go(func() {
			for i := n; i < outcomeIDs; i += outcomeCallers {
				s.sendUntilDone(caller, addresses, fmt.Sprint("id", i), u)
			}
		})
	}
	all.Wait()
	time.Sleep(2 * outcomeLateDelay) // until all late runs are over
	return s
}

// sendUntilDone sends one ID until it is answered, at most outcomeAttempts times.
func (s *onceStats) sendUntilDone(c *http.Client, addresses []string, id string, u *onceUpstream) {
	mayHaveRun := false
	for attempt := range outcomeAttempts {
		outcome, isOwn := sendOnce(c, addresses[(addressIndex(id)+attempt)%len(addresses)], id)
		ran := u.runCount(id) > 0
		s.mutex.Lock()
		s.sent++
		s.outcomes[outcome]++
		if outcome == "notRun" && ran && !mayHaveRun {
			s.falseNotRun++
		}
		if outcome == "done" && !isOwn {
			s.wrongResponses++
		}
		if outcome == "done" {
			s.done++
		}
		s.mutex.Unlock()
		if outcome == "done" {
			return
		}
		mayHaveRun = mayHaveRun || outcome != "notRun"
	}
}

func addressIndex(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	return int(h.Sum32() >> 1)
}

// sendOnce posts an ID and returns the outcome, and whether the response belongs to the
// request.
func sendOnce(c *http.Client, address, id string) (outcome string, isOwn bool) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/charges/"+id, bytes.NewReader([]byte("12.50")))
	if err != nil {
		return "broken", false
	}
	q.GetBody = nil // otherwise net/http retries when a connection closes without a response
	q.Header.Set("Filberthoist-Key", experimentKey)
	q.Header.Set("Idempotency-Key", id)
	a, err := c.Do(q)
	if err != nil {
		return "broken", false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return "broken", false
	}
	outcome, _, _ = strings.Cut(a.Header.Get("Filberthoist-Outcome"), ";")
	if outcome == "" && a.StatusCode == http.StatusOK {
		outcome = "done" // an upstream called directly sends no outcome
	}
	return outcome, string(b) == "ran "+id
}
