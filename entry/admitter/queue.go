package admitter

import (
	"sync"
	"time"
)

// Queue holds requests until a target may have room. It is safe for concurrent use.
type Queue struct {
	mutex sync.Mutex
	held  map[string][]*Held
}

// Held is a request in a Queue.
type Held struct {
	// Woken gets a value once the request is to be decided on again.
	Woken    chan struct{}
	service  string
	priority int
	aimed    time.Duration
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue {
	return &Queue{held: map[string][]*Held{}}
}

// Add adds a request whose aim passes at a time.
func (q *Queue) Add(r Request, aimed time.Duration) *Held {
	h := &Held{Woken: make(chan struct{}, 1), service: r.Service, priority: r.Priority, aimed: aimed}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.held[r.Service] = append(q.held[r.Service], h)
	return h
}

// Remove removes a request that is no longer held, or whose caller left.
func (q *Queue) Remove(h *Held) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.remove(h)
}

func (q *Queue) remove(h *Held) {
	list := q.held[h.service]
	for i, o := range list {
		if o == h {
			list[i] = list[len(list)-1]
			q.held[h.service] = list[:len(list)-1]
			return
		}
	}
}

// Wake removes the most urgent request for a service and wakes it: the one of the first priority, and of
// these the one whose aim passes first.
func (q *Queue) Wake(service string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var first *Held
	for _, h := range q.held[service] {
		if first == nil || h.priority < first.priority || (h.priority == first.priority && h.aimed < first.aimed) {
			first = h
		}
	}
	if first != nil {
		q.remove(first)
		first.Woken <- struct{}{}
	}
}

// Len returns the number of requests that are held.
func (q *Queue) Len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	n := 0
	for _, list := range q.held {
		n += len(list)
	}
	return n
}
