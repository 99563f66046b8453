package carrier

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrWithheld is the error if the target answered a Check, and the request must not follow.
var ErrWithheld = errors.New("the check withheld the request")

// Check is a GET request for the state of a target. It is sent on the new connection of the request that it
// precedes, so that both reach the same start of the target. The target must echo the IDs of requests.
type Check struct {
	URI    string
	Host   string
	Header http.Header
	// Need states when the target is asked.
	Need CheckNeed
	// Timeout bounds the wait for the response.
	Timeout time.Duration
	// Passes reports whether the request may follow the response.
	Passes func(*Response) bool
}

// CheckNeed states when a target is asked for its state.
type CheckNeed int

// Values of CheckNeed.
const (
	// Never does not ask a target.
	Never CheckNeed = iota
	// IfBroken asks it if a kept connection broke.
	IfBroken
	// UnlessOpen asks it unless a kept connection is open, which shows that it has not restarted.
	UnlessOpen
	// Always asks it in any case.
	Always
)

// needsNew reports whether the request needs a new connection: a response on a kept one might answer an
// earlier request.
func (c *Check) needsNew() bool {
	return c != nil && c.Need == Always
}

// isDue reports whether the target is to be asked before a request on a connection.
func (c *Check) isDue(o Origin) bool {
	if c == nil || !o.Dialed {
		return false
	}
	switch c.Need {
	case IfBroken:
		return o.Broken > 0
	case UnlessOpen:
		return o.Broken > 0 || !o.Open
	}
	return c.Need == Always
}

// check asks for the state of the target at a new connection. It returns the connection for the request, or
// an error if the request must not be sent.
func (c *Carrier) check(ctx context.Context, n *connection, k *Check) (*connection, error) {
	checkContext, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	stop := context.AfterFunc(checkContext, n.close)
	r := &Request{Method: http.MethodGet, URI: k.URI, Host: k.Host, Header: k.Header}
	a, _, err := n.exchange(r, c.config)
	if err == nil && a.Remainder != nil {
		err = errors.New("the response to the check is too long")
	}
	if err != nil || !stop() {
		n.close()
		if err == nil {
			err = checkContext.Err()
		}
		return nil, errors.Wrap(err, "checking the target")
	}
	n.hasIDs = true // else a late copy of the response would count for the request
	passes := k.Passes(a)
	if a.CloseAfter || n.reader.Buffered() > 0 || n.quotes {
		n.close()
		if !passes {
			return nil, ErrWithheld
		}
		next, _, err := c.dial(ctx, n.address, Origin{})
		return next, err
	}
	if !passes {
		c.putIdle(n)
		return nil, ErrWithheld
	}
	return n, nil
}
