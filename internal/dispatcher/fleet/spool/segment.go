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

// A segment is a header and batches. The first batch says whose it is; the others
// hold records, each after its length.
const (
	magic      = "BASALTFS"
	version    = 1
	headerSize = 20 // magic, version, checksum
)

var (
	// ErrVersion says that a segment was written by a program of another version.
	ErrVersion = errors.New("of a version that this program does not know")
	// ErrForeign says that a folder holds another process's spool.
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
	damaged        bool // it stays for inspection
}

func segmentName(epoch uint64, index int) string { return fmt.Sprintf("%020d-%08d.seg", epoch, index) }

func segmentHeader() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(magic), version)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// frameBatch frames a payload that has room for the frame before it.
func frameBatch(b []byte, chain uint64) uint64 { return segment.Frame(b, b[segment.FrameSize:], chain) }

// segmentScan is the result of scanning a segment.
type segmentScan struct {
	segment.ScanResult
	owner   segmentOwner
	records uint64
}

// scanSegment scans a segment from its start, and yields each batch's records with the
// sequence number of the first. If there is no owner, the segment was only begun.
func scanSegment(text []byte, yield func(first uint64, texts [][]byte) error) (s segmentScan, err error) {
	if len(text) < headerSize {
		s.Torn = true
		return s, nil
	}
	if string(text[:len(magic)]) != magic || xxhash.Sum64(text[:headerSize-8]) != binary.LittleEndian.Uint64(text[headerSize-8:headerSize]) {
		s.Err = errors.New("the header is damaged")
		return s, nil
	}
	if v := binary.LittleEndian.Uint32(text[len(magic):]); v != version {
		return s, fmt.Errorf("version %d, this program writes %d: %w", v, version, ErrVersion)
	}
	owned := false
	s.ScanResult, err = segment.Scan(text, headerSize, xxhash.Sum64(text[:headerSize]), func(payload []byte) error {
		if !owned {
			if codec.Decode(payload, &s.owner) != nil {
				return segment.ErrInvalidRecord
			}
			owned = true
			return nil
		}
		texts, ok := splitBatch(payload)
		if !ok {
			return segment.ErrInvalidRecord
		}
		first := s.owner.First + s.records
		s.records += uint64(len(texts))
		return yield(first, texts)
	})
	return s, err
}

func splitBatch(payload []byte) (texts [][]byte, ok bool) {
	for len(payload) > 0 {
		n, size := binary.Uvarint(payload)
		if size <= 0 || n > uint64(len(payload)-size) {
			return nil, false
		}
		texts = append(texts, payload[size:size+int(n)])
		payload = payload[size+int(n):]
	}
	return texts, true
}

// decodeRecords decodes records that are to be shipped.
func decodeRecords(texts [][]byte) (all []records.Record, err error) {
	for _, text := range texts {
		r, err := records.DecodeRecord(text)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}
