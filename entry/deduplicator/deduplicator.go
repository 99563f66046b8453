// Package deduplicator makes a request with an Idempotency-Key run at most once, also if
// the caller sends it again to another entry.
package deduplicator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// KeyHeader carries the caller's name for a request that it may send again.
const KeyHeader = "Idempotency-Key"

// Bounds of what is kept.
const (
	maxKey    = 256
	maxAnswer = 4 << 10
	// callTimeout bounds one call to control, tries the calls for one record.
	callTimeout = 2 * time.Second
	tries       = 5
	retryPause  = 200 * time.Millisecond
	queueLength = 4096
	// finishers is the number of records on their way to control at once; their order does
	// not matter, since only the request that began under a key may finish it.
	finishers = 8
)

// Config sets up a Deduplicator.
type Config struct {
	Connector *connector.Connector
	Group     *supervisor.Group
	// Leader returns the address of the control leader, or "".
	Leader func() string
}

// Deduplicator is the step that commits a request before it is sent on.
type Deduplicator struct {
	config   Config
	client   *http.Client
	finished chan *wire.FinishOnceCommand
}

// NewDeduplicator returns a Deduplicator.
func NewDeduplicator(c Config) *Deduplicator {
	d := &Deduplicator{config: c, client: c.Connector.Client(), finished: make(chan *wire.FinishOnceCommand, queueLength)}
	for range finishers {
		c.Group.Go("deduplicator", d.run)
	}
	return d
}

// Step returns the pipeline step.
func (d *Deduplicator) Step() handler.Step {
	return handler.Step{Name: "deduplicator", Handle: d.deduplicate}
}

func (d *Deduplicator) deduplicate(ctx context.Context, e *handler.Exchange) handler.Outcome {
	key := e.Request.Header.Get(KeyHeader)
	if key == "" || e.Route.Repeatable() || e.Team == nil {
		return handler.Outcome{}
	}
	if len(key) > maxKey {
		return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
	}
	c := &wire.BeginOnceCommand{Key: digest(e.Team.Name, key), Holder: e.ID, Digest: digestOf(e)}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := d.control().Begin(ctx, connect.NewRequest(c))
	if err != nil {
		// It may be committed, but the request was not sent on.
		d.finish(&wire.FinishOnceCommand{Key: c.GetKey(), Holder: e.ID, NotRun: true})
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNotAvailable)
	}
	switch r.Msg.GetResult() {
	case wire.BeginResult_BEGIN_RESULT_FRESH:
		d.watch(e, c)
		return handler.Outcome{}
	case wire.BeginResult_BEGIN_RESULT_DONE:
		return repeat(e, r.Msg.GetAnswer())
	case wire.BeginResult_BEGIN_RESULT_MISMATCH:
		return handler.Refuse(http.StatusUnprocessableEntity, handler.ReasonKeyReused)
	}
	return handler.MayHaveRun(http.StatusConflict, handler.ReasonBegun)
}

// watch keeps the answer, and records it or that the request did not run.
func (d *Deduplicator) watch(e *handler.Exchange, c *wire.BeginOnceCommand) {
	w := &keeper{ResponseWriter: e.Writer}
	e.Writer = w
	e.OnFinish = func(o handler.Outcome) {
		f := &wire.FinishOnceCommand{Key: c.GetKey(), Holder: c.GetHolder()}
		switch {
		case o.Run == handler.NotRun:
			f.NotRun = true
		case o.Run == handler.Done && !w.tooLarge:
			f.Answer = &wire.OnceAnswer{Status: uint32(w.status), ContentType: w.Header().Get("Content-Type"), Body: w.body.Bytes()}
		default:
			return // begun, outcome unknown
		}
		d.finish(f)
	}
}

// finish hands a record to the loop. If it is lost, a resend gets "begun", which is safe.
func (d *Deduplicator) finish(f *wire.FinishOnceCommand) {
	select {
	case d.finished <- f:
	default:
	}
}

func (d *Deduplicator) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-d.finished:
			d.record(ctx, f)
		}
	}
}

func (d *Deduplicator) record(ctx context.Context, f *wire.FinishOnceCommand) {
	for range tries {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.control().Finish(call, connect.NewRequest(f))
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryPause):
		}
	}
}

func (d *Deduplicator) control() wireconnect.OutcomeServiceClient {
	return wireconnect.NewOutcomeServiceClient(d.client, d.config.Connector.URL(d.config.Leader()))
}

// repeat gives the kept answer of the first request.
func repeat(e *handler.Exchange, a *wire.OnceAnswer) handler.Outcome {
	h := e.Writer.Header()
	h.Set(handler.OutcomeHeader, string(handler.Done)+"; reason=repeated")
	h.Set(handler.RequestHeader, e.ID)
	h.Set("Content-Type", a.GetContentType())
	e.Writer.WriteHeader(int(a.GetStatus()))
	e.AnswerBegun = true
	_, _ = e.Writer.Write(a.GetBody()) // the caller has gone
	return handler.Answered()
}

// keeper keeps an answer beside passing it on.
type keeper struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	tooLarge bool
}

// WriteHeader notes the status.
func (k *keeper) WriteHeader(status int) {
	k.status = status
	k.ResponseWriter.WriteHeader(status)
}

// Write keeps the body up to the bound.
func (k *keeper) Write(b []byte) (int, error) {
	if k.body.Len()+len(b) > maxAnswer {
		k.tooLarge = true
	} else {
		k.body.Write(b)
	}
	return k.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the writer below.
func (k *keeper) Unwrap() http.ResponseWriter {
	return k.ResponseWriter
}

func digest(team, key string) string {
	h := sha256.Sum256([]byte(key))
	return team + "/" + hex.EncodeToString(h[:])
}

// digestOf tells two requests apart that come under one key.
func digestOf(e *handler.Exchange) string {
	h := sha256.New()
	h.Write([]byte(e.Request.Method + "\x00" + e.Request.URL.RequestURI() + "\x00"))
	h.Write(e.Body)
	return hex.EncodeToString(h.Sum(nil))
}
