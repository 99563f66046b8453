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
	// waitLimit bounds the wait for a byte; silence is how long a test checks that none
	// arrives.
	waitLimit = 10 * time.Second
	silence   = 100 * time.Millisecond
)

// newEchoRelay returns a Relay in front of an echo server, and a connection through it.
func newEchoRelay(t *testing.T) (*Relay, net.Conn) {
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

// exchange sends a byte and returns the first one received within the wait, or an error.
func exchange(c net.Conn, b byte, wait time.Duration) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	return receiveByte(c, wait)
}

// connectionError returns the error of a new connection. The reset may arrive before the dial
// returns, or with the first byte.
func connectionError(r *Relay) error {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = exchange(c, 'a', waitLimit)
	return err
}

// isReset reports whether a connection was reset. A write after the reset arrived fails with
// EPIPE.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func receiveByte(c net.Conn, wait time.Duration) (byte, error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	got := make([]byte, 1)
	_, err := io.ReadFull(c, got)
	return got[0], err
}

func TestRelay(t *testing.T) {
	for _, m := range []Mode{Holding, HoldingReplies} {
		t.Run(map[Mode]string{Holding: "holds both directions", HoldingReplies: "holds replies only"}[m], func(t *testing.T) {
			is := is.New(t)
			r, c := newEchoRelay(t)
			got, err := exchange(c, 'a', waitLimit)
			is.NoErr(err)
			is.Equal(got, byte('a'))
			r.SetMode(m, 0)
			_, err = exchange(c, 'b', silence)
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			r.SetMode(Passing, 0)
			got, err = receiveByte(c, waitLimit)
			is.NoErr(err)
			is.Equal(got, byte('b'))
			is.Equal(r.BytesReceived(), int64(4))
		})
	}
	t.Run("drops bytes", func(t *testing.T) {
		is := is.New(t)
		r, c := newEchoRelay(t)
		r.SetMode(Dropping, 0)
		_, err := exchange(c, 'a', silence)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		r.SetMode(Passing, 0)
		got, err := exchange(c, 'b', waitLimit)
		is.NoErr(err)
		is.Equal(got, byte('b')) // the byte before was dropped
	})
	t.Run("delays both directions", func(t *testing.T) {
		is := is.New(t)
		r, c := newEchoRelay(t)
		r.SetMode(Passing, silence)
		start := time.Now()
		_, err := exchange(c, 'a', waitLimit)
		is.NoErr(err)
		is.True(time.Since(start) >= 2*silence) // once per direction
	})
	t.Run("refuses and resets connections", func(t *testing.T) {
		is := is.New(t)
		r, c := newEchoRelay(t)
		_, err := exchange(c, 'a', waitLimit)
		is.NoErr(err)
		r.SetMode(Refusing, 0)
		is.True(isReset(connectionError(r)))
		r.Reset()
		_, err = receiveByte(c, waitLimit)
		is.True(isReset(err))
	})
}
