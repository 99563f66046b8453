package reserver

import (
	"io"
	"math"
	"sync"

	"github.com/pkg/errors"
)

// Errors of ReadBody.
var (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoRoom means that the budget has no room for the body.
	ErrNoRoom = errors.New("there is no memory for the body")
	// ErrLost means that the body lost its place, since it arrived more slowly than others.
	ErrLost = errors.New("the body arrived too slowly to keep its place")
)

const (
	// firstBytes is the first size of a buffer, and earnedBytes the size that must arrive before a buffer of the
	// announced length is made.
	firstBytes  = 8 << 10
	earnedBytes = 1 << 20
	// growthFactor is how much larger each buffer is than the one before.
	growthFactor = 4
)

// growing is held while a large body is copied to a larger buffer, since both take memory meanwhile.
var growing sync.Mutex

// ReadBody reads a body of up to limit bytes, whose length is announced or -1. The place holds the buffer, and
// counts as in transfer until ReadBody returns.
func (p *Place) ReadBody(r io.Reader, announced int64, limit int) ([]byte, error) {
	limit = min(limit, p.reservable())
	if announced > int64(limit) {
		return nil, ErrTooLarge
	}
	most := limit + 1 // shows that a body is too large
	if announced >= 0 {
		most = int(announced) + 1 // the last byte stays free for the read that returns io.EOF
	}
	p.Begin()
	defer p.End()
	var b []byte
	for {
		if len(b) == cap(b) {
			grown, ok := p.grow(b, most, announced >= 0)
			if !ok {
				return nil, p.lossOf(ErrNoRoom)
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		held := p.Advance(n)
		switch {
		case !held:
			return nil, ErrLost
		case len(b) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, p.lossOf(err)
		}
	}
}

// grow returns a larger buffer with the same content, if there is room for it.
func (p *Place) grow(b []byte, most int, announced bool) ([]byte, bool) {
	size := nextSize(cap(b), most, announced)
	if !p.Reserve(size) {
		return nil, false
	}
	if cap(b) >= earnedBytes {
		growing.Lock()
		defer growing.Unlock()
	}
	out := make([]byte, len(b), size)
	copy(out, b)
	return out, true
}

// nextSize returns the size of the buffer that follows one of the given size.
func nextSize(size, most int, announced bool) int {
	switch {
	case announced && ((size == 0 && most <= SmallBytes) || size >= earnedBytes):
		return most
	case size == 0:
		return min(firstBytes, most)
	}
	return min(size*growthFactor, most)
}

// reservable returns the size of the largest body that there can be room for.
func (p *Place) reservable() int {
	if p == nil {
		return math.MaxInt - 1
	}
	return p.reserver.MaxBytes() - 1
}

// lossOf returns ErrLost if the place was lost, and the given error otherwise.
func (p *Place) lossOf(err error) error {
	if !p.End() {
		return ErrLost
	}
	return err
}
