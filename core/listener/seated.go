package listener

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/filberthoist/filberthoist/core/reserver"
)

// seatedSocket is a socket whose connections take seats.
type seatedSocket struct {
	net.Listener
	seats *reserver.Seats
}

// Accept returns the next connection that gets a seat.
func (s seatedSocket) Accept() (net.Conn, error) {
	for {
		n, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		seat, ok := s.seats.Take(func() { _ = n.Close() }) // the connection may be closed already
		if ok {
			return &seatedConnection{Conn: n, seat: seat}, nil
		}
		_ = n.Close() // nothing was read
	}
}

// seatedConnection is a connection that has a seat until it is closed.
type seatedConnection struct {
	net.Conn
	seat *reserver.Seat
	once sync.Once
}

// Close closes the connection and frees its seat.
func (c *seatedConnection) Close() error {
	c.once.Do(c.seat.Leave)
	return c.Conn.Close()
}

// seatKey is the key of a connection's seat in the contexts of its requests.
type seatKey struct{}

// withSeat adds the seat of a connection to the context of its requests.
func withSeat(ctx context.Context, n net.Conn) context.Context {
	if t, ok := n.(*tls.Conn); ok {
		n = t.NetConn()
	}
	if c, ok := n.(*seatedConnection); ok {
		return context.WithValue(ctx, seatKey{}, c.seat)
	}
	return ctx
}

// seatedHandler keeps the seats of connections while requests run on them.
type seatedHandler struct {
	next http.Handler
}

// ServeHTTP serves a request. It counts as running once its body has arrived.
func (h seatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	seat, _ := r.Context().Value(seatKey{}).(*reserver.Seat) // nil without seats
	b := &seatedBody{ReadCloser: r.Body, seat: seat}
	if r.ContentLength == 0 {
		b.begin()
	} else {
		r.Body = b
	}
	defer b.end()
	h.next.ServeHTTP(w, r)
}

// seatedBody is the body of a request on a connection with a seat.
type seatedBody struct {
	io.ReadCloser
	seat  *reserver.Seat
	begun bool
}

// Read reads from the body.
func (b *seatedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.begin()
	}
	return n, err
}

func (b *seatedBody) begin() {
	if !b.begun {
		b.begun = true
		b.seat.Begin()
	}
}

func (b *seatedBody) end() {
	if b.begun {
		b.seat.End()
	}
}
