// Package metrics keeps the account of a running dispatcher, audits it and
// tells it to the outside: it joins the books of internal/dispatcher/accounting to the core,
// the fronts and the journal, which know nothing of each other.
package metrics

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// JobJournal is a second count beside the account.
type JobJournal interface {
	JobAccepted(number uint64, job accounting.Job, at time.Time)
	JobEnded(number uint64, group string, r accounting.Reason, at time.Time)
	Checkpoint(t accounting.Totals, at time.Time)
}

// Recorder writes what happens to transactions and flows into the account and,
// where there is one, the second count. It implements stage.Books. The core's
// goroutine owns it.
type Recorder struct {
	Ledger *accounting.Ledger
	second JobJournal
}

// NewRecorder returns a keeper of an empty account.
func NewRecorder(l accounting.Limits) *Recorder { return &Recorder{Ledger: accounting.New(l)} }

// SetJobJournal sets the second count. It must be called before the first job.
func (k *Recorder) SetJobJournal(s JobJournal) { k.second = s }

// JobAccepted implements stage.Books.
func (k *Recorder) JobAccepted(t *engine.Transaction, now time.Time) {
	e := k.Ledger.JobAccepted(accounting.Job{Front: t.Front, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Retry: t.Retry}, now)
	t.LedgerEntry = e
	if k.second != nil {
		k.second.JobAccepted(e.Number, e.Job, now)
	}
}

// FlowSent implements stage.Books.
func (k *Recorder) FlowSent(f *engine.Flow, now time.Time) {
	if e, ok := f.Transaction.LedgerEntry.(*accounting.Entry); ok {
		k.Ledger.FlowSent(e, f.Member.Group, now)
	}
}

// FlowEnded implements stage.Books.
func (k *Recorder) FlowEnded(f *engine.Flow, s policy.Status, _ time.Time) {
	k.Ledger.FlowEnded(f.Transaction.Class, f.Member.Group, s)
}

// JobEnded implements stage.Books.
func (k *Recorder) JobEnded(t *engine.Transaction, a engine.Answer, now time.Time) {
	e, ok := t.LedgerEntry.(*accounting.Entry)
	if !ok {
		return
	}
	t.LedgerEntry = nil
	number, group := e.Number, e.Group()
	k.Ledger.JobEnded(e, a.Reason, now)
	if k.second != nil {
		k.second.JobEnded(number, group, a.Reason, now)
	}
}
