package httpfront

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyMemory limits the memory that request bodies use at a time, from the first byte read to the answer: a
// client that sends only a part of a body occupies memory long before its job can be admitted or refused.
type bodyMemory struct {
	max  int64 // in bytes; 0: no limit
	used atomic.Int64
}

// reserve reserves n bytes and reports whether they were available.
func (r *bodyMemory) reserve(n int) bool {
	if r.used.Add(int64(n)) <= r.max || r.max == 0 {
		return true
	}
	r.release(n)
	return false
}

// release returns n reserved bytes.
func (r *bodyMemory) release(n int) { r.used.Add(-int64(n)) }

// initialBodyBuffer is the size of the buffer allocated before any byte of a body has arrived; most bodies are
// smaller.
const initialBodyBuffer = 4 << 10

// read reads a body with the announced size (negative if unknown), up to maxBytes bytes plus one. Memory is
// reserved as bytes arrive, not for the announced size; the caller must release cap(body) bytes. ok is false
// if no memory was available; the rest has then not been read.
func (r *bodyMemory) read(from io.Reader, size, maxBytes int64) (body []byte, ok bool, err error) {
	limit := int(maxBytes) + 1
	if size >= 0 {
		limit = min(limit, int(size)+1) // one more, to read the EOF
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
