package relayer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// waitLimit ends a hanging test, silence is the time in which nothing is to come.
	waitLimit = 10 * time.Second
	silence   = 100 * time.Millisecond
)

// newEcho returns a Relay before a server that sends back what it gets, and a connection.
func newEcho(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := NewRelay("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		_ = l.Close()
	})
	return r, dial(t, r)
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends a byte and returns the first one that comes back within a time, or an error.
func send(c net.Conn, b byte, wait time.Duration) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return receive(c, wait)
}

// refused returns how a new connection ends. The reset may come before the dial returns, or
// with the first byte.
func refused(r *Relay) error {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = send(c, 'a', waitLimit)
	return err
}

// isReset tells a connection that was reset; a write after the reset was taken in breaks.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func receive(c net.Conn, wait time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	return got[0], err
}

func TestRelay(t *testing.T) {
	for _, m := range []Mode{Silent, OneWay} {
		t.Run(map[Mode]string{Silent: "holds all", OneWay: "holds one way"}[m], func(t *testing.T) {
			is := is.New(t)
			r, c := newEcho(t)
			got, err := send(c, 'a', waitLimit)
			is.NoErr(err)
			is.Equal(got, byte('a'))
			r.Set(m, 0)
			_, err = send(c, 'b', silence)
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			r.Set(Passing, 0)
			got, err = receive(c, waitLimit)
			is.NoErr(err)
			is.Equal(got, byte('b'))
			is.Equal(r.Bytes(), int64(4))
		})
	}
	t.Run("swallows", func(t *testing.T) {
		is := is.New(t)
		r, c := newEcho(t)
		r.Set(Swallowing, 0)
		_, err := send(c, 'a', silence)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		r.Set(Passing, 0)
		got, err := send(c, 'b', waitLimit)
		is.NoErr(err)
		is.Equal(got, byte('b')) // the byte before is lost
	})
	t.Run("delays", func(t *testing.T) {
		is := is.New(t)
		r, c := newEcho(t)
		r.Set(Passing, silence)
		begun := time.Now()
		_, err := send(c, 'a', waitLimit)
		is.NoErr(err)
		is.True(time.Since(begun) >= 2*silence) // there and back
	})
	t.Run("refuses and resets", func(t *testing.T) {
		is := is.New(t)
		r, c := newEcho(t)
		_, err := send(c, 'a', waitLimit)
		is.NoErr(err)
		r.Set(Refusing, 0)
		is.True(isReset(refused(r)))
		r.Reset()
		_, err = receive(c, waitLimit)
		is.True(isReset(err))
	})
}
