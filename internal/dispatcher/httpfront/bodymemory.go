package httpfront

import (
	"io"
	"sync/atomic"
)

// bodyMemory is the memory that bodies may take at a time, in bytes, from the first
// that is read to the answer: a client that sends most of a body holds what it
// sent, long before its job can be admitted or refused.
type bodyMemory struct {
	max  int64 // 0: no bound
	used atomic.Int64
}

// reserve takes n bytes more, or none where they aren't free.
func (r *bodyMemory) reserve(n int) bool {
	if r.used.Add(int64(n)) <= r.max || r.max == 0 {
		return true
	}
	r.release(n)
	return false
}

func (r *bodyMemory) release(n int) { r.used.Add(-int64(n)) }

// initialBodyBuffer is what is made ready for a body before any of it has come: most are smaller.
const initialBodyBuffer = 4 << 10

// read reads all of a body whose size is said to be size (below 0: unknown), up to
// most bytes and one more. Room is taken as bytes come, not for what was announced,
// and is the caller's to give back: cap of what is returned. It reports whether there
// was room; what there was none for has not been read.
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
		switch body = body[:len(body)+n]; err {
		case nil:
		case io.EOF:
			return body, true, nil
		default:
			return body, true, err
		}
	}
}
