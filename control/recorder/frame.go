package recorder

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Layout of the header of a frame: magic, length and CRC of the body, CRC of the header.
const (
	headerBytes   = 16
	frameMagic    = 0x66684c31
	maxFrameBytes = 1 << 30
)

// ErrCorrupt is returned for a log that is damaged before its last frame.
var ErrCorrupt = errors.New("the log is corrupt before its last write; repair this member by replacing it")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func encodeFrame(w Write) ([]byte, error) {
	body, err := proto.Marshal(&wire.LogFrame{State: w.State, Entries: w.Entries, Snapshot: w.Snapshot})
	if err != nil {
		return nil, errors.Wrap(err, "encoding a log frame")
	}
	out := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(out[0:], frameMagic)
	binary.LittleEndian.PutUint32(out[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(body, castagnoliTable))
	binary.LittleEndian.PutUint32(out[12:], crc32.Checksum(out[:12], castagnoliTable))
	return append(out, body...), nil
}

// readFrames applies the whole frames of a log and returns their total length. A damaged last
// frame is dropped; damage before it is ErrCorrupt.
func readFrames(log []byte) (r Restored, length int64, err error) {
	offset := 0
	for offset < len(log) {
		body, size := decodeFrame(log[offset:])
		if body == nil {
			if containsFrame(log[offset+1:]) {
				return Restored{}, 0, ErrCorrupt
			}
			break
		}
		var f wire.LogFrame
		if err := proto.Unmarshal(body, &f); err != nil {
			return Restored{}, 0, errors.Wrap(ErrCorrupt, err.Error())
		}
		r = r.Apply(Write{State: f.GetState(), Entries: f.GetEntries(), Snapshot: f.GetSnapshot()})
		offset += size
	}
	r.TruncatedBytes = int64(len(log) - offset)
	return r, int64(offset), nil
}

// decodeFrame returns the body and size of the whole frame at the start of b, or nil if there is
// none.
func decodeFrame(b []byte) (body []byte, size int) {
	length, ok := decodeHeader(b)
	if !ok || len(b) < headerBytes+length {
		return nil, 0
	}
	body = b[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoliTable) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0
	}
	return body, headerBytes + length
}

func decodeHeader(b []byte) (length int, ok bool) {
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(b[:12], castagnoliTable) != binary.LittleEndian.Uint32(b[12:]) {
		return 0, false
	}
	length = int(binary.LittleEndian.Uint32(b[4:]))
	return length, length <= maxFrameBytes
}

// containsFrame reports whether a whole frame begins anywhere in b.
func containsFrame(b []byte) bool {
	for i := 0; i+headerBytes <= len(b); i++ {
		if body, _ := decodeFrame(b[i:]); body != nil {
			return true
		}
	}
	return false
}
