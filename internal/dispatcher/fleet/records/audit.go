package records

import (
	"errors"
	"fmt"
)

// Audit reads the whole store and returns the violations that it finds: records that must
// not be in the store, and counts of the state that differ from the store. It relies on no
// count of the state, only on its watermarks and holds.
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
			switch p := r.Position(); {
			case p.Compare(last) <= 0:
				wrong = append(wrong, fmt.Sprintf("tenant %s: record %s out of order", name, r.ID))
			case t.isPruned(r) && !s.isHeld(r) && (!t.Sweeping || p.Compare(t.SweptThrough) < 0):
				wrong = append(wrong, fmt.Sprintf("tenant %s: record %s of process %s is below the watermark, not held, and stored again", name, r.ID, r.Process))
			}
			last = r.Position()
			return len(wrong) < 100
		}))
		for l := range RetentionClasses {
			if k := t.Classes[l]; (found[l] != k.All || below[l] != k.BelowWatermark) && len(wrong) < 100 {
				wrong = append(wrong, fmt.Sprintf("tenant %s, retention class %d: %d records stored, %d of them below the watermark; the state counts %d and %d; sums %x and %x",
					name, l, found[l].Count, below[l].Count, k.All.Count, k.BelowWatermark.Count, found[l].Sum, k.All.Sum))
			}
		}
	}
	return wrong, err
}
