package reserver

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/timekeeper"
)

// budget is a Reserver under test with its clock.
type budget struct {
	*Reserver
	now time.Duration
	// lost counts the places that were lost.
	lost int
}

func newBudget(bytes int) *budget {
	b := &budget{}
	b.Reserver = NewReserver(Config{Bytes: bytes, Clock: timekeeper.Clock{Now: func() time.Duration { return b.now }}})
	return b
}

// receive returns a place in transfer with a reservation.
func (b *budget) receive(t *testing.T, bytes int) *Place {
	t.Helper()
	p := b.Open(func() { b.lost++ })
	p.Begin()
	is.New(t).True(p.Reserve(bytes))
	return p
}

// TestWhoLosesItsPlace answers many large bodies that stop short of their end: they give way to those that go on, by
// least progress.
func TestWhoLosesItsPlace(t *testing.T) {
	const large = 40 << 20
	cases := []struct {
		name string
		// advance is what the second of two bodies receives after stallTime, and running means that both have arrived.
		advance int
		running bool
		served  bool
		// lost are the places that are lost, by their number.
		lost [2]bool
	}{
		{"both stall", 0, false, true, [2]bool{true, false}},
		{"one goes on", 1 << 20, false, true, [2]bool{true, false}},
		{"a few bytes are no progress", 100, false, true, [2]bool{true, false}},
		{"both have arrived", 0, true, false, [2]bool{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget(100 << 20)
			first := b.receive(t, large)
			b.now += time.Millisecond
			second := b.receive(t, large)
			b.now += stallTime
			second.Advance(c.advance)
			if c.running {
				is.True(first.End())
				is.True(second.End())
			}
			is.Equal(b.Open(nil).Reserve(large), c.served)
			is.Equal([2]bool{!first.End(), !second.End()}, c.lost)
		})
	}
}

// TestFreshBodiesKeepTheirPlaces answers a burst of large bodies: those that come too late are refused at once.
func TestFreshBodiesKeepTheirPlaces(t *testing.T) {
	is := is.New(t)
	b := newBudget(100 << 20)
	first := b.receive(t, 60<<20)
	b.now += stallTime / 2
	is.True(!b.Open(nil).Reserve(60 << 20))
	is.Equal(b.lost, 0)
	first.Close()
	is.True(b.Open(nil).Reserve(60 << 20)) // the room is free again
}

// TestSmallRequestsHaveRoom answers small requests while large ones hold all that they may.
func TestSmallRequestsHaveRoom(t *testing.T) {
	is := is.New(t)
	b := newBudget(100 << 20)
	large := b.receive(t, b.MaxBytes())
	is.True(large.End())
	for range 100 {
		is.True(b.Open(nil).Reserve(SmallBytes))
	}
}

// TestReadBody checks bodies against their limits and the budget.
func TestReadBody(t *testing.T) {
	const limit = 1 << 20
	text := strings.Repeat("x", limit)
	cases := []struct {
		name      string
		body      io.Reader
		announced int64
		// reserved is what another body holds.
		reserved int
		err      error
	}{
		{"announced", strings.NewReader(text), limit, 0, nil},
		{"of unknown length", iotest.HalfReader(strings.NewReader(text)), -1, 0, nil},
		{"too long, announced", iotest.ErrReader(io.ErrNoProgress), limit + 1, 0, ErrTooLarge},
		{"too long", strings.NewReader(text + "x"), -1, 0, ErrTooLarge},
		{"without room", strings.NewReader(text), limit, 3 << 20, ErrNoRoom},
		{"truncated", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), limit, 0, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget(4 << 20)
			is.True(b.Open(nil).Reserve(c.reserved))
			p := b.Open(nil)
			out, err := p.ReadBody(c.body, c.announced, limit)
			is.Equal(err, c.err)
			if err == nil {
				is.Equal(string(out), text)
			}
			p.Close()
			is.Equal(b.Dump().(State).ReservedBytes, c.reserved)
		})
	}
}

// TestLostBody checks that a body that lost its place is not read on.
func TestLostBody(t *testing.T) {
	b := newBudget(1 << 20)
	begun := strings.NewReader(strings.Repeat("x", 2*SmallBytes))
	late := &lateReader{func() {
		b.now += stallTime
		is.New(t).True(b.Open(nil).Reserve(b.MaxBytes()))
	}}
	_, err := b.Open(nil).ReadBody(io.MultiReader(begun, late), -1, 800<<10)
	is.New(t).Equal(err, ErrLost)
}

// lateReader reads one byte after a call of wait.
type lateReader struct {
	wait func()
}

// Read reads one byte.
func (r *lateReader) Read([]byte) (int, error) {
	r.wait()
	return 1, nil
}

// TestWhoLosesItsSeat answers crowds of connections that stay open.
func TestWhoLosesItsSeat(t *testing.T) {
	is := is.New(t)
	now, lost := time.Duration(0), ""
	s := NewSeats(SeatsConfig{Connections: 3, Total: 4, Clock: timekeeper.Clock{Now: func() time.Duration { now++; return now }}})
	take := func(name string) *Seat {
		seat, ok := s.Take(func() { lost += name })
		is.True(ok)
		return seat
	}
	running, answered := take("running"), take("answered")
	running.Begin()
	answered.Begin()
	answered.End()
	take("silent")
	take("next")
	is.Equal(lost, "silent") // it had no answer yet
	lost = ""
	next := take("further")
	is.Equal(lost, "next")
	next.Begin()
	take("last").Begin()
	is.Equal(lost, "nextanswered")
	_, ok := s.Take(nil)
	is.True(!ok) // requests run on all of them
	running.Leave()
	lost = ""
	take("free")
	s.AddTarget()
	is.Equal(lost, "")
	s.AddTarget()
	is.Equal(lost, "free") // targets go before
}

// TestReadLimits checks the limits that settings state.
func TestReadLimits(t *testing.T) {
	for text, good := range map[string]bool{
		"": true, "memoryMegabytes = 284\ndescriptors = 4100": true, "memoryMegabytes = 10": false, "memoryMegabytes = -1": false, "descriptors = 3": false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			s := loader.Parse([]byte("[listen]\n" + text))
			r := s.Section("listen")
			l := ReadLimits(r)
			r.Finish()
			is.Equal(s.Err() == nil, good)
			is.True(!good || (l.Budget() > 64<<20 && l.Connections() > 16))
		})
	}
}
