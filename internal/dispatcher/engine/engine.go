// Package engine is the dispatcher's event loop. It carries out the decisions of package policy and is
// independent of wire protocols: fronts submit transactions, transports send flows to pool members, and a
// lister follows the list of members. All of them use the engine through the interfaces declared here.
//
// One goroutine, that of Run, owns the policy.Dispatcher, the transactions, the flows and the timers.
// All other goroutines post events to it (events.go). Run must be called once, after the methods that
// configure the engine.
//
// The engine alone keeps the state of transactions (ledger.go): a transaction gets one final answer and
// has at most one live flow at a time, and the end of a flow counts once.
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

// Engine connects fronts, the policy and transports. Its exported methods may be called by any
// goroutine unless their comments say otherwise.
type Engine struct {
	settings policy.Settings
	stages   Stages
	lister   Lister
	log      *slog.Logger
	stopped  chan struct{}

	mu        sync.Mutex
	events    []queuedEvent
	sources   map[string]int  // number of members of each source
	listedIDs map[string]bool // ids of all members
	wake      chan struct{}   // signals queued events; capacity 1

	// Owned by Run's goroutine.
	decisions       *policy.Dispatcher
	base            time.Time // when the engine was created; see clock
	now             time.Time // when handling of the current event began
	deferred        []func()  // run in this order after the current event
	timers          timers
	pendingTimers   map[timerKey]bool            // the policy's coalesced timers that are pending
	open            map[string]*Transaction      // by id
	closedEarly     map[string]closedTransaction // by id; see rememberClosed
	members         map[string]*Member           // by id
	membersByNumber map[uint32]*Member
	outOfService    map[string]bool      // by id: members that an operator has taken out of service
	restoredAt      map[string]time.Time // by id: when an operator put a member back into service
	load            Load
	delay           schedulingdelay.Detector // of the queueing time of events
	flowsOut        int64                    // flows that have not ended
	lateFrom        time.Time                // see BeginShutdown
	stopsAt         time.Time                // see BeginShutdown
	closed          bool                     // see CloseIfIdle
	sharedBudget    SharedBudget             // nil: no budget is shared
	recordMembers   bool                     // see RecordMembersTried

	unanswered   atomic.Int64
	membersKnown atomic.Bool
}

// New returns an engine that is not running yet. A nil budget means that no budget is shared with other
// dispatchers. New fails if the policy does not accept the settings.
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
		outOfService:    make(map[string]bool),
		restoredAt:      make(map[string]time.Time),
	}
	if budget != nil {
		s.SharedBudget = budgetRecorder{e, budget}
	}
	var err error
	if e.decisions, err = policy.New(s, host{e}); err != nil {
		return nil, fmt.Errorf("creating the dispatcher's policy: %w", err)
	}
	return e, nil
}

// RecordMembersTried makes the engine fill in Answer.MembersTried. It must be called before Run.
func (e *Engine) RecordMembersTried() { e.recordMembers = true }

// SetLister sets the lister that follows the list of members. It must be called before Run.
func (e *Engine) SetLister(l Lister) { e.lister = l }

// Run handles events and timers until the context ends.
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
		// Timers that come due while these run wait until the events queued meanwhile are handled.
		now := time.Now()
		for due := e.timers.popDue(now); due != nil; due = e.timers.popDue(now) {
			e.handle(queuedEvent{run: due})
		}
	}
}

// SetDelayBounds sets the queueing delay of the engine's events from which this dispatcher rejects new
// work. It must be called before Run.
func (e *Engine) SetDelayBounds(b schedulingdelay.Bounds) { e.delay = schedulingdelay.New(b) }

// clock converts a time to the policy's clock: the duration since 1970 at the engine's creation, advanced
// by the monotonic clock from then on, so that it never runs backward.
func (e *Engine) clock(t time.Time) time.Duration {
	return time.Duration(e.base.UnixNano()) + t.Sub(e.base)
}

// Ready reports whether the engine has received a list of members.
func (e *Engine) Ready() bool { return e.membersKnown.Load() }

// Reconfigure applies new settings of classes and limits to transactions submitted from now on; open
// transactions keep their old settings. It returns once the policy has applied them. If the policy returns
// an error, the old settings stay in force.
func (e *Engine) Reconfigure(s policy.Settings) (err error) {
	e.Do(func() {
		if err = e.decisions.Reconfigure(e.clock(e.now), s); err == nil {
			e.settings.Classes, e.settings.Limits = s.Classes, s.Limits
		}
	})
	return err
}
