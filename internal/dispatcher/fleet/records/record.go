// Package records decides which finished jobs' records the fleet keeps. It holds
// what is small of the replicated state: rules by tenant, holds, marks below which
// a tenant's records are cut, and how far each process's records were taken in. The
// records themselves are in a Store. It does no I/O and reads no clock; the same
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

// Record is what is left of a job after its final answer. Times are nanoseconds
// since 1970 by the clock of the process that answered.
type Record struct {
	_             struct{} `cbor:",toarray"`
	ID, Key       string
	Tenant, Class string
	Plan, Stage   string // empty: the job was no part of a plan
	Outcome       string // in the words of the account
	Reason        string
	Arrived       int64
	Ended         int64
	Attempts      int
	Members       []string // where it was sent, the first first
	Body          []byte   // nil: none was kept
	Process       string   // that answered, with the place of the record in its spool
	Epoch, Seq    uint64
}

// Bounds of a record, so that one client's job can't fill the state.
const (
	maxText    = 1024 // bytes of each text
	maxMembers = 16
	maxRecord  = 1 << 20 // bytes encoded
)

// Trim makes a record fit to be kept: texts are cut, of the members the last are
// kept, and a body of more bytes than most is left out.
func Trim(r Record, most int) Record {
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
	if len(r.Body) > most || len(r.Body) == 0 {
		r.Body = nil
	}
	return r
}

// trimText cuts a text and makes it one that has a form.
func trimText(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) > maxText {
		text = strings.ToValidUTF8(text[:maxText], "")
	}
	return text
}

// RetentionClass tells failures, which may be kept longer, from the rest.
type RetentionClass uint8

// RetentionClasses of a tenant.
const (
	Ordinary RetentionClass = iota // served or refused
	Failures
	RetentionClasses
)

var failedOutcome = accounting.Failed.String()

// RetentionClass is the lane that the record is kept in.
func (r *Record) RetentionClass() RetentionClass {
	if r.Outcome == failedOutcome {
		return Failures
	}
	return Ordinary
}

// Position is a record's place among its tenant's. No two records have the same.
type Position struct {
	Ended      int64
	Process    string
	Epoch, Seq uint64
}

// Position is the record's place.
func (r *Record) Position() Position { return Position{r.Ended, r.Process, r.Epoch, r.Seq} }

// Compare orders places.
func (o Position) Compare(p Position) int {
	return cmp.Or(cmp.Compare(o.Ended, p.Ended), strings.Compare(o.Process, p.Process), cmp.Compare(o.Epoch, p.Epoch), cmp.Compare(o.Seq, p.Seq))
}

// next is the least place after this one. Numbers of records do not reach the end.
func (o Position) next() Position {
	o.Seq++
	return o
}

// recordVersion stands before each encoded record.
const recordVersion = 1

// ErrVersion says that something was written by a version of the program that this
// one does not know.
var ErrVersion = errors.New("of a version that this program does not know")

// Encode writes a record.
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

// DecodeRecord reads a record that Encode wrote.
func DecodeRecord(text []byte) (r Record, err error) {
	if len(text) == 0 || text[0] != recordVersion {
		return r, fmt.Errorf("a record: %w", ErrVersion)
	}
	return r, codec.Decode(text[1:], &r)
}

// Reader reads a consistent state of the records. What it yields holds until yield
// returns; that returns false to end the reading.
type Reader interface {
	// Ascend yields a tenant's records whose place is at least from, in order.
	Ascend(tenant string, from Position, yield func(r *Record, text []byte) bool) error
	// Descend yields those whose place is below before, the last first.
	Descend(tenant string, before Position, yield func(r *Record, text []byte) bool) error
	// ByID yields the records of an id, by tenant and order.
	ByID(id string, yield func(r *Record, text []byte) bool) error
}

// Store holds the records. All that one command changes is kept whole or not at all.
type Store interface {
	Reader
	// Put adds a record, with its encoded form.
	Put(r *Record, text []byte) error
	Delete(r *Record) error
}
