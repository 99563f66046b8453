// Package classifier determines the route and the deadline of a request, and reads its body.
package classifier

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/reserver"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Config configures a Classifier.
type Config struct {
	Clock timekeeper.Clock
	// Reserver has room for bodies; nil means that nothing bounds them.
	Reserver *reserver.Reserver
	// Stopping reports whether the process is stopping and refuses requests; nil means never.
	Stopping func() bool
}

// Classifier is the first step of the pipeline.
type Classifier struct {
	config Config
}

// NewClassifier returns a Classifier.
func NewClassifier(c Config) *Classifier {
	return &Classifier{config: c}
}

// Step returns the pipeline step that sets the route, its service and the deadline.
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
	route, pathFound := findRoute(e.View.Configuration, e.Request)
	if route == nil && pathFound {
		return handler.Refuse(http.StatusMethodNotAllowed, handler.ReasonNoRoute)
	}
	if route == nil {
		return handler.Refuse(http.StatusNotFound, handler.ReasonNoRoute)
	}
	e.Route, e.Service = route, route.Service
	e.Selection = handler.Selection{Version: e.Service.Version}
	timeout, ok := c.requestTimeout(e, route)
	if !ok {
		return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
	}
	if timeout <= 0 {
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	e.Deadline = e.Start + timeout
	return handler.Outcome{}
}

// findRoute returns the first route that matches a request, or nil. pathFound reports whether its
// path matches routes with other methods. Paths that climb with ".." match none.
func findRoute(c *parser.Configuration, r *http.Request) (route *parser.Route, pathFound bool) {
	if strings.Contains(r.URL.Path, "/../") || strings.HasSuffix(r.URL.Path, "/..") {
		return nil, false
	}
	host := stripPort(r.Host)
	for _, t := range c.Routes {
		if !strings.HasPrefix(r.URL.Path, t.Path) || (t.Host != "" && !strings.EqualFold(t.Host, host)) {
			continue
		}
		if slices.Contains(t.Methods, r.Method) || t.Methods[0] == parser.AnyMethod {
			return t, true
		}
		pathFound = true
	}
	return nil, pathFound
}

// stripPort removes the port from a host.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// requestTimeout returns the timeout of the request: the caller's, but at most the route's. It
// returns false if the caller's header is malformed.
func (c *Classifier) requestTimeout(e *handler.Exchange, route *parser.Route) (time.Duration, bool) {
	if v := e.Request.Header.Get(e.Dialect.Deadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil {
			return 0, false
		}
		e.CallerTimeout = time.Duration(ms) * time.Millisecond
		return min(route.Timeout, e.CallerTimeout), true
	}
	if e.CallerTimeout > 0 { // the request is classified once more, and its header is gone
		return min(route.Timeout, e.CallerTimeout), true
	}
	return route.Timeout, true
}

// readBody reads the whole body, so that an upstream never has to wait for a slow upload or sees an
// aborted one.
func (c *Classifier) readBody(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Request.ContentLength == 0 {
		return handler.Outcome{}
	}
	l := e.View.Configuration.Limits
	control := http.NewResponseController(e.Writer)
	_ = control.SetReadDeadline(time.Now().Add(l.BodyTimeout)) // only the writers of tests lack support for it
	e.BodyPlace = c.config.Reserver.Open(func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := e.BodyPlace.ReadBody(e.Request.Body, e.Request.ContentLength, l.BodyBytes)
	if err != nil {
		// Otherwise the server would wait for the rest of the body before it responds.
		e.Writer.Header().Set("Connection", "close")
		return refusalOf(ctx, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	e.Body = body
	if c.config.Clock.Now() >= e.Deadline {
		return handler.Refuse(http.StatusGatewayTimeout, handler.ReasonDeadline)
	}
	if c.config.Stopping != nil && c.config.Stopping() {
		// The head arrived before the process began to refuse requests; too little time is left now.
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonStopping)
	}
	return handler.Outcome{}
}

// refusalOf returns the refusal for an error in reading the body.
func refusalOf(ctx context.Context, err error) handler.Outcome {
	switch {
	case handler.IsStopped(ctx):
		return handler.Abandoned(ctx, http.StatusServiceUnavailable)
	case errors.Is(err, reserver.ErrTooLarge):
		return handler.Refuse(http.StatusRequestEntityTooLarge, handler.ReasonTooLarge)
	case errors.Is(err, reserver.ErrNoRoom):
		return handler.Refuse(http.StatusServiceUnavailable, handler.ReasonNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, reserver.ErrLost):
		return handler.Refuse(http.StatusRequestTimeout, handler.ReasonSlowSender)
	}
	return handler.Refuse(http.StatusBadRequest, handler.ReasonBadRequest)
}
