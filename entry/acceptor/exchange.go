package acceptor

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/filberthoist/filberthoist/core/logger"
)

// maxBuffered is the size up to which an answer is sent in one piece with its length.
const maxBuffered = 256 << 10

// exchange is one request with its answer. It is the handler's http.ResponseWriter.
type exchange struct {
	connection *connection
	request    *http.Request
	body       *body
	// previous is closed once the answer before is written; nil for the first.
	previous chan struct{}
	done     chan struct{}
	last     bool

	header  http.Header
	status  int
	content bytes.Buffer
	// streaming tells that the head was sent and the content follows as it comes.
	streaming bool
	chunked   bool
}

// setUp takes the request over; last tells that the connection ends behind it.
func (e *exchange) setUp(r *http.Request, last bool) {
	e.last = last
	c := e.connection
	r.RemoteAddr = c.socket.RemoteAddr().String()
	e.request = r.WithContext(c.context)
	e.header = http.Header{}
	var from io.Reader
	switch {
	case len(r.TransferEncoding) > 0:
		from = httputil.NewChunkedReader(c.reader)
		from = &trailed{Reader: from, connection: c}
	case r.ContentLength > 0:
		from = &sized{from: c.reader, left: r.ContentLength}
	default:
		e.request.Body = http.NoBody
		return
	}
	e.body = &body{Reader: from, state: make(chan bool, 1)}
	if r.Header.Get("Expect") != "" {
		e.body.expected = e.invite
	}
	e.request.Body = e.body
}

// invite lets a caller that waits for it send its body.
func (e *exchange) invite() {
	if e.awaitTurn() {
		_ = e.connection.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the body's reader sees the failure
	}
}

// run lets the handler answer.
func (e *exchange) run() {
	defer e.connection.ended.Done()
	defer e.connection.end()
	defer close(e.done)
	whole := e.handle()
	if e.body != nil {
		e.body.tell(false)
	}
	if !whole || !e.awaitTurn() {
		e.awaitTurn()
		e.connection.abort()
		return
	}
	e.send()
	if e.last {
		e.connection.stop()
	}
}

// handle runs the handler; false means that it gave the answer up.
func (e *exchange) handle() (whole bool) {
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler {
			e.connection.acceptor.config.Logger.Log(logger.HandlerPanicked,
				logger.F("error", fmt.Sprint(p)), logger.F("stack", string(debug.Stack())))
		}
	}()
	e.connection.acceptor.config.Handler.ServeHTTP(e, e.request)
	return true
}

// refuse answers a request that could not be read, and ends the connection.
func (e *exchange) refuse(status int) {
	defer e.connection.end()
	defer close(e.done)
	e.header, e.status, e.last = http.Header{}, status, true
	if e.awaitTurn() {
		e.send()
	}
	e.connection.stop()
}

// awaitTurn waits until all answers before are written; false means that the connection is
// broken.
func (e *exchange) awaitTurn() bool {
	if e.previous != nil {
		<-e.previous
	}
	return !e.connection.isBroken()
}

// Header returns the header of the answer.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader sets the status of the answer.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write adds to the answer. One that grows large is sent on as it comes.
func (e *exchange) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.streaming {
		return len(b), e.stream(b)
	}
	e.content.Write(b)
	if e.content.Len() <= maxBuffered {
		return len(b), nil
	}
	if !e.awaitTurn() {
		return 0, io.ErrClosedPipe
	}
	e.streaming = true
	e.chunked = e.header.Get("Content-Length") == ""
	if err := e.connection.write(e.head()); err != nil {
		return 0, err
	}
	err := e.stream(e.content.Bytes())
	e.content.Reset()
	return len(b), err
}

// SetReadDeadline bounds the reading of the body, for http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil || e.body.told {
		return nil // the connection waits for the next request already
	}
	return e.connection.socket.SetReadDeadline(t)
}

func (e *exchange) stream(b []byte) error {
	if !e.chunked {
		return e.connection.write(b)
	}
	size := strconv.AppendInt(nil, int64(len(b)), 16)
	return e.connection.write(append(size, "\r\n"...), b, []byte("\r\n"))
}

// send writes what is left of the answer.
func (e *exchange) send() {
	e.WriteHeader(http.StatusOK)
	if e.streaming {
		if e.chunked {
			_ = e.connection.write([]byte("0\r\n\r\n")) // the connection is aborted with the failure
		}
		return
	}
	if e.header.Get("Content-Length") == "" && bodyAllowed(e.status) {
		e.header.Set("Content-Length", strconv.Itoa(e.content.Len()))
	}
	content := e.content.Bytes()
	if e.request != nil && e.request.Method == http.MethodHead {
		content = nil
	}
	_ = e.connection.write(e.head(), content) // the connection is aborted with the failure
}

func (e *exchange) head() []byte {
	if a := e.connection.acceptor; e.header.Get("Connection") == "close" || a.draining.Load() || a.isCrowded() {
		e.last = true
	}
	if e.last {
		e.header.Set("Connection", "close")
	}
	if e.chunked {
		e.header.Set("Transfer-Encoding", "chunked")
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\r\n")
	_ = e.header.Write(&b) // a buffer takes every write
	b.WriteString("\r\n")
	return b.Bytes()
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// sized reads a body of a known length; an early end is an error.
type sized struct {
	from io.Reader
	left int64
}

// Read reads up to the body's end.
func (s *sized) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > s.left {
		b = b[:s.left]
	}
	n, err := s.from.Read(b)
	s.left -= int64(n)
	switch {
	case s.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// trailed reads a chunked body and drops the trailer behind it.
type trailed struct {
	io.Reader
	connection *connection
	done       bool
}

// maxTrailer bounds the trailer in bytes.
const maxTrailer = 4 << 10

// Read reads up to the end of the chunks, then past the trailer.
func (t *trailed) Read(b []byte) (int, error) {
	if t.done {
		return 0, io.EOF
	}
	n, err := t.Reader.Read(b)
	if err != io.EOF {
		return n, err
	}
	t.done = true
	for left := maxTrailer; left > 0; {
		line, err := t.connection.reader.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			return n, io.EOF
		}
		left -= len(line)
	}
	return n, io.ErrUnexpectedEOF
}
