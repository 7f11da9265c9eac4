package records

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Limits bound the records of one lane. 0 is no bound.
type Limits struct {
	MaxAge   int64 `cbor:"For"` // nanoseconds since their end
	MaxCount int64 `cbor:"Count"`
	MaxBytes int64 `cbor:"Bytes"`
}

// Rule says how long a tenant's records are kept. What a hold covers is kept
// beyond it and takes no room from the others.
type Rule struct {
	Tenant string // Others: all that have no rule of their own
	Keep   Limits
	Failed Limits // failures
}

// DefaultRuleTenant is the tenant of the rule for all that have none.
const DefaultRuleTenant = "*"

// Hold keeps records until it is lifted or ends.
type Hold struct {
	Name           string
	Tenant         string
	ID, Key, Class string // empty: any
	From, To       int64  // ended at From or later and before To, nanoseconds since 1970; To 0: no bound
	Owner, Reason  string // who wants it and why
	Until          int64  // nanoseconds since 1970; 0: until it is lifted
}

func (h *Hold) covers(r *Record) bool {
	return h.Tenant == r.Tenant && (h.ID == "" || h.ID == r.ID) && (h.Key == "" || h.Key == r.Key) &&
		(h.Class == "" || h.Class == r.Class) && r.Ended >= h.From && (h.To == 0 || r.Ended < h.To)
}

// Ship brings records of one process, in the order of its spool. The first has the
// number First; those after it count on. Lost says that the process no longer has
// what is missing before First.
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
	Through       uint64 // all up to this number of the epoch were taken in
	Stored        int    `cbor:"Taken"` // records that were new
	Duplicates    int    `cbor:"Again"` // that had been taken in before
	AlreadyPruned int    `cbor:"Below"` // that were new, and cut already: below the tenant's mark and not held
	Missing       uint64 // that were lost before First
	TooLarge      int
}

// SetRules sets all rules anew.
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

// Watermark cuts a lane of a tenant below a place.
type Watermark struct {
	Tenant   string
	Class    RetentionClass `cbor:"Lane"`
	Position Position       `cbor:"Below"`
}

// Prune removes records. It is computed by Plan and carries all that it depends on.
type Prune struct {
	At           int64       // nanoseconds since 1970: holds that end by then are over
	RulesEdition uint64      `cbor:"Rules"`
	Watermarks   []Watermark `cbor:"Marks"`
	MaxSwept     int         `cbor:"Sweep"` // how many records under ended holds are looked at
	NextTenant   string      `cbor:"Turn"`  // the tenant that the next plan begins with
}

// Pruned answers a Cut.
type Pruned struct {
	Removed, Held int // held: below a mark now, and kept
}

// Errors of commands. Nothing was changed.
var (
	ErrGap         = errors.New("records before these are missing")
	ErrIncarnation = errors.New("of an older incarnation of the process")
	ErrStale       = errors.New("planned from rules that were changed since")
	ErrInvalid     = errors.New("not valid")
	ErrHoldTaken   = errors.New("another hold has that name")
	ErrNoHold      = errors.New("there is no such hold")
)

// ErrStore says that the store failed in the middle of a command: this replica's
// state is no longer what the log says, and must be taken anew.
var ErrStore = errors.New("the store of records failed")

const (
	maxRules  = 4096
	maxHolds  = 4096
	maxEpochs = 16 // of a process whose numbers are remembered
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
