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

func (u *Usage) sub(text []byte) {
	u.Count--
	u.Bytes -= int64(len(text))
	u.Sum -= xxhash.Sum64(text)
}

type lane struct {
	Mark  Order // what is below it is cut, unless held; it never goes back
	All   Usage
	Below Usage // of All: below the mark
}

type tenant struct {
	Name     string
	Lanes    [Lanes]lane
	Sweeping bool  // a hold has ended: what it alone kept must go
	Swept    Order // it is gone below this place
}

func (t *tenant) below(r *Record) bool { return r.Order().Compare(t.Lanes[r.Lane()].Mark) < 0 }

// top is the place above all that may have to be swept.
func (t *tenant) top() Order {
	top := t.Lanes[Ordinary].Mark
	if m := t.Lanes[Failures].Mark; m.Compare(top) > 0 {
		top = m
	}
	return top
}

// epoch tells how far the records of one epoch of a process were taken in.
type epoch struct{ Epoch, Through, Missing uint64 }

type process struct {
	Name        string
	Incarnation uint64
	Forgotten   uint64  // epochs up to this one are no longer remembered
	Epochs      []epoch // sorted
}

// mostTenants are filed under names of their own. Clients choose the names they
// send, and the state must not grow with them.
const mostTenants = 4096

// State is the small part of the records' replicated state. It belongs to one
// goroutine, but for the View it gives. Each command that needs records is given
// the store, within one transaction of it; after an error that is ErrStore, or a
// transaction that could not be kept, the state must be taken anew.
type State struct {
	wall      int64         // the latest time of a command
	cutAt     time.Duration // fleet time of the last cut
	edition   uint64        // commands other than Ship so far
	ruled     uint64        // edition of the rules
	turn      string
	rules     []Rule // sorted by tenant
	holds     []Hold // sorted by name
	tenants   map[string]*tenant
	names     []string // of tenants, sorted
	processes map[string]*process
	counts    Counts
	fence     Fence // not replicated
	view      *View // nil: to be made
}

// Counts count since the fleet's beginning.
type Counts struct {
	Taken, Again, Below, TooLarge, Cut, Swept int64
	Missing                                   uint64
}

// New returns an empty state, which keeps everything.
func New() *State {
	return &State{tenants: make(map[string]*tenant), processes: make(map[string]*process)}
}

func (s *State) tenant(name string) *tenant {
	t := s.tenants[name]
	if t == nil {
		t = &tenant{Name: name}
		s.tenants[name] = t
		i, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, i, name)
	}
	return t
}

// filed is the name that a tenant's records are kept under.
func (s *State) filed(name string) string {
	switch {
	case name == "":
		return accounting.NoGroup
	case name == Others, s.tenants[name] == nil && len(s.names) >= mostTenants:
		return accounting.OtherNames
	}
	return name
}

func (s *State) held(r *Record) bool { return held(s.holds, r) }

func held(holds []Hold, r *Record) bool {
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
	case c.Process == "" || len(c.Process) > 255 || !sound(c.Process) || strings.ContainsRune(c.Process, 0):
		return done, fmt.Errorf("a process's name %.40q: %w", c.Process, ErrInvalid)
	case c.First == 0 || c.First+uint64(len(c.Records)) < c.First:
		return done, fmt.Errorf("records from number %d on: %w", c.First, ErrInvalid)
	}
	p := &process{Name: c.Process}
	if known := s.processes[c.Process]; known != nil {
		p = known
	}
	if c.Incarnation < p.Incarnation {
		return done, fmt.Errorf("records of process %s, incarnation %d: %w", c.Process, c.Incarnation, ErrIncarnation)
	}
	last := c.First + uint64(len(c.Records)) - 1
	i, known := slices.BinarySearchFunc(p.Epochs, c.Epoch, func(e epoch, of uint64) int { return cmp.Compare(e.Epoch, of) })
	switch {
	case !known && len(p.Epochs) >= mostEpochs && i == 0, !known && c.Epoch <= p.Forgotten && p.Forgotten > 0:
		// So many epochs after it were taken in that it is over.
		p.Incarnation = c.Incarnation
		s.counts.Again += int64(len(c.Records))
		return Shipped{Through: last, Again: len(c.Records)}, nil
	case known:
		done.Through = p.Epochs[i].Through
	}
	if c.First > done.Through+1 && !c.Lost {
		return done, fmt.Errorf("process %s, epoch %d: records from %d on, and taken in up to %d: %w", c.Process, c.Epoch, c.First, done.Through, ErrGap)
	}
	for n := range c.Records {
		seq := c.First + uint64(n)
		if seq <= done.Through {
			done.Again++
			continue
		}
		r := Trim(c.Records[n], len(c.Records[n].Body))
		r.Process, r.Epoch, r.Seq, r.Tenant = c.Process, c.Epoch, seq, s.filed(r.Tenant)
		r.Ended = max(r.Ended, 0) // the least mark is at 0
		text, err := r.Encode()
		if err != nil {
			done.TooLarge++
			continue
		}
		t := s.tenant(r.Tenant)
		below := t.below(&r)
		if below && !s.held(&r) && !plantResurrected {
			done.Below++
			continue
		}
		if err := st.Put(&r, text); err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Taken++
		l := &t.Lanes[r.Lane()]
		l.All.add(text)
		if below {
			l.Below.add(text)
		}
	}
	if c.First > done.Through+1 {
		done.Missing = c.First - done.Through - 1
	}
	done.Through = max(done.Through, last)
	s.processes[p.Name] = p
	if !known {
		p.Epochs = slices.Insert(p.Epochs, i, epoch{Epoch: c.Epoch})
	}
	p.Epochs[i].Through = done.Through
	p.Epochs[i].Missing += done.Missing
	if len(p.Epochs) > mostEpochs {
		p.Forgotten = p.Epochs[0].Epoch
		p.Epochs = slices.Delete(p.Epochs, 0, 1)
	}
	p.Incarnation = c.Incarnation
	s.counts.Taken += int64(done.Taken)
	s.counts.Again += int64(done.Again)
	s.counts.Below += int64(done.Below)
	s.counts.TooLarge += int64(done.TooLarge)
	s.counts.Missing += done.Missing
	return done, nil
}

