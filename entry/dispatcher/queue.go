package dispatcher

import (
	"slices"
	"time"
)

// queue orders demands by start-time fair queueing over slot time (Goyal, Vin and Cheng,
// 1996): each team advances by the slot time it uses divided by its weight, and the team
// that is least advanced is next.
type queue struct {
	teams  map[string]*teamQueue
	order  []string
	now    float64
	length int
}

// teamQueue holds the demands of one team and how far it has advanced, in seconds of slot
// time per weight.
type teamQueue struct {
	name    string
	at      float64
	weight  float64
	demands []Demand
}

func (q *queue) push(d Demand) {
	t := q.team(d.Team)
	if len(t.demands) == 0 {
		t.at = max(t.at, q.now)
	}
	t.weight = d.Weight
	t.demands = append(t.demands, d)
	q.length++
}

// peek returns the demand whose turn it is, after dropping those that are pointless.
func (q *queue) peek(now time.Duration) (Demand, bool) {
	t := q.next(now)
	if t == nil {
		return Demand{}, false
	}
	q.now = max(q.now, t.at)
	return t.demands[0], true
}

// pop takes the demand out that peek returned, and charges its expected cost.
func (q *queue) pop(cost time.Duration) {
	t := q.least()
	t.demands = t.demands[1:]
	t.at += cost.Seconds() / t.weight
	q.length--
}

// settle charges what a request used beyond its expected cost.
func (q *queue) settle(team string, weight float64, more time.Duration) {
	if t := q.teams[team]; t != nil {
		t.at += more.Seconds() / weight
	}
}

func (q *queue) drop(id PermitID) {
	for _, t := range q.teams {
		before := len(t.demands)
		t.demands = slices.DeleteFunc(t.demands, func(d Demand) bool { return d.ID == id })
		q.length -= before - len(t.demands)
	}
}

// wait estimates how long a demand would wait: its team gets its weight's part of the
// slots as long as others wait too.
func (q *queue) wait(d Demand, latency time.Duration, slots int) time.Duration {
	weights, ahead := d.Weight, 0
	for n, t := range q.teams {
		switch {
		case n == d.Team:
			ahead = len(t.demands)
		case len(t.demands) > 0:
			weights += t.weight
		}
	}
	if ahead == 0 && q.length == 0 {
		return 0
	}
	part := d.Weight / weights * float64(slots)
	return time.Duration(float64(ahead) / part * float64(latency))
}

func (q *queue) next(now time.Duration) *teamQueue {
	for _, n := range q.order {
		t := q.teams[n]
		for len(t.demands) > 0 && t.demands[0].Until <= now {
			t.demands = t.demands[1:]
			q.length--
		}
	}
	return q.least()
}

func (q *queue) least() *teamQueue {
	var best *teamQueue
	for _, n := range q.order {
		t := q.teams[n]
		if len(t.demands) > 0 && (best == nil || t.at < best.at) {
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
		t = &teamQueue{name: name, at: q.now}
		q.teams[name] = t
		q.order = append(q.order, name)
		slices.Sort(q.order)
	}
	return t
}
