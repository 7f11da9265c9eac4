package records

import (
	"slices"
	"strings"
)

// PlanPrune computes the next prune at a time, in nanoseconds since 1970: it removes what
// the rules no longer keep, and reads at most limit records, so that no prune blocks the
// store for long. PlanPrune changes nothing, and returns false if no prune is needed. While
// there is more to remove than the limit allows, each plan begins with another tenant.
func (s *State) PlanPrune(st Reader, now int64, limit int) (c Prune, needed bool, err error) {
	c = Prune{At: now, RulesEdition: s.rulesEdition, MaxSwept: limit, NextTenant: s.nextTenant}
	for i := range s.holds {
		needed = needed || s.holds[i].Until != 0 && s.holds[i].Until <= now
	}
	from, _ := slices.BinarySearch(s.tenantNames, s.nextTenant)
	remaining := max(limit, 1)
	for n := 0; n < len(s.tenantNames) && remaining > 0; n++ {
		t := s.tenants[s.tenantNames[(from+n)%len(s.tenantNames)]]
		rule := s.rule(t.Name)
		for l, limits := range []Limits{Ordinary: rule.Keep, Failures: rule.Failed} {
			m, scanned, err := s.planWatermark(st, t, RetentionClass(l), limits, now, remaining)
			if err != nil {
				return Prune{}, false, err
			}
			remaining -= scanned
			if m.Compare(t.Classes[l].Watermark) > 0 {
				c.Watermarks = append(c.Watermarks, Watermark{t.Name, RetentionClass(l), m})
			}
		}
		c.NextTenant = s.tenantNames[(from+n+1)%len(s.tenantNames)]
	}
	for _, t := range s.tenants {
		needed = needed || t.Sweeping
	}
	slices.SortFunc(c.Watermarks, compareWatermarks)
	return c, needed || len(c.Watermarks) > 0, nil
}

func (s *State) rule(name string) Rule {
	for _, of := range []string{name, DefaultRuleTenant} {
		if i, ok := slices.BinarySearchFunc(s.rules, of, func(r Rule, of string) int { return strings.Compare(r.Tenant, of) }); ok {
			return s.rules[i]
		}
	}
	return Rule{}
}

// planWatermark reads the records above the class's watermark that the limits no longer
// keep, at most limit, and returns the watermark above them and the number of records read.
func (s *State) planWatermark(st Reader, t *tenantState, of RetentionClass, limits Limits, now int64, limit int) (watermark Position, scanned int, err error) {
	l := &t.Classes[of]
	watermark = l.Watermark
	var count, bytes int64 // beyond the limits
	if limits.MaxCount > 0 {
		count = l.All.Count - l.BelowWatermark.Count - limits.MaxCount
	}
	if limits.MaxBytes > 0 {
		bytes = l.All.Bytes - l.BelowWatermark.Bytes - limits.MaxBytes
	}
	if limits.MaxAge == 0 && count <= 0 && bytes <= 0 || l.All.Count == l.BelowWatermark.Count {
		return watermark, 0, nil
	}
	err = st.Ascend(t.Name, l.Watermark, func(r *Record, text []byte) bool {
		tooOld := limits.MaxAge > 0 && r.Ended < now-limits.MaxAge
		if scanned == limit || !tooOld && count <= 0 && bytes <= 0 {
			return false
		}
		scanned++
		watermark = r.Position().next()
		if r.RetentionClass() == of {
			count--
			bytes -= int64(len(text))
		}
		return true
	})
	return watermark, scanned, err
}
