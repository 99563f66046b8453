package receiver

import (
	"slices"
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/wire"
)

// targetList is the platform's list of targets as reported by the control leader.
type targetList struct {
	zones   map[string]string
	version *wire.ListVersion
	targets map[string]*ListedTarget
}

func newTargetList(zones map[string]string) targetList {
	return targetList{zones: zones, targets: map[string]*ListedTarget{}}
}

// apply applies changes and reports whether it did. It ignores a leader of an earlier term.
func (l *targetList) apply(c *wire.TargetChanges, now time.Duration) bool {
	if c.GetVersion().GetTerm() < l.version.GetTerm() {
		return false
	}
	if c.GetWhole() {
		l.targets = map[string]*ListedTarget{}
	}
	l.version = c.GetVersion()
	for _, t := range c.GetTargets() {
		if t.GetState() == wire.TargetState_TARGET_STATE_GONE {
			delete(l.targets, t.GetId())
			continue
		}
		l.targets[t.GetId()] = l.newListedTarget(t, now)
	}
	return true
}

func (l *targetList) newListedTarget(t *wire.ListedTarget, now time.Duration) *ListedTarget {
	return &ListedTarget{
		Target: &parser.Target{
			Name: t.GetId(), Service: t.GetService(), Address: t.GetAddress(),
			Region: l.zones[t.GetAvailabilityZone()], AvailabilityZone: t.GetAvailabilityZone(),
			Slots: int(t.GetSlots()), Version: t.GetVersion(),
		},
		Leaving:   t.GetState() == wire.TargetState_TARGET_STATE_LEAVING,
		ColdUntil: now + time.Duration(t.GetColdMilliseconds())*time.Millisecond, ReceivedAt: now,
	}
}

func (l *targetList) byService() map[string][]*ListedTarget {
	out := map[string][]*ListedTarget{}
	for _, t := range l.targets {
		out[t.Service] = append(out[t.Service], t)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *ListedTarget) int { return strings.Compare(a.Name, b.Name) })
	}
	return out
}
