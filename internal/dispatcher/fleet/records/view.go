package records

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// Fence is what a process knows of how far the records were cut, whatever state it
// has been given since: it is kept apart from that. A replica whose state is older
// serves nothing that is below the fence's marks.
type Fence struct {
	Edition    uint64      // commands other than Ship
	Watermarks []Watermark `cbor:"Marks"` // sorted; all that there are
}

// View is an immutable picture of what decides which records are served. A read of
// records that were stored at the same time or later never serves one that was cut.
type View struct {
	edition    uint64
	watermarks map[string][RetentionClasses]Position
	holds      []Hold
	fence      map[string][RetentionClasses]Position // nil: the state is as new as the fence
	missing    uint64
}

// Fence is the state's own.
func (s *State) Fence() Fence {
	f := Fence{Edition: s.edition}
	for _, name := range s.tenantNames {
		for l := range RetentionClasses {
			if m := s.tenants[name].Classes[l].Watermark; m != (Position{}) {
				f.Watermarks = append(f.Watermarks, Watermark{name, l, m})
			}
		}
	}
	return f
}

// LearnFence takes in a fence, from this process's folder or from a peer. It is no part
// of the replicated state; the newest counts.
func (s *State) LearnFence(f Fence) {
	if f.Edition > s.fence.Edition {
		s.fence, s.view = f, nil
	}
}

// View returns the present view. Any goroutine may use it.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	v := &View{edition: s.edition, watermarks: watermarksByTenant(s.Fence().Watermarks), holds: slices.Clone(s.holds)}
	if s.fence.Edition > s.edition {
		v.fence, v.missing = watermarksByTenant(s.fence.Watermarks), s.fence.Edition-s.edition
	}
	s.view = v
	return v
}

func watermarksByTenant(marks []Watermark) map[string][RetentionClasses]Position {
	m := make(map[string][RetentionClasses]Position)
	for _, k := range marks {
		if k.Class < RetentionClasses {
			lanes := m[k.Tenant]
			lanes[k.Class] = k.Position
			m[k.Tenant] = lanes
		}
	}
	return m
}

// Edition tells how many commands other than Ship the view has seen, and how many
// more this process knows of. A reader that has seen an answer of a later edition
// must ask another replica.
func (v *View) Edition() (seen, missing uint64) { return v.edition, v.missing }

func (v *View) isServed(r *Record) bool {
	o, lane := r.Position(), r.RetentionClass()
	if v.fence != nil && o.Compare(v.fence[r.Tenant][lane]) < 0 {
		return false
	}
	return o.Compare(v.watermarks[r.Tenant][lane]) >= 0 || coveredByHold(v.holds, r)
}

// ByID returns the records of an id, at most so many: an id may have come to an end
// more than once.
func (v *View) ByID(st Reader, id string, most int) (found []Record, err error) {
	err = st.ByID(id, func(r *Record, _ []byte) bool {
		if v.isServed(r) {
			found = append(found, *r)
		}
		return len(found) < most
	})
	return found, err
}

// Query asks for a tenant's records by the time of their end.
type Query struct {
	Tenant     string
	From, To   int64  // nanoseconds since 1970: From or later, and before To; To 0: no bound
	Descending bool   `cbor:"Last"`  // the last first
	Cursor     string `cbor:"After"` // what the page before gave as Next; empty: from the beginning
	Limit      int    `cbor:"Most"`  // records, and at least 1
}

// Page is a part of an answer.
type Page struct {
	Records []Record
	Next    string // to be asked for with After; empty: there are no more
	Missing uint64 // this replica knows of so many commands that it has not seen
}

// ErrCursor says that a cursor was not given by this query.
var ErrCursor = errors.New("not a place that this query gave")

type cursor struct {
	_      struct{} `cbor:",toarray"`
	Tenant string
	Last   bool
	At     Position
}

// maxScanned is how many records are looked at for one page.
const maxScanned = 100_000

// Page returns the next page of an answer. A cursor is a place in the tenant's
// order, not a count: through cuts and arrivals no record comes twice, and none
// that is there throughout is left out. A page may be short, even empty, and have a
// Next: so much was looked at that was not to be served.
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
