package records

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// stateVersion precedes the encoded state.
const stateVersion = 1

// storedState is the encoded form of State, by the field names in its tags.
type storedState struct {
	WallClock    int64         `cbor:"Wall"`
	PrunedAt     time.Duration `cbor:"CutAt"`
	Edition      uint64
	RulesEdition uint64 `cbor:"Ruled"`
	NextTenant   string `cbor:"Turn"`
	Rules        []Rule
	Holds        []Hold
	Tenants      []tenantState
	Processes    []processState
	Counts       Counts
}

// Encode encodes the state without the records. The same commands give the same bytes.
func (s *State) Encode() ([]byte, error) {
	v := storedState{
		WallClock: s.wallClock, PrunedAt: s.prunedAt, Edition: s.edition, RulesEdition: s.rulesEdition, NextTenant: s.nextTenant, Rules: s.rules, Holds: s.holds,
		Tenants: make([]tenantState, 0, len(s.tenantNames)), Processes: make([]processState, 0, len(s.processes)), Counts: s.counts,
	}
	if len(v.Rules) == 0 { // nil and an empty slice are encoded differently
		v.Rules = []Rule{}
	}
	if len(v.Holds) == 0 {
		v.Holds = []Hold{}
	}
	for _, name := range s.tenantNames {
		v.Tenants = append(v.Tenants, *s.tenants[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.processes)) {
		v.Processes = append(v.Processes, *s.processes[name])
	}
	text, err := codec.Encode(v)
	return append([]byte{stateVersion}, text...), err
}

// Decode replaces the state by an encoded one, except for the fence set by LearnFence. On an
// error nothing has changed.
func (s *State) Decode(text []byte) error {
	var v storedState
	if len(text) == 0 || text[0] != stateVersion {
		return fmt.Errorf("the state of records: %w", ErrVersion)
	}
	if err := codec.Decode(text[1:], &v); err != nil {
		return fmt.Errorf("the state of records: %w", err)
	}
	n := New()
	n.wallClock, n.prunedAt, n.edition, n.rulesEdition, n.nextTenant, n.counts = v.WallClock, v.PrunedAt, v.Edition, v.RulesEdition, v.NextTenant, v.Counts
	rules, err := checkRules(v.Rules)
	if err != nil {
		return err
	}
	n.rules = rules
	for i := range v.Holds {
		if err := checkHold(&v.Holds[i]); err != nil {
			return err
		}
	}
	n.holds = v.Holds
	for i := range v.Tenants {
		t := &v.Tenants[i]
		n.tenants[t.Name], n.tenantNames = t, append(n.tenantNames, t.Name)
		for _, l := range t.Classes {
			if l.BelowWatermark.Count < 0 || l.All.Count < l.BelowWatermark.Count || l.All.Bytes < l.BelowWatermark.Bytes {
				return fmt.Errorf("the state of records: the counts of tenant %q: %w", t.Name, ErrInvalid)
			}
		}
	}
	for i := range v.Processes {
		p := &v.Processes[i]
		if !strictlyAscending(p.Epochs, func(a, b epochProgress) int { return cmp.Compare(a.Epoch, b.Epoch) }) || len(p.Epochs) > maxEpochs {
			return fmt.Errorf("the state of records: the epochs of process %q: %w", p.Name, ErrInvalid)
		}
		n.processes[p.Name] = p
	}
	encoded, err := n.Encode()
	if err != nil {
		return err
	}
	if !strictlyAscending(n.tenantNames, strings.Compare) || !strictlyAscending(n.holds, func(a, b Hold) int { return strings.Compare(a.Name, b.Name) }) || !bytes.Equal(encoded, text) {
		return fmt.Errorf("the state of records: not in canonical form: %w", ErrInvalid)
	}
	n.fence = s.fence
	*s = *n
	return nil
}

func strictlyAscending[T any](all []T, compare func(a, b T) int) bool {
	for i := 1; i < len(all); i++ {
		if compare(all[i-1], all[i]) >= 0 {
			return false
		}
	}
	return true
}

// Digest returns the digest of the encoded state, which includes the sums of each tenant's
// records and so covers all records.
func (s *State) Digest() (uint64, error) {
	text, err := s.Encode()
	return codec.Digest(text), err
}

// Usage returns the amount of a tenant's stored records by retention class: all of them, and
// those below the watermark.
func (s *State) Usage(name string) (all, below [RetentionClasses]Usage) {
	if t := s.tenants[name]; t != nil {
		for l := range RetentionClasses {
			all[l], below[l] = t.Classes[l].All, t.Classes[l].BelowWatermark
		}
	}
	return all, below
}

// Tenants returns the names that records are stored under, sorted.
func (s *State) Tenants() []string { return slices.Clone(s.tenantNames) }

// Counts returns the statistics.
func (s *State) Counts() Counts { return s.counts }

// PrunedAt returns the fleet time of the last prune.
func (s *State) PrunedAt() time.Duration { return s.prunedAt }

// Rules returns the rules in force.
func (s *State) Rules() []Rule { return slices.Clone(s.rules) }

// Holds returns the holds in force.
func (s *State) Holds() []Hold { return slices.Clone(s.holds) }
