package apportioner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
)

const (
	// overdrawnSum is the sum of shares above which they count as more than the whole.
	overdrawnSum = 1.005
	// loggedAgePrecision is the precision of ages in log lines.
	loggedAgePrecision = 100 * time.Millisecond
	// awaitedLogInterval is the least time between two log lines about awaited entries.
	awaitedLogInterval = time.Second
	// sumInterval is the least time between two checks of the sums of shares. Each checks the
	// teams of one entry.
	sumInterval = 100 * time.Millisecond
)

// logState is the state at the last log lines.
type logState struct {
	awaited         []string
	awaitedLoggedAt time.Duration
	// summedAt is when the shares were last added up.
	summedAt time.Duration
	// overdrawn are the teams whose shares add up to more than the whole.
	overdrawn map[string]bool
}

func newLogState() logState {
	return logState{overdrawn: map[string]bool{}}
}

// logChanges logs changes of the awaited entries and, at most once per sumInterval, of the teams
// whose shares add up to more than the whole.
func (a *Apportioner) logChanges(now time.Duration, n *entryState) {
	if awaited := a.awaited(now); !slices.Equal(awaited, a.logged.awaited) && (len(awaited) == 0 || now-a.logged.awaitedLoggedAt >= awaitedLogInterval) {
		a.logged.awaited, a.logged.awaitedLoggedAt = awaited, now
		a.config.Logger.Log(logger.SharesAwaited, logger.F("term", a.term), logger.F("entries", awaited), logger.F("asked", len(a.entries)))
	}
	if now-a.logged.summedAt < sumInterval {
		return
	}
	a.logged.summedAt = now
	for team := range n.held {
		sum := a.inUse(now, team)
		if over := sum > overdrawnSum; over != a.logged.overdrawn[team] {
			a.logged.overdrawn[team] = over
			event := logger.SharesCovered
			if over {
				event = logger.SharesOverdrawn
			}
			a.config.Logger.Log(event, logger.F("team", team), logger.F("sum", sum), logger.F("term", a.term), logger.F("shares", a.describeShares(now, team)))
		}
	}
}

// inUse returns the sum of the shares that the entries known to this leader may use.
func (a *Apportioner) inUse(now time.Duration, team string) float64 {
	sum := 0.0
	for _, n := range a.entries {
		sum += n.mayUse(now, team)
	}
	return sum
}

// describeShares returns each entry's share of a team and the time since its last poll, as text.
func (a *Apportioner) describeShares(now time.Duration, team string) []string {
	var out []string
	for c, n := range a.entries {
		if s := n.mayUse(now, team); s > 0 {
			out = append(out, fmt.Sprintf("%s %.3f asked %v ago", c.Name, s, (now-n.polledAt).Round(loggedAgePrecision)))
		}
	}
	slices.Sort(out)
	return out
}

// Dump describes the shares of each team's rate.
type Dump struct {
	Term    uint64
	Awaited []string
	// Shares lists the shares that entries may use, by team.
	Shares map[string][]string
}

// Dump describes the shares that entries may use.
func (a *Apportioner) Dump() any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock.Now()
	out := Dump{Term: a.term, Awaited: a.awaited(now), Shares: map[string][]string{}}
	for _, n := range a.entries {
		for team := range maps.Keys(n.held) {
			if out.Shares[team] == nil {
				out.Shares[team] = a.describeShares(now, team)
			}
		}
	}
	return out
}
