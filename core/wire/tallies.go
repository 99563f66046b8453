package wire

import "github.com/filberthoist/filberthoist/core/assessor"

// ToVersionTally encodes a Tally; trailing empty latency buckets are left out.
func ToVersionTally(t assessor.Tally) *VersionTally {
	out := &VersionTally{Count: uint32(t.Count), Failed: uint32(t.Failed)}
	for i := len(t.Latencies); i > 0; i-- {
		if t.Latencies[i-1] == 0 {
			continue
		}
		for _, n := range t.Latencies[:i] {
			out.Latencies = append(out.Latencies, uint32(n))
		}
		break
	}
	return out
}

// FromVersionTally decodes a Tally; latency buckets after the last known one are ignored.
func FromVersionTally(t *VersionTally) assessor.Tally {
	out := assessor.Tally{Count: int(t.GetCount()), Failed: int(t.GetFailed())}
	for i, n := range t.GetLatencies() {
		if i < assessor.Buckets {
			out.Latencies[i] = int(n)
		}
	}
	return out
}
