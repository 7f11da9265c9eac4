package records

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/accounting"

	"github.com/cespare/xxhash/v2"
)

// Usage is what records come to. Sum adds up a hash of each, in whatever order they
// came and went: the same records have the same sum.
type Usage struct {
	Count, Bytes int64
	Sum          uint64
}

func (u *Usage) add(text []byte) {
	u.Count++
	u.Bytes += int64(len(text))
	u.Sum += xxhash.Sum64(text)
}

func (u *Usage) remove(text []byte) {
	u.Count--
	u.Bytes -= int64(len(text))
	u.Sum -= xxhash.Sum64(text)
}

type classState struct {
	Watermark      Position `cbor:"Mark"` // what is below it is cut, unless held; it never goes back
	All            Usage
	BelowWatermark Usage `cbor:"Below"` // of All: below the mark
}

type tenantState struct {
	Name         string
	Classes      [RetentionClasses]classState `cbor:"Lanes"`
	Sweeping     bool                         // a hold has ended: what it alone kept must go
	SweptThrough Position                     `cbor:"Swept"` // it is gone below this place
}

func (t *tenantState) isPruned(r *Record) bool {
	return r.Position().Compare(t.Classes[r.RetentionClass()].Watermark) < 0
}

// sweepEnd is the place above all that may have to be swept.
func (t *tenantState) sweepEnd() Position {
	top := t.Classes[Ordinary].Watermark
	if m := t.Classes[Failures].Watermark; m.Compare(top) > 0 {
		top = m
	}
	return top
}

// epochProgress tells how far the records of one epoch of a process were taken in.
type epochProgress struct{ Epoch, Through, Missing uint64 }

type processState struct {
	Name        string
	Incarnation uint64
	Forgotten   uint64          // epochs up to this one are no longer remembered
	Epochs      []epochProgress // sorted
}

// maxTenants are filed under names of their own. Clients choose the names they
// send, and the state must not grow with them.
const maxTenants = 4096

// State is the small part of the records' replicated state. It belongs to one
// goroutine, but for the View it gives. Each command that needs records is given
// the store, within one transaction of it; after an error that is ErrStore, or a
// transaction that could not be kept, the state must be taken anew.
type State struct {
	wallClock    int64         // the latest time of a command
	prunedAt     time.Duration // fleet time of the last cut
	edition      uint64        // commands other than Ship so far
	rulesEdition uint64        // edition of the rules
	nextTenant   string
	rules        []Rule // sorted by tenant
	holds        []Hold // sorted by name
	tenants      map[string]*tenantState
	tenantNames  []string // of tenants, sorted
	processes    map[string]*processState
	counts       Counts
	fence        Fence // not replicated
	view         *View // nil: to be made
}

// Counts count since the fleet's beginning.
type Counts struct {
	Taken, Again, Below, TooLarge, Cut, Swept int64
	Missing                                   uint64
}

// New returns an empty state, which keeps everything.
func New() *State {
	return &State{tenants: make(map[string]*tenantState), processes: make(map[string]*processState)}
}

func (s *State) tenant(name string) *tenantState {
	t := s.tenants[name]
	if t == nil {
		t = &tenantState{Name: name}
		s.tenants[name] = t
		i, _ := slices.BinarySearch(s.tenantNames, name)
		s.tenantNames = slices.Insert(s.tenantNames, i, name)
	}
	return t
}

// storedTenant is the name that a tenant's records are kept under.
func (s *State) storedTenant(name string) string {
	switch {
	case name == "":
		return accounting.NoGroup
	case name == DefaultRuleTenant, s.tenants[name] == nil && len(s.tenantNames) >= maxTenants:
		return accounting.OtherNames
	}
	return name
}

func (s *State) isHeld(r *Record) bool { return coveredByHold(s.holds, r) }

func coveredByHold(holds []Hold, r *Record) bool {
	for i := range holds {
		if holds[i].covers(r) {
			return true
		}
	}
	return false
}

