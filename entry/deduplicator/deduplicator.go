// Package deduplicator ensures that an at-most-once request with an idempotency key runs at most
// once, even if the caller sends it again to another entry. Control stores a record for each key.
package deduplicator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Bounds of keys, stored responses and calls to control.
const (
	maxKeyBytes  = 256
	maxBodyBytes = 4 << 10
	// callTimeout bounds one call to control, finishAttempts the number of calls for one command.
	callTimeout       = 2 * time.Second
	finishAttempts    = 5
	retryInterval     = 200 * time.Millisecond
	finishQueueLength = 4096
	// stopTimeout bounds the sending of the commands that are left when the process stops.
	stopTimeout = 500 * time.Millisecond
	// finishWorkers is the number of finish commands that are sent to control concurrently. Their
	// order does not matter, since only the try that began under a key may finish it.
	finishWorkers = 8
)

// Config configures a Deduplicator.
type Config struct {
	Connector *connector.Connector
	Group     *supervisor.Group
	// Leader returns the address of the control leader, or "" if it is unknown.
	Leader func() string
}

// Deduplicator is the step that commits the start of a request at control before the request is
// forwarded, and its result afterwards.
type Deduplicator struct {
	config      Config
	client      *http.Client
	finishQueue chan *wire.FinishOnceCommand
}

// NewDeduplicator returns a Deduplicator.
func NewDeduplicator(c Config) *Deduplicator {
	d := &Deduplicator{config: c, client: c.Connector.Client(), finishQueue: make(chan *wire.FinishOnceCommand, finishQueueLength)}
	for range finishWorkers {
		c.Group.Go("deduplicator", d.run)
	}
	return d
}

// Step returns the pipeline step.
func (d *Deduplicator) Step() handler.Step {
	return handler.Step{Name: "deduplicator", Handle: d.deduplicate}
}

func (d *Deduplicator) deduplicate(ctx context.Context, e *handler.Exchange) handler.Outcome {
	key := e.Request.Header.Get(e.Dialect.IdempotencyKey)
	if key == "" || e.Route.Retryable() || e.Team == nil {
		return handler.Outcome{}
	}
	if len(key) > maxKeyBytes {
		return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
	}
	c := &wire.BeginOnceCommand{Key: recordKey(e.Team.Name, key), Holder: newHolder(e), Digest: requestDigest(e)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := d.outcomeClient().Begin(ctx, connect.NewRequest(c))
	if err != nil {
		// The start may be committed, but the request was not forwarded.
		d.enqueue(&wire.FinishOnceCommand{Key: c.GetKey(), Holder: c.GetHolder(), NotRun: true})
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNotAvailable)
	}
	switch r.Msg.GetResult() {
	case wire.BeginResult_BEGIN_RESULT_FRESH:
		d.capture(e, c)
		return handler.Outcome{}
	case wire.BeginResult_BEGIN_RESULT_DONE:
		if inspector.IsFinal(int(r.Msg.GetAnswer().GetStatus())) {
			return replay(e, r.Msg.GetAnswer())
		} // earlier versions recorded responses with an invalid status
	case wire.BeginResult_BEGIN_RESULT_MISMATCH:
		return handler.Refuse(http.StatusUnprocessableEntity, handler.ReasonKeyReused)
	}
	return handler.MayHaveRun(http.StatusConflict, handler.ReasonBegun)
}

// capture records the response as it is written, and at the end of the request enqueues a finish
// command: with the response, or stating that the request did not run.
func (d *Deduplicator) capture(e *handler.Exchange, c *wire.BeginOnceCommand) {
	w := &recordingWriter{ResponseWriter: e.Writer}
	e.Writer = w
	e.OnFinish = func(o handler.Outcome) {
		f := &wire.FinishOnceCommand{Key: c.GetKey(), Holder: c.GetHolder()}
		switch {
		case o.Run == handler.NotRun:
			f.NotRun = true
		case o.Run == handler.Done && !w.tooLarge:
			f.Answer = &wire.OnceAnswer{Status: uint32(w.status), ContentType: w.Header().Get("Content-Type"), Body: w.body.Bytes()}
		default:
			return // the record stays begun: the outcome is unknown or the body too large to store
		}
		d.enqueue(f)
	}
}

// enqueue queues a finish command, or drops it if the queue is full. After a lost command a resend
// gets an unknown outcome with the reason "begun", which is safe.
func (d *Deduplicator) enqueue(f *wire.FinishOnceCommand) {
	select {
	case d.finishQueue <- f:
	default:
	}
}

// run sends finish commands until the context ends, and then those that are left.
func (d *Deduplicator) run(ctx context.Context) error {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(stopTimeout, cancel) })()
	for {
		select {
		case f := <-d.finishQueue:
			d.sendFinish(calls, f)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.finishQueue:
			d.sendFinish(calls, f)
		}
	}
}

func (d *Deduplicator) sendFinish(ctx context.Context, f *wire.FinishOnceCommand) {
	for range finishAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.outcomeClient().Finish(call, connect.NewRequest(f))
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
}

func (d *Deduplicator) outcomeClient() wireconnect.OutcomeServiceClient {
	return wireconnect.NewOutcomeServiceClient(d.client, d.config.Connector.URL(d.config.Leader()))
}

// replay writes the stored response of the first request under the key.
func replay(e *handler.Exchange, a *wire.OnceAnswer) handler.Outcome {
	h := e.Writer.Header()
	h.Set(handler.OutcomeHeader, string(handler.Done)+"; reason=repeated")
	h.Set(handler.RequestHeader, e.ID)
	h.Set("Content-Type", a.GetContentType())
	e.Writer.WriteHeader(int(a.GetStatus()))
	e.ResponseStarted = true
	_, _ = e.Writer.Write(a.GetBody()) // fails only if the caller disconnected
	return handler.Answered()
}

// recordingWriter records a response while writing it.
type recordingWriter struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	tooLarge bool
}

// WriteHeader records and writes the status.
func (k *recordingWriter) WriteHeader(status int) {
	k.status = status
	k.ResponseWriter.WriteHeader(status)
}

// Write records the body up to maxBodyBytes and writes it.
func (k *recordingWriter) Write(b []byte) (int, error) {
	if k.body.Len()+len(b) > maxBodyBytes {
		k.tooLarge = true
	} else {
		k.body.Write(b)
	}
	return k.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (k *recordingWriter) Unwrap() http.ResponseWriter {
	return k.ResponseWriter
}

// newHolder returns a name of one try of a request. The request's ID does not suffice, since a caller may
// choose it and send its request again under the same one.
func newHolder(e *handler.Exchange) string {
	return e.ID + "/" + rand.Text()
}

// recordKey returns the key of the record at control: the team and the digest of the caller's key.
func recordKey(team, key string) string {
	h := sha256.Sum256([]byte(key))
	return team + "/" + hex.EncodeToString(h[:])
}

// requestDigest returns a digest of method, URI and body, which distinguishes different requests
// under one key.
func requestDigest(e *handler.Exchange) string {
	h := sha256.New()
	h.Write([]byte(e.Request.Method + "\x00" + e.Request.URL.RequestURI() + "\x00"))
	h.Write(e.Body)
	return hex.EncodeToString(h.Sum(nil))
}
