package group

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// maxUnsyncedBytes limits the data that is not synced to disk yet. Above this limit a follower drops
// AppendRequests that contain entries, as if the network had lost them.
const maxUnsyncedBytes = 16 << 20

// Engine is one replica with its state machine. It also manages the group's membership, and takes and
// transfers snapshots. It does no I/O, has no clock and starts no goroutines: each input method takes
// the time of the driver's monotonic clock, and TakeEffects returns the I/O that the driver must do.
// Its methods must not be called concurrently.
type Engine struct {
	settings     Settings
	node         *replica.Node
	stateMachine StateMachine
	logger       *slog.Logger

	isLeader  bool                // BecameLeader was called, and LostLeadership has not been called since
	haltCause error               // nil unless the replica has halted
	proposals map[uint64]proposal // by index of the entry
	outbox    []Envelope          // messages since the last TakeEffects

	snapshotDue      bool // the log on disk has grown enough for a new snapshot
	snapshotInFlight bool // a snapshot is being written
	unsyncedBytes    int  // data of writes that are not synced yet

	nextMembershipCheck time.Duration
	joinRequests        map[string]joinRequest    // the latest request from each address
	leaveRequests       map[string]time.Duration  // when the latest request was received, by member ID
	addressHints        map[string]replica.Member // by ID: from messages; the log may not contain them yet

	senders  map[string]*snapshotSender // on a leader, by ID of the receiving member
	sent     *replica.Snapshot          // the last snapshot that was sent, as long as the state is that of its index
	receiver *snapshotReceiver          // nil unless a snapshot is being received
}

// NewEngine returns a replica with the state that was read from its disk. If the persisted snapshot
// contains data, it restores the state machine from it.
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

// InitialSnapshot returns the snapshot with which a new group of these members starts. It is the same
// on each of them.
func InitialSnapshot(members replica.Membership, stateMachine StateMachine) (replica.Snapshot, error) {
	data, err := stateMachine.Snapshot()
	return replica.Snapshot{Index: 1, Term: 1, Membership: members, Data: data}, errors.Wrap(err, "take the initial snapshot")
}

// Bootstrap initializes the replica as an initial member of a new group. The initial snapshot must be
// on disk already. The replica may vote at once, without waiting for MinElectionTimeout after its
// start, because no lease can exist yet.
func (e *Engine) Bootstrap(initial replica.Snapshot, now time.Duration) {
	persisted := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: initial}
	started := now - e.settings.Timing.MinElectionTimeout
	e.node = replica.NewNode(e.settings.Self.ID, e.settings.Name, e.settings.Timing, persisted, e.settings.Seed, started)
}

// IsBootstrapped reports whether this replica's state contains the group's voters: it was bootstrapped,
// or has joined the group.
func (e *Engine) IsBootstrapped() bool { return len(e.node.Membership().Voters) > 0 }

// Membership returns the newest membership, committed or not.
func (e *Engine) Membership() replica.Membership { return e.node.Membership() }

// NextTick returns the time, by the driver's clock, at which Tick must be called next. For a halted
// replica it is a time that is never reached.
func (e *Engine) NextTick() time.Duration {
	const never = 1 << 62 // ns; small enough that subtracting the clock does not overflow
	if e.haltCause != nil {
		return never
	}
	return e.node.NextTick()
}

// Receive handles a message from another replica. A message to another member is ignored.
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

// Tick does the work that is due by now. It may be called before NextTick.
func (e *Engine) Tick(now time.Duration) {
	if e.haltCause != nil {
		return
	}
	e.node.Tick(now)
	e.tickSnapshotSenders(now)
	e.manageMembership(now)
}

// Persisted records that writes have been synced, in the order in which TakeEffects returned them.
// snapshotDue states whether the log on disk has grown enough for a new snapshot.
func (e *Engine) Persisted(now time.Duration, writes []DiskWrite, snapshotDue bool) {
	e.snapshotDue = snapshotDue
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

// TakeEffects returns the effects of the inputs since the last call. It calls the state machine to
// apply committed commands and to report changes of leadership, and calls the callbacks of proposals.
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
	for _, message := range ready.Messages { // after the entries, so that a snapshot to send includes them
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

// send queues a message of the node. For an InstallSnapshot it starts a snapshot transfer instead.
func (e *Engine) send(now time.Duration, message replica.Message) {
	if message.Kind == replica.InstallSnapshot {
		e.beginSnapshotTransfer(now, message)
		return
	}
	e.enqueue(message)
}

// enqueue adds a message to the outbox. It drops the message if the address of its receiver is unknown.
func (e *Engine) enqueue(message replica.Message) {
	to, ok := e.node.Membership().Find(message.To)
	if !ok {
		to, ok = e.addressHints[message.To]
	}
	if ok {
		e.outbox = append(e.outbox, Envelope{Address: to.Address, Message: message})
	}
}
