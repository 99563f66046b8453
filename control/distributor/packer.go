package distributor

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of shared payloads.
const (
	// minPackedBytes is the size from which compression saves more on an entry's link than it
	// costs.
	minPackedBytes = 2 << 10
	// payloadLifetime is how long a payload is reused. A payload states how long targets stay cold,
	// counted from when it was built; in an old one these times would be too long.
	payloadLifetime = 200 * time.Millisecond
)

// payload holds the records and targets of a response. Many entries get the same payload when many
// start or much changes, so it is encoded and compressed once.
type payload struct {
	// at is when the payload was built.
	at      time.Duration
	index   uint64
	whole   bool
	records []*wire.Record
	targets *wire.TargetChanges
	// packed is the compressed form of records and targets. It replaces them if they are large.
	packed []byte
}

// payloadKey identifies a difference: the versions that a caller has, and the latest ones.
type payloadKey struct {
	from, to                 uint64
	targetsTerm              uint64
	targetsFrom              uint64
	latestTerm, latestChange uint64
}

// packer caches recent payloads. It is safe for concurrent use.
type packer struct {
	mutex  sync.Mutex
	recent map[payloadKey]*payload
}

func newPacker() *packer {
	return &packer{recent: map[payloadKey]*payload{}}
}

// get returns the cached payload of a key, or caches and returns the one that build returns. Callers
// wait while another one builds.
func (p *packer) get(now time.Duration, n payloadKey, build func() *payload) (*payload, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for o, k := range p.recent {
		if now-k.at > payloadLifetime {
			delete(p.recent, o)
		}
	}
	if k := p.recent[n]; k != nil {
		return k, nil
	}
	k := build()
	k.at = now
	if err := k.compress(); err != nil {
		return nil, err
	}
	p.recent[n] = k
	return k, nil
}

// hasChanges reports whether a payload contains any change.
func (k *payload) hasChanges() bool {
	return len(k.packed) > 0 || len(k.records) > 0 || k.targets != nil
}

// compress replaces large records and targets by their packed form.
func (k *payload) compress() error {
	if proto.Size(&wire.PollResponse{Records: k.records, Targets: k.targets}) < minPackedBytes {
		return nil
	}
	packed, err := wire.Pack(k.records, k.targets)
	if err != nil {
		return err
	}
	k.packed, k.records, k.targets = packed, nil, nil
	return nil
}
