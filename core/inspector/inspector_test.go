package inspector

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHeads guards against a status that is none being taken for that of an answer or of an interim response.
func TestHeads(t *testing.T) {
	for status := range 1000 {
		valid := status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
		checkHead(t, fmt.Sprintf("HTTP/1.1 %03d Text", status), valid)
	}
	for head, valid := range map[string]bool{
		"HTTP/1.1 200": true, "HTTP/1.1 200 ": true, "HTTP/1.0 200 OK": true, "HTTP/1.1  200 OK": true,
		"HTTP/1.1 +20 OK": false, "HTTP/1.1 -20 OK": false, "HTTP/1.1 20 OK": false, "HTTP/1.1 2000 OK": false, "HTTP/1.1 2 0 OK": false,
		"HTTP/1.1 20x OK": false, "HTTP/1.1 ２ OK": false, "HTTP/1.1 OK": false, "HTTP/1.1 ": false, "HTTP/1.1    ": false, "HTTP/1.1": false,
		"HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "ICY 200 OK": false, "garbage": false,
	} {
		checkHead(t, head, valid)
	}
}

func checkHead(t *testing.T, head string, valid bool) {
	t.Helper()
	r, err := ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\nContent-Length: 0\r\n\r\n")), http.MethodGet)
	var invalid *HeadError
	if valid != (err == nil) || !valid != errors.As(err, &invalid) {
		t.Errorf("%q: error %v", head, err)
	}
	if err == nil && IsInterim(r.StatusCode) == IsFinal(r.StatusCode) {
		t.Errorf("%q is both interim and final, or neither", head)
	}
}

// TestBrokenHeads checks that a connection that ends is not taken for an invalid head.
func TestBrokenHeads(t *testing.T) {
	is := is.New(t)
	_, err := ReadResponse(bufio.NewReader(strings.NewReader("")), http.MethodGet)
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 O")), http.MethodGet)
	is.Equal(err, io.ErrUnexpectedEOF)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(c.Close())
	_, err = ReadResponse(bufio.NewReader(c), http.MethodGet)
	is.True(err != nil)
	is.True(!errors.As(err, new(*HeadError)))
}

// TestTransport guards against belief in the calls' responses of a server in trouble.
func TestTransport(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "+20 OK", "2x0 OK", "200 OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go respond(l, status)
			next := &http.Transport{}
			defer next.CloseIdleConnections()
			r, err := (&http.Client{Transport: Transport{next}}).Get("http://" + l.Addr().String())
			is.Equal(err == nil, status == "200 OK")
			if err == nil {
				is.NoErr(r.Body.Close())
			}
		})
	}
}

func respond(l net.Listener, status string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = http.ReadRequest(bufio.NewReader(c))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
}
