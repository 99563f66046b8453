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

	"github.com/filberthoist/filberthoist/core/inspector"
	"github.com/filberthoist/filberthoist/core/logger"
)

// maxBufferedBytes is the size up to which a response body is buffered and sent with its length.
const maxBufferedBytes = 256 << 10

// exchange is one request with its response. It is the handler's http.ResponseWriter.
type exchange struct {
	connection *connection
	request    *http.Request
	body       *requestBody
	// id is the request's ID, for the log; empty if it has none.
	id string
	// begun is when the head was read.
	begun time.Time
	// previous is closed once the preceding response is written or aborted; nil for the first.
	previous chan struct{}
	// done is closed once this response is written or aborted.
	done chan struct{}
	// closeAfter means that the connection is to close after the response.
	closeAfter bool

	header http.Header
	status int
	buffer bytes.Buffer
	// streaming means that the head was sent and that the body is sent as the handler writes it.
	streaming bool
	chunked   bool
}

// prepare sets up the request and its body.
func (e *exchange) prepare(r *http.Request) {
	e.closeAfter = r.Close
	c := e.connection
	r.RemoteAddr = c.socket.RemoteAddr().String()
	e.request = r.WithContext(c.requests)
	if name := c.acceptor.config.RequestHeader; name != "" {
		e.id = r.Header.Get(name) // the handler removes the header
	}
	e.header = http.Header{}
	var source io.Reader
	switch {
	case len(r.TransferEncoding) > 0:
		source = httputil.NewChunkedReader(c.reader)
		source = &trailerReader{Reader: source, connection: c}
	case r.ContentLength > 0:
		source = &lengthReader{source: c.reader, remaining: r.ContentLength}
	default:
		e.request.Body = http.NoBody
		return
	}
	e.body = &requestBody{Reader: source, result: make(chan bool, 1)}
	if r.Header.Get("Expect") != "" {
		e.body.sendContinue = e.sendContinue
	}
	e.request.Body = e.body
}

// sendContinue sends the interim response 100 to a caller that waits for it before it sends its body.
func (e *exchange) sendContinue() {
	if e.waitForTurn() {
		_ = e.connection.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // reading the body fails too
	}
}

// run runs the handler and finishes the response.
func (e *exchange) run() {
	defer e.connection.exchangesDone.Done()
	defer e.connection.endExchange()
	defer close(e.done)
	completed := e.handle()
	if e.body != nil {
		e.body.report(false)
	}
	if !completed || !e.waitForTurn() {
		e.waitForTurn()
		e.connection.abort(handlerAborted)
		e.connection.acceptor.logLost(e)
		return
	}
	e.finishResponse()
	if e.connection.earlyEnd() != "" {
		e.connection.acceptor.logLost(e)
	}
}

// handle runs the handler and reports whether it completed; it did not if it panicked.
func (e *exchange) handle() (completed bool) {
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler {
			e.connection.acceptor.config.Logger.Log(logger.HandlerPanicked,
				logger.F("error", fmt.Sprint(p)), logger.F("stack", string(debug.Stack())))
		}
	}()
	e.connection.acceptor.handler().ServeHTTP(e, e.request)
	return true
}

// reject responds to a request that could not be read, and ends the connection.
func (e *exchange) reject(status int) {
	defer e.connection.endExchange()
	defer close(e.done)
	e.header, e.status, e.closeAfter = http.Header{}, status, true
	if e.waitForTurn() {
		e.finishResponse()
	}
}

// waitForTurn waits until all earlier responses are written; false means that the connection is
// broken.
func (e *exchange) waitForTurn() bool {
	if e.previous != nil {
		<-e.previous
	}
	return !e.connection.isBroken()
}

// Header returns the header of the response.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader sets the status of the response. It panics, as net/http does, unless the status is one of a final response.
func (e *exchange) WriteHeader(status int) {
	if !inspector.IsFinal(status) {
		panic(fmt.Sprintf("invalid status %d", status))
	}
	if e.status == 0 {
		e.status = status
	}
}

// Write appends to the body. Beyond maxBufferedBytes, the body is sent as it is written.
func (e *exchange) Write(b []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.streaming {
		return len(b), e.writeBody(b)
	}
	e.buffer.Write(b)
	if e.buffer.Len() <= maxBufferedBytes {
		return len(b), nil
	}
	if !e.waitForTurn() {
		return 0, io.ErrClosedPipe
	}
	e.streaming = true
	e.chunked = e.header.Get("Content-Length") == ""
	if err := e.connection.write(e.encodeHead()); err != nil {
		return 0, err
	}
	err := e.writeBody(e.buffer.Bytes())
	e.buffer.Reset()
	return len(b), err
}

// SetReadDeadline bounds the reading of the body, for http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil || e.body.reported {
		return nil // the connection already waits for the next request
	}
	return e.connection.socket.SetReadDeadline(t)
}

// writeBody sends a part of a streamed body, as a chunk if the response is chunked.
func (e *exchange) writeBody(b []byte) error {
	if !e.chunked {
		return e.connection.write(b)
	}
	size := strconv.AppendInt(nil, int64(len(b)), 16)
	return e.connection.write(append(size, "\r\n"...), b, []byte("\r\n"))
}

// finishResponse sends what is left of the response.
func (e *exchange) finishResponse() {
	e.WriteHeader(http.StatusOK)
	if e.streaming {
		if e.chunked {
			_ = e.connection.write([]byte("0\r\n\r\n")) // a failed write aborts the connection
		}
		return
	}
	if e.header.Get("Content-Length") == "" && bodyAllowed(e.status) {
		e.header.Set("Content-Length", strconv.Itoa(e.buffer.Len()))
	}
	content := e.buffer.Bytes()
	if e.request != nil && e.request.Method == http.MethodHead {
		content = nil
	}
	_ = e.connection.write(e.encodeHead(), content) // a failed write aborts the connection
}

// encodeHead returns the status line and the header, and decides whether the connection closes.
func (e *exchange) encodeHead() []byte {
	a, unread := e.connection.acceptor, e.body != nil && !e.body.complete
	closeAfter := e.closeAfter || e.header.Get("Connection") == "close" || a.draining.Load() || a.exceedsSoftLimit() || unread || e.connection.isEnding()
	e.header.Del("Connection")
	if closeAfter && e.connection.announceEnd(e) {
		e.header.Set("Connection", "close")
	}
	if e.chunked {
		e.header.Set("Transfer-Encoding", "chunked")
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\r\n")
	_ = e.header.Write(&b) // a buffer accepts every write
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// lengthReader reads a body of a known length; an early end is an error.
type lengthReader struct {
	source    io.Reader
	remaining int64
}

// Read reads up to the end of the body.
func (s *lengthReader) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, io.EOF
	}
	if int64(len(b)) > s.remaining {
		b = b[:s.remaining]
	}
	n, err := s.source.Read(b)
	s.remaining -= int64(n)
	switch {
	case s.remaining == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// trailerReader reads a chunked body and discards the trailer after it.
type trailerReader struct {
	io.Reader
	connection *connection
	done       bool
}

// maxTrailerBytes bounds the size of a trailer.
const maxTrailerBytes = 4 << 10

// Read reads up to the end of the chunks, then skips the trailer.
func (t *trailerReader) Read(b []byte) (int, error) {
	if t.done {
		return 0, io.EOF
	}
	n, err := t.Reader.Read(b)
	if err != io.EOF {
		return n, err
	}
	t.done = true
	for left := maxTrailerBytes; left > 0; {
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
