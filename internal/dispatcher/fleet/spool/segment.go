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

// segmentFile is a segment that is in the folder.
type segmentFile struct {
	name           string
	epoch          uint64
	first          uint64 // number of its first record
	next           uint64 // number after its last record
	shippedThrough uint64 // the fleet has all up to this number
	size           int64
	writing        bool // it is being written
	damaged        bool // it is damaged, and stays
}

func segmentName(epoch uint64, index int) string { return fmt.Sprintf("%020d-%08d.seg", epoch, index) }

func segmentHeader() []byte {
	b := binary.LittleEndian.AppendUint32([]byte(magic), version)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// frameBatch frames a payload that has room for the frame before it.
func frameBatch(b []byte, chain uint64) uint64 { return segment.Frame(b, b[segment.FrameSize:], chain) }

// segmentScan is what a reading of a segment found.
type segmentScan struct {
	segment.ScanResult
	owner   segmentOwner
	records uint64
}

// scanSegment reads a segment from its start, and yields each batch's records with the number
// of the first. No owner: it was being begun.
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

// recoverSegments finds what is in the folder, cuts torn ends and returns the latest epoch.
// All is looked at before anything is changed.
func (p *Spool) recoverSegments() (last uint64, err error) {
	names, err := p.folder.Names()
	if err != nil {
		return 0, fmt.Errorf("listing the spool of records: %w", err)
	}
	type torn struct {
		name   string
		to, of int
	}
	var cut []torn
	for _, name := range names {
		text, err := p.folder.Read(name)
		if err != nil {
			return 0, fmt.Errorf("reading %s of the spool: %w", name, err)
		}
		s, err := scanSegment(text, func(uint64, [][]byte) error { return nil })
		if err != nil {
			return 0, fmt.Errorf("%s of the spool: %w", name, err)
		}
		var epoch uint64 // a name is not used again, whatever is in the file
		if _, err := fmt.Sscanf(name, "%d-", &epoch); err != nil {
			return 0, fmt.Errorf("%s of the spool: its name: %w", name, ErrForeign)
		}
		last = max(last, epoch)
		if s.Err != nil { // kept as a witness
			p.log.WithError(s.Err).Errorf("%s of the spool of records is damaged: %d bytes can't be shipped; the file stays until it is removed by hand", name, len(text)-s.ValidBytes)
		}
		if s.owner.Process != "" && s.owner.Process != p.settings.Process {
			return 0, fmt.Errorf("%s is of process %q, this is %q: %w", name, s.owner.Process, p.settings.Process, ErrForeign)
		}
		if s.Torn {
			cut = append(cut, torn{name, s.ValidBytes, len(text)})
		}
		if s.records > 0 {
			p.segments = append(p.segments, &segmentFile{
				name: name, epoch: s.owner.Epoch, first: s.owner.First, next: s.owner.First + s.records, shippedThrough: s.owner.First - 1, size: int64(s.ValidBytes), damaged: s.Err != nil,
			})
		} else if s.Err == nil && !s.Torn {
			cut = append(cut, torn{name, 0, len(text)})
		}
	}
	kept := func(name string) bool {
		for _, s := range p.segments {
			if s.name == name {
				return true
			}
		}
		return false
	}
	for _, c := range cut {
		if kept(c.name) {
			p.log.Warnf("%s of the spool of records: a torn end of %d bytes is cut", c.name, c.of-c.to)
			if err := p.folder.Truncate(c.name, int64(c.to)); err != nil {
				return 0, fmt.Errorf("cutting a torn end: %w", err)
			}
			continue
		}
		p.log.Infof("%s of the spool of records was only begun: it is removed", c.name)
		if err := p.folder.Remove(c.name); err != nil {
			return 0, fmt.Errorf("removing a segment that was only begun: %w", err)
		}
	}
	return last, nil
}

// decodeRecords reads the records that are to be shipped.
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
