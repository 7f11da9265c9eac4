// Package capacityindex is an index of the members that may have capacity left. It does no I/O and
// makes no decisions: its caller updates it whenever a member starts or stops having capacity. A
// search then visits only the members in the index rather than the whole fleet, starts at a random one
// and stops after a sufficient number.
//
// The index is a dense list, and each member keeps its position in it: adding, removing and access by
// position take constant time. docs/routing-design.md compares it with a heap, a tournament tree and
// buckets.
package capacityindex

// Position is the position of a member in one set. The zero Position means that the member is not in the
// set. A member has one Position for each set that it may be in.
type Position struct{ index int } // index in Set.all plus one

// In reports whether the member is in the set.
func (p *Position) In() bool { return p.index != 0 }

// Set holds members, each at most once. Invariant: the position of all[i] is i+1, and a member that is
// not in all has the zero Position. It is not safe for concurrent use.
type Set[M any] struct {
	position func(M) *Position
	all      []M
}

// New returns an empty set; position returns a pointer to the field of a member that keeps its Position.
func New[M any](position func(M) *Position) Set[M] { return Set[M]{position: position} }

// Put adds a member to the set if in is true, and removes it otherwise. It reports whether the set
// changed.
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

// All returns the members in no particular order. The slice belongs to the set: it is valid until the
// next Put and must not be modified.
func (s *Set[M]) All() []M { return s.all }
