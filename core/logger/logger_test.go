package logger

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, e := range Catalogue {
		t.Run(e.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(e.Number > last) // numbers are unique and in ascending order
			last = e.Number
			is.True(strings.Contains(string(page), Row(e))) // docs/EVENTS.md lists the event
		})
	}
	t.Run("page has no other rows", func(t *testing.T) {
		is := is.New(t)
		is.Equal(strings.Count(string(page), "\n| "), len(Catalogue)+2)
	})
}

func TestLog(t *testing.T) {
	t.Run("writes the number and the fields", func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		l := NewLogger(Config{Writer: &b, Process: "entry1", Level: "info"})
		l.Log(EntryJoined, F("entry", "entry2"))
		is.True(strings.Contains(b.String(), `"event":401`))
		is.True(strings.Contains(b.String(), `"entry":"entry2"`))
	})
	t.Run("zero value discards events", func(*testing.T) {
		Logger{}.Log(EntryJoined)
	})
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// TestQueue: while the output blocks, Log does not block, memory stays bounded and warnings
// still fit into their own buffer. Afterwards the number of dropped lines is logged.
func TestQueue(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{release: make(chan struct{})}
	q := NewQueue(s)
	l := NewLogger(Config{Queue: q, Process: "entry1", Level: "info"})
	const lines = 20_000
	for range lines {
		l.Log(EntryJoined, F("entry", strings.Repeat("x", 100))) // must not block
	}
	l.Log(LeaseLapsed)
	is.True(q.Dropped() > 0)
	is.True(len(q.ordinary) <= maxQueueBytes && len(q.urgent) <= maxQueueBytes)
	close(s.release)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q.Close(ctx)
	is.True(strings.Contains(s.String(), `"event":305`))
	is.True(strings.Contains(s.String(), `"event":108`))
	is.Equal(int64(strings.Count(s.String(), `"event":401`))+q.Dropped(), int64(lines))
}
