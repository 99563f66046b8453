package connector

import "net/http"

// Headers that no process reads. They would be a good part of the bytes of small calls.
var (
	spareRequestHeaders  = []string{"Connect-Protocol-Version"}
	spareResponseHeaders = []string{"Date", "Accept-Encoding"}
)

// trimmer sends requests without spare headers.
type trimmer struct {
	next *http.Transport
}

// RoundTrip sends a request.
func (t trimmer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("User-Agent", "") // net/http sets a default unless it is empty
	for _, name := range spareRequestHeaders {
		r.Header.Del(name)
	}
	if r.Header.Get("Accept-Encoding") == "identity" {
		r.Header.Del("Accept-Encoding")
	}
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes the connections that carry no request.
func (t trimmer) CloseIdleConnections() {
	t.next.CloseIdleConnections()
}

// trimResponse returns a handler whose responses lack spare headers.
func trimResponse(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // net/http sets a default unless there is an entry
		h.ServeHTTP(trimmedWriter{w}, r)
	})
}

// trimmedWriter removes spare headers when the response begins.
type trimmedWriter struct {
	http.ResponseWriter
}

// WriteHeader begins the response.
func (w trimmedWriter) WriteHeader(status int) {
	w.trim()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w trimmedWriter) Write(b []byte) (int, error) {
	w.trim()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w trimmedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

func (w trimmedWriter) trim() {
	for _, name := range spareResponseHeaders {
		w.Header()[name] = nil
	}
}
