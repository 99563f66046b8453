package apportioner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
)

const (
	// overdrawn is the sum of shares from which they count as more than the whole.
	overdrawn = 1.005
	// toldAge is the precision of ages in log lines.
	toldAge = 100 * time.Millisecond
	// tellInterval is the least time between two lines on the entries that are awaited.
	tellInterval = time.Second
	// sumInterval is the least time between two looks at the sums, by the teams of one entry.
	sumInterval = 100 * time.Millisecond
)

// watch is what log lines told last.
type watch struct {
	awaited []string
	at      time.Duration
	// summed is when shares were last added up.
	summed time.Duration
	// overdrawn are the teams whose shares add up to more than the whole.
	overdrawn map[string]bool
}

func newWatch() watch {
	return watch{overdrawn: map[string]bool{}}
}

// tell writes lines on what changed: the entries that are awaited, and now and then the teams
// whose shares add up to more than the whole.
func (a *Apportioner) tell(now time.Duration, n *account) {
	if awaited := a.awaited(now); !slices.Equal(awaited, a.watch.awaited) && (len(awaited) == 0 || now-a.watch.at >= tellInterval) {
		a.watch.awaited, a.watch.at = awaited, now
		a.config.Logger.Log(logger.SharesAwaited, logger.F("term", a.term), logger.F("entries", awaited), logger.F("asked", len(a.callers)))
	}
	if now-a.watch.summed < sumInterval {
		return
	}
	a.watch.summed = now
	for team := range n.held {
		sum := a.inUse(now, team)
		if over := sum > overdrawn; over != a.watch.overdrawn[team] {
			a.watch.overdrawn[team] = over
			event := logger.SharesCovered
			if over {
				event = logger.SharesOverdrawn
			}
			a.config.Logger.Log(event, logger.F("team", team), logger.F("sum", sum), logger.F("term", a.term), logger.F("shares", a.texts(now, team)))
		}
	}
}

// inUse is the sum of the shares that the entries known to this leader may use.
func (a *Apportioner) inUse(now time.Duration, team string) float64 {
	sum := 0.0
	for _, n := range a.callers {
		sum += n.mayUse(now, team)
	}
	return sum
}

// texts tell each entry's share of a team with the time since it last asked.
func (a *Apportioner) texts(now time.Duration, team string) []string {
	var out []string
	for c, n := range a.callers {
		if s := n.mayUse(now, team); s > 0 {
			out = append(out, fmt.Sprintf("%s %.3f asked %v ago", c.Name, s, (now-n.asked).Round(toldAge)))
		}
	}
	slices.Sort(out)
	return out
}

// Dump describes what each team's rate was granted to.
type Dump struct {
	Term    uint64
	Awaited []string
	// Shares are the shares that entries may use, by team.
	Shares map[string][]string
}

// Dump describes the shares that entries may use.
func (a *Apportioner) Dump() any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock.Now()
	out := Dump{Term: a.term, Awaited: a.awaited(now), Shares: map[string][]string{}}
	for _, n := range a.callers {
		for team := range maps.Keys(n.held) {
			if out.Shares[team] == nil {
				out.Shares[team] = a.texts(now, team)
			}
		}
	}
	return out
}
