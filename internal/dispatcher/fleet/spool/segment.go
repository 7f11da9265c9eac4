package spool

import (
	"encoding/binary"
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// A segment consists of a header and batches. The first batch holds the segment's owner
// (segmentOwner); the others hold records, each preceded by its length.
const (
	magic      = "BASALTFS"
	version    = 1
	headerSize = 20 // magic, version, checksum
)

var (
	// ErrVersion is returned for a segment that a program of another version wrote.
	ErrVersion = errors.New("of a version that this program does not know")
	// ErrForeign is returned for a directory that holds another process's spool.
	ErrForeign = errors.New("the spool of another process")
)

// segmentOwner is the first batch of a segment.
type segmentOwner struct {
	Process      string
	Epoch, First uint64
}

// segmentFile is a segment in the directory.
type segmentFile struct {
	name           string
	epoch          uint64
	first          uint64 // sequence number of its first record
	next           uint64 // sequence number after its last record
	shippedThrough uint64 // the fleet has everything up to this sequence number
	size           int64
	writing        bool // it is being written
	damaged        bool // it is kept for inspection
}

func segmentName(epoch uint64, index int) string { return fmt.Sprintf("%020d-%08d.seg", epoch, index) }

func segmentHeader() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(magic), version)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// frameBatch fills in the frame at the start of b for the payload after it, and returns the
// chain value for the next batch.
func frameBatch(b []byte, chain uint64) uint64 { return segment.Frame(b, b[segment.FrameSize:], chain) }

// segmentScan is the result of scanning a segment.
type segmentScan struct {
	segment.ScanResult
	owner   segmentOwner
	records uint64
}

// scanSegment scans a segment from its start, and passes each batch's encoded records to
// yield, with the sequence number of the first. If the result has no owner, the segment's
// first batch is incomplete.
func scanSegment(data []byte, yield func(first uint64, encoded [][]byte) error) (s segmentScan, err error) {
	if len(data) < headerSize {
		s.Torn = true
		return s, nil
	}
	if string(data[:len(magic)]) != magic || xxhash.Sum64(data[:headerSize-8]) != binary.LittleEndian.Uint64(data[headerSize-8:headerSize]) {
		s.Err = errors.New("the header is damaged")
		return s, nil
	}
	if v := binary.LittleEndian.Uint32(data[len(magic):]); v != version {
		return s, fmt.Errorf("version %d, this program writes %d: %w", v, version, ErrVersion)
	}
	owned := false
	s.ScanResult, err = segment.Scan(data, headerSize, xxhash.Sum64(data[:headerSize]), func(payload []byte) error {
		if !owned {
			if codec.Decode(payload, &s.owner) != nil {
				return segment.ErrInvalidRecord
			}
			owned = true
			return nil
		}
		encoded, ok := splitBatch(payload)
		if !ok {
			return segment.ErrInvalidRecord
		}
		first := s.owner.First + s.records
		s.records += uint64(len(encoded))
		return yield(first, encoded)
	})
	return s, err
}

// splitBatch splits a batch's payload into its encoded records.
func splitBatch(payload []byte) (encoded [][]byte, ok bool) {
	for len(payload) > 0 {
		n, size := binary.Uvarint(payload)
		if size <= 0 || n > uint64(len(payload)-size) {
			return nil, false
		}
		encoded = append(encoded, payload[size:size+int(n)])
		payload = payload[size+int(n):]
	}
	return encoded, true
}

// decodeRecords decodes records that are to be shipped.
func decodeRecords(encoded [][]byte) (all []records.Record, err error) {
	for _, data := range encoded {
		r, err := records.DecodeRecord(data)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
