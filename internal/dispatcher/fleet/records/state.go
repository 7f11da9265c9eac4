package records

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/accounting"

	"github.com/cespare/xxhash/v2"
)

// Usage is the amount of some records. Sum is the sum of a hash of each, so that the same
// records have the same Sum whatever the order in which records were added and removed.
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

// classState is the state of one retention class of a tenant.
type classState struct {
	Watermark      Position `cbor:"Mark"` // records below it are pruned, unless held; it never moves back
	All            Usage
	BelowWatermark Usage `cbor:"Below"` // of All
}

// tenantState is the state of one tenant, stored by the field names in its tags.
type tenantState struct {
	Name         string
	Classes      [RetentionClasses]classState `cbor:"Lanes"`
	Sweeping     bool                         // a hold has ended: the records that only it kept must be removed
	SweptThrough Position                     `cbor:"Swept"` // position below which that is done
}

func (t *tenantState) isPruned(r *Record) bool {
	return r.Position().Compare(t.Classes[r.RetentionClass()].Watermark) < 0
}

// sweepEnd returns the position below which records may have to be swept.
func (t *tenantState) sweepEnd() Position {
	top := t.Classes[Ordinary].Watermark
	if m := t.Classes[Failures].Watermark; m.Compare(top) > 0 {
		top = m
	}
	return top
}

// epochProgress is the progress of one epoch of a process: all records up to sequence number
// Through were processed, except Missing ones that were lost.
type epochProgress struct{ Epoch, Through, Missing uint64 }

// processState is the progress of one process's shipping.
type processState struct {
	Name        string
	Incarnation uint64
	Forgotten   uint64          // the progress of epochs up to this one is no longer stored
	Epochs      []epochProgress // sorted
}

// maxTenants is the number of tenants stored by their own names. Clients choose the names
// they send, and the state must not grow with them.
const maxTenants = 4096

// State is the small part of the replicated state: all except the records. It is not safe
// for concurrent use, except for the View it returns. Each command that needs records gets
// the store, within one transaction. After an error that wraps ErrStore, or a transaction
// that could not be committed, the state must be restored from another replica.
type State struct {
	wallClock    int64         // the latest time of a command
	prunedAt     time.Duration // fleet time of the last prune
	edition      uint64        // number of commands other than Ship so far
	rulesEdition uint64        // edition of the rules
	nextTenant   string        // with which the next plan of a prune begins
	rules        []Rule        // sorted by tenant
	holds        []Hold        // sorted by name
	tenants      map[string]*tenantState
	tenantNames  []string // sorted
	processes    map[string]*processState
	counts       Counts
	fence        Fence // not replicated
	view         *View // nil: the state has changed since the last View
}

// Counts are numbers of records since the fleet was bootstrapped: stored (Taken), processed
// before (Again), below the watermark on arrival (Below), too large, pruned (Cut), removed
// after the end of a hold (Swept), and lost before they were shipped (Missing).
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

// storedTenant returns the name under which a tenant's records are stored.
func (s *State) storedTenant(name string) string {
	switch {
	case name == "":
		return accounting.NoGroup
	case name == DefaultRuleTenant, s.tenants[name] == nil && len(s.tenantNames) >= maxTenants:
		return accounting.OtherNames
	}
	return name
}

// beginEdition counts a command other than Ship.
func (s *State) beginEdition(at int64) {
	s.wallClock = max(s.wallClock, at)
	s.edition++
	s.view = nil
}

// SetRules replaces all rules. No record is removed before the next Prune, and a Prune that
// was planned from the old rules is refused.
func (s *State) SetRules(_ time.Duration, c SetRules) error {
	rules, err := checkRules(c.Rules)
	if err != nil {
		return err
	}
	s.beginEdition(c.At)
	s.rules, s.rulesEdition = rules, s.edition
	return nil
}
