package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
)

// statusGone tells that there is nobody to answer.
const statusGone = -1

// readHead reads the head of a request. A status other than 0 refuses it.
func readHead(b *bufio.Reader, most int) (*http.Request, int) {
	head, status := readLines(b, most)
	if status != 0 {
		return nil, status
	}
	if ambiguous(head) {
		return nil, http.StatusBadRequest
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if r.ProtoMajor != 1 || (r.ProtoMinor == 1 && r.Host == "") {
		return nil, http.StatusBadRequest
	}
	return r, 0
}

// readLines reads up to the empty line that ends a head.
func readLines(b *bufio.Reader, most int) ([]byte, int) {
	var head []byte
	for {
		line, err := b.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > most:
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, statusGone
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(head) > len(line):
			return head, 0
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			head = head[:0] // empty lines before a request are skipped (RFC 9112, section 2.2)
		}
	}
}

// ambiguous tells whether a head frames its body in two ways, or in one that a target may
// read otherwise (RFC 9112, section 6.3).
func ambiguous(head []byte) bool {
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

// body is the part of a request behind its head.
type body struct {
	io.Reader
	// state is told once: true if the body was read to its end.
	state chan bool
	told  bool
	// expected is called before the first read, where the caller waits for a word to go on.
	expected func()
}

// Read reads from the connection and notes the end of the body.
func (d *body) Read(b []byte) (int, error) {
	if d.expected != nil {
		d.expected()
		d.expected = nil
	}
	n, err := d.Reader.Read(b)
	if err != nil {
		d.tell(err == io.EOF)
	}
	return n, err
}

// Close leaves the rest of the body unread, after which the connection can't go on.
func (d *body) Close() error {
	d.tell(false)
	return nil
}

func (d *body) tell(whole bool) {
	if !d.told {
		d.told = true
		d.state <- whole // has room for one
	}
}

// wait waits until the body was read or given up; true lets the next request follow.
func (d *body) wait() bool {
	return <-d.state
}
