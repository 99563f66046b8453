package applier

import (
	"sort"
	"strings"

	"github.com/filberthoist/filberthoist/core/wire"
)

// beginOnce registers a request under its key and answers whether it may run: it may unless
// another request has begun under the same key.
func (s *State) beginOnce(c *wire.BeginOnceCommand) Result {
	r := s.records[oncePrefix+c.GetKey()]
	if r == nil {
		s.putOnce(c.GetKey(), &wire.OnceRecord{Holder: c.GetHolder(), Digest: c.GetDigest()})
		return Result{Begin: wire.BeginResult_BEGIN_RESULT_FRESH}
	}
	var old wire.OnceRecord
	s.decode(r, &old)
	switch {
	case old.GetDigest() != c.GetDigest():
		return Result{Begin: wire.BeginResult_BEGIN_RESULT_MISMATCH}
	case old.GetAnswer() != nil:
		return Result{Begin: wire.BeginResult_BEGIN_RESULT_DONE, Answer: old.GetAnswer()}
	case old.GetHolder() == c.GetHolder():
		return Result{Begin: wire.BeginResult_BEGIN_RESULT_FRESH} // a resent call, whose response was lost
	}
	return Result{Begin: wire.BeginResult_BEGIN_RESULT_BEGUN}
}

// finishOnce stores the answer of a request, or frees the key if the request did not run. Only
// the holder that began the request may finish it, and only once.
func (s *State) finishOnce(c *wire.FinishOnceCommand) bool {
	r := s.records[oncePrefix+c.GetKey()]
	if r == nil {
		return false
	}
	var old wire.OnceRecord
	s.decode(r, &old)
	if old.GetHolder() != c.GetHolder() || old.GetAnswer() != nil {
		return false
	}
	if c.GetNotRun() {
		s.delete(oncePrefix + c.GetKey())
		s.onceCount--
		return true
	}
	s.putOnce(c.GetKey(), &wire.OnceRecord{Holder: old.GetHolder(), Digest: old.GetDigest(), Answer: c.GetAnswer()})
	return true
}

// putOnce writes the record of a request and drops the oldest requests beyond KeptRequests.
func (s *State) putOnce(key string, r *wire.OnceRecord) {
	if s.records[oncePrefix+key] == nil {
		s.onceCount++
	}
	s.put(oncePrefix+key, r)
	s.onceOrder = append(s.onceOrder, change{s.index, oncePrefix + key})
	for s.onceCount > KeptRequests {
		s.dropOldestRequest()
	}
}

// dropOldestRequest drops the first item of onceOrder, and its request unless the request changed
// later.
func (s *State) dropOldestRequest() {
	c := s.onceOrder[0]
	s.onceOrder = s.onceOrder[1:]
	if r := s.records[c.key]; r != nil && r.GetIndex() == c.index {
		s.delete(c.key)
		s.onceCount--
	}
}

// restoreOnce rebuilds the order and the number of requests from the records.
func (s *State) restoreOnce() {
	for k, r := range s.records {
		if strings.HasPrefix(k, oncePrefix) {
			s.onceOrder = append(s.onceOrder, change{r.GetIndex(), k})
			s.onceCount++
		}
	}
	sort.Slice(s.onceOrder, func(i, j int) bool { return s.onceOrder[i].index < s.onceOrder[j].index })
}
