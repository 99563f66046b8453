// Package limiter admits each team's requests at its rate and burst over all entries together. The
// setting [roles] assign chooses between two modes.
//
// In the mode with roles, the token bucket of each team has one entry as its owner. GrantLimiter
// spends tokens that the Owner at that entry grants. A token bucket for each direction of a link
// limits the traffic between regions to the capacity of the link in the same way.
//
// In the mode without roles, ShareLimiter admits by this entry's share of each team's rate. For
// teams whose rate is too small to divide, its Borrower takes tokens that control lends.
package limiter

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
	"github.com/filberthoist/filberthoist/entry/handler"
	"github.com/filberthoist/filberthoist/entry/receiver"
)

// GrantLimiterConfig configures a GrantLimiter.
type GrantLimiterConfig struct {
	Clock     timekeeper.Clock
	Scope     tally.Scope
	Connector *connector.Connector
	Group     *supervisor.Group
	Self      *wire.EntryMember
	View      func() *receiver.View
	// ViewChanged returns a channel that is closed when there is a newer view.
	ViewChanged func() <-chan struct{}
	// MaySpend reports whether control has heard from this entry recently enough for it to spend
	// tokens. Otherwise a new owner may count them as gone.
	MaySpend func() bool
	// Owner grants the tokens of the buckets that this entry owns itself.
	Owner *Owner
}

// GrantLimiter is the pipeline step of the mode with roles. It spends a token for each request of a
// team.
type GrantLimiter struct {
	config GrantLimiterConfig
	client *http.Client
	mutex  sync.Mutex
	// clients are keyed by the role of the bucket's owner.
	clients map[string]*bucketClient
	waits   tally.Timer
	calls   tally.Counter
}

// NewGrantLimiter returns a GrantLimiter.
func NewGrantLimiter(c GrantLimiterConfig) *GrantLimiter {
	return &GrantLimiter{
		config:  c,
		client:  c.Connector.Client(),
		clients: map[string]*bucketClient{},
		waits:   c.Scope.Timer("limitWait"),
		calls:   c.Scope.Counter("grantCalls"),
	}
}

// Step returns the pipeline step.
func (l *GrantLimiter) Step() handler.Step {
	return handler.Step{Name: "limiter", Handle: l.limit}
}

// Run reports to new owners that this entry holds no tokens of earlier epochs, until the context
// ends.
func (l *GrantLimiter) Run(ctx context.Context) error {
	return l.run(ctx)
}

func (l *GrantLimiter) run(ctx context.Context) error {
	for {
		changed := l.config.ViewChanged()
		for name, h := range l.config.View().Roles {
			if isBucketRole(name) && h.GetEpoch() > wire.FirstEpoch {
				l.bucketClient(name).signal()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Reserve takes capacity for a number of bytes in one direction of a link, waiting for it at most
// for the given time. Between regions without a configured link it always succeeds.
func (l *GrantLimiter) Reserve(ctx context.Context, w wire.LinkDirection, bytes int, wait time.Duration) bool {
	c := l.config.View().Configuration
	if c == nil || c.Links[parser.NewLinkName(w.From, w.To)] == nil {
		return true
	}
	a, n := l.bucketClient(w.Role()), float64(bytes)/bytesPerToken
	return a.tryTake(n) || a.wait(ctx, n, wait)
}

// Grant serves calls from other entries.
func (l *GrantLimiter) Grant(ctx context.Context, r *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	return connect.NewResponse(l.config.Owner.Grant(ctx, r.Msg)), nil
}

func (l *GrantLimiter) limit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Team == nil {
		return handler.Outcome{}
	}
	e.ChargeRetry = func(ctx context.Context) bool { return !l.admit(ctx, e).IsFinal() }
	return l.admit(ctx, e)
}

// admit spends a token of the exchange's team, or refuses the request.
func (l *GrantLimiter) admit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	a := l.bucketClient(wire.TeamRole(e.Team.Name))
	if a.tryTake(1) {
		return handler.Outcome{}
	}
	watch := l.waits.Start()
	defer watch.Stop()
	wait := min(e.View.Configuration.Limits.LimitWait, e.Deadline-l.config.Clock.Now())
	switch {
	case a.wait(ctx, 1, wait):
		return handler.Outcome{}
	case ctx.Err() != nil:
		return handler.Abandoned(ctx, http.StatusTooManyRequests)
	}
	return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit)
}

func (l *GrantLimiter) bucketClient(role string) *bucketClient {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.clients[role]
	if a == nil {
		a = newBucketClient(l, role)
		l.clients[role] = a
		l.config.Group.Go("limiter "+role, a.run)
	}
	return a
}

func isBucketRole(role string) bool {
	return strings.HasPrefix(role, wire.TeamPrefix) || strings.HasPrefix(role, wire.LinkPrefix)
}

// callOwner calls the owner of a bucket, which may be this entry.
func (l *GrantLimiter) callOwner(ctx context.Context, owner *wire.EntryMember, r *wire.GrantRequest) (*wire.GrantResponse, error) {
	l.calls.Inc(1)
	if owner.GetName() == l.config.Self.GetName() {
		return l.config.Owner.Grant(ctx, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMilliseconds())*time.Millisecond+callTimeout)
	defer cancel()
	c := wireconnect.NewLimitServiceClient(l.client, l.config.Connector.URL(owner.GetPeerAddress()))
	answer, err := c.Grant(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
