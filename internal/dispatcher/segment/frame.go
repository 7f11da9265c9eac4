package segment

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FrameSize is the size in bytes of the frame before a batch: its length, a check of the
// length, and its checksum.
const FrameSize = 16

// MaxBatch is the largest batch, in bytes.
const MaxBatch = 64 << 20

// ErrNewerVersion says that a segment was written by a newer version of the program.
var ErrNewerVersion = errors.New("written by a newer version of the program")

// ErrInvalidRecord says that a batch is complete and its content is invalid.
var ErrInvalidRecord = errors.New("a record makes no sense")

// Frame fills in the FrameSize bytes before a payload, and returns the checksum that seeds
// that of the next batch.
func Frame(into, payload []byte, chain uint64) uint64 {
	binary.LittleEndian.PutUint32(into, uint32(len(payload)))
	binary.LittleEndian.PutUint32(into[4:], uint32(xxhash.Sum64(into[:4])))
	sum := checksum(payload, chain)
	binary.LittleEndian.PutUint64(into[8:], sum)
	return sum
}

func checksum(payload []byte, chain uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(chain)
	_, _ = d.Write(payload) // a hash never fails
	return d.Sum64()
}

// ScanResult tells how a scan ended.
type ScanResult struct {
	Batches    int
	ValidBytes int    // length of the valid prefix
	Chain      uint64 // checksum of the last valid batch
	Torn       bool   // an incomplete batch follows the valid prefix
	Err        error  // damaged data follows the valid prefix
}

// Scan reads the batches of a segment from an offset at which the checksum chain has a
// value. It stops at the first batch that is incomplete or invalid, or for which yield
// returns ErrInvalidRecord. Any other error of yield ends the scan and is returned.
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
