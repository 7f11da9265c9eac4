package records

import (
	"encoding/base64"
	"errors"
	"fmt"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Query asks for a tenant's records by the time of their job's end.
type Query struct {
	Tenant     string
	From, To   int64  // nanoseconds since 1970: From or later, and before To; To 0: no bound
	Descending bool   `cbor:"Last"`  // the last first
	Cursor     string `cbor:"After"` // Next of the page before; empty: from the beginning
	Limit      int    `cbor:"Most"`  // number of records, at least 1
}

// Page is a part of an answer.
type Page struct {
	Records []Record
	Next    string // cursor of the next page; empty: there are no more
	Missing uint64 // this replica knows of so many commands that it has not seen
}

// ErrCursor says that a cursor does not belong to the query.
var ErrCursor = errors.New("not a place that this query gave")

type cursor struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Last   bool
	At     Position
}

// maxScanned bounds the records looked at for one page.
const maxScanned = 100_000

// Page returns the next page of an answer. A cursor is a position in the tenant's order,
// not a count: whatever is pruned or arrives meanwhile, no record is returned twice, and
// none that exists throughout is left out. A page may be short, even empty, and have a
// Next: so many records were looked at that are not served.
func (v *View) Page(st Reader, q Query) (p Page, err error) {
	p.Missing = v.missing
	first, end := Position{Ended: q.From}, Position{Ended: q.To}
	if q.Cursor != "" {
		c, err := q.place()
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
	seen, more := 0, false
	var next Position
	yield := func(r *Record, _ []byte) bool {
		o := r.Position()
		switch {
		case !q.Descending && q.To != 0 && o.Compare(end) >= 0, q.Descending && o.Compare(first) < 0:
			return false
		case len(p.Records) >= max(q.Limit, 1) || seen == maxScanned:
			more = true
			return false
		}
		seen++
		if next = o; !q.Descending {
			next = o.next()
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
		err = st.Descend(q.Tenant, lastOrder, yield)
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

// lastOrder is above every place: no process has such a name.
var lastOrder = Position{1<<63 - 1, "\xff", 1<<64 - 1, 1<<64 - 1}

func (q *Query) place() (Position, error) {
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
