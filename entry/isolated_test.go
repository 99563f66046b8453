package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/filberthoist/filberthoist/entry/handler"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// silentAddress returns an address at which connections are never established.
func silentAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(unix.Listen(fd, 0))
	s, err := unix.Getsockname(fd)
	is.NoErr(err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: s.(*unix.SockaddrInet4).Port}).String()
	for range 8 { // connections wait in the full queue until one is dropped
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("connections are established")
	return ""
}

// resettingAddress returns an address at which one kept connection per target is reset when it is used,
// and no more are accepted.
func resettingAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		_ = l.Close()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// countingEntry is a healthy entry that counts the requests that reach its targets.
func countingEntry(t *testing.T) (address string, ran *atomic.Int64) {
	t.Helper()
	ran = &atomic.Int64{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	}))
	t.Cleanup(upstream.Close)
	s := newServer(t, newBalancedPipeline(t, upstream.Listener.Addr().String(), 3, nil))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), ran
}

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	q := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	q.Header.Set(handler.KeyHeader, testKey)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, q)
	return w
}

// TestIsolatedEntryServes guards against an entry that reaches no target and refuses its callers
// although another entry could serve them.
func TestIsolatedEntryServes(t *testing.T) {
	for name, newAddress := range map[string]func(*testing.T) string{"refused": closedAddress, "hung": silentAddress} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, ran := countingEntry(t)
			h := balancedEntry{upstream: newAddress(t), targets: 6, peers: []string{peer}}.newPipeline(t)
			const requests = 20
			for range requests {
				w := post(h, "/charges/7", "paid")
				is.Equal(w.Code, http.StatusOK)
				is.Equal(w.Body.String(), "paid")
				is.Equal(w.Header().Get(handler.OutcomeHeader), "done")
			}
			is.Equal(ran.Load(), int64(requests))
		})
	}
	t.Run("reset", func(t *testing.T) {
		is := is.New(t)
		peer, ran := countingEntry(t)
		h := balancedEntry{upstream: resettingAddress(t), targets: 6, peers: []string{peer}}.newPipeline(t)
		is.Equal(post(h, "/charges/7", "paid").Code, http.StatusBadGateway) // it may have run
		for range 20 {
			is.Equal(post(h, "/charges/7", "paid").Code, http.StatusOK)
		}
		is.Equal(ran.Load(), int64(20))
	})
}

// TestKeptConnectionsOnly guards against failures where kept connections to targets work but new ones
// are refused.
func TestKeptConnectionsOnly(t *testing.T) {
	is := is.New(t)
	peer, ran := countingEntry(t)
	running, release := make(chan struct{}), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			close(running)
			<-release
		}
	}))
	t.Cleanup(upstream.Close)
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	h := balancedEntry{upstream: upstream.Listener.Addr().String(), targets: 6, peers: []string{peer}}.newPipeline(t)
	is.Equal(post(h, "/charges/7", "").Code, http.StatusOK)
	var slow sync.WaitGroup
	slow.Go(func() { is.Equal(post(h, "/charges/slow", "").Code, http.StatusOK) }) // on the only connection
	<-running
	_ = upstream.Listener.Close()
	for range 10 {
		is.Equal(post(h, "/charges/7", "").Code, http.StatusOK)
	}
	is.Equal(ran.Load(), int64(10))
	finish()
	slow.Wait()
}

// TestAllEntriesIsolated checks that isolated entries refuse each other's requests at once, without a
// loop.
func TestAllEntriesIsolated(t *testing.T) {
	is := is.New(t)
	upstream := closedAddress(t)
	peer := newServer(t, balancedEntry{upstream: upstream, targets: 6}.newPipeline(t))
	defer peer.Close()
	h := balancedEntry{upstream: upstream, targets: 6, peers: []string{strings.TrimPrefix(peer.URL, "http://")}}.newPipeline(t)
	for range 10 {
		begun := time.Now()
		w := post(h, "/charges/7", "")
		is.True(strings.HasPrefix(w.Header().Get(handler.OutcomeHeader), string(handler.NotRun)))
		is.Equal(w.Header().Get(handler.DelegatedHeader), "")
		is.True(time.Since(begun) < time.Second)
	}
}
