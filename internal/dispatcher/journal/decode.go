package journal

import (
	"encoding/binary"
	"errors"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// decoder decodes the records of one segment. For a malformed value its methods return zero and set malformed.
type decoder struct {
	version   uint16   // of the segment
	names     []string // texts, indexed by their number in the segment
	number    uint64   // of the last job
	at        int64    // the last time, in microseconds since 1970
	rest      []byte   // the part of the batch that is not yet decoded
	malformed bool     // the batch contains an invalid value
}

func (d *decoder) uint() uint64 { return varint(d, binary.Uvarint) }
func (d *decoder) int() int64   { return varint(d, binary.Varint) }

func varint[N uint64 | int64](d *decoder, read func([]byte) (N, int)) N {
	n, size := read(d.rest)
	if size <= 0 {
		d.malformed = true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) bytes(n int) []byte {
	if n < 0 || n > len(d.rest) {
		d.malformed = true
		return make([]byte, min(max(n, 0), 8))
	}
	value := d.rest[:n]
	d.rest = d.rest[n:]
	return value
}

func (d *decoder) name() string {
	n := d.uint()
	if n >= uint64(len(d.names)) {
		d.malformed = true
		return ""
	}
	return d.names[n]
}

func (d *decoder) time() int64 {
	d.at += d.int()
	return d.at
}

func (d *decoder) jobNumber() uint64 {
	d.number += uint64(d.int())
	return d.number
}

func (d *decoder) endCounts(into *[accounting.Reasons]int64) {
	n := d.uint()
	if n > uint64(len(into)) {
		d.malformed = true
		return
	}
	for i := range n {
		into[i] = d.int()
	}
}

// records decodes the payload of one batch and calls yield for each record.
func (d *decoder) records(payload []byte, yield func(*Record) error) error {
	d.rest = payload
	for len(d.rest) > 0 {
		r := Record{Kind: Kind(d.bytes(1)[0])}
		switch r.Kind {
		case kindName:
			n := d.uint()
			if n > uint64(len(d.rest)) {
				return errInvalidRecord
			}
			d.names = append(d.names, string(d.bytes(int(n))))
			continue
		case KindBalance:
			r.Series = Series{d.name(), d.name(), d.name()}
			r.Accepted = d.int()
			d.endCounts(&r.Ends)
		case KindCarriedOver, KindAccepted:
			r.Number, r.At = d.jobNumber(), d.time()
			r.Series = Series{d.name(), d.name(), d.name()}
			r.LogicalRequest = binary.LittleEndian.Uint64(d.bytes(8))
			r.Retry = d.bytes(1)[0] == 1
		case KindEnded:
			r.Number, r.At = d.jobNumber(), d.time()
			r.Reason = accounting.Reason(d.bytes(1)[0])
			if r.Reason >= accounting.Reasons {
				return errInvalidRecord
			}
			r.Group = accounting.NoGroup
			if d.version >= 2 {
				r.Group = d.name()
			}
		case KindCheckpoint, KindSegmentStart:
			r.At = d.time()
			r.Accepted, r.Open = d.int(), d.int()
			d.endCounts(&r.Ends)
		case KindCleanShutdown:
			r.At = d.time()
		default:
			return errInvalidRecord
		}
		if d.malformed {
			return errInvalidRecord
		}
		if err := yield(&r); err != nil {
			return err
		}
	}
	return nil
}

// ScanResult describes how much of a segment could be read.
type ScanResult struct {
	Header     Header
	Batches    int
	ValidBytes int   // length of the valid prefix: the header and the complete, undamaged batches
	Torn       bool  // the valid prefix is followed by a partly written header or batch
	Err        error // the valid prefix is followed by damaged data
}

// Scan reads a segment up to the first torn or damaged batch, and calls yield for each record. An error of
// yield ends the scan and is returned; Scan returns no other error.
func Scan(text []byte, yield func(*Record) error) (s ScanResult, err error) {
	if s.Header, s.Err = decodeHeader(text); s.Err != nil {
		if errors.Is(s.Err, errTorn) {
			s.Torn, s.Err = true, nil
		}
		return s, nil
	}
	d := &decoder{version: s.Header.Version, at: s.Header.Created}
	read, err := segment.Scan(text, headerSize, xxhash.Sum64(text[:headerSize]), func(payload []byte) error { return d.records(payload, yield) })
	s.Batches, s.ValidBytes, s.Torn, s.Err = read.Batches, read.ValidBytes, read.Torn, read.Err
	return s, err
}
