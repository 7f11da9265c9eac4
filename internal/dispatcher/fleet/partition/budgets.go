// Package partition adapts the decision packages of the fleet layer (budget, planrun,
// records) to the replicated state: each adapter decodes the commands and queries of its
// package, and writes and reads its section of a snapshot. The adapters are called by
// state.Machine only, one call at a time.
package partition

import (
	"fmt"
	"io"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/state"
)

// Name, command and query of the partition of the budgets.
const (
	BudgetsName = "budgets" // the partition's name

	BudgetsLeave  state.Kind = "budgets/leave"     // a BudgetsDeparture: a planned shutdown
	BudgetsStatus state.Kind = "budgets/standings" // a query, answered with []budget.Occupancy
)

// BudgetsDeparture reports, by budget, what a process has in flight at its planned shutdown.
type BudgetsDeparture struct{ Left map[string]budget.Departure }

// Budgets is the partition of the budgets. Its settings are a budget.Config.
type Budgets struct{ table *budget.AllocationTable }

// NewBudgets returns a partition without budgets.
func NewBudgets() *Budgets { return &Budgets{budget.NewAllocationTable()} }

// Name implements state.Partition.
func (*Budgets) Name() string { return BudgetsName }

// Check implements state.Partition.
func (*Budgets) Check(settings []byte) error {
	var c budget.Config
	if err := codec.Decode(settings, &c); err != nil {
		return err
	}
	return c.Check()
}

// Set implements state.Partition.
func (b *Budgets) Set(at time.Duration, settings []byte) error {
	var c budget.Config
	if err := codec.Decode(settings, &c); err != nil {
		return err
	}
	return b.table.Configure(at, c)
}

// Apply implements state.Partition.
func (b *Budgets) Apply(c state.Command, _ uint64) ([]byte, error) {
	if c.Kind != BudgetsLeave {
		return nil, fmt.Errorf("%w: no budget command %q", state.ErrBad, c.Kind)
	}
	var left BudgetsDeparture
	if err := codec.Decode(c.Body, &left); err != nil {
		return nil, fmt.Errorf("%w: %w", state.ErrBad, err)
	}
	return nil, b.table.Leave(c.At, c.Process, c.Incarnation, left.Left)
}

// Renew implements state.Partition: it renews the process's shares.
func (b *Budgets) Renew(c state.Command, body []byte) ([]byte, error) {
	var r budget.Renewal
	if err := codec.Decode(body, &r); err != nil {
		return nil, err
	}
	if r.Process != c.Process || r.Incarnation != c.Incarnation {
		return nil, fmt.Errorf("%w: a renewal for %s %d", budget.ErrFenced, r.Process, r.Incarnation)
	}
	g, err := b.table.Renew(c.At, r)
	if err != nil {
		return nil, err
	}
	return codec.Encode(g)
}

// IncarnationEnded implements state.Partition. A share outlasts its incarnation: the allocation
// table reclaims it when the lease has expired.
func (*Budgets) IncarnationEnded(time.Duration, string, uint64, state.EndCause) {}

// Advance implements state.Partition.
func (b *Budgets) Advance(at time.Duration) { b.table.Advance(at) }

// Query implements state.Queryable.
func (b *Budgets) Query(kind state.Kind, _ []byte) ([]byte, error) {
	if kind != BudgetsStatus {
		return nil, fmt.Errorf("no budget query %q", kind)
	}
	return codec.Encode(b.table.Status())
}

// Snapshot implements state.Partition.
func (b *Budgets) Snapshot() (state.Snapshot, error) { return snapshotOf(b.table.Encode()) }

// Restore implements state.Partition.
func (b *Budgets) Restore(r io.Reader) error { return restoreWith(r, b.table.Decode) }

// Digest implements state.Partition.
func (b *Budgets) Digest() (uint64, error) { return b.table.Digest() }

func snapshotOf(text []byte, err error) (state.Snapshot, error) {
	return state.Snapshot{Write: func(w io.Writer) error {
		_, err := w.Write(text)
		return err
	}}, err
}

func restoreWith(r io.Reader, decode func([]byte) error) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return decode(text)
}
