package segment

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FrameSize is the size in bytes of the frame before a batch's payload: the payload's length (4 bytes), a
// checksum of the length (4) and a checksum of the payload (8).
const FrameSize = 16

// MaxBatch is the maximum length of a batch's payload, in bytes.
const MaxBatch = 64 << 20

// ErrNewerVersion is returned by readers of segments when a newer version of the program wrote the segment.
var ErrNewerVersion = errors.New("written by a newer version of the program")

// ErrInvalidRecord is returned by the yield function of Scan for a complete batch whose content is invalid.
var ErrInvalidRecord = errors.New("invalid record")

// Frame writes the frame of a payload to the first FrameSize bytes of into. chain is the checksum of the batch
// before. It returns the payload's checksum, which is the chain of the next batch.
func Frame(into, payload []byte, chain uint64) uint64 {
	binary.LittleEndian.PutUint32(into, uint32(len(payload)))
	binary.LittleEndian.PutUint32(into[4:], uint32(xxhash.Sum64(into[:4])))
	sum := checksum(payload, chain)
	binary.LittleEndian.PutUint64(into[8:], sum)
	return sum
}

// checksum returns the checksum of a payload, seeded with that of the batch before.
func checksum(payload []byte, chain uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(chain)
	_, _ = d.Write(payload) // Write of a Digest returns no error
	return d.Sum64()
}

// ScanResult is the result of a scan.
type ScanResult struct {
	Batches    int    // number of valid batches
	ValidBytes int    // length of the segment's valid prefix
	Chain      uint64 // checksum of the last valid batch; the chain of the next
	Torn       bool   // an incomplete batch follows the valid prefix
	Err        error  // why the data after the valid prefix is invalid; nil if it is absent or torn
}

// Scan reads the batches of a segment from the offset from and calls yield with the payload of each. chain is
// the seed of the first batch's checksum. The scan stops at the first batch that is incomplete or
// invalid, or for which yield returns ErrInvalidRecord; the result holds the reason. Any other error of yield
// ends the scan and is returned.
func Scan(segment []byte, from int, chain uint64, yield func(payload []byte) error) (s ScanResult, err error) {
	for s.ValidBytes, s.Chain = from, chain; s.ValidBytes < len(segment); s.Batches++ {
		rest := segment[s.ValidBytes:]
		if len(rest) < FrameSize {
			s.Torn = true
			return s, nil
		}
		size := binary.LittleEndian.Uint32(rest)
		switch {
		case uint32(xxhash.Sum64(rest[:4])) != binary.LittleEndian.Uint32(rest[4:]) || size == 0 || size > MaxBatch:
			s.Err = fmt.Errorf("the length of a batch at byte %d is damaged", s.ValidBytes)
			return s, nil
		case len(rest) < FrameSize+int(size):
			s.Torn = true
			return s, nil
		}
		payload := rest[FrameSize : FrameSize+int(size)]
		sum := binary.LittleEndian.Uint64(rest[8:])
		if checksum(payload, s.Chain) != sum {
			s.Err = fmt.Errorf("a batch at byte %d is damaged", s.ValidBytes)
			return s, nil
		}
		switch err := yield(payload); {
		case errors.Is(err, ErrInvalidRecord):
			s.Err = fmt.Errorf("a batch at byte %d: %w", s.ValidBytes, err)
			return s, nil
		case err != nil:
			return s, err
		}
		s.Chain = sum
		s.ValidBytes += FrameSize + int(size)
	}
	return s, nil
}
