package assessor

import (
	"math"
	"time"
)

// Buckets of the latency histogram. Their upper bounds grow by half each, from one millisecond to
// about a minute.
const (
	Buckets     = 28
	firstBound  = time.Millisecond
	boundGrowth = 1.5
)

// Tally counts the responses of one version on one route over a span of time.
type Tally struct {
	Count  int
	Failed int
	// Latencies counts responses by bucket; see Bucket.
	Latencies [Buckets]int
}

// Bucket returns the index of the bucket that a latency falls into.
func Bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	b := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(boundGrowth)))
	return min(b, Buckets-1)
}

// Add counts one response.
func (t *Tally) Add(latency time.Duration, failed bool) {
	t.Count++
	if failed {
		t.Failed++
	}
	t.Latencies[Bucket(latency)]++
}

// Merge adds the counts of another Tally.
func (t *Tally) Merge(o Tally) {
	t.Count += o.Count
	t.Failed += o.Failed
	for i, n := range o.Latencies {
		t.Latencies[i] += n
	}
}

// Minus returns what was counted since o, an earlier Tally of the same counter. It returns t whole if
// the counter has restarted, which shows in counts lower than those of o.
func (t Tally) Minus(o Tally) Tally {
	if o.Count > t.Count || o.Failed > t.Failed {
		return t
	}
	t.Count -= o.Count
	t.Failed -= o.Failed
	for i, n := range o.Latencies {
		t.Latencies[i] = max(0, t.Latencies[i]-n)
	}
	return t
}

// Slower returns the number of responses above a bucket.
func (t Tally) Slower(bucket int) int {
	n := 0
	for _, c := range t.Latencies[min(bucket+1, Buckets):] {
		n += c
	}
	return n
}
