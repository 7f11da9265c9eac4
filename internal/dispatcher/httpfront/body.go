package httpfront

import (
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/pipeline"
)

// completeRequest is a request that has been read to its end.
type completeRequest struct {
	arrived time.Time
	body    []byte
}

// requestKey is the context key of a completeRequest.
type requestKey struct{}

// readComplete reads a request's body, or answers the request with an error and returns false. In both cases
// the caller must release the memory of the returned slice. A chunked body is read to its end, up to maxBytes
// bytes, and sent to members with a Content-Length. If a request has both a Content-Length and chunks, net/http
// removes the Content-Length and reads the chunks, as RFC 9112 requires. The connection is closed after the
// answer to a chunked request, which prevents request smuggling.
func readComplete(w http.ResponseWriter, r *http.Request, maxBytes int64, bodies *bodyMemory) ([]byte, bool) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength > maxBytes {
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return nil, false
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	body, fits, err := bodies.read(r.Body, r.ContentLength, maxBytes)
	switch {
	case !fits && maxBytes == maxUpdateBytes: // the member repeats an unanswered callback
		bodies.release(cap(body))
		panic(http.ErrAbortHandler)
	case !fits: // net/http reads the rest in small pieces and discards it
		bodies.release(cap(body))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room for the body now", http.StatusServiceUnavailable)
		return nil, false
	case err != nil:
		rejectInput(w, http.StatusBadRequest, "the body could not be read")
		return body, false
	case int64(len(body)) > maxBytes:
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return body, false
	}
	return body, true
}
