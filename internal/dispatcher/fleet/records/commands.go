package records

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Limits bound the records of one retention class; 0 is unlimited. They are sent and stored
// by the field names in their tags.
type Limits struct {
	MaxAge   int64 `cbor:"For"` // nanoseconds since the job's end
	MaxCount int64 `cbor:"Count"`
	MaxBytes int64 `cbor:"Bytes"`
}

// Rule sets how long a tenant's records are kept. Records that a hold covers are kept beyond
// these limits and do not count against them.
type Rule struct {
	Tenant string // DefaultRuleTenant: all tenants without a rule of their own
	Keep   Limits // of Ordinary records
	Failed Limits // of Failures
}

// DefaultRuleTenant is the Tenant of the rule for all tenants without one of their own.
const DefaultRuleTenant = "*"

// Hold keeps records until it is released or expires.
type Hold struct {
	Name           string
	Tenant         string
	ID, Key, Class string // empty: any
	From, To       int64  // ended at From or later and before To, in nanoseconds since 1970; To 0: no bound
	Owner, Reason  string // who requested the hold, and why
	Until          int64  // nanoseconds since 1970; 0: until it is released
}

func (h *Hold) covers(r *Record) bool {
	return h.Tenant == r.Tenant && (h.ID == "" || h.ID == r.ID) && (h.Key == "" || h.Key == r.Key) &&
		(h.Class == "" || h.Class == r.Class) && r.Ended >= h.From && (h.To == 0 || r.Ended < h.To)
}

// Ship stores records of one process, in the order of its spool. The first has the sequence
// number FirstSeq. GapLost means that the process no longer has the records that are missing
// before it.
type Ship struct {
	Process     string
	Incarnation uint64
	Epoch       uint64
	FirstSeq    uint64 `cbor:"First"`
	GapLost     bool   `cbor:"Lost"`
	Records     []Record
}

// Shipped answers a Ship.
type Shipped struct {
	Through       uint64 // all records up to this sequence number of the epoch were processed
	Stored        int    `cbor:"Taken"` // records that were new
	Duplicates    int    `cbor:"Again"` // records that had been processed before
	AlreadyPruned int    `cbor:"Below"` // new records below the tenant's watermark that no hold covers
	Missing       uint64 // records lost before FirstSeq
	TooLarge      int    // records that exceed the size limit and were not stored
}

// SetRules replaces all rules.
type SetRules struct {
	At    int64 // nanoseconds since 1970
	Rules []Rule
}

// SetHold sets a hold.
type SetHold struct {
	At   int64
	Hold Hold
}

// ReleaseHold ends a hold.
type ReleaseHold struct {
	At   int64
	Name string
}

// Watermark prunes a retention class of a tenant below a position.
type Watermark struct {
	Tenant   string
	Class    RetentionClass `cbor:"Lane"`
	Position Position       `cbor:"Below"`
}

// Prune removes records. State.PlanPrune computes it; it carries everything that its effect
// depends on besides the state.
type Prune struct {
	At           int64       // nanoseconds since 1970: holds that expire by then end
	RulesEdition uint64      `cbor:"Rules"` // edition of the rules that it was planned from
	Watermarks   []Watermark `cbor:"Marks"`
	MaxSwept     int         `cbor:"Sweep"` // greatest number of records to examine after the end of holds
	NextTenant   string      `cbor:"Turn"`  // tenant with which the next plan begins
}

// Pruned answers a Prune.
type Pruned struct {
	Removed, Held int // Held: below a watermark now, but kept by a hold
}

// Errors of refused commands, which change nothing.
var (
	// ErrGap is returned by Ship if records before FirstSeq are missing and not declared lost.
	ErrGap = errors.New("records before these are missing")
	// ErrIncarnation is returned by Ship if a newer incarnation has shipped records.
	ErrIncarnation = errors.New("of an older incarnation of the process")
	// ErrStale is returned by Prune if the rules have changed since it was planned.
	ErrStale = errors.New("planned from rules that were changed since")
	// ErrInvalid is returned for a command or an encoded state that is not valid.
	ErrInvalid = errors.New("not valid")
	// ErrHoldTaken is returned by SetHold if a different hold of that name is in force.
	ErrHoldTaken = errors.New("another hold has that name")
	// ErrNoHold is returned by ReleaseHold if no hold has that name.
	ErrNoHold = errors.New("there is no such hold")
)

// ErrStore is returned if the store has failed in the middle of a command: this replica's
// state no longer corresponds to the log and must be restored from another replica.
var ErrStore = errors.New("the store of records failed")

const (
	maxRules  = 4096
	maxHolds  = 4096
	maxEpochs = 16 // epochs of a process for which the progress is remembered
)

func isValidText(text string) bool { return len(text) <= maxText && utf8.ValidString(text) }

func checkRules(rules []Rule) ([]Rule, error) {
	rules = slices.Clone(rules)
	slices.SortFunc(rules, func(a, b Rule) int { return strings.Compare(a.Tenant, b.Tenant) })
	if len(rules) > maxRules {
		return nil, fmt.Errorf("%d rules, more than %d: %w", len(rules), maxRules, ErrInvalid)
	}
	for i, r := range rules {
		switch {
		case r.Tenant == "" || !isValidText(r.Tenant):
			return nil, fmt.Errorf("a rule's tenant %q: %w", r.Tenant, ErrInvalid)
		case i > 0 && rules[i-1].Tenant == r.Tenant:
			return nil, fmt.Errorf("two rules for tenant %q: %w", r.Tenant, ErrInvalid)
		}
		for _, l := range []Limits{r.Keep, r.Failed} {
			if min(l.MaxAge, l.MaxCount, l.MaxBytes) < 0 {
				return nil, fmt.Errorf("a limit below 0 for tenant %q: %w", r.Tenant, ErrInvalid)
			}
		}
	}
	return rules, nil
}

func checkHold(h *Hold) error {
	for _, text := range []string{h.Name, h.Tenant, h.ID, h.Key, h.Class, h.Owner, h.Reason} {
		if !isValidText(text) {
			return fmt.Errorf("a text of hold %.40q: %w", h.Name, ErrInvalid)
		}
	}
	if h.Name == "" || h.Tenant == "" || h.Owner == "" || h.Reason == "" {
		return fmt.Errorf("a hold needs a name, a tenant, an owner and a reason: %w", ErrInvalid)
	}
	if h.To != 0 && h.To <= h.From || h.Until < 0 {
		return fmt.Errorf("the times of hold %q: %w", h.Name, ErrInvalid)
	}
	return nil
}

func compareWatermarks(a, b Watermark) int {
	return cmp.Or(strings.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class))
}
