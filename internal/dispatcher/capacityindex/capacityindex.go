// Package capacityindex is an index of the members that may have capacity left. It does no I/O and
// decides nothing: its caller tells it which members may have capacity whenever that changes. A search
// then looks at those alone rather than at the whole fleet, from a random one on, and stops once it has
// seen enough.
//
// It is a dense list, and each member keeps its position in it: adding, removing and access by number
// take constant time. docs/routing-design.md compares it with a heap, a tournament tree and buckets.
package capacityindex

// Position is where a member is in one set. The zero Position is in none. A member has one for each set
// that it may be in.
type Position struct{ index int } // in Set.all, plus one

// In reports whether the member is in the set.
func (p *Position) In() bool { return p.index != 0 }

// Set holds members, each at most once. Invariant: the position of all[i] is i+1, and a member that is
// not in all has the zero Position. It is not safe for concurrent use.
type Set[M any] struct {
	position func(M) *Position
	all      []M
}

// New returns an empty set; position returns where a member keeps its position in it.
func New[M any](position func(M) *Position) Set[M] { return Set[M]{position: position} }

// Put adds a member to the set, or removes it. It reports whether that changed the set.
func (s *Set[M]) Put(m M, in bool) bool {
	p := s.position(m)
	switch {
	case in == p.In():
		return false
	case in:
		s.all = append(s.all, m)
		p.index = len(s.all)
	default:
		last := len(s.all) - 1
		s.all[p.index-1] = s.all[last]
		s.position(s.all[p.index-1]).index = p.index
		var none M
		s.all[last], s.all = none, s.all[:last]
		p.index = 0
	}
	return true
}

// All returns the members in no particular order. The slice is the set's own: it is valid until the next
// Put and must not be changed.
func (s *Set[M]) All() []M { return s.all }
