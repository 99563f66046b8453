package dispatcher

import (
	"slices"
	"time"
)

// queue orders requests by start-time fair queueing (Goyal, Vin and Cheng, 1996) over slot
// time: a team's start tag grows by the slot time that it uses divided by its weight, and the
// team with the lowest start tag is next.
type queue struct {
	teams       map[string]*teamQueue
	teamNames   []string
	virtualTime float64
	length      int
}

// teamQueue holds the requests of one team and its start tag, in seconds of slot time per
// unit of weight.
type teamQueue struct {
	name     string
	startTag float64
	weight   float64
	requests []SlotRequest
}

func (q *queue) push(d SlotRequest) {
	t := q.team(d.Team)
	if len(t.requests) == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
	}
	t.weight = d.Weight
	t.requests = append(t.requests, d)
	q.length++
}

// peek returns the next request, after it has removed expired ones.
func (q *queue) peek(now time.Duration) (SlotRequest, bool) {
	t := q.nextTeam(now)
	if t == nil {
		return SlotRequest{}, false
	}
	q.virtualTime = max(q.virtualTime, t.startTag)
	return t.requests[0], true
}

// pop removes the request that peek returned and charges its expected cost to its team.
func (q *queue) pop(cost time.Duration) {
	t := q.leastAdvanced()
	t.requests = t.requests[1:]
	t.startTag += cost.Seconds() / t.weight
	q.length--
}

// adjustCharge charges the difference between the slot time that a request used and its
// expected cost; the difference may be negative.
func (q *queue) adjustCharge(team string, weight float64, difference time.Duration) {
	if t := q.teams[team]; t != nil {
		t.startTag += difference.Seconds() / weight
	}
}

func (q *queue) remove(id PermitID) {
	for _, t := range q.teams {
		before := len(t.requests)
		t.requests = slices.DeleteFunc(t.requests, func(d SlotRequest) bool { return d.ID == id })
		q.length -= before - len(t.requests)
	}
}

// expectedWait estimates how long a request would wait in the queue: while other teams are
// queued too, its team gets slots in proportion to its weight.
func (q *queue) expectedWait(d SlotRequest, latency time.Duration, slots int) time.Duration {
	totalWeight, ahead := d.Weight, 0
	for n, t := range q.teams {
		switch {
		case n == d.Team:
			ahead = len(t.requests)
		case len(t.requests) > 0:
			totalWeight += t.weight
		}
	}
	if ahead == 0 && q.length == 0 {
		return 0
	}
	teamSlots := d.Weight / totalWeight * float64(slots)
	return time.Duration(float64(ahead) / teamSlots * float64(latency))
}

func (q *queue) nextTeam(now time.Duration) *teamQueue {
	for _, n := range q.teamNames {
		t := q.teams[n]
		for len(t.requests) > 0 && t.requests[0].Expires <= now {
			t.requests = t.requests[1:]
			q.length--
		}
	}
	return q.leastAdvanced()
}

func (q *queue) leastAdvanced() *teamQueue {
	var best *teamQueue
	for _, n := range q.teamNames {
		t := q.teams[n]
		if len(t.requests) > 0 && (best == nil || t.startTag < best.startTag) {
			best = t
		}
	}
	return best
}

func (q *queue) team(name string) *teamQueue {
	if q.teams == nil {
		q.teams = map[string]*teamQueue{}
	}
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name, startTag: q.virtualTime}
		q.teams[name] = t
		q.teamNames = append(q.teamNames, name)
		slices.Sort(q.teamNames)
	}
	return t
}
