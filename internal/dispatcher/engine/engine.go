// Package engine is the dispatcher's event loop. It drives the decisions of package policy and knows
// no wire: fronts submit transactions, transports take flows to pool members, a lister follows the
// list of members, and all of them meet the engine through the interfaces declared here.
//
// One goroutine, that of Run, owns the policy.Dispatcher, the transactions, the flows and the timers.
// All other goroutines post events to it (events.go). Run must be called once; the methods that set
// something up are called before it.
//
// The engine is the single ledger of transactions (ledger.go): a transaction gets one final answer and
// has one live flow at a time, and no end of a flow counts twice.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/schedulingdelay"
)

// Engine connects fronts, decisions and transports. Its exported methods may be called by any
// goroutine unless they say otherwise.
type Engine struct {
	settings policy.Settings
	stages   Stages
	lister   Lister
	log      *slog.Logger
	stopped  chan struct{}

	mu        sync.Mutex
	events    []queuedEvent
	sources   map[string]int  // how many members each has
	listedIDs map[string]bool // of all members
	wake      chan struct{}   // there are events; holds one

	// Owned by Run's goroutine.
	decisions       *policy.Dispatcher
	base            time.Time // of the policy's clock
	now             time.Time // of the event that is handled
	deferred        []func()  // run once the event is handled, in this order
	timers          timers
	pendingTimers   map[timerKey]bool            // the policy's timers that are set together
	open            map[string]*Transaction      // by id
	closedEarly     map[string]closedTransaction // by id; see rememberClosed
	members         map[string]*Member           // by id
	membersByNumber map[uint32]*Member
	heldOut         map[string]bool      // by id: members that an operator has taken out
	restoredAt      map[string]time.Time // by id: when an operator put a member back
	load            Load
	delay           schedulingdelay.Detector // of the time that events wait
	flowsOut        int64                    // flows that have not ended
	lateFrom        time.Time                // see BeginShutdown
	stopsAt         time.Time                // see BeginShutdown
	closed          bool                     // see CloseIfIdle
	sharedBudget    SharedBudget             // nil: nothing is shared
	recordMembers   bool                     // see RecordMembersTried

	unanswered   atomic.Int64
	membersKnown atomic.Bool
}

// New returns an engine that is not running yet; budget may be nil: nothing is shared with other
// dispatchers. It fails if the policy does not accept the settings.
func New(s policy.Settings, stages Stages, budget SharedBudget, log *slog.Logger) (*Engine, error) {
	e := &Engine{
		settings: s, stages: stages, log: log, base: time.Now(), sharedBudget: budget,
		wake:            make(chan struct{}, 1),
		stopped:         make(chan struct{}),
		sources:         make(map[string]int),
		listedIDs:       make(map[string]bool),
		timers:          newTimers(),
		pendingTimers:   make(map[timerKey]bool),
		open:            make(map[string]*Transaction),
		closedEarly:     make(map[string]closedTransaction),
		members:         make(map[string]*Member),
		membersByNumber: make(map[uint32]*Member),
		heldOut:         make(map[string]bool),
		restoredAt:      make(map[string]time.Time),
	}
	if budget != nil {
		s.SharedBudget = budgetRecorder{e, budget}
	}
	var err error
	if e.decisions, err = policy.New(s, host{e}); err != nil {
		return nil, fmt.Errorf("starting the decisions: %w", err)
	}
	return e, nil
}

// RecordMembersTried fills Answer.MembersTried in. It must be called before Run.
func (e *Engine) RecordMembersTried() { e.recordMembers = true }

// SetLister sets who follows the list of members. It must be called before Run.
func (e *Engine) SetLister(l Lister) { e.lister = l }

// Run handles events until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		wake.Reset(e.timers.untilNext(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-wake.C:
		}
		for _, event := range e.takeEvents() {
			e.handle(event)
		}
		// What comes due meanwhile waits for the events that came meanwhile.
		now := time.Now()
		for due := e.timers.popDue(now); due != nil; due = e.timers.popDue(now) {
			e.handle(queuedEvent{run: due})
		}
	}
}

// SetDelayBounds sets from which delay of its own events this dispatcher rejects new work. It must be
// called before Run.
func (e *Engine) SetDelayBounds(b schedulingdelay.Bounds) { e.delay = schedulingdelay.New(b) }

// clock turns a time into the policy's: the duration since 1970, by the monotonic clock from the start
// on, so that it never runs backward.
func (e *Engine) clock(t time.Time) time.Duration {
	return time.Duration(e.base.UnixNano()) + t.Sub(e.base)
}

// Ready reports whether the engine has a list of members.
func (e *Engine) Ready() bool { return e.membersKnown.Load() }

// Reconfigure takes new settings of classes and limits for what comes from now on; open transactions
// keep their own. It returns once the policy has them, or with its error, which leaves the old ones.
func (e *Engine) Reconfigure(s policy.Settings) (err error) {
	e.Do(func() {
		if err = e.decisions.Reconfigure(e.clock(e.now), s); err == nil {
			e.settings.Classes, e.settings.Limits = s.Classes, s.Limits
		}
	})
	return err
}
