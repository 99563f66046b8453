// Package limiter admits each team's requests at its rate and burst over all entries
// together, and traffic between regions as there is room on their links. The one bucket of
// each such account lies with its owner; entries spend tokens out of pots.
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

// Config sets up a Limiter.
type Config struct {
	Clock     timekeeper.Clock
	Scope     tally.Scope
	Connector *connector.Connector
	Group     *supervisor.Group
	Self      *wire.EntryMember
	View      func() *receiver.View
	// Changed is closed when there is a newer view.
	Changed func() <-chan struct{}
	// MaySpend tells whether control has heard of this entry recently enough; otherwise a
	// new owner may count its tokens as gone.
	MaySpend func() bool
	// Owner grants the tokens of the teams that this entry owns itself.
	Owner *Owner
}

// Limiter is the step that spends a token for each keyed request.
type Limiter struct {
	config Config
	client *http.Client
	mutex  sync.Mutex
	// accounts are by the role of their owner.
	accounts map[string]*account
	waits    tally.Timer
	calls    tally.Counter
}

// NewLimiter returns a Limiter.
func NewLimiter(c Config) *Limiter {
	return &Limiter{
		config:   c,
		client:   c.Connector.Client(),
		accounts: map[string]*account{},
		waits:    c.Scope.Timer("limitWait"),
		calls:    c.Scope.Counter("grantCalls"),
	}
}

// Step returns the pipeline step.
func (l *Limiter) Step() handler.Step {
	return handler.Step{Name: "limiter", Handle: l.limit}
}

// Run tells new owners that nothing of earlier epochs is held here, until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	return l.run(ctx)
}

func (l *Limiter) run(ctx context.Context) error {
	for {
		changed := l.config.Changed()
		for name, h := range l.config.View().Roles {
			if isAccount(name) && h.GetEpoch() > wire.FirstEpoch {
				l.account(name).signal()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Reserve takes room for a number of bytes on one way of a link, waiting for it up to a
// bound. Between regions without a link in the text there is nothing to reserve.
func (l *Limiter) Reserve(ctx context.Context, w wire.Way, bytes int, wait time.Duration) bool {
	c := l.config.View().Configuration
	if c == nil || c.Links[parser.NewLinkName(w.From, w.To)] == nil {
		return true
	}
	a, n := l.account(w.Role()), float64(bytes)/tokenBytes
	return a.take(n) || a.wait(ctx, n, wait)
}

// Grant serves other entries.
func (l *Limiter) Grant(ctx context.Context, r *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	return connect.NewResponse(l.config.Owner.Grant(ctx, r.Msg)), nil
}

func (l *Limiter) limit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Team == nil {
		return handler.Outcome{}
	}
	e.Charge = func(ctx context.Context) bool { return !l.admit(ctx, e).Over() }
	return l.admit(ctx, e)
}

// admit spends a token of the exchange's team, or refuses.
func (l *Limiter) admit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	a := l.account(wire.TeamRole(e.Team.Name))
	if a.take(1) {
		return handler.Outcome{}
	}
	watch := l.waits.Start()
	defer watch.Stop()
	wait := min(e.View.Configuration.Limits.LimitWait, e.Deadline-l.config.Clock.Now())
	if !a.wait(ctx, 1, wait) {
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit)
	}
	return handler.Outcome{}
}

func (l *Limiter) account(role string) *account {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[role]
	if a == nil {
		a = newAccount(l, role)
		l.accounts[role] = a
		l.config.Group.Go("limiter "+role, a.run)
	}
	return a
}

func isAccount(role string) bool {
	return strings.HasPrefix(role, wire.TeamPrefix) || strings.HasPrefix(role, wire.LinkPrefix)
}

// ask calls the owner of an account, which may be this entry.
func (l *Limiter) ask(ctx context.Context, owner *wire.EntryMember, r *wire.GrantRequest) (*wire.GrantResponse, error) {
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
