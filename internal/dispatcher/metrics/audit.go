package metrics

import (
	"context"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/accounting"

	"github.com/sirupsen/logrus"
)

// Hub is what the auditor needs of the core.
type Hub interface {
	Sync(func())
	Census() (open accounting.Census, flows int64)
}

// Auditor holds the account against itself, the core's table, the fronts' own
// books and the journal, and complains of every difference. It stops nothing.
type Auditor struct {
	keeper *Keeper
	hub    Hub
	desks  []*accounting.Desk
	log    logrus.FieldLogger

	mu    sync.Mutex
	last  []accounting.Difference // of the last audit, and of the journal since
	at    time.Time
	runs  int64
	found map[string]int64 // differences so far, by audit
}

// NewAuditor returns an auditor. Desks are those of all fronts.
func NewAuditor(k *Keeper, hub Hub, desks []*accounting.Desk, log logrus.FieldLogger) *Auditor {
	return &Auditor{keeper: k, hub: hub, desks: desks, log: log, found: make(map[string]int64)}
}

// Run audits at intervals until the context ends.
func (a *Auditor) Run(ctx context.Context, every time.Duration) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.Audit()
		}
	}
}

// Audit audits now and returns what differs. What the journal finds at the
// mark that is set here comes later, by Differ.
func (a *Auditor) Audit() []accounting.Difference {
	before := make([]accounting.DeskReading, len(a.desks))
	for i, d := range a.desks {
		before[i] = d.Read()
	}
	var d []accounting.Difference
	a.hub.Sync(func() {
		b := a.keeper.Book
		d = append(d, b.Sums()...)
		open, flows := a.hub.Census()
		d = append(d, b.Core(open, flows)...)
		for i, desk := range a.desks {
			d = append(d, b.Front(desk.Front, before[i], desk.Read())...)
		}
		if a.keeper.second != nil {
			a.keeper.second.Mark(b.Totals(), time.Now())
		}
	})
	a.mu.Lock()
	a.last, a.at = nil, time.Now()
	a.runs++
	a.mu.Unlock()
	a.Differ(d)
	return d
}

// Differ takes in differences, and complains of them.
func (a *Auditor) Differ(d []accounting.Difference) {
	a.mu.Lock()
	a.last = append(a.last, d...)
	for _, one := range d {
		a.found[one.Audit]++
	}
	a.mu.Unlock()
	for _, one := range d {
		a.log.WithFields(logrus.Fields{"audit": one.Audit, "what": one.What, "account": one.Here, "other": one.There}).
			Error("the account does not add up")
	}
}

// State is what the audits have found.
type State struct {
	At          time.Time               `json:"at"`
	Audits      int64                   `json:"audits"`
	Differences []accounting.Difference `json:"differences"` // of the last audit
	Found       map[string]int64        `json:"found"`       // so far, by audit
}

// State returns what the audits have found.
func (a *Auditor) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{At: a.at, Audits: a.runs, Differences: append([]accounting.Difference{}, a.last...), Found: make(map[string]int64)}
	for _, name := range []string{accounting.AuditSums, accounting.AuditCore, accounting.AuditFronts, accounting.AuditJournal} {
		s.Found[name] = a.found[name]
	}
	return s
}

// AddsUp tells whether no audit has found a difference since the start.
func (a *Auditor) AddsUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.found) == 0
}
