package group

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// maxProposals limits the proposals that are not committed yet.
const maxProposals = 4096

// proposal is a command that is in the log but not committed yet.
type proposal struct {
	term uint64
	done func(result any, err error)
}

// Propose proposes a command. done is called once, immediately or during a later TakeEffects, with the
// result of applying the command or with ErrNotLeader, ErrBusy or ErrOutcomeUnknown.
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

// apply applies a committed entry and completes its proposal. It returns false if the replica has halted.
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
	if pending.term != entry.Term { // an entry of another leader was committed at this index
		pending.done(nil, ErrOutcomeUnknown)
		return true
	}
	pending.done(result, nil)
	return true
}

// restore replaces the state with that of an installed snapshot, before the snapshot is written to
// disk. It returns false if the replica has halted because the snapshot could not be restored. Such a
// replica must not continue: its node is at the snapshot's index already, and it could become the
// leader with the older state.
func (e *Engine) restore(snapshot replica.Snapshot) bool {
	if err := e.stateMachine.Restore(snapshot.Data); err != nil {
		e.halt(errors.Wrapf(err, "snapshot at %d", snapshot.Index))
		return false
	}
	return true
}

// halt stops this replica until its process restarts, because its state differs or would differ from
// that of the other replicas. Its data on disk stays unchanged.
func (e *Engine) halt(cause error) {
	e.haltCause = errors.Wrap(ErrHalted, cause.Error())
	e.logger.Error("replica halted", "error", e.haltCause)
	if e.isLeader {
		e.isLeader = false
		e.stateMachine.LostLeadership()
	}
	e.failProposals(func(proposal) bool { return true })
}

// failProposals fails the proposals for which isLost returns true with ErrOutcomeUnknown, in the order
// of their indexes.
func (e *Engine) failProposals(isLost func(proposal) bool) {
	for _, index := range slices.Sorted(maps.Keys(e.proposals)) {
		if pending := e.proposals[index]; isLost(pending) {
			delete(e.proposals, index)
			pending.done(nil, ErrOutcomeUnknown)
		}
	}
}
