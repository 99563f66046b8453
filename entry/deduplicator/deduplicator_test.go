package deduplicator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// slowLeader is a control leader that needs some time for each finish command.
type slowLeader struct {
	delay    time.Duration
	mutex    sync.Mutex
	finished map[string]bool
}

// Begin lets every request run.
func (s *slowLeader) Begin(context.Context, *connect.Request[wire.BeginOnceCommand]) (*connect.Response[wire.BeginResponse], error) {
	return connect.NewResponse(&wire.BeginResponse{Result: wire.BeginResult_BEGIN_RESULT_FRESH}), nil
}

// Finish records a finish command, unless its caller gives up.
func (s *slowLeader) Finish(ctx context.Context, r *connect.Request[wire.FinishOnceCommand]) (*connect.Response[wire.FinishResponse], error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.delay):
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finished[r.Msg.GetKey()] = true
	return connect.NewResponse(&wire.FinishResponse{}), nil
}

// newDeduplicator returns a Deduplicator that calls a leader, and the group of its loops.
func newDeduplicator(t *testing.T, l wireconnect.OutcomeServiceHandler) (*Deduplicator, *supervisor.Group) {
	t.Helper()
	m := http.NewServeMux()
	m.Handle(wireconnect.NewOutcomeServiceHandler(l))
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	n, err := connector.NewConnector(connector.Config{})
	if err != nil {
		t.Fatal(err)
	}
	g := supervisor.NewGroup(supervisor.Config{})
	return NewDeduplicator(Config{Connector: n, Group: g, Leader: s.Listener.Addr().String}), g
}

// TestStopKeepsFinishes guards against responses that callers have and that a resend does not get: the
// process stops before control knows them.
func TestStopKeepsFinishes(t *testing.T) {
	is := is.New(t)
	l := &slowLeader{delay: 20 * time.Millisecond, finished: map[string]bool{}}
	d, g := newDeduplicator(t, l)
	const requests = 3 * finishWorkers // some are under way, some are queued
	for i := range requests {
		d.enqueue(&wire.FinishOnceCommand{Key: string(rune('a' + i))})
	}
	g.Stop()
	is.Equal(len(l.finished), requests)
}

// keyLeader is a control leader with the records of control/applier, without digests and answers.
type keyLeader struct {
	mutex   sync.Mutex
	holders map[string]string
	// losesResponses makes Begin record its command and fail.
	losesResponses bool
	// answer is the recorded response of all requests; nil if there is none.
	answer   *wire.OnceAnswer
	finishes chan *wire.FinishOnceCommand
}

// Begin lets a request run if its key is free or its holder began under it.
func (l *keyLeader) Begin(_ context.Context, r *connect.Request[wire.BeginOnceCommand]) (*connect.Response[wire.BeginResponse], error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	holder, ok := l.holders[r.Msg.GetKey()]
	if !ok {
		holder = r.Msg.GetHolder()
		l.holders[r.Msg.GetKey()] = holder
	}
	switch {
	case l.answer != nil:
		return connect.NewResponse(&wire.BeginResponse{Result: wire.BeginResult_BEGIN_RESULT_DONE, Answer: l.answer}), nil
	case l.losesResponses:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the response is lost"))
	case holder != r.Msg.GetHolder():
		return connect.NewResponse(&wire.BeginResponse{Result: wire.BeginResult_BEGIN_RESULT_BEGUN}), nil
	}
	return connect.NewResponse(&wire.BeginResponse{Result: wire.BeginResult_BEGIN_RESULT_FRESH}), nil
}

// Finish passes a command on to the test, which applies it at a time of its choice.
func (l *keyLeader) Finish(_ context.Context, r *connect.Request[wire.FinishOnceCommand]) (*connect.Response[wire.FinishResponse], error) {
	l.finishes <- r.Msg
	return connect.NewResponse(&wire.FinishResponse{}), nil
}

