package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// faultyDialect is the dialect between entries and faulty upstreams, which echo IDs.
var faultyDialect = handler.Dialect{
	RequestID: "Id", ExpectedTarget: "Expected", NotRun: "Not-Run", Signature: "Signature",
	NotRunStatuses: []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable},
}

// faultyUpstream answers or refuses each request at random, loses answers, and sends copies of its answers
// at once or when the next answer on the connection is due.
type faultyUpstream struct {
	mutex  sync.Mutex
	random *rand.Rand
	// strips means that copies may lack their ID.
	strips bool
	// runs counts the runs of each try, by the request's path.
	runs map[string]int
}

func (u *faultyUpstream) draw(n int) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.random.IntN(n)
}

// serve serves one connection.
func (u *faultyUpstream) serve(_ *rawUpstream, c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	var copies []string
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if u.draw(2) == 0 {
			_, _ = io.WriteString(c, strings.Join(copies, ""))
			copies = nil
		}
		text := u.answer(r)
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
		for u.draw(3) == 0 && len(copies) < maxCopies {
			copies = append(copies, u.copyOf(text, r.Header.Get("Id")))
		}
	}
}

// maxCopies is the number of additional answers that an upstream holds back at once.
const maxCopies = 4

// answer handles a request and returns the response; it is empty if the response is lost.
func (u *faultyUpstream) answer(r *http.Request) string {
	kind := u.draw(8)
	id := "Id: " + r.Header.Get("Id") + "\r\n"
	switch kind {
	case 0, 1:
		return "HTTP/1.1 503 Full\r\n" + id + "Not-Run: full\r\nContent-Length: 0\r\n\r\n"
	case 2:
		return "HTTP/1.1 421 Misdirected\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	u.mutex.Lock()
	u.runs[r.URL.Path]++
	u.mutex.Unlock()
	switch kind {
	case 3:
		return ""
	case 4:
		return "HTTP/1.1 500 Failed\r\n" + id + "Signature: s\r\nContent-Length: 0\r\n\r\n"
	case 5:
		return "HTTP/1.1 503 Failed\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(r.URL.Path), r.URL.Path)
}

func (u *faultyUpstream) copyOf(text, id string) string {
	if u.strips && u.draw(3) == 0 {
		return strings.Replace(text, "Id: "+id+"\r\n", "", 1)
	}
	return text
}

// TestOutcomesOfFaultyUpstreams guards against an outcome that rests on a response to another try: late, doubled,
// missing, without an ID or with the ID of a request that is sent again.
func TestOutcomesOfFaultyUpstreams(t *testing.T) {
	for _, strips := range []bool{false, true} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("stripped IDs %t, seed %d", strips, seed), func(t *testing.T) {
				u := &faultyUpstream{random: rand.New(rand.NewPCG(seed, 1)), strips: strips, runs: map[string]int{}}
				checkOutcomes(t, u, newRawUpstream(t, u.serve).address)
			})
		}
	}
}

// checkOutcomes sends requests under few IDs to an upstream and compares their outcomes with its runs.
func checkOutcomes(t *testing.T, u *faultyUpstream, address string) {
	t.Helper()
	is := is.New(t)
	f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &faultyDialect})
	t.Cleanup(f.Close)
	for try := range 200 {
		e, w := newExchange(parser.ClassAtMostOnce, http.MethodPost, "")
		e.ID = fmt.Sprint("id", u.draw(3))
		e.Request.URL.Path = fmt.Sprint("/", try)
		e.Request.RequestURI = e.Request.URL.Path
		o, _ := f.Forward(context.Background(), e, &parser.Target{Name: "one", Address: address})
		u.mutex.Lock()
		runs := u.runs[e.Request.URL.Path]
		u.mutex.Unlock()
		switch o.Run {
		case handler.NotRun:
			is.Equal(runs, 0)
		case handler.Done:
			is.Equal(runs, 1)
			is.True(!faultyDialect.PromisesNotRun(w.Code))
			is.True(w.Code != http.StatusOK || w.Body.String() == e.Request.URL.Path)
		}
		is.True(runs <= 1)
	}
}
