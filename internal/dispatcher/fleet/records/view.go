package records

import (
	"slices"
)

// Fence is the newest pruning progress that a process has learned. It is stored apart from
// the state, so that it outlasts the restore of an older state. A replica whose state is
// older serves no record below the fence's watermarks.
type Fence struct {
	Edition    uint64      // number of commands other than Ship
	Watermarks []Watermark `cbor:"Marks"` // all except those at zero, sorted
}

// View is an immutable snapshot of what determines which records are served. Reading the
// store's state at the time of the View or later never serves a pruned record. It is safe
// for concurrent use.
type View struct {
	edition    uint64
	watermarks map[string][RetentionClasses]Position
	holds      []Hold
	fence      map[string][RetentionClasses]Position // nil: the state is as new as the fence
	missing    uint64
}

// Fence returns the fence with the watermarks of this state.
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

// LearnFence sets the fence, from this process's directory or from a peer, if it is newer
// than the last one. It is not part of the replicated state.
func (s *State) LearnFence(f Fence) {
	if f.Edition > s.fence.Edition {
		s.fence, s.view = f, nil
	}
}

// View returns the view of the present state.
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

func watermarksByTenant(watermarks []Watermark) map[string][RetentionClasses]Position {
	m := make(map[string][RetentionClasses]Position)
	for _, k := range watermarks {
		if k.Class < RetentionClasses {
			positions := m[k.Tenant]
			positions[k.Class] = k.Position
			m[k.Tenant] = positions
		}
	}
	return m
}

// Edition returns the number of commands other than Ship that the view includes, and the
// number of further ones that the fence includes. A reader that has received an answer of a
// later edition must ask another replica.
func (v *View) Edition() (seen, missing uint64) { return v.edition, v.missing }

func (v *View) isServed(r *Record) bool {
	position, class := r.Position(), r.RetentionClass()
	if v.fence != nil && position.Compare(v.fence[r.Tenant][class]) < 0 {
		return false
	}
	return position.Compare(v.watermarks[r.Tenant][class]) >= 0 || coveredByHold(v.holds, r)
}

// ByID returns at most limit records of a job id. There may be several: jobs with the same
// id may have ended more than once.
func (v *View) ByID(st Reader, id string, limit int) (found []Record, err error) {
	err = st.ByID(id, func(r *Record, _ []byte) bool {
		if v.isServed(r) {
			found = append(found, *r)
		}
		return len(found) < limit
	})
	return found, err
}
