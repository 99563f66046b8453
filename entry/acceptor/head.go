package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	"github.com/filberthoist/filberthoist/core/reserver"
)

// statusDisconnected means that the caller has disconnected, so that there is no response.
const statusDisconnected = -1

// unreservedHeadBytes is the size up to which a head needs no reservation, and headCopies the copies of a head that
// there are while its request runs.
const (
	unreservedHeadBytes = 4 << 10
	headCopies          = 2
)

// headReader reads the head of one request.
type headReader struct {
	source   *bufio.Reader
	maxBytes int
	// openPlace opens place, the memory reserved for a large head; a nil place needs none.
	openPlace func() *reserver.Place
	place     *reserver.Place
}

// read reads a head of at most maxBytes. A status other than 0 rejects the request.
func (h *headReader) read() (*http.Request, int) {
	head, status := h.readLines()
	h.place.End()
	if status != 0 {
		return nil, status
	}
	if isAmbiguous(head) {
		return nil, http.StatusBadRequest
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if r.ProtoMajor != 1 || (r.ProtoMinor == 1 && r.Host == "") {
		return nil, http.StatusBadRequest
	}
	r.Close = r.Close || r.ProtoMinor == 0 // no response tells such a caller that its connection is kept
	return r, 0
}

// reserve reports whether there is memory for a head of the given size.
func (h *headReader) reserve(size int) bool {
	if size <= unreservedHeadBytes {
		return true
	}
	if h.place == nil {
		h.place = h.openPlace()
		h.place.Begin()
	}
	return h.place.Reserve(headCopies * size)
}

// readLines reads up to the empty line that ends a head.
func (h *headReader) readLines() ([]byte, int) {
	var head []byte
	for {
		line, err := h.source.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > h.maxBytes:
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case !h.reserve(len(head)):
			return nil, http.StatusServiceUnavailable
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, statusDisconnected
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(head) > len(line):
			return head, 0
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			head = head[:0] // empty lines before a request are skipped (RFC 9112, section 2.2)
		}
	}
}

// findHeader returns the value of a header in the start of a head, or "".
func findHeader(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		n, value, ok := bytes.Cut(line, []byte(":"))
		if ok && name != "" && bytes.EqualFold(n, []byte(name)) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isAmbiguous reports whether a head frames its body in two ways, or in one that a target may parse
// differently (RFC 9112, section 6.3).
func isAmbiguous(head []byte) bool {
	lengths, encodings := 0, 0
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	for line := range bytes.Lines(fields) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch {
		case len(bytes.TrimSpace(name)) != len(name):
			return true // a folded line, or a space before the colon
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return true
			}
		}
	}
	return lengths+encodings > 1
}

// requestBody is the body of a request.
type requestBody struct {
	io.Reader
	// result receives one value: whether the body was read to its end.
	result   chan bool
	reported atomic.Bool
	// complete means that the body was read to its end.
	complete bool
	// seat is told once the body has arrived.
	seat *reserver.Seat
	// sendContinue is called before the first read if the caller expects it.
	sendContinue func()
}

// Read reads from the connection and reports the end of the body.
func (d *requestBody) Read(b []byte) (int, error) {
	if d.sendContinue != nil {
		d.sendContinue()
		d.sendContinue = nil
	}
	n, err := d.Reader.Read(b)
	if err != nil {
		d.report(err == io.EOF)
	}
	return n, err
}

// Close leaves the rest of the body unread, after which the connection can't be reused.
func (d *requestBody) Close() error {
	d.report(false)
	return nil
}

func (d *requestBody) report(complete bool) {
	if !d.reported.Swap(true) {
		d.complete = complete
		if complete {
			d.seat.Begin()
		}
		d.result <- complete // has capacity for one value
	}
}

// wait waits until the body was read or closed; true means that the next request can be read.
func (d *requestBody) wait() bool {
	return <-d.result
}
