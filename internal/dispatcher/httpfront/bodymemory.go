package httpfront

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyMemory bounds the memory that bodies take at a time, from the first byte that is read to the answer:
// a client that sends most of a body holds what it sent, long before its job can be admitted or refused.
type bodyMemory struct {
	max  int64 // in bytes; 0: no bound
	used atomic.Int64
}

// reserve takes n bytes, or none where they aren't free.
func (r *bodyMemory) reserve(n int) bool {
	if r.used.Add(int64(n)) <= r.max || r.max == 0 {
		return true
	}
	r.release(n)
	return false
}

// release gives n bytes back.
func (r *bodyMemory) release(n int) { r.used.Add(-int64(n)) }

// initialBodyBuffer is allocated for a body before any of it has come: most are smaller.
const initialBodyBuffer = 4 << 10

// read reads all of a body whose size is said to be size (below 0: unknown), up to most bytes and one more.
// Memory is reserved as bytes come, not for what was announced; the caller releases it: cap of the result.
// ok is false where there was no memory, and the rest has not been read.
func (r *bodyMemory) read(from io.Reader, size, most int64) (body []byte, ok bool, err error) {
	limit := int(most) + 1
	if size >= 0 {
		limit = min(limit, int(size)+1) // the end is read as well
	}
	for {
		if len(body) == cap(body) {
			if len(body) == limit {
				return body, true, nil
			}
			grown := min(limit, max(initialBodyBuffer, 2*cap(body)))
			if !r.reserve(grown - cap(body)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return body, true, err
		}
	}
}
