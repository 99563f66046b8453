// Package classifier finds the route and the deadline of a request, and reads its body.
package classifier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Config sets up a Classifier.
type Config struct {
	Clock timekeeper.Clock
}

// Classifier is the first step of the pipeline.
type Classifier struct {
	config Config
}

// NewClassifier returns a Classifier.
func NewClassifier(c Config) *Classifier {
	return &Classifier{config: c}
}

// Step returns the pipeline step that sets route and deadline.
func (c *Classifier) Step() handler.Step {
	return handler.Step{Name: "classifier", Handle: c.classify}
}

// BodyStep returns the pipeline step that reads the body.
func (c *Classifier) BodyStep() handler.Step {
	return handler.Step{Name: "body", Handle: c.readBody}
}

func (c *Classifier) classify(_ context.Context, e *handler.Exchange) handler.Outcome {
	if e.View.Configuration == nil {
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStale)
	}
	route, known := find(e.View.Configuration, e.Request)
	if route == nil && known {
		return handler.Refuse(http.StatusMethodNotAllowed, handler.ReasonNoRoute)
	}
	if route == nil {
		return handler.Refuse(http.StatusNotFound, handler.ReasonNoRoute)
	}
	e.Route, e.Service = route, route.Service
	e.Course = handler.Course{Version: e.Service.Version}
	timeout, ok := c.timeout(e, route)
	if !ok {
		return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
	}
	if timeout <= 0 {
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	e.Deadline = e.Begun + timeout
	return handler.Outcome{}
}

// find returns the route of a request. known tells that its path has routes of other methods.
func find(c *parser.Configuration, r *http.Request) (route *parser.Route, known bool) {
	if strings.Contains(r.URL.Path, "/../") || strings.HasSuffix(r.URL.Path, "/..") {
		return nil, false
	}
	host := hostOf(r.Host)
	for _, t := range c.Routes {
		if !strings.HasPrefix(r.URL.Path, t.Path) || (t.Host != "" && !strings.EqualFold(t.Host, host)) {
			continue
		}
		if slices.Contains(t.Methods, r.Method) || t.Methods[0] == parser.AnyMethod {
			return t, true
		}
		known = true
	}
	return nil, known
}

// hostOf drops the port from a host.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// timeout returns the time left for the request: the caller's, but at most the route's.
func (c *Classifier) timeout(e *handler.Exchange, route *parser.Route) (time.Duration, bool) {
	v := e.Request.Header.Get(e.Dialect.Deadline)
	if v == "" {
		return route.Timeout, true
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil {
		return 0, false
	}
	return min(route.Timeout, time.Duration(ms)*time.Millisecond), true
}

// readBody reads the whole body, so that a slow or broken sender never reaches an upstream.
func (c *Classifier) readBody(_ context.Context, e *handler.Exchange) handler.Outcome {
	if e.Request.ContentLength == 0 {
		return handler.Outcome{}
	}
	l := e.View.Configuration.Limits
	control := http.NewResponseController(e.Writer)
	_ = control.SetReadDeadline(time.Now().Add(l.BodyTimeout)) // only test writers lack it
	body, err := io.ReadAll(http.MaxBytesReader(e.Writer, e.Request.Body, int64(l.BodyBytes)))
	if err != nil {
		// The server would otherwise wait for the rest of the body before it answers.
		e.Writer.Header().Set("Connection", "close")
		return refuseBody(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	e.Body = body
	if c.config.Clock.Now() >= e.Deadline {
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	return handler.Outcome{}
}

func refuseBody(err error) handler.Outcome {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return handler.Refuse(http.StatusRequestEntityTooLarge, handler.ReasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return handler.Refuse(http.StatusRequestTimeout, handler.ReasonSlowSender)
	}
	return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
}