// turned counts a command other than Ship.
func (s *State) turned(at int64) {
	s.wall = max(s.wall, at)
	s.edition++
	s.view = nil
}

// expire ends the holds that are over.
func (s *State) expire() {
	s.holds = slices.DeleteFunc(s.holds, func(h Hold) bool {
		over := h.Until != 0 && h.Until <= s.wall
		if over {
			s.release(&h)
		}
		return over
	})
}

// release has what a hold kept looked through.
func (s *State) release(h *Hold) {
	if t := s.tenants[h.Tenant]; t != nil {
		t.Sweeping, t.Swept = true, Order{}
	}
}

// SetRules sets all rules anew. Nothing is cut before the next Cut, and a cut that
// was planned before is refused.
func (s *State) SetRules(_ time.Duration, c SetRules) error {
	rules, err := checkRules(c.Rules)
	if err != nil {
		return err
	}
	s.turned(c.At)
	s.rules, s.ruled = rules, s.edition
	return nil
}

// Hold sets a hold. It keeps what is there now, and what comes; what was cut before,
// or kept only by a hold that has ended, does not come back. The same hold may be
// set again.
func (s *State) Hold(_ time.Duration, st Store, c SetHold) error {
	h := c.Hold
	if err := checkHold(&h); err != nil {
		return err
	}
	if h.Until != 0 && h.Until <= max(s.wall, c.At) {
		return fmt.Errorf("hold %q is over: %w", h.Name, ErrInvalid)
	}
	i, taken := s.findHold(h.Name)
	switch {
	case taken && s.holds[i] == h:
		s.turned(c.At)
		s.expire()
		return nil
	case taken && (s.holds[i].Until == 0 || s.holds[i].Until > c.At):
		return fmt.Errorf("hold %q: %w", h.Name, ErrHoldTaken)
	case len(s.holds) >= mostHolds:
		return fmt.Errorf("%d holds already: %w", len(s.holds), ErrInvalid)
	}
	s.turned(c.At)
	s.expire()
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

// Lift ends a hold. From here on what it alone kept is not served; the next cuts
// remove it.
func (s *State) Lift(_ time.Duration, c ReleaseHold) error {
	i, ok := s.findHold(c.Name)
	if !ok {
		return fmt.Errorf("hold %q: %w", c.Name, ErrNoHold)
	}
	s.turned(c.At)
	h := s.holds[i]
	s.holds = slices.Delete(s.holds, i, i+1)
	s.release(&h)
	s.expire()
	return nil
}

// Cut removes what is below its marks and not held, and goes on with what ended
// holds have kept. ErrStale means that the rules were changed since it was planned.
func (s *State) Cut(at time.Duration, st Store, c Prune) (done Pruned, err error) {
	if c.Rules != s.ruled {
		return done, fmt.Errorf("a cut: %w", ErrStale)
	}
	for _, m := range c.Marks {
		if m.Lane >= Lanes || s.tenants[m.Tenant] == nil {
			return done, fmt.Errorf("a mark of tenant %.40q: %w", m.Tenant, ErrInvalid)
		}
	}
	s.turned(c.At)
	s.cutAt, s.turn = max(s.cutAt, at), c.Turn
	s.expire()
	for _, m := range c.Marks {
		t := s.tenants[m.Tenant]
		l := &t.Lanes[m.Lane]
		if m.Below.Compare(l.Mark) <= 0 {
			continue // a mark never goes back
		}
		var gone []Record
		err := st.Range(t.Name, l.Mark, func(r *Record, text []byte) bool {
			switch {
			case r.Order().Compare(m.Below) >= 0:
				return false
			case r.Lane() != m.Lane:
			case s.held(r):
				l.Below.add(text)
				done.Held++
			default:
				l.All.sub(text)
				gone = append(gone, *r)
			}
			return true
		})
		if err == nil {
			err = remove(st, gone)
		}
		if err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Removed += len(gone)
		l.Mark = m.Below
	}
	s.counts.Cut += int64(done.Removed)
	rest := max(c.Sweep, 0)
	for _, name := range s.names {
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

func remove(st Store, gone []Record) error {
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
func (s *State) sweep(st Store, t *tenant, most int) (seen int, err error) {
	var gone []Record
	top, done := t.top(), true
	err = st.Range(t.Name, t.Swept, func(r *Record, text []byte) bool {
		if r.Order().Compare(top) >= 0 {
			return false
		}
		if seen == most {
			done = false
			return false
		}
		seen++
		t.Swept = r.Order().next()
		if t.below(r) && !s.held(r) {
			l := &t.Lanes[r.Lane()]
			l.All.sub(text)
			l.Below.sub(text)
			gone = append(gone, *r)
		}
		return true
	})
	if err == nil {
		err = remove(st, gone)
	}
	if err != nil {
		return seen, errors.Join(ErrStore, err)
	}
	s.counts.Swept += int64(len(gone))
	if done {
		t.Sweeping, t.Swept = false, Order{}
	}
	return seen, nil
}
