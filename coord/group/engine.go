package group

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// maxUnsyncedBytes bounds the entries that wait for the disk. Above it a follower drops append
// requests with entries, as if they had been lost on the way.
const maxUnsyncedBytes = 16 << 20

// Engine is one replica with its state machine, the management of its membership, and its
// snapshots with their transfer. It does no I/O, has no clock and starts no goroutines: each input
// brings the time of the driver's monotonic clock, and TakeEffects returns what the inputs ask for.
// Its methods must not be called concurrently.
type Engine struct {
	settings     Settings
	node         *replica.Node
	stateMachine StateMachine
	logger       *slog.Logger

	isLeader  bool                // between BecameLeader and LostLeadership of the state machine
	haltCause error               // nil: it has not halted
	proposals map[uint64]proposal // by index of their entry
	outbox    []Envelope          // messages since the last TakeEffects

	logNearlyFull    bool // a snapshot is due
	snapshotInFlight bool // a snapshot is being written
	unsyncedBytes    int  // of writes that are not synced

	nextMembershipCheck time.Duration
	joinRequests        map[string]joinRequest    // by address: the newest of each replica
	leaveRequests       map[string]time.Duration  // by member ID: when it last announced that it stops
	addressHints        map[string]replica.Member // by ID: members that messages named; this log may not name them yet

	senders  map[string]*snapshotSender // by ID of the receiving member; of a leader
	receiver *snapshotReceiver          // nil: no snapshot is arriving
}

// NewEngine returns a replica as its disk has it. The state machine is restored from the snapshot,
// if there is one with data.
func NewEngine(settings Settings, persisted replica.PersistedState, stateMachine StateMachine, now time.Duration, logger *slog.Logger) (*Engine, error) {
	if len(persisted.Snapshot.Data) > 0 {
		if err := stateMachine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore group %s", settings.Name)
		}
	}
	settings.setDefaults()
	return &Engine{
		settings:      settings,
		node:          replica.NewNode(settings.Self.ID, settings.Name, settings.Timing, persisted, settings.Seed, now),
		stateMachine:  stateMachine,
		logger:        logger.With("group", settings.Name),
		proposals:     map[uint64]proposal{},
		joinRequests:  map[string]joinRequest{},
		leaveRequests: map[string]time.Duration{},
		addressHints:  map[string]replica.Member{},
		senders:       map[string]*snapshotSender{},
	}, nil
}

// InitialSnapshot returns the snapshot from which a new group of these members begins. It is the
// same at each of them.
func InitialSnapshot(members replica.Membership, stateMachine StateMachine) (replica.Snapshot, error) {
	data, err := stateMachine.Snapshot()
	return replica.Snapshot{Index: 1, Term: 1, Membership: members, Data: data}, errors.Wrap(err, "take the first snapshot")
}

// Bootstrap makes the replica a founding member of a new group, once its initial snapshot is on disk.
// It waits for no election timeout before it votes: no lease can exist yet.
func (e *Engine) Bootstrap(initial replica.Snapshot, now time.Duration) {
	persisted := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: initial}
	started := now - e.settings.Timing.MinElectionTimeout
	e.node = replica.NewNode(e.settings.Self.ID, e.settings.Name, e.settings.Timing, persisted, e.settings.Seed, started)
}

// IsBootstrapped reports whether the group exists, as far as this replica knows.
func (e *Engine) IsBootstrapped() bool { return len(e.node.Membership().Voters) > 0 }

// Membership returns the newest membership, committed or not.
func (e *Engine) Membership() replica.Membership { return e.node.Membership() }

// NextTick returns when Tick has something to do next, by the driver's clock; of a halted replica a
// time that is never reached.
func (e *Engine) NextTick() time.Duration {
	const never = 1 << 62 // ns; the driver may subtract its clock from it
	if e.haltCause != nil {
		return never
	}
	return e.node.NextTick()
}

// Receive handles a message of another replica. One for another member is ignored.
func (e *Engine) Receive(now time.Duration, message replica.Message) {
	if e.haltCause != nil || message.To != e.settings.Self.ID {
		return
	}
	for _, member := range message.Addresses {
		e.addressHints[member.ID] = member
	}
	switch message.Kind {
	case replica.SnapshotChunk:
		e.handleSnapshotChunk(now, message)
	case replica.SnapshotChunkResponse:
		e.handleSnapshotChunkResponse(now, message)
	case replica.AppendRequest:
		if e.unsyncedBytes < maxUnsyncedBytes || len(message.Entries) == 0 {
			e.node.Step(now, message)
		}
	default:
		e.node.Step(now, message)
	}
}

// Tick does what is due by now. It may be called earlier than NextTick.
func (e *Engine) Tick(now time.Duration) {
	if e.haltCause != nil {
		return
	}
	e.node.Tick(now)
	e.tickSnapshotSenders(now)
	e.manageMembership(now)
}

// Persisted tells that writes are synced, in their order, and whether the log on disk has grown so
// much that a snapshot is due.
func (e *Engine) Persisted(now time.Duration, writes []DiskWrite, logNearlyFull bool) {
	e.logNearlyFull = logNearlyFull
	for _, write := range writes {
		e.unsyncedBytes -= write.bytes
		if write.install != nil {
			e.node.Persisted(now, write.install.Index, write.install.Term)
		}
		if len(write.entries) > 0 {
			last := write.entries[len(write.entries)-1]
			e.node.Persisted(now, last.Index, last.Term)
		}
		if write.snapshot != nil {
			e.snapshotInFlight = false
			e.compact(*write.snapshot)
		}
		if e.haltCause != nil {
			continue
		}
		for _, message := range write.messagesAfterSync {
			e.send(now, message)
		}
	}
}

// TakeEffects returns what the inputs since the last call ask for. It calls the state machine for
// committed commands and changes of the leadership, and the callbacks of proposals.
func (e *Engine) TakeEffects(now time.Duration) Effects {
	effects := Effects{}
	ready := e.node.Ready()
	if e.haltCause != nil {
		return effects
	}
	if ready.Snapshot != nil && !e.restore(*ready.Snapshot) {
		return effects
	}
	for _, entry := range ready.CommittedEntries {
		if !e.apply(entry) {
			return effects
		}
	}
	for _, message := range ready.Messages { // after the entries: a snapshot is taken of what is applied
		e.send(now, message)
	}
	if write, needed := e.newWrite(&ready); needed {
		effects.Writes = append(effects.Writes, write)
	}
	if snapshot, due := e.snapshotIfDue(); due {
		effects.Writes = append(effects.Writes, DiskWrite{snapshot: &snapshot})
	}
	e.updateLeadership(now)
	effects.Lease, effects.Leader = e.lease(), e.leader()
	effects.Messages, e.outbox = e.outbox, nil
	return effects
}

// send queues a message of the node; for a snapshot a transfer begins.
func (e *Engine) send(now time.Duration, message replica.Message) {
	if message.Kind == replica.InstallSnapshot {
		e.beginSnapshotTransfer(now, message)
		return
	}
	e.enqueue(message)
}

// enqueue puts a message into the outbox. One to a member without a known address is dropped.
func (e *Engine) enqueue(message replica.Message) {
	to, ok := e.node.Membership().Find(message.To)
	if !ok {
		to, ok = e.addressHints[message.To]
	}
	if ok {
		e.outbox = append(e.outbox, Envelope{Address: to.Address, Message: message})
	}
}
