// Package records decides which records of finished jobs the fleet keeps. It holds the
// small part of the replicated state: retention rules by tenant, holds, watermarks below
// which a tenant's records are pruned, and the progress of each process's shipping. The
// records themselves are in a Store. The package does no I/O and reads no clock; the same
// commands give the same bytes of state and the same records at every replica.
package records

import (
	"cmp"
	"errors"
	"fmt"
	"strings"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/fleet/codec"
)

// Record describes a job after its final answer. Times are nanoseconds since 1970
// by the clock of the process that answered. It is encoded as an array: the order of the
// fields is part of the format.
type Record struct {
	_             struct{} `cbor:",toarray"`
	ID, Key       string
	Tenant, Class string
	Plan, Stage   string // empty: the job was not part of a plan
	Outcome       string // see package accounting
	Reason        string
	Arrived       int64
	Ended         int64
	Attempts      int
	Members       []string // members that the job was sent to, in order
	Body          []byte   // nil: none was kept
	Process       string   // the process that answered; Epoch and Seq are the record's place in its spool
	Epoch, Seq    uint64
}

// Bounds of a record, so that one client's job can't fill the state.
const (
	maxText    = 1024 // bytes of each string
	maxMembers = 16
	maxRecord  = 1 << 20 // bytes encoded
)

// Trim reduces a record to the size limits: strings are truncated, only the last members
// are kept, and a body of more than maxBody bytes is left out.
func Trim(r Record, maxBody int) Record {
	for _, text := range []*string{&r.ID, &r.Key, &r.Tenant, &r.Class, &r.Plan, &r.Stage, &r.Outcome, &r.Reason} {
		*text = trimText(*text)
	}
	if n := len(r.Members); n > maxMembers {
		r.Members = r.Members[n-maxMembers:]
	}
	members := r.Members
	r.Members = nil
	for _, m := range members {
		r.Members = append(r.Members, trimText(m))
	}
	if len(r.Body) > maxBody || len(r.Body) == 0 {
		r.Body = nil
	}
	return r
}

// trimText truncates a string and makes it valid UTF-8.
func trimText(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > maxText {
		text = strings.ToValidUTF8(text[:maxText], "")
	}
	return text
}

// RetentionClass separates failures, which may be kept longer, from other records. It is
// stored as a number.
type RetentionClass uint8

// Retention classes.
const (
	Ordinary RetentionClass = iota // served or refused
	Failures
	RetentionClasses // number of classes
)

var failedOutcome = accounting.Failed.String()

// RetentionClass returns the class that the record is kept in.
func (r *Record) RetentionClass() RetentionClass {
	if r.Outcome == failedOutcome {
		return Failures
	}
	return Ordinary
}

// Position is a record's position among the records of its tenant, ordered by the end of
// its job. No two records have the same position.
type Position struct {
	Ended      int64
	Process    string
	Epoch, Seq uint64
}

// Position returns the record's position.
func (r *Record) Position() Position { return Position{r.Ended, r.Process, r.Epoch, r.Seq} }

// Compare orders positions.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Ended, other.Ended), strings.Compare(p.Process, other.Process), cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Seq, other.Seq))
}

// next returns the least position after this one. Sequence numbers never reach the maximum,
// so that it doesn't overflow.
func (p Position) next() Position {
	p.Seq++
	return p
}

// recordVersion precedes each encoded record.
const recordVersion = 1

// ErrVersion is returned for data written by an unknown version of the program.
var ErrVersion = errors.New("of a version that this program does not know")

// Encode encodes the record. It returns an error if that is too large.
func (r *Record) Encode() ([]byte, error) {
	text, err := codec.Encode(r)
	if err != nil {
		return nil, err
	}
	if len(text) >= maxRecord {
		return nil, fmt.Errorf("record %q: %d bytes, more than %d", r.ID, len(text), maxRecord)
	}
	return append([]byte{recordVersion}, text...), nil
}

// DecodeRecord decodes a record.
func DecodeRecord(text []byte) (r Record, err error) {
	if len(text) == 0 || text[0] != recordVersion {
		return r, fmt.Errorf("a record: %w", ErrVersion)
	}
	return r, codec.Decode(text[1:], &r)
}

// Reader reads a consistent state of the records. What it yields is valid until yield
// returns; yield returns false to end the iteration.
type Reader interface {
	// Ascend yields a tenant's records at or above a position, in ascending order.
	Ascend(tenant string, from Position, yield func(r *Record, text []byte) bool) error
	// Descend yields a tenant's records below a position, in descending order.
	Descend(tenant string, before Position, yield func(r *Record, text []byte) bool) error
	// ByID yields the records of a job id, by tenant and position.
	ByID(id string, yield func(r *Record, text []byte) bool) error
}

// Store holds the records. The changes of one command are atomic.
type Store interface {
	Reader
	// Put adds a record, with its encoded form.
	Put(r *Record, text []byte) error
	// Delete removes a record.
	Delete(r *Record) error
}
