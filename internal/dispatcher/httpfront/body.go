package httpfront

import (
	"net/http"
	"time"

	"basaltloft/internal/dispatcher/pipeline"
)

// wholeRequest is a request that has been read whole.
type wholeRequest struct {
	arrived time.Time
	body    []byte
}

// requestKey is the context key of a wholeRequest.
type requestKey struct{}

// readWhole reads a request's body, or answers what is wrong with it; what it returns holds memory either
// way. A body in chunks is read whole, up to most bytes, and sent to members with a length. Where a
// Content-Length came beside the chunks, net/http has deleted it and reads the chunks, as RFC 9112
// requires; the connection is closed after the answer, so that no request can follow on it that one reader
// would see and another not.
func readWhole(w http.ResponseWriter, r *http.Request, most int64, room *bodyMemory) ([]byte, bool) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength > most {
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return nil, false
	}
	if r.ContentLength == 0 {
		return nil, true
	}
	body, fits, err := room.read(r.Body, r.ContentLength, most)
	switch {
	case !fits && most == maxUpdateBytes: // a member repeats what is not answered
		room.release(cap(body))
		panic(http.ErrAbortHandler)
	case !fits: // the rest is read by net/http, piece by piece, and dropped
		room.release(cap(body))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no room for the body now", http.StatusServiceUnavailable)
		return nil, false
	case err != nil:
		rejectInput(w, http.StatusBadRequest, "the body could not be read")
		return body, false
	case int64(len(body)) > most:
		rejectInput(w, http.StatusRequestEntityTooLarge, pipeline.ErrTooLarge.Error())
		return body, false
	}
	return body, true
}
