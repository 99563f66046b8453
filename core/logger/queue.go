package logger

import (
	"context"
	"io"
	"sync"
	"time"
)

// Bounds of a Queue.
const (
	// queueBytes bounds the lines of one class that wait to be written.
	queueBytes = 256 << 10
	// gatherPause lets lines gather, so that many go out with one write.
	gatherPause = 20 * time.Millisecond
)

// Queue holds lines until its loop has written them, so that whoever logs never waits for
// the reader. Lines that find no room are dropped and counted. Urgent lines have room of
// their own and go out first.
type Queue struct {
	out      io.Writer
	mutex    sync.Mutex
	urgent   []byte
	ordinary []byte
	dropped  int64
	// told is the part of dropped that a line has told.
	told   int64
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
	done   chan struct{}
}

// NewQueue returns a Queue whose loop runs until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Dropped counts the lines that found no room.
func (q *Queue) Dropped() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.dropped
}

// Close writes what waits, until the context ends.
func (q *Queue) Close(ctx context.Context) {
	q.once.Do(func() { close(q.closed) })
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}

// class is the writer of one class of lines.
type class struct {
	queue  *Queue
	urgent bool
}

// Write queues a line; it never fails and never waits.
func (c class) Write(line []byte) (int, error) {
	c.queue.put(line, c.urgent)
	return len(line), nil
}

func (q *Queue) put(line []byte, urgent bool) {
	q.mutex.Lock()
	into := &q.ordinary
	if urgent {
		into = &q.urgent
	}
	if len(*into)+len(line) > queueBytes {
		q.dropped++
	} else {
		*into = append(*into, line...)
	}
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run writes what waits, again and again.
func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
			q.pause()
			q.write()
		case <-q.closed:
			q.write()
			return
		}
	}
}

func (q *Queue) pause() {
	select {
	case <-time.After(gatherPause):
	case <-q.closed:
	}
}

func (q *Queue) write() {
	q.mutex.Lock()
	lines := append(q.urgent, q.ordinary...)
	q.urgent, q.ordinary = nil, nil
	dropped := q.dropped - q.told
	q.told = q.dropped
	q.mutex.Unlock()
	if dropped > 0 {
		l := Logger{urgent: newOutput(Config{Writer: q.out, Level: "warn"})}
		l.Log(LinesDropped, F("lines", dropped))
	}
	_, _ = q.out.Write(lines) // there is nowhere else to tell of a failure
}
