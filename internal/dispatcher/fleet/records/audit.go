package records

import (
	"errors"
	"fmt"
)

// Audit reads the whole store and returns what must not be in it, or what the state counts
// otherwise. It is the invariant checker of this package: it relies on no count of the
// state, only on its watermarks and holds.
func (s *State) Audit(st Reader) (wrong []string, err error) {
	for _, name := range s.tenantNames {
		t := s.tenants[name]
		var found, below [RetentionClasses]Usage
		var last Position
		err = errors.Join(err, st.Ascend(name, last, func(r *Record, text []byte) bool {
			found[r.RetentionClass()].add(text)
			if t.isPruned(r) {
				below[r.RetentionClass()].add(text)
			}
			switch o := r.Position(); {
			case o.Compare(last) <= 0:
				wrong = append(wrong, fmt.Sprintf("tenant %s: record %s out of order", name, r.ID))
			case t.isPruned(r) && !s.isHeld(r) && (!t.Sweeping || o.Compare(t.SweptThrough) < 0):
				wrong = append(wrong, fmt.Sprintf("tenant %s: record %s of process %s is back below the mark", name, r.ID, r.Process))
			}
			last = r.Position()
			return len(wrong) < 100
		}))
		for l := range RetentionClasses {
			if k := t.Classes[l]; (found[l] != k.All || below[l] != k.BelowWatermark) && len(wrong) < 100 {
				wrong = append(wrong, fmt.Sprintf("tenant %s, lane %d: %d records stored and %d of them below the mark, counted %d and %d, sums %x and %x",
					name, l, found[l].Count, below[l].Count, k.All.Count, k.BelowWatermark.Count, found[l].Sum, k.All.Sum))
			}
		}
	}
	return wrong, err
}