// Ship takes records in, each once. What is below its tenant's mark is taken in
// only if a hold covers it. ErrGap and ErrIncarnation change nothing; with ErrGap
// the reply still says how far the epoch was taken in.
func (s *State) Ship(_ time.Duration, st Store, c Ship) (done Shipped, err error) {
	switch {
	case c.Process == "" || len(c.Process) > 255 || !isValidText(c.Process) || strings.ContainsRune(c.Process, 0):
		return done, fmt.Errorf("a process's name %.40q: %w", c.Process, ErrInvalid)
	case c.FirstSeq == 0 || c.FirstSeq+uint64(len(c.Records)) < c.FirstSeq:
		return done, fmt.Errorf("records from number %d on: %w", c.FirstSeq, ErrInvalid)
	}
	p := &processState{Name: c.Process}
	if known := s.processes[c.Process]; known != nil {
		p = known
	}
	if c.Incarnation < p.Incarnation {
		return done, fmt.Errorf("records of process %s, incarnation %d: %w", c.Process, c.Incarnation, ErrIncarnation)
	}
	last := c.FirstSeq + uint64(len(c.Records)) - 1
	i, known := slices.BinarySearchFunc(p.Epochs, c.Epoch, func(e epochProgress, of uint64) int { return cmp.Compare(e.Epoch, of) })
	switch {
	case !known && len(p.Epochs) >= maxEpochs && i == 0, !known && c.Epoch <= p.Forgotten && p.Forgotten > 0:
		// So many epochs after it were taken in that it is over.
		p.Incarnation = c.Incarnation
		s.counts.Again += int64(len(c.Records))
		return Shipped{Through: last, Duplicates: len(c.Records)}, nil
	case known:
		done.Through = p.Epochs[i].Through
	}
	if c.FirstSeq > done.Through+1 && !c.GapLost {
		return done, fmt.Errorf("process %s, epoch %d: records from %d on, and taken in up to %d: %w", c.Process, c.Epoch, c.FirstSeq, done.Through, ErrGap)
	}
	for n := range c.Records {
		seq := c.FirstSeq + uint64(n)
		if seq <= done.Through {
			done.Duplicates++
			continue
		}
		r := Trim(c.Records[n], len(c.Records[n].Body))
		r.Process, r.Epoch, r.Seq, r.Tenant = c.Process, c.Epoch, seq, s.storedTenant(r.Tenant)
		r.Ended = max(r.Ended, 0) // the least mark is at 0
		text, err := r.Encode()
		if err != nil {
			done.TooLarge++
			continue
		}
		t := s.tenant(r.Tenant)
		below := t.isPruned(&r)
		if below && !s.isHeld(&r) && !faultResurrectPruned {
			done.AlreadyPruned++
			continue
		}
		if err := st.Put(&r, text); err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Stored++
		l := &t.Classes[r.RetentionClass()]
		l.All.add(text)
		if below {
			l.BelowWatermark.add(text)
		}
	}
	if c.FirstSeq > done.Through+1 {
		done.Missing = c.FirstSeq - done.Through - 1
	}
	done.Through = max(done.Through, last)
	s.processes[p.Name] = p
	if !known {
		p.Epochs = slices.Insert(p.Epochs, i, epochProgress{Epoch: c.Epoch})
	}
	p.Epochs[i].Through = done.Through
	p.Epochs[i].Missing += done.Missing
	if len(p.Epochs) > maxEpochs {
		p.Forgotten = p.Epochs[0].Epoch
		p.Epochs = slices.Delete(p.Epochs, 0, 1)
	}
	p.Incarnation = c.Incarnation
	s.counts.Taken += int64(done.Stored)
	s.counts.Again += int64(done.Duplicates)
	s.counts.Below += int64(done.AlreadyPruned)
	s.counts.TooLarge += int64(done.TooLarge)
	s.counts.Missing += done.Missing
	return done, nil
}

// beginEdition counts a command other than Ship.
func (s *State) beginEdition(at int64) {
	s.wallClock = max(s.wallClock, at)
	s.edition++
	s.view = nil
}

// expireHolds ends the holds that are over.
func (s *State) expireHolds() {
	s.holds = slices.DeleteFunc(s.holds, func(h Hold) bool {
		over := h.Until != 0 && h.Until <= s.wallClock
		if over {
			s.scheduleSweep(&h)
		}
		return over
	})
}

// scheduleSweep has what a hold kept looked through.
func (s *State) scheduleSweep(h *Hold) {
	if t := s.tenants[h.Tenant]; t != nil {
		t.Sweeping, t.SweptThrough = true, Position{}
	}
}

// SetRules sets all rules anew. Nothing is cut before the next Cut, and a cut that
// was planned before is refused.
func (s *State) SetRules(_ time.Duration, c SetRules) error {
	rules, err := checkRules(c.Rules)
	if err != nil {
		return err
	}
	s.beginEdition(c.At)
	s.rules, s.rulesEdition = rules, s.edition
	return nil
}

