// Package limiter admits each team's requests at its rate and burst over all entries
// together. A team's one bucket lies with its owner; entries spend tokens out of pots.
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
	teams  map[string]*team
	waits  tally.Timer
	calls  tally.Counter
}

// NewLimiter returns a Limiter.
func NewLimiter(c Config) *Limiter {
	return &Limiter{
		config: c,
		client: c.Connector.Client(),
		teams:  map[string]*team{},
		waits:  c.Scope.Timer("limitWait"),
		calls:  c.Scope.Counter("grantCalls"),
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
			if team, ok := strings.CutPrefix(name, wire.TeamPrefix); ok && h.GetEpoch() > wire.FirstEpoch {
				l.team(team).signal()
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Grant serves other entries.
func (l *Limiter) Grant(ctx context.Context, r *connect.Request[wire.GrantRequest]) (*connect.Response[wire.GrantResponse], error) {
	return connect.NewResponse(l.config.Owner.Grant(ctx, r.Msg)), nil
}

func (l *Limiter) limit(ctx context.Context, e *handler.Exchange) handler.Outcome {
	if e.Team == nil {
		return handler.Outcome{}
	}
	t := l.team(e.Team.Name)
	if t.take() {
		return handler.Outcome{}
	}
	watch := l.waits.Start()
	defer watch.Stop()
	wait := min(e.View.Configuration.Limits.LimitWait, e.Deadline-l.config.Clock.Now())
	if !t.wait(ctx, wait) {
		return handler.Refuse(http.StatusTooManyRequests, handler.ReasonLimit)
	}
	return handler.Outcome{}
}

func (l *Limiter) team(name string) *team {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t := l.teams[name]
	if t == nil {
		t = newTeam(l, name)
		l.teams[name] = t
		l.config.Group.Go("limiter "+name, t.run)
	}
	return t
}

// ask calls the owner of a team, which may be this entry.
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
