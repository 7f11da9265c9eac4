// Package capacityindex is an index of the members that may have room. It does no I/O
// and decides nothing: who may have room is told to it, by whoever knows, when
// that changes. Searches that would look at the whole fleet then look at those
// alone, from a random place on, and stop once they have seen enough.
//
// It is a dense list with the place of each member kept at the member: putting
// in, taking out and asking by number cost the same with ten members as with ten
// thousand. Weighed against a heap, a tournament tree and buckets in
// docs/routing-design.md.
package capacityindex

// Position is where a member stands in one set. Its zero value stands nowhere. A
// member has one for each set that it may be in.
type Position struct{ index int } // in the set, plus one

// In tells whether the member is in the set.
func (p *Position) In() bool { return p.index != 0 }

// Set holds members, each at most once. The invariant is that the place of
// all[i] is i+1, and that nobody else has a place.
type Set[M any] struct {
	place func(M) *Position
	all   []M
}

// New returns an empty set that keeps the places of its members where place
// says.
func New[M any](place func(M) *Position) Set[M] { return Set[M]{place: place} }

// Put takes a member in, or takes it out. It does nothing when that is so
// already, and reports whether it did something.
func (s *Set[M]) Put(m M, in bool) bool {
	p := s.place(m)
	switch {
	case in == p.In():
		return false
	case in:
		s.all = append(s.all, m)
		p.index = len(s.all)
	default:
		last := len(s.all) - 1
		s.all[p.index-1] = s.all[last]
		s.place(s.all[p.index-1]).index = p.index
		var none M
		s.all[last], s.all = none, s.all[:last]
		p.index = 0
	}
	return true
}

// All are the members in no order that means anything. The slice is the set's
// own: it is good until the next Put, and not to be changed.
func (s *Set[M]) All() []M { return s.all }
