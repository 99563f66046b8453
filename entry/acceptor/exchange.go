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
	"github.com/filberthoist/filberthoist/core/reserver"
)

// maxBufferedBytes is the size up to which a response body is buffered and sent with its length.
const maxBufferedBytes = 256 << 10

const (
	// unreservedBytes is the size up to which a response needs no reservation.
	unreservedBytes = 4 << 10
	// copiesHeld is how many copies of a response there are while it is buffered: the handler has one.
	copiesHeld = 2
)

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
	// unframed means that the end of the connection ends the body, since the caller knows no chunks.
	unframed bool
	// headPlace is the memory reserved for the head of the request.
	headPlace *reserver.Place
	// reserved is the size that the connection reserves for buffer.
	reserved int
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
		c.seat.Begin()
		return
	}
	e.body = &requestBody{Reader: source, result: make(chan bool, 1), seat: c.seat}
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
	defer e.release()
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
	defer e.headPlace.Close()
	e.header, e.status, e.closeAfter = http.Header{}, status, true
	if status == http.StatusServiceUnavailable {
		e.header.Set("Retry-After", "1")
	}
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
	if e.buffer.Len()+len(b) <= maxBufferedBytes && e.reserve(e.buffer.Len()+len(b)) {
		return e.buffer.Write(b)
	}
	if !e.waitForTurn() {
		return 0, io.ErrClosedPipe
	}
	e.streaming = true
	isSized := e.header.Get("Content-Length") != ""
	e.chunked, e.unframed = !isSized && e.request.ProtoAtLeast(1, 1), !isSized && !e.request.ProtoAtLeast(1, 1)
	if e.unframed {
		e.connection.setReset(true)
	}
	if err := e.connection.write(e.encodeHead()); err != nil {
		return 0, err
	}
	for _, part := range [][]byte{e.buffer.Bytes(), b} {
		if err := e.writeBody(part); err != nil {
			return 0, err
		}
	}
	e.buffer = bytes.Buffer{}
	return len(b), nil
}

// reserve reports whether there is memory for a buffered response of the given size.
func (e *exchange) reserve(size int) bool {
	if size <= unreservedBytes {
		return true
	}
	if !e.connection.reserve(size - e.reserved) {
		return false
	}
	e.reserved = size
	return true
}

// release gives up what the exchange holds in memory and on its connection, once the response is written.
func (e *exchange) release() {
	if e.body == nil || e.body.complete {
		e.connection.seat.End()
	}
	e.headPlace.Close()
	e.request, e.buffer = nil, bytes.Buffer{} // the connection holds its last exchange
	if e.reserved > 0 {
		e.connection.reserve(-e.reserved)
	}
}

// SetReadDeadline bounds the reading of the body, for http.ResponseController.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil || e.body.reported.Load() {
		return nil // the connection already waits for the next request
	}
	return e.connection.socket.SetReadDeadline(t)
}

// writeBody sends a part of a streamed body, as a chunk if the response is chunked.
func (e *exchange) writeBody(b []byte) error {
	if len(b) == 0 {
		return nil // an empty chunk would end the body
	}
	if !e.chunked {
		return e.connection.write(b)
	}
	size := strconv.AppendInt(nil, int64(len(b)), 16)
	return e.connection.write(append(size, "\r\n"...), b, []byte("\r\n"))
}

// finishResponse sends what is left of the response.
func (e *exchange) finishResponse() {
	e.WriteHeader(http.StatusOK)
	switch {
	case e.chunked:
		_ = e.connection.write([]byte("0\r\n\r\n")) // a failed write aborts the connection
	case e.unframed:
		e.connection.setReset(false)
	}
	if e.streaming {
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
