package journal

import (
	"encoding/binary"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// encoder encodes the records of one segment, in batches. Job numbers and times are encoded as the difference
// from the previous one. Each distinct text is stored once and referred to by its number.
type encoder struct {
	nameIDs map[string]uint64 // the numbers of the texts stored in the segment
	number  uint64            // of the last job
	at      int64             // the last time, in microseconds since 1970
	chain   uint64            // checksum of the previous batch, or of the header before the first batch
	buf     []byte            // space for the frame of the batch, then the batch so far
}

func newEncoder(h Header) *encoder {
	e := &encoder{nameIDs: make(map[string]uint64), at: h.Created, chain: xxhash.Sum64(h.encode())}
	e.startBatch()
	return e
}

func (e *encoder) startBatch() { e.buf = append(e.buf[:0], make([]byte, frameSize)...) }

func (e *encoder) empty() bool { return len(e.buf) == frameSize }

// endBatch completes the batch and returns its bytes, which are valid until startBatch or add is called.
func (e *encoder) endBatch() []byte {
	payload := e.buf[frameSize:]
	e.chain = segment.Frame(e.buf, payload, e.chain)
	return e.buf
}

// nameID returns the number of a text in this segment. For a new text it adds a record that assigns the next
// number.
func (e *encoder) nameID(text string) uint64 {
	if n, ok := e.nameIDs[text]; ok {
		return n
	}
	n := uint64(len(e.nameIDs))
	e.nameIDs[text] = n
	e.buf = append(e.buf, byte(kindName))
	e.uint(uint64(len(text)))
	e.buf = append(e.buf, text...)
	return n
}

func (e *encoder) uint(n uint64) { e.buf = binary.AppendUvarint(e.buf, n) }
func (e *encoder) int(n int64)   { e.buf = binary.AppendVarint(e.buf, n) }

func (e *encoder) time(at int64) {
	e.int(at - e.at)
	e.at = at
}

func (e *encoder) jobNumber(number uint64) {
	e.int(int64(number - e.number))
	e.number = number
}

func (e *encoder) endCounts(byReason *[accounting.Reasons]int64) {
	e.uint(uint64(len(byReason)))
	for _, n := range byReason {
		e.int(n)
	}
}

// add encodes a record, preceded by the records of texts that are new in the segment.
func (e *encoder) add(r *Record) {
	var front, class, tenant, group uint64
	switch r.Kind {
	case KindBalance, KindCarriedOver, KindAccepted:
		front, class, tenant = e.nameID(r.Series.Front), e.nameID(r.Series.Class), e.nameID(r.Series.Tenant)
	case KindEnded:
		group = e.nameID(r.Group)
	}
	e.buf = append(e.buf, byte(r.Kind))
	switch r.Kind {
	case KindBalance:
		e.uint(front)
		e.uint(class)
		e.uint(tenant)
		e.int(r.Accepted)
		e.endCounts(&r.Ends)
	case KindCarriedOver, KindAccepted:
		e.jobNumber(r.Number)
		e.time(r.At)
		e.uint(front)
		e.uint(class)
		e.uint(tenant)
		e.buf = binary.LittleEndian.AppendUint64(e.buf, r.LogicalRequest)
		retry := byte(0)
		if r.Retry {
			retry = 1
		}
		e.buf = append(e.buf, retry)
	case KindEnded:
		e.jobNumber(r.Number)
		e.time(r.At)
		e.buf = append(e.buf, byte(r.Reason))
		e.uint(group)
	case KindCheckpoint, KindSegmentStart:
		e.time(r.At)
		e.int(r.Accepted)
		e.int(r.Open)
		e.endCounts(&r.Ends)
	case KindCleanShutdown:
		e.time(r.At)
	}
}
