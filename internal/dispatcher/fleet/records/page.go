package records

import (
	"encoding/base64"
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Query selects a tenant's records by the time of their job's end.
type Query struct {
	Tenant     string
	From, To   int64  // nanoseconds since 1970: From or later, and before To; To 0: no bound
	Descending bool   `cbor:"Last"`  // latest records first
	Cursor     string `cbor:"After"` // Next of the page before; empty: from the beginning
	Limit      int    `cbor:"Most"`  // number of records, at least 1
}

// Page is one page of the answer to a query.
type Page struct {
	Records []Record
	Next    string // cursor of the next page; empty: there are no more
	Missing uint64 // number of commands that the fence includes and this replica has not applied
}

// ErrCursor is returned for a cursor that does not belong to the query.
var ErrCursor = errors.New("not a place that this query gave")

type cursor struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Last   bool
	At     Position
}

// maxScanned is the greatest number of records read for one page.
const maxScanned = 100_000

// Page returns the next page of an answer. A cursor is a position in the tenant's order,
// not a count: whatever is pruned or arrives meanwhile, no record is returned twice, and
// none that exists throughout is left out. A page with a Next may be short, even empty, if
// many of the records that were read are not served.
func (v *View) Page(st Reader, q Query) (p Page, err error) {
	p.Missing = v.missing
	first, end := Position{Ended: q.From}, Position{Ended: q.To}
	if q.Cursor != "" {
		c, err := q.cursorPosition()
		if err != nil {
			return p, err
		}
		switch {
		case !q.Descending && c.Compare(first) > 0:
			first = c
		case q.Descending && (q.To == 0 || c.Compare(end) < 0):
			end = c
		}
	}
	scanned, more := 0, false
	var next Position
	yield := func(r *Record, _ []byte) bool {
		position := r.Position()
		switch {
		case !q.Descending && q.To != 0 && position.Compare(end) >= 0, q.Descending && position.Compare(first) < 0:
			return false
		case len(p.Records) >= max(q.Limit, 1) || scanned == maxScanned:
			more = true
			return false
		}
		scanned++
		if next = position; !q.Descending {
			next = position.next()
		}
		if v.isServed(r) {
			p.Records = append(p.Records, *r)
		}
		return true
	}
	switch {
	case !q.Descending:
		err = st.Ascend(q.Tenant, first, yield)
	case q.To == 0 && q.Cursor == "":
		err = st.Descend(q.Tenant, maxPosition, yield)
	default:
		err = st.Descend(q.Tenant, end, yield)
	}
	if err != nil || !more {
		return p, err
	}
	text, err := codec.Encode(cursor{Tenant: q.Tenant, Last: q.Descending, At: next})
	p.Next = base64.RawURLEncoding.EncodeToString(text)
	return p, err
}

// maxPosition is above the position of every record: no process has such a name.
var maxPosition = Position{1<<63 - 1, "\xff", 1<<64 - 1, 1<<64 - 1}

// cursorPosition returns the position in the query's cursor.
func (q *Query) cursorPosition() (Position, error) {
	text, err := base64.RawURLEncoding.DecodeString(q.Cursor)
	if err != nil {
		return Position{}, ErrCursor
	}
	var c cursor
	if err := codec.Decode(text, &c); err != nil || c.Tenant != q.Tenant || c.Last != q.Descending {
		return Position{}, fmt.Errorf("%.80q: %w", q.Cursor, ErrCursor)
	}
	return c.At, nil
}
