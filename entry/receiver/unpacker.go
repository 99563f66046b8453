package receiver

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// mostUnpacked bounds the size of an unpacked answer in bytes: 20,000 routes and targets.
const mostUnpacked = 32 << 20

// unpack puts the packed part of an answer in its place.
func unpack(p *wire.PollResponse) error {
	if len(p.GetPacked()) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(p.GetPacked()))
	if err != nil {
		return errors.Wrap(err, "unpacking an answer")
	}
	b, err := io.ReadAll(io.LimitReader(r, mostUnpacked+1))
	if err != nil {
		return errors.Wrap(err, "unpacking an answer")
	}
	if len(b) > mostUnpacked {
		return errors.Errorf("an answer is larger than %d bytes", mostUnpacked)
	}
	p.Packed = nil
	return errors.Wrap(proto.UnmarshalOptions{Merge: true}.Unmarshal(b, p), "unpacking an answer")
}
