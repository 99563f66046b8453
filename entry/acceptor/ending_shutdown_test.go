package acceptor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sender is a caller that sends a request at each interval, without waiting for responses.
type sender struct {
	socket   net.Conn
	interval time.Duration
}

// loop sends requests until the connection ends.
func (s *sender) loop() {
	for {
		if _, err := io.WriteString(s.socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return
		}
		time.Sleep(s.interval)
	}
}

// TestDrainEndsPipelines guards against requests without an answer on a connection whose caller always
// sends ahead: no response is the last one, and the shutdown cuts the connection at its end.
func TestDrainEndsPipelines(t *testing.T) {
	is := is.New(t)
	a, c, b := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	})
	s := &sender{socket: c, interval: 4 * time.Millisecond}
	go s.loop()
	checkResponse(t, b, http.StatusOK, "GET / ")
	a.Drain()
	for begun := time.Now(); ; {
		if checkResponse(t, b, http.StatusOK, "GET / ").Close {
			break
		}
		is.True(time.Since(begun) < time.Second) // a response announces the end of the connection
	}
	_, err := b.ReadByte()
	is.Equal(err, io.EOF)
}
