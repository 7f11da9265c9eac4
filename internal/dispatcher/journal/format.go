// Package journal counts jobs a second time, beside the ledger of package accounting:
// each job that is accepted and each that ends is written, as it happens, to checksummed
// segments in a directory that outlives the process. The journal keeps a balance of its
// own, so that a restart counts on from what the last process left. Each start begins an
// epoch; the jobs that the epoch before left open are ended as crashed before anything
// new is counted.
//
// A segment is a header and batches. The first batch has the balance so far and the open
// jobs, so that each segment can be read without those before it. A batch is written
// whole or not at all: its checksum is seeded with that of the batch before it, so that
// none can be missing, moved or torn unseen.
//
// Open writes; Scan, Report and Verify read, also beside a process that writes.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/segment"

	"github.com/cespare/xxhash/v2"
)

// Version is the version that is written. Older ones are read too: version 1 had no
// groups of pool members.
const Version = 2

// Directory holds the segments of a journal.
type Directory = segment.Directory

// File is a segment that is being written.
type File = segment.File

// Errors of directories and segments.
var (
	// ErrInUse says that another process writes to a directory.
	ErrInUse = segment.ErrInUse
	// ErrNewerVersion says that a segment was written by a newer program.
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

// Kinds of records, as they are stored: they stay.
const (
	kindName          Kind = iota + 1 // gives a text a number within the segment
	KindBalance                       // what a series adds up to at the segment's start
	KindCarriedOver                   // a job that is open at the segment's start
	KindAccepted                      // a job was accepted
	KindEnded                         // a job ended
	KindCheckpoint                    // the ledger's totals of this epoch at this place
	KindCleanShutdown                 // the epoch ended with no job open
	KindSegmentStart                  // begins a segment: the ledger's totals of this epoch before it
)

// Series is what jobs are counted by.
type Series struct{ Front, Class, Tenant string }

// Record is one record. Fields that its kind does not have are zero.
type Record struct {
	Kind           Kind
	Number         uint64 // of the job, within its epoch
	At             int64  // microseconds since 1970
	Series         Series
	LogicalRequest uint64 // its id; 0: the client gave no key
	Retry          bool   // the client marked it as one
	Group          string // of the pool member that answered last
	Reason         accounting.Reason
	Accepted       int64 // of a balance, checkpoint and segment start
	Open           int64 // of a checkpoint and segment start
	Ends           [accounting.Reasons]int64
}

// Header is a segment's header.
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
