package wire

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// mostUnpacked bounds the size of an unpacked answer in bytes: 20,000 routes and targets.
const mostUnpacked = 32 << 20

// Pack returns records and targets in the form of an answer's packed part.
func Pack(records []*Record, targets *TargetChanges) ([]byte, error) {
	b, err := proto.Marshal(&PollResponse{Records: records, Targets: targets})
	if err != nil {
		return nil, errors.Wrap(err, "encoding an answer")
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing an answer")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compressing an answer")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing an answer")
	}
	return out.Bytes(), nil
}

// Unpack puts the packed part of an answer in its place.
func Unpack(p *PollResponse) error {
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
