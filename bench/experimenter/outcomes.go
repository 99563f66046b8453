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

// Shape of the outcomes experiment.
const (
	outcomeIDs     = 100_000
	outcomeCallers = 400
	outcomeTargets = 8
	outcomeSlots   = 80
	outcomeEntries = 3
	// outcomeTries is how often a caller sends one id.
	outcomeTries = 4
	// outcomeTimeout is the route's; some upstreams run or answer after it.
	outcomeTimeout = 200 * time.Millisecond
	outcomeLate    = outcomeTimeout + 50*time.Millisecond
	callerTimeout  = 3 * time.Second
)

// upstreamFault is one way that an upstream may treat a request.
type upstreamFault struct {
	name string
	part float64
}

// upstreamFaults are drawn for each arrival; the rest is answered well.
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

// onceUpstream runs requests with faults and counts the runs by id.
type onceUpstream struct {
	mutex  sync.Mutex
	random *rand.Rand
	ran    map[string]int
	faults map[string]int
}

func newOnceUpstream(seed uint64) *onceUpstream {
	return &onceUpstream{random: rand.New(rand.NewPCG(seed, 2)), ran: map[string]int{}, faults: map[string]int{}}
}

func (u *onceUpstream) draw() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	pick := u.random.Float64()
	for _, f := range upstreamFaults {
		if pick -= f.part; pick < 0 {
			u.faults[f.name]++
			return f.name
		}
	}
	return ""
}

func (u *onceUpstream) run(id string) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.ran[id]++
}

func (u *onceUpstream) runs(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.ran[id]
}

// ServeHTTP treats a request by a fault; its path ends in the id.
func (u *onceUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	fault := u.draw()
	switch fault {
	case "closes unread":
		panic(http.ErrAbortHandler) // net/http closes the connection
	case "refuses":
		w.Header().Set("Filberthoist-Outcome", "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "stays silent":
		_, _ = io.Copy(io.Discard, r.Body) // net/http sees a closed connection only after the body
		<-r.Context().Done()
		return
	case "runs late":
		time.Sleep(outcomeLate) // it does not look at the deadline, nor at who is still there
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off is run all the same here
	u.run(id)
	answer := "ran " + id
	switch fault {
	case "runs, then closes":
		panic(http.ErrAbortHandler)
	case "runs, then half an answer":
		w.Header().Set("Content-Length", fmt.Sprint(2*len(answer)))
		_, _ = io.WriteString(w, answer) // cut by net/http at the return
		return
	case "runs, then another's answer":
		w.Header().Set("Filberthoist-Request", "another")
	case "runs, answers late":
		time.Sleep(outcomeLate)
	}
	_, _ = io.WriteString(w, answer) // the entry may have gone
}

// onceScore is what the callers saw.
type onceScore struct {
	mutex    sync.Mutex
	sent     int
	done     int
	wrong    int
	falseNot int
	outcomes map[string]int
}

func runOutcomes(c Config) ([]tabulator.Result, error) {
	ours := newOnceUpstream(c.Seed)
	path, err := newOncePath(ours, c.Seed)
	if err != nil {
		return nil, err
	}
	defer path.close()
	got := callAll(path.addresses, ours)
	plainUpstream := newOnceUpstream(c.Seed)
	s := httptest.NewServer(plainUpstream)
	defer s.Close()
	plain := callAll([]string{s.Listener.Addr().String()}, plainUpstream)
	out := tabulator.Result{Name: "outcomes"}
	out.Rows = append(out.Rows, onceRows("filberthoist", got, ours)...)
	out.Rows = append(out.Rows, onceRows("callers that retry at the upstream", plain, plainUpstream)...)
	out.Rows = append(out.Rows,
		tabulator.Judge("ids that ran twice", "filberthoist", "0", ours.doubled() == 0, "%d of %d", ours.doubled(), outcomeIDs),
		tabulator.Judge("false 'not run'", "filberthoist", "0", got.falseNot == 0, "%d", got.falseNot),
		tabulator.Judge("answers of another request", "filberthoist", "0", got.wrong == 0, "%d", got.wrong))
	for _, f := range upstreamFaults {
		out.Rows = append(out.Rows, tabulator.Compare("upstream faults met", f.name, "%d", ours.faults[f.name]))
	}
	for _, n := range slices.Sorted(maps.Keys(path.keeper.faults)) {
		out.Rows = append(out.Rows, tabulator.Compare("control faults met", n, "%d", path.keeper.faults[n]))
	}
	return []tabulator.Result{out}, nil
}

func onceRows(subject string, s *onceScore, u *onceUpstream) []tabulator.Row {
	rows := []tabulator.Row{
		tabulator.Compare("sent, answered", subject, "%d, %d of %d", s.sent, s.done, outcomeIDs),
		tabulator.Compare("ids that ran twice or more", subject, "%d", u.doubled()),
	}
	for _, n := range slices.Sorted(maps.Keys(s.outcomes)) {
		rows = append(rows, tabulator.Compare("outcome "+n, subject, "%d", s.outcomes[n]))
	}
	return rows
}

func (u *onceUpstream) doubled() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	n := 0
	for _, k := range u.ran {
		if k > 1 {
			n++
		}
	}
	return n
}

// callAll sends every id, and again to another address until it is answered.
func callAll(addresses []string, u *onceUpstream) *onceScore {
	s := &onceScore{outcomes: map[string]int{}}
	t := &http.Transport{MaxIdleConnsPerHost: outcomeCallers}
	defer t.CloseIdleConnections()
	caller := &http.Client{Timeout: callerTimeout, Transport: t}
	var all sync.WaitGroup
	for n := range outcomeCallers {
		all.Go(func() {
			for i := n; i < outcomeIDs; i += outcomeCallers {
				s.call(caller, addresses, fmt.Sprint("id", i), u)
			}
		})
	}
	all.Wait()
	time.Sleep(2 * outcomeLate) // what runs late has run by now
	return s
}

// call sends one id until it is answered or the caller gives up.
func (s *onceScore) call(c *http.Client, addresses []string, id string, u *onceUpstream) {
	mayHaveRun := false
	for try := range outcomeTries {
		run, right := send(c, addresses[(place(id)+try)%len(addresses)], id)
		ran := u.runs(id) > 0
		s.mutex.Lock()
		s.sent++
		s.outcomes[run]++
		if run == "notRun" && ran && !mayHaveRun {
			s.falseNot++
		}
		if run == "done" && !right {
			s.wrong++
		}
		if run == "done" {
			s.done++
		}
		s.mutex.Unlock()
		if run == "done" {
			return
		}
		mayHaveRun = mayHaveRun || run != "notRun"
	}
}

func place(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes every write
	return int(h.Sum32() >> 1)
}

// send posts an id once and returns its outcome, and whether the answer is its own.
func send(c *http.Client, address, id string) (run string, right bool) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/charges/"+id, bytes.NewReader([]byte("12.50")))
	if err != nil {
		return "broken", false
	}
	q.GetBody = nil // else net/http sends it again by itself when a connection ends unanswered
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
	run, _, _ = strings.Cut(a.Header.Get("Filberthoist-Outcome"), ";")
	if run == "" && a.StatusCode == http.StatusOK {
		run = "done" // straight from an upstream
	}
	return run, string(b) == "ran "+id
}