// free frees the key of a request that did not run, for its holder.
func (l *keyLeader) free(f *wire.FinishOnceCommand) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if f.GetNotRun() && l.holders[f.GetKey()] == f.GetHolder() {
		delete(l.holders, f.GetKey())
	}
}

// newExchange returns a request with an idempotency key.
func newExchange(d handler.Dialect) *handler.Exchange {
	r := httptest.NewRequest(http.MethodPost, "/charges/7", nil)
	r.Header.Set(handler.IdempotencyKeyHeader, "charge-1")
	return &handler.Exchange{
		Writer: httptest.NewRecorder(), Request: r, ID: "r1", Dialect: &d,
		Team: &parser.Team{Name: "good"}, Route: &parser.Route{Class: parser.ClassAtMostOnce},
	}
}

// Guards against a request that runs beside another try of it with the same ID and key, because the end of one
// try counts for the other.
func TestTriesWithOneID(t *testing.T) {
	begun := handler.MayHaveRun(http.StatusConflict, handler.ReasonBegun)
	refused := handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoCapacity)
	newTry := func(t *testing.T) (l *keyLeader, try func() (handler.Outcome, *handler.Exchange)) {
		l = &keyLeader{holders: map[string]string{}, finishes: make(chan *wire.FinishOnceCommand, 1)}
		d, g := newDeduplicator(t, l)
		t.Cleanup(g.Stop)
		return l, func() (handler.Outcome, *handler.Exchange) {
			e := newExchange(handler.DefaultDialect())
			return d.deduplicate(context.Background(), e), e
		}
	}
	expect := func(t *testing.T, try func() (handler.Outcome, *handler.Exchange), want handler.Outcome) *handler.Exchange {
		t.Helper()
		o, e := try()
		is.New(t).Equal(o, want)
		return e
	}
	t.Run("the first is under way", func(t *testing.T) {
		_, try := newTry(t)
		expect(t, try, handler.Outcome{})
		expect(t, try, begun)
	})
	t.Run("the response to the first start is lost", func(t *testing.T) {
		l, try := newTry(t)
		l.losesResponses = true
		expect(t, try, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNotAvailable))
		l.losesResponses = false
		expect(t, try, begun) // until the end of the first is known
		l.free(<-l.finishes)
		expect(t, try, handler.Outcome{})
	})
	t.Run("the end of the first comes again", func(t *testing.T) {
		l, try := newTry(t)
		expect(t, try, handler.Outcome{}).OnFinish(refused)
		f := <-l.finishes
		l.free(f)
		expect(t, try, handler.Outcome{})
		l.free(f)
		expect(t, try, begun)
	})
}

// Guards against a recorded response with a status that no response may have, which earlier versions passed on.
func TestRecordedStatus(t *testing.T) {
	for status, want := range map[uint32]handler.Outcome{
		http.StatusOK: handler.Answered(), 0: handler.MayHaveRun(http.StatusConflict, handler.ReasonBegun),
		600: handler.MayHaveRun(http.StatusConflict, handler.ReasonBegun),
	} {
		is := is.New(t)
		d, g := newDeduplicator(t, &keyLeader{holders: map[string]string{}, answer: &wire.OnceAnswer{Status: status}})
		t.Cleanup(g.Stop)
		is.Equal(d.deduplicate(context.Background(), newExchange(handler.DefaultDialect())), want)
	}
}

// Guards against an answer to another request, where the header of the key is a matter between callers and targets.
func TestDialectWithoutKeys(t *testing.T) {
	is := is.New(t)
	l := &keyLeader{holders: map[string]string{}}
	d, g := newDeduplicator(t, l)
	t.Cleanup(g.Stop)
	x := handler.DefaultDialect()
	x.IdempotencyKey = ""
	for range 2 {
		is.Equal(d.deduplicate(context.Background(), newExchange(x)), handler.Outcome{})
	}
	is.Equal(len(l.holders), 0)
}
