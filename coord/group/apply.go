package group

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// maxProposals bounds the proposals that are not committed yet.
const maxProposals = 4096

// proposal is a command that was appended and is not committed yet.
type proposal struct {
	term uint64
	done func(result any, err error)
}

// Propose proposes a command. done is called once, at once or in a later TakeEffects, with the
// result of its application or with one of the errors of proposals.
func (e *Engine) Propose(now time.Duration, command []byte, done func(result any, err error)) {
	if e.haltCause != nil {
		done(nil, ErrNotLeader)
		return
	}
	if len(e.proposals) >= maxProposals {
		done(nil, ErrBusy)
		return
	}
	index, term, ok := e.node.Propose(now, command)
	if !ok {
		done(nil, ErrNotLeader)
		return
	}
	e.proposals[index] = proposal{term: term, done: done}
}

// apply applies a committed entry and answers its proposal; false: the replica has halted.
func (e *Engine) apply(entry replica.Entry) bool {
	var result any
	if entry.Kind == replica.EntryCommand {
		var err error
		if result, err = e.stateMachine.Apply(entry.Index, entry.Data); err != nil {
			e.halt(errors.Wrapf(err, "entry %d", entry.Index))
			return false
		}
	}
	pending, ok := e.proposals[entry.Index]
	if !ok {
		return true
	}
	delete(e.proposals, entry.Index)
	if pending.term != entry.Term { // another leader's entry has this index
		pending.done(nil, ErrOutcomeUnknown)
		return true
	}
	pending.done(result, nil)
	return true
}

// restore replaces the state by that of an installed snapshot, before it goes to disk; false: the
// replica has halted. It must not continue with its older state: it could become the leader with it,
// at the snapshot's index.
func (e *Engine) restore(snapshot replica.Snapshot) bool {
	if err := e.stateMachine.Restore(snapshot.Data); err != nil {
		e.halt(errors.Wrapf(err, "snapshot at %d", snapshot.Index))
		return false
	}
	return true
}

// halt stops this replica until its process restarts: its state would differ from the others', or does already. What
// is on its disk stays as it is.
func (e *Engine) halt(cause error) {
	e.haltCause = errors.Wrap(ErrHalted, cause.Error())
	e.logger.Error("replica halted", "error", e.haltCause)
	if e.isLeader {
		e.isLeader = false
		e.stateMachine.LostLeadership()
	}
	e.failProposals(func(proposal) bool { return true })
}

// failProposals answers those proposals whose outcome this replica won't learn, in their order.
func (e *Engine) failProposals(isLost func(proposal) bool) {
	for _, index := range slices.Sorted(maps.Keys(e.proposals)) {
		if pending := e.proposals[index]; isLost(pending) {
			delete(e.proposals, index)
			pending.done(nil, ErrOutcomeUnknown)
		}
	}
}
