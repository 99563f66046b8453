package logger

import (
	"context"
	"io"
	"sync"
	"time"
)

// Bounds of a Queue.
const (
	// maxQueueBytes bounds the lines of one class, urgent or ordinary, that wait to be written.
	maxQueueBytes = 256 << 10
	// batchDelay is the pause before a write, so that one write takes many lines.
	batchDelay = 20 * time.Millisecond
)

// Queue buffers lines until its goroutine has written them, so that logging never blocks on a
// slow reader. Lines that exceed the bound are dropped and counted. Urgent lines have a buffer
// of their own and are written first.
type Queue struct {
	out      io.Writer
	mutex    sync.Mutex
	urgent   []byte
	ordinary []byte
	dropped  int64
	// reported is the value of dropped at the last LinesDropped event.
	reported int64
	wake     chan struct{}
	closed   chan struct{}
	once     sync.Once
	done     chan struct{}
}

// NewQueue returns a Queue whose goroutine writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.dropped
}

// Close stops the goroutine once it has written the queued lines. It returns when they are
// written or the context ends.
func (q *Queue) Close(ctx context.Context) {
	q.once.Do(func() { close(q.closed) })
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}

// queueWriter adds lines of one class to a Queue.
type queueWriter struct {
	queue  *Queue
	urgent bool
}

// Write queues a line or drops it. It never blocks and never returns an error.
func (c queueWriter) Write(line []byte) (int, error) {
	c.queue.enqueue(line, c.urgent)
	return len(line), nil
}

func (q *Queue) enqueue(line []byte, urgent bool) {
	q.mutex.Lock()
	buffer := &q.ordinary
	if urgent {
		buffer = &q.urgent
	}
	if len(*buffer)+len(line) > maxQueueBytes {
		q.dropped++
	} else {
		*buffer = append(*buffer, line...)
	}
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run writes the queued lines in batches until the Queue is closed.
func (q *Queue) run() {
	defer close(q.done)
	for {
		select {
		case <-q.wake:
			q.waitForBatch()
			q.flush()
		case <-q.closed:
			q.flush()
			return
		}
	}
}

// waitForBatch waits for batchDelay, or until the Queue is closed.
func (q *Queue) waitForBatch() {
	select {
	case <-time.After(batchDelay):
	case <-q.closed:
	}
}

// flush writes all queued lines, urgent ones first, and reports lines dropped since the last call.
func (q *Queue) flush() {
	q.mutex.Lock()
	lines := append(q.urgent, q.ordinary...)
	q.urgent, q.ordinary = nil, nil
	dropped := q.dropped - q.reported
	q.reported = q.dropped
	q.mutex.Unlock()
	if dropped > 0 {
		l := Logger{urgent: newOutput(Config{Writer: q.out, Level: "warn"})}
		l.Log(LinesDropped, F("lines", dropped))
	}
	_, _ = q.out.Write(lines) // a failure cannot be logged elsewhere
}
