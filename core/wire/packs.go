package wire

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxUnpackedBytes bounds the size of a decompressed response. It is sized for 20,000 routes and
// targets.
const maxUnpackedBytes = 32 << 20

// Pack encodes and compresses records and targets for the packed field of a PollResponse.
func Pack(records []*Record, targets *TargetChanges) ([]byte, error) {
	b, err := proto.Marshal(&PollResponse{Records: records, Targets: targets})
	if err != nil {
		return nil, errors.Wrap(err, "encoding a response")
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a response")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compressing a response")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a response")
	}
	return out.Bytes(), nil
}

// Unpack decompresses the packed field of a response, merges its content into the response and
// clears the field. It returns an error if the content is larger than maxUnpackedBytes.
func Unpack(p *PollResponse) error {
	if len(p.GetPacked()) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(p.GetPacked()))
	if err != nil {
		return errors.Wrap(err, "unpacking a response")
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "unpacking a response")
	}
	if len(b) > maxUnpackedBytes {
		return errors.Errorf("a response is larger than %d bytes", maxUnpackedBytes)
	}
	p.Packed = nil
	return errors.Wrap(proto.UnmarshalOptions{Merge: true}.Unmarshal(b, p), "unpacking a response")
}
