package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/entry/carrier"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// maxWarmup bounds the warm-up that a target may state.
const maxWarmup = time.Minute

// newCheck returns the check by which a target states its warm-up before the request of an exchange is sent, or
// nil if it is not asked. The time that it takes is no longer left for the request.
func (f *Forwarder) newCheck(e *handler.Exchange, t *parser.Target, r *carrier.Request) *carrier.Check {
	d := f.config.Dialect
	if d.Warmup == "" || e.Check.Need == carrier.Never {
		return nil
	}
	header := http.Header{}
	if d.ExpectedTarget != "" {
		header.Set(d.ExpectedTarget, t.Name)
	}
	k := &carrier.Check{URI: e.Service.HealthPath, Host: t.Address, Header: header, Need: e.Check.Need, Timeout: e.Check.Timeout}
	k.Passes = func(a *carrier.Response) bool {
		left, stated := parseWarmup(a.Status, a.Header, d.Warmup)
		e.Check.Record(left, stated)
		f.setHeaders(e, r, max(0, e.Deadline-f.config.Clock.Now()))
		return stated && left == 0
	}
	return k
}

// isLost reports whether a connection failed by itself rather than by a time-out.
func isLost(err error) bool {
	return !errors.Is(err, carrier.ErrWithheld) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// parseWarmup returns for how long the target that sent a health response stays cold, from a header with a number
// of milliseconds. stated is false if the response does not tell. Without the header, a healthy target is not cold.
func parseWarmup(status int, h http.Header, name string) (left time.Duration, stated bool) {
	text := strings.TrimSpace(h.Get(name))
	switch {
	case status == http.StatusMisdirectedRequest:
		return 0, false
	case text == "":
		return 0, status == http.StatusOK
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n, uint64(maxWarmup/time.Millisecond))) * time.Millisecond, true
}