// SetHold sets a hold. It keeps what is there now, and what comes; what was cut before,
// or kept only by a hold that has ended, does not come back. The same hold may be
// set again.
func (s *State) SetHold(_ time.Duration, st Store, c SetHold) error {
	h := c.Hold
	if err := checkHold(&h); err != nil {
		return err
	}
	if h.Until != 0 && h.Until <= max(s.wallClock, c.At) {
		return fmt.Errorf("hold %q is over: %w", h.Name, ErrInvalid)
	}
	i, taken := s.findHold(h.Name)
	switch {
	case taken && s.holds[i] == h:
		s.beginEdition(c.At)
		s.expireHolds()
		return nil
	case taken && (s.holds[i].Until == 0 || s.holds[i].Until > c.At):
		return fmt.Errorf("hold %q: %w", h.Name, ErrHoldTaken)
	case len(s.holds) >= maxHolds:
		return fmt.Errorf("%d holds already: %w", len(s.holds), ErrInvalid)
	}
	s.beginEdition(c.At)
	s.expireHolds()
	for t := s.tenants[h.Tenant]; t != nil && t.Sweeping; {
		if _, err := s.sweep(st, t, sweepStep); err != nil {
			return err
		}
	}
	i, _ = s.findHold(h.Name)
	s.holds = slices.Insert(s.holds, i, h)
	return nil
}

func (s *State) findHold(name string) (int, bool) {
	return slices.BinarySearchFunc(s.holds, name, func(h Hold, name string) int { return strings.Compare(h.Name, name) })
}

// ReleaseHold ends a hold. From here on what it alone kept is not served; the next cuts
// remove it.
func (s *State) ReleaseHold(_ time.Duration, c ReleaseHold) error {
	i, ok := s.findHold(c.Name)
	if !ok {
		return fmt.Errorf("hold %q: %w", c.Name, ErrNoHold)
	}
	s.beginEdition(c.At)
	h := s.holds[i]
	s.holds = slices.Delete(s.holds, i, i+1)
	s.scheduleSweep(&h)
	s.expireHolds()
	return nil
}

// Prune removes what is below its marks and not held, and goes on with what ended
// holds have kept. ErrStale means that the rules were changed since it was planned.
func (s *State) Prune(at time.Duration, st Store, c Prune) (done Pruned, err error) {
	if c.RulesEdition != s.rulesEdition {
		return done, fmt.Errorf("a cut: %w", ErrStale)
	}
	for _, m := range c.Watermarks {
		if m.Class >= RetentionClasses || s.tenants[m.Tenant] == nil {
			return done, fmt.Errorf("a mark of tenant %.40q: %w", m.Tenant, ErrInvalid)
		}
	}
	s.beginEdition(c.At)
	s.prunedAt, s.nextTenant = max(s.prunedAt, at), c.NextTenant
	s.expireHolds()
	for _, m := range c.Watermarks {
		t := s.tenants[m.Tenant]
		l := &t.Classes[m.Class]
		if m.Position.Compare(l.Watermark) <= 0 {
			continue // a mark never goes back
		}
		var gone []Record
		err := st.Ascend(t.Name, l.Watermark, func(r *Record, text []byte) bool {
			switch {
			case r.Position().Compare(m.Position) >= 0:
				return false
			case r.RetentionClass() != m.Class:
			case s.isHeld(r):
				l.BelowWatermark.add(text)
				done.Held++
			default:
				l.All.remove(text)
				gone = append(gone, *r)
			}
			return true
		})
		if err == nil {
			err = deleteAll(st, gone)
		}
		if err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Removed += len(gone)
		l.Watermark = m.Position
	}
	s.counts.Cut += int64(done.Removed)
	rest := max(c.MaxSwept, 0)
	for _, name := range s.tenantNames {
		t := s.tenants[name]
		if !t.Sweeping || rest == 0 {
			continue
		}
		seen, err := s.sweep(st, t, rest)
		if err != nil {
			return done, err
		}
		rest -= seen
	}
	return done, nil
}

func deleteAll(st Store, gone []Record) error {
	for i := range gone {
		if err := st.Delete(&gone[i]); err != nil {
			return err
		}
	}
	return nil
}

// sweepStep bounds what is gathered at a time.
const sweepStep = 4096

// sweep looks at the tenant's next records below its marks, at most so many, and
// removes what no hold keeps any more.
func (s *State) sweep(st Store, t *tenantState, most int) (seen int, err error) {
	var gone []Record
	top, done := t.sweepEnd(), true
	err = st.Ascend(t.Name, t.SweptThrough, func(r *Record, text []byte) bool {
		if r.Position().Compare(top) >= 0 {
			return false
		}
		if seen == most {
			done = false
			return false
		}
		seen++
		t.SweptThrough = r.Position().next()
		if t.isPruned(r) && !s.isHeld(r) {
			l := &t.Classes[r.RetentionClass()]
			l.All.remove(text)
			l.BelowWatermark.remove(text)
			gone = append(gone, *r)
		}
		return true
	})
	if err == nil {
		err = deleteAll(st, gone)
	}
	if err != nil {
		return seen, errors.Join(ErrStore, err)
	}
	s.counts.Swept += int64(len(gone))
	if done {
		t.Sweeping, t.SweptThrough = false, Position{}
	}
	return seen, nil
}
