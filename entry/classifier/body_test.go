package classifier

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// slowBody is a body whose end arrives with a call of end.
type slowBody struct {
	io.Reader
	end func()
}

// Read reads the body.
func (b slowBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.end()
	}
	return n, err
}

// TestBodyThatEndsWhileStopping guards against a request that is sent on so late in a shutdown that it is
// cut off at a target, since its body arrives long after its head.
func TestBodyThatEndsWhileStopping(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(map[bool]string{false: "serving", true: "stopping"}[stops], func(t *testing.T) {
			is := is.New(t)
			clock, stopping := timekeeper.NewClock(), false
			c := NewClassifier(Config{Clock: clock, Stopping: func() bool { return stopping }})
			e := &handler.Exchange{
				Writer:   httptest.NewRecorder(),
				Request:  httptest.NewRequest(http.MethodPut, "/lamps/7", slowBody{strings.NewReader("on"), func() { stopping = stops }}),
				View:     &receiver.View{Configuration: &parser.Configuration{Limits: parser.Limits{BodyBytes: 10, BodyTimeout: time.Second}}},
				Deadline: clock.Now() + time.Minute,
			}
			o := c.BodyStep().Handle(context.Background(), e)
			if stops {
				is.Equal(o, handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStopping))
				return
			}
			is.Equal(o, handler.Outcome{})
			is.Equal(string(e.Body), "on")
		})
	}
}

// TestBodyThatDoesNotEnd checks what the caller is told of a request whose body is incomplete when its
// process stops, or when its timeout is over.
func TestBodyThatDoesNotEnd(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(map[bool]string{false: "timeout", true: "stopping"}[stops], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			clock, want := timekeeper.NewClock(), handler.Refuse(http.StatusRequestTimeout, handler.ReasonSlowSender)
			if stops {
				cancel(handler.ErrStopping)
				want = handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStopping)
			}
			e := &handler.Exchange{
				Writer:   httptest.NewRecorder(),
				Request:  httptest.NewRequest(http.MethodPut, "/lamps/7", iotest.ErrReader(os.ErrDeadlineExceeded)),
				View:     &receiver.View{Configuration: &parser.Configuration{Limits: parser.Limits{BodyBytes: 10, BodyTimeout: time.Second}}},
				Deadline: clock.Now() + time.Minute,
			}
			is.Equal(NewClassifier(Config{Clock: clock}).BodyStep().Handle(ctx, e), want)
			is.Equal(e.Writer.Header().Get("Connection"), "close")
		})
	}
}
