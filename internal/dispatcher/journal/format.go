// Package journal counts jobs independently of the ledger of package accounting. Each accepted job and each
// end of a job is written as a record to checksummed segments, in a directory that outlives the process. The
// journal keeps its own balance, so that a restarted process continues the count of the previous one. Each
// start begins an epoch. The jobs that the previous epoch left open are ended as crashed before anything new
// is counted.
//
// A segment consists of a header and batches. Its first batch holds the balance so far and the open jobs, so
// that a segment can be read without those before it. The checksum of a batch is seeded with that of the batch
// before it, so that a missing, moved or torn batch is always detected, and a batch counts as a whole or not
// at all.
//
// Open returns a journal for writing. Scan, Report and Verify read segments, also while a process writes.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// Version is the format version of the segments that are written. Older versions can be read: version 1 had
// no groups of pool members.
const Version = 2

// Directory is the directory that holds the segments of a journal.
type Directory = segment.Directory

// File is a segment that is being written.
type File = segment.File

// Errors of directories and segments.
var (
	// ErrInUse is returned when another process writes to the directory.
	ErrInUse = segment.ErrInUse
	// ErrNewerVersion is returned when a segment was written by a newer version of the program.
	ErrNewerVersion = segment.ErrNewerVersion

	errTorn          = errors.New("the end is torn")
	errInvalidRecord = segment.ErrInvalidRecord
)

// OpenDirectory opens a directory for writing, as segment.OpenDirectory does.
func OpenDirectory(path string) (Directory, error) { return segment.OpenDirectory(path) }

// ReadDirectory opens a directory for reading, also while a process writes to it.
func ReadDirectory(path string) (Directory, error) { return segment.ReadDirectory(path) }

const (
	magic      = "BASALTFG"
	headerSize = 36 // magic, version, epoch, index, created, checksum
	frameSize  = segment.FrameSize
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records. The values are stored in segments and must not change.
const (
	kindName          Kind = iota + 1 // assigns a number to a text, valid within the segment
	KindBalance                       // the totals of a series at the segment's start
	KindCarriedOver                   // a job that is open at the segment's start
	KindAccepted                      // a job was accepted
	KindEnded                         // a job ended
	KindCheckpoint                    // the ledger's totals of this epoch at this point
	KindCleanShutdown                 // the epoch ended with no job open
	KindSegmentStart                  // the first record of a segment: the totals of this epoch before it
)

// Series is the key by which the balance counts jobs.
type Series struct{ Front, Class, Tenant string }

// Record is one record of a segment. Fields that its kind doesn't have are zero.
type Record struct {
	Kind           Kind
	Number         uint64 // of the job, within its epoch
	At             int64  // microseconds since 1970
	Series         Series
	LogicalRequest uint64 // the id of the job's logical request; 0: the client gave no key
	Retry          bool   // the client marked the job as a retry
	Group          string // of the pool member that answered last
	Reason         accounting.Reason
	Accepted       int64 // in a balance, checkpoint or segment start
	Open           int64 // in a checkpoint or segment start
	Ends           [accounting.Reasons]int64
}

// Header is the header of a segment.
type Header struct {
	Version      uint16
	Epoch, Index uint32
	Created      int64 // microseconds since 1970
}

func (h Header) name() string { return fmt.Sprintf("%08d-%08d.seg", h.Epoch, h.Index) }

func (h Header) encode() []byte {
	b := append(make([]byte, 0, headerSize), magic...)
	b = binary.LittleEndian.AppendUint16(b, h.Version)
	b = binary.LittleEndian.AppendUint16(b, 0)
	b = binary.LittleEndian.AppendUint32(b, h.Epoch)
	b = binary.LittleEndian.AppendUint32(b, h.Index)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Created))
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

func decodeHeader(b []byte) (Header, error) {
	if len(b) < headerSize {
		return Header{}, errTorn
	}
	if string(b[:len(magic)]) != magic || xxhash.Sum64(b[:headerSize-8]) != binary.LittleEndian.Uint64(b[headerSize-8:]) {
		return Header{}, errors.New("the header is damaged")
	}
	h := Header{
		Version: binary.LittleEndian.Uint16(b[8:]), Epoch: binary.LittleEndian.Uint32(b[12:]),
		Index: binary.LittleEndian.Uint32(b[16:]), Created: int64(binary.LittleEndian.Uint64(b[20:])),
	}
	if h.Version > Version {
		return h, fmt.Errorf("version %d: %w", h.Version, ErrNewerVersion)
	}
	return h, nil
}
