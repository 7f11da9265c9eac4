package metrics

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// Engine is the part of the dispatcher engine that the auditor and the exporter use.
type Engine interface {
	// Do runs a function on the engine's goroutine and returns when the function has returned.
	Do(func())
	// OpenCounts counts the open jobs and flows in the engine's own table. It may be
	// called only within Do.
	OpenCounts() (open accounting.OpenCounts, flows int64)
}

// Auditor checks the ledger for consistency, compares it with the engine's table, the
// counters of the fronts and the journal, and logs every difference. A difference stops
// nothing. The methods of an Auditor may be called concurrently.
type Auditor struct {
	recorder *Recorder
	engine   Engine
	fronts   []*accounting.FrontCounters
	log      *slog.Logger

	mu          sync.Mutex
	differences []accounting.Difference // of the last audit, and of the journal since
	auditedAt   time.Time
	audits      int64
	found       map[string]int64 // differences since the start, by audit
}

// NewAuditor returns an auditor. fronts are the counters of all fronts.
func NewAuditor(r *Recorder, engine Engine, fronts []*accounting.FrontCounters, log *slog.Logger) *Auditor {
	return &Auditor{recorder: r, engine: engine, fronts: fronts, log: log, found: make(map[string]int64)}
}

// Run audits at intervals until the context ends.
func (a *Auditor) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.Audit()
		}
	}
}

// Audit runs one audit and returns the differences that it found, except those of the
// journal. For these it adds a checkpoint to the journal, which compares its totals there
// and reports differences later by ReportDifferences.
func (a *Auditor) Audit() []accounting.Difference {
	before := make([]accounting.FrontCountersSnapshot, len(a.fronts))
	for i, front := range a.fronts {
		before[i] = front.Snapshot()
	}
	var differences []accounting.Difference
	a.engine.Do(func() { differences = a.compare(before) })
	a.mu.Lock()
	a.differences, a.auditedAt = nil, time.Now()
	a.audits++
	a.mu.Unlock()
	a.ReportDifferences(differences)
	return differences
}

// compare returns the differences of an audit. It must run on the engine's goroutine, where
// the ledger doesn't change meanwhile. before holds the counters of the fronts from the
// start of the audit: a front counts on its own goroutines, so the ledger's counts must lie
// between those and the current ones.
func (a *Auditor) compare(before []accounting.FrontCountersSnapshot) (differences []accounting.Difference) {
	ledger := a.recorder.Ledger
	differences = append(differences, ledger.CheckBalance()...)
	open, flows := a.engine.OpenCounts()
	differences = append(differences, ledger.CompareEngine(open, flows)...)
	for i, front := range a.fronts {
		differences = append(differences, ledger.CompareFront(front.Front, before[i], front.Snapshot())...)
	}
	if a.recorder.journal != nil {
		a.recorder.journal.Checkpoint(ledger.Totals(), time.Now())
	}
	return differences
}

// ReportDifferences counts and logs differences.
func (a *Auditor) ReportDifferences(differences []accounting.Difference) {
	a.mu.Lock()
	a.differences = append(a.differences, differences...)
	for _, d := range differences {
		a.found[d.Audit]++
	}
	a.mu.Unlock()
	for _, d := range differences {
		a.log.Error("audit found a difference", "audit", d.Audit, "what", d.What, "ledger", d.Ledger, "other", d.Other)
	}
}

// AuditState is what the audits have found. It is sent as JSON.
type AuditState struct {
	At          time.Time               `json:"at"` // of the last audit
	Audits      int64                   `json:"audits"`
	Differences []accounting.Difference `json:"differences"` // of the last audit
	Found       map[string]int64        `json:"found"`       // differences since the start, by audit
}

// State returns what the audits have found.
func (a *Auditor) State() AuditState {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := AuditState{
		At: a.auditedAt, Audits: a.audits, Differences: append([]accounting.Difference{}, a.differences...), Found: make(map[string]int64),
	}
	for _, audit := range []string{accounting.AuditBalance, accounting.AuditEngine, accounting.AuditFronts, accounting.AuditJournal} {
		state.Found[audit] = a.found[audit]
	}
	return state
}

// Balanced reports whether no audit has found a difference since the start.
func (a *Auditor) Balanced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.found) == 0
}
