package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/entry/handler"
)

// invalidUpstream answers all requests for /charges/ and the first one for /lamps/bad with a status line that no response
// may have, and echoes the path of all others.
type invalidUpstream struct {
	status string
	mutex  sync.Mutex
	runs   map[string]int
}

func (u *invalidUpstream) listen(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u.runs = map[string]int{}
	go u.run(l)
	return l.Addr().String()
}

func (u *invalidUpstream) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

func (u *invalidUpstream) serve(c net.Conn) {
	defer c.Close()
	for b := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		path, status := r.URL.Path, "200 OK"
		if runs := u.count(path); strings.HasPrefix(path, "/charges/") || (path == "/lamps/bad" && runs == 1) {
			status = u.status
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(path), path)
	}
}

func (u *invalidUpstream) count(path string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.runs[path]++
	return u.runs[path]
}

// TestInvalidStatus checks what callers get who pipeline requests of both classes, or whose requests another entry hands
// over: a safe request runs on another target, an unsafe one runs once and is of unknown outcome, and all others are
// answered in order.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "600 OK", "+20 OK", "2x0 OK"} {
		t.Run(status+" direct", func(t *testing.T) {
			u := &invalidUpstream{status: status}
			h := newBalancedPipeline(t, u.listen(t), 6, nil)
			earnRetries(t, h)
			checkPipelined(t, u, newServer(t, h))
		})
		t.Run(status+" handed over", func(t *testing.T) {
			is := is.New(t)
			u := &invalidUpstream{status: status}
			served := newBalancedPipeline(t, u.listen(t), 6, nil)
			earnRetries(t, served)
			peer := newServer(t, served)
			t.Cleanup(peer.Close)
			h := balancedEntry{upstream: closedAddress(t), targets: 6, peers: []string{strings.TrimPrefix(peer.URL, "http://")}}.newPipeline(t)
			is.Equal(post(h, "/charges/0", "paid").Code, http.StatusBadGateway)
			checkPipelined(t, u, newServer(t, h))
		})
	}
}

// earnRetries sends the requests that pay for a retry.
func earnRetries(t *testing.T, h http.Handler) {
	t.Helper()
	is := is.New(t)
	for range 20 {
		is.Equal(post(h, "/lamps/sound", "").Code, http.StatusOK)
	}
}

func checkPipelined(t *testing.T, u *invalidUpstream, s *server) {
	t.Helper()
	is := is.New(t)
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	steps := []struct {
		method, path string
		status       int
	}{
		{"GET", "/lamps/one", http.StatusOK},
		{"POST", "/charges/one", http.StatusBadGateway},
		{"GET", "/lamps/bad", http.StatusOK},
		{"POST", "/charges/two", http.StatusBadGateway},
		{"GET", "/lamps/two", http.StatusOK},
	}
	for _, v := range steps {
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", v.method, v.path, handler.KeyHeader, testKey)
		is.NoErr(err)
	}
	b := bufio.NewReader(c)
	for _, v := range steps {
		r, err := http.ReadResponse(b, nil)
		is.NoErr(err)
		body, err := io.ReadAll(r.Body)
		is.NoErr(err)
		if r.StatusCode != v.status {
			t.Errorf("%s: status %d instead of %d", v.path, r.StatusCode, v.status)
		}
		switch v.status {
		case http.StatusOK:
			is.Equal(string(body), v.path)
		default:
			is.True(strings.HasPrefix(r.Header.Get(handler.OutcomeHeader), "unknown"))
		}
	}
	for path, want := range map[string]int{"/charges/one": 1, "/lamps/bad": 2} {
		u.mutex.Lock()
		is.Equal(u.runs[path], want)
		u.mutex.Unlock()
	}
}
