package records

import (
	"slices"
)

// Fence is what a process knows of how far records were pruned, whatever state it is given
// later: it is stored apart from that. A replica whose state is older serves nothing below
// the fence's watermarks.
type Fence struct {
	Edition    uint64      // number of commands other than Ship
	Watermarks []Watermark `cbor:"Marks"` // all that there are, sorted
}

// View is an immutable snapshot of what decides which records are served. A read of records
// that were stored at the same time or later never serves one that was pruned. It is safe
// for concurrent use.
type View struct {
	edition    uint64
	watermarks map[string][RetentionClasses]Position
	holds      []Hold
	fence      map[string][RetentionClasses]Position // nil: the state is as new as the fence
	missing    uint64
}

// Fence returns the state's own fence.
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

// LearnFence takes in a fence, from this process's directory or from a peer. It is not part
// of the replicated state; the newest counts.
func (s *State) LearnFence(f Fence) {
	if f.Edition > s.fence.Edition {
		s.fence, s.view = f, nil
	}
}

// View returns the present view.
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

// Edition returns how many commands other than Ship the view has seen, and how many more
// this process knows of. A reader that has seen an answer of a later edition must ask
// another replica.
func (v *View) Edition() (seen, missing uint64) { return v.edition, v.missing }

func (v *View) isServed(r *Record) bool {
	o, lane := r.Position(), r.RetentionClass()
	if v.fence != nil && o.Compare(v.fence[r.Tenant][lane]) < 0 {
		return false
	}
	return o.Compare(v.watermarks[r.Tenant][lane]) >= 0 || coveredByHold(v.holds, r)
}

// ByID returns the records of a job id, most at most: an id may have ended more than once.
func (v *View) ByID(st Reader, id string, limit int) (found []Record, err error) {
	err = st.ByID(id, func(r *Record, _ []byte) bool {
		if v.isServed(r) {
			found = append(found, *r)
		}
		return len(found) < limit
	})
	return found, err
}
