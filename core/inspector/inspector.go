// Package inspector decides what the head of a response may be (RFC 9112, section 4). A response with another head states
// nothing: neither what became of the request, nor anything about the server, nor where the next response begins.
package inspector

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// minFinalStatus and maxStatus bound the statuses of final responses.
const (
	minFinalStatus = http.StatusOK
	maxStatus      = 599
)

// statusDigits is the length of a status.
const statusDigits = 3

// maxTextBytes is how much of an invalid head an error shows.
const maxTextBytes = 48

// HeadError means that a response has an invalid head.
type HeadError struct {
	// Text describes the head, in printable ASCII.
	Text string
}

// Error returns a description of the head.
func (e *HeadError) Error() string {
	return "invalid response: " + e.Text
}

func newHeadError(text string) *HeadError {
	return &HeadError{Text: strconv.QuoteToASCII(text[:min(len(text), maxTextBytes)])}
}

// ReadResponse reads the head of the response to a request with the given method. It returns a HeadError if the head is
// invalid, or else the error that ended the reading.
func ReadResponse(b *bufio.Reader, method string) (*http.Response, error) {
	r, err := http.ReadResponse(b, &http.Request{Method: method})
	var broken net.Error
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF, errors.As(err, &broken):
		return nil, err
	case err != nil:
		return nil, newHeadError(err.Error())
	}
	return r, Check(r)
}

// Check returns a HeadError unless the response is of HTTP/1 and its status consists of three digits from 100 to 599. The
// status 101 is invalid too, since no request asks for another protocol.
func Check(r *http.Response) error {
	if r.ProtoMajor != 1 || !hasDigits(r.Status) || r.StatusCode == http.StatusSwitchingProtocols || !(IsInterim(r.StatusCode) || IsFinal(r.StatusCode)) {
		return newHeadError(r.Proto + " " + r.Status)
	}
	return nil
}

// hasDigits reports whether a status line, after the version, begins with the digits of a status. net/http accepts a sign
// among them.
func hasDigits(text string) bool {
	for i := range statusDigits {
		if i >= len(text) || text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return true
}

// IsInterim reports whether a response with this status precedes the final one.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus
}

// IsFinal reports whether a response with this status answers a request.
func IsFinal(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}

// Transport is an http.RoundTripper that fails on responses with an invalid head.
type Transport struct {
	Next http.RoundTripper
}

// RoundTrip sends a request.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close() // an unread body ends its connection
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
