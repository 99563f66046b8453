package distributor

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Parameters of packing.
const (
	// packedBytes is the size from which compressing saves more on an entry's link than it
	// costs.
	packedBytes = 2 << 10
	// packLife is how long a pack is handed out. Times that targets stay cold count from the
	// moment of packing, so that old packs would tell too long ones.
	packLife = 200 * time.Millisecond
)

// pack is what an answer says of records and targets. Many entries get the same when many
// start or much changes, so it is encoded and compressed once.
type pack struct {
	at      time.Duration
	index   uint64
	whole   bool
	records []*wire.Record
	targets *wire.TargetChanges
	// packed is set in place of records and targets where these are large.
	packed []byte
}

// packName tells which difference a pack holds.
type packName struct {
	from, to           uint64
	targetsTerm        uint64
	targetsFrom        uint64
	knownTerm, knownTo uint64
}

// packer keeps the packs of the last moments. It is safe for concurrent use.
type packer struct {
	mutex sync.Mutex
	kept  map[packName]*pack
}

func newPacker() *packer {
	return &packer{kept: map[packName]*pack{}}
}

// get returns the kept pack of a name, or the one that build returns. Callers with the same
// name wait for one build.
func (p *packer) get(now time.Duration, n packName, build func() *pack) (*pack, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for o, k := range p.kept {
		if now-k.at > packLife {
			delete(p.kept, o)
		}
	}
	if k := p.kept[n]; k != nil {
		return k, nil
	}
	k := build()
	k.at = now
	if err := k.compress(); err != nil {
		return nil, err
	}
	p.kept[n] = k
	return k, nil
}

// holds tells whether there is any change in a pack.
func (k *pack) holds() bool {
	return len(k.packed) > 0 || len(k.records) > 0 || k.targets != nil
}

// compress replaces large contents by their packed form.
func (k *pack) compress() error {
	if proto.Size(&wire.PollResponse{Records: k.records, Targets: k.targets}) < packedBytes {
		return nil
	}
	packed, err := wire.Pack(k.records, k.targets)
	if err != nil {
		return err
	}
	k.packed, k.records, k.targets = packed, nil, nil
	return nil
}
