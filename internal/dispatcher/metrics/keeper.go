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

// Second is a second count beside the account.
type Second interface {
	Enter(number uint64, job accounting.Job, at time.Time)
	End(number uint64, group string, r accounting.Reason, at time.Time)
	Mark(t accounting.Totals, at time.Time)
}

// Keeper writes what happens to transactions and flows into the account and,
// where there is one, the second count. It implements stage.Books. The core's
// goroutine owns it.
type Keeper struct {
	Book   *accounting.Book
	second Second
}

// NewKeeper returns a keeper of an empty account.
func NewKeeper(l accounting.Limits) *Keeper { return &Keeper{Book: accounting.New(l)} }

// With sets the second count. It must be called before the first job.
func (k *Keeper) With(s Second) { k.second = s }

// Enter implements stage.Books.
func (k *Keeper) Enter(t *engine.Transaction, now time.Time) {
	e := k.Book.Enter(accounting.Job{Front: t.Front, Class: t.Class, Tenant: t.Tenant, Key: t.Key, Retry: t.Retry}, now)
	t.Booked = e
	if k.second != nil {
		k.second.Enter(e.Number, e.Job, now)
	}
}

// Sent implements stage.Books.
func (k *Keeper) Sent(f *engine.Flow, now time.Time) {
	if e, ok := f.Transaction.Booked.(*accounting.Entry); ok {
		k.Book.Sent(e, f.Member.Group, now)
	}
}

// FlowEnded implements stage.Books.
func (k *Keeper) FlowEnded(f *engine.Flow, s policy.Status, _ time.Time) {
	k.Book.FlowEnded(f.Transaction.Class, f.Member.Group, s)
}

// End implements stage.Books.
func (k *Keeper) End(t *engine.Transaction, a engine.Answer, now time.Time) {
	e, ok := t.Booked.(*accounting.Entry)
	if !ok {
		return
	}
	t.Booked = nil
	number, group := e.Number, e.Group()
	k.Book.End(e, a.Reason, now)
	if k.second != nil {
		k.second.End(number, group, a.Reason, now)
	}
}
