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

// readComplete reads a request's body, or answers what is wrong with it; what it returns holds memory either
// way. A body in chunks is read to its end, up to maxBytes bytes, and sent to members with a length. Where a
// Content-Length came beside the chunks, net/http has deleted it and reads the chunks, as RFC 9112
// requires; the connection is closed after the answer, so that no request can follow on it that one reader
// would see and another not.
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
	case !fits && maxBytes == maxUpdateBytes: // a member repeats what is not answered
		bodies.release(cap(body))
		panic(http.ErrAbortHandler)
	case !fits: // the rest is read by net/http, piece by piece, and dropped
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
