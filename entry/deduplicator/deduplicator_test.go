package deduplicator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
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

// TestStopKeepsFinishes guards against responses that callers have and that a resend does not get: the
// process stops before control knows them.
func TestStopKeepsFinishes(t *testing.T) {
	is := is.New(t)
	l := &slowLeader{delay: 20 * time.Millisecond, finished: map[string]bool{}}
	m := http.NewServeMux()
	m.Handle(wireconnect.NewOutcomeServiceHandler(l))
	s := httptest.NewServer(m)
	defer s.Close()
	n, err := connector.NewConnector(connector.Config{})
	is.NoErr(err)
	g := supervisor.NewGroup(supervisor.Config{})
	d := NewDeduplicator(Config{Connector: n, Group: g, Leader: func() string { return s.Listener.Addr().String() }})
	const requests = 3 * finishWorkers // some are under way, some are queued
	for i := range requests {
		d.enqueue(&wire.FinishOnceCommand{Key: string(rune('a' + i))})
	}
	g.Stop()
	is.Equal(len(l.finished), requests)
}
