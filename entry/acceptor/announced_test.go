package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipeline is a connection whose caller sends requests ahead, and the numbers of the requests that ran.
type pipeline struct {
	random *rand.Rand
	count  int
	mutex  sync.Mutex
	runs   map[string]int
	// refused holds the paths that got a refusal of a shutdown.
	refused map[string]bool
}

// ServeHTTP answers a request with its own path in one of several ways.
func (p *pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	p.runs[r.URL.Path]++
	way, delay := p.random.IntN(24), time.Duration(p.random.IntN(2000))*time.Microsecond
	p.mutex.Unlock()
	time.Sleep(delay)
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil, way == 0:
		panic(http.ErrAbortHandler)
	case way == 1:
		w.Header().Set("Connection", "close")
	case way == 2:
		body = append(body, strings.Repeat("x", maxBufferedBytes+1)...) // is streamed
	}
	_, _ = io.WriteString(w, r.URL.Path+" "+string(body)) // fails only if the caller disconnected
}

func (p *pipeline) refuse(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refused[r.URL.Path] = true
	w.WriteHeader(http.StatusServiceUnavailable)
}

// send writes the requests in pieces of random sizes.
func (p *pipeline) send(w io.Writer, random *rand.Rand) {
	var b strings.Builder
	for i := range p.count {
		switch random.IntN(3) {
		case 0:
			fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", i)
		default:
			fmt.Fprintf(&b, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		}
	}
	for text := b.String(); text != ""; {
		n := 1 + random.IntN(len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(time.Duration(random.IntN(1000)) * time.Microsecond)
	}
}

// receive reads responses until the connection ends, or all are there. It returns their number and whether the
// last one announced the end of the connection.
func (p *pipeline) receive(is *is.I, b *bufio.Reader) (count int, announced bool) {
	is.Helper()
	for !announced && count < p.count {
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			return count, false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return count, false // aborted partway
		}
		is.True(r.StatusCode == http.StatusServiceUnavailable || strings.HasPrefix(string(body), fmt.Sprintf("/%d ", count))) // in order
		count, announced = count+1, r.Close
	}
	return count, announced
}

// TestNothingRunsBehindAnAnnouncedEnd guards against requests that run although the response before them announced
// the end of the connection, after which callers send them again: the announcement, the reading of the next
// request, a drain, a shutdown and an abort come in any order.
func TestNothingRunsBehindAnAnnouncedEnd(t *testing.T) {
	const seeds = 60
	announcedEnds := 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if playPipeline(t, seed) {
				announcedEnds++
			}
		})
	}
	is.New(t).True(announcedEnds > seeds/4)
}

// playPipeline sends requests ahead, checks which of them run, and reports whether the last response announced
// the end of the connection.
func playPipeline(t *testing.T, seed uint64) (announced bool) {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	p := &pipeline{random: rand.New(rand.NewPCG(seed, 2)), count: 2 + random.IntN(12), runs: map[string]int{}, refused: map[string]bool{}}
	a, c, b := newServer(t, p.ServeHTTP)
	a.config.Refuse = http.HandlerFunc(p.refuse)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var done sync.WaitGroup
	done.Go(func() { p.send(c, random) })
	end := time.Duration(p.count) * time.Millisecond / 2
	done.Go(func() {
		time.Sleep(end)
		switch seed % 4 {
		case 1:
			a.Drain()
		case 2:
			_ = a.Shutdown(ctx)
		}
	})
	count, announced := p.receive(is, b)
	is.NoErr(c.Close())
	done.Wait()
	is.NoErr(a.Shutdown(ctx))
	for i := range p.count {
		path := fmt.Sprintf("/%d", i)
		is.True(p.runs[path] <= 1)
		is.True(p.runs[path] == 0 || !p.refused[path])
		is.True(!announced || i < count || p.runs[path] == 0)
	}
	return announced
}
