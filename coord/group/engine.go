package group

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
)

// StateMachine is what is replicated. Its methods are called one at a time, by whoever calls
// the engine.
type StateMachine interface {
	// Apply carries out a committed command and returns its result, the same on each
	// replica. An error is a command that this program can't read: the replica halts
	// then, since it would differ from the others from here on.
	Apply(index uint64, command []byte) (any, error)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state, or leaves it as it was and returns an error.
	Restore(snapshot []byte) error
	// Digest stands for the state: equal where the states are.
	Digest() uint64
	// BecameLeader tells that this replica leads from now on, all that was committed before being
	// applied. The epoch is above that of any earlier leader.
	BecameLeader(epoch uint64)
	// LostLeadership tells that this replica does not lead any more.
	LostLeadership()
}

// Errors of proposals.
var (
	ErrNotLeader      = errors.New("this replica does not lead its group: ask the leader")
	ErrBusy           = errors.New("too much is waiting to be committed: try again later")
	ErrOutcomeUnknown = errors.New("the lead was lost before the commit was seen: the command may or may not take effect")
	ErrHalted         = errors.New("this replica has halted: run the same version on all core machines and restart it")
)

const (
	// maxWaiting bounds the proposals that wait for their commitment.
	maxWaiting = 4096
	// maxUnsynced bounds the bytes of entries that wait for the disk; above it a follower
	// takes no more of them, as if the messages were lost.
	maxUnsynced = 16 << 20
)

// DefaultLogRetention is what stays in memory of the log behind a snapshot where Settings say nothing else,
// so that a replica that was away for a moment catches up from the log.
var DefaultLogRetention = replica.LogRetention{Entries: 2000, Bytes: 8 << 20}

// Settings of a group.
type Settings struct {
	Name                   string
	Self                   replica.Member
	Timing                 replica.Timing
	VoterCount             int                  // voters wanted
	Seed                   uint64               // drawn anew at each start
	SnapshotThresholdBytes int                  // bytes of log after which a snapshot is due
	SnapshotChunkBytes     int                  // bytes of a snapshot that go in one message; 0: PartBytes
	LogRetention           replica.LogRetention // what stays in memory behind a snapshot; zero: Keep
}

// fill sets what may be left out.
func (s *Settings) fill() {
	if s.SnapshotChunkBytes == 0 {
		s.SnapshotChunkBytes = DefaultSnapshotChunkBytes
	}
	if s.LogRetention == (replica.LogRetention{}) {
		s.LogRetention = DefaultLogRetention
	}
}

// Lease is a leader's right to act alone.
type Lease struct {
	Epoch uint64
	Until time.Duration // by the replica's clock; 0: there is none
}

// Envelope is a message on its way.
type Envelope struct {
	Address string
	Message replica.Message
}

// Effects are what a step of the engine asks for. The lease is to be made known before
// anything is sent: a message may give the lead away.
type Effects struct {
	Lease    Lease
	Leader   replica.Member // the zero value: none is known
	Messages []Envelope
	Writes   []DiskWrite // in order; once some are synced, Written
}

// Execute does what is asked for, in the order that is safe: the lease first, so that no
// other goroutine goes by one that a message gives away.
func (e *Effects) Execute(publish func(Lease, replica.Member), write func([]DiskWrite), send func(Envelope)) {
	publish(e.Lease, e.Leader)
	if len(e.Writes) > 0 {
		write(e.Writes)
	}
	for _, message := range e.Messages {
		send(message)
	}
}

// Engine is one replica with its state machine, its membership's management, its snapshots
// and their transfer. It does no I/O, keeps no clock and starts no goroutines: inputs come
// with the time, and Flush returns what they ask for. Its methods must not be called
// concurrently.
type Engine struct {
	settings Settings
	machine  *replica.Node
	states   StateMachine
	log      *slog.Logger

	waiting      map[uint64]waiter
	leads        bool
	crowded      bool // a snapshot is due
	snapshotting bool
	unsynced     int // bytes
	halted       error
	manageAt     time.Duration
	newcomers    map[string]newcomer       // by address
	leaving      map[string]time.Duration  // by ID of a member: when it last said that it ends
	known        map[string]replica.Member // named by messages, for a newcomer's answers
	outgoing     map[string]*outgoing      // by ID of the member that receives a snapshot
	incoming     *incoming
	sends        []Envelope
}

// waiter is who proposed an entry.
type waiter struct {
	term uint64
	done func(result any, err error)
}

// NewEngine returns a replica as its disk has it. Data of a snapshot is restored.
func NewEngine(settings Settings, found replica.PersistedState, states StateMachine, now time.Duration, log *slog.Logger) (*Engine, error) {
	if len(found.Snapshot.Data) > 0 {
		if err := states.Restore(found.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore group %s", settings.Name)
		}
	}
	settings.fill()
	return &Engine{
		settings: settings, states: states, log: log.With("group", settings.Name),
		machine: replica.NewNode(settings.Self.ID, settings.Name, settings.Timing, found, settings.Seed, now),
		waiting: map[uint64]waiter{}, newcomers: map[string]newcomer{}, leaving: map[string]time.Duration{},
		known: map[string]replica.Member{}, outgoing: map[string]*outgoing{},
	}, nil
}

// InitialSnapshot returns the snapshot from which a new group of these members begins.
func InitialSnapshot(members replica.Membership, states StateMachine) (replica.Snapshot, error) {
	data, err := states.Snapshot()
	return replica.Snapshot{Index: 1, Term: 1, Membership: members, Data: data}, errors.Wrap(err, "take the first snapshot")
}

// Bootstrap makes the replica one of a new group's, once its first snapshot is on disk. No lease
// can have been promised before, so that none is waited for.
func (e *Engine) Bootstrap(first replica.Snapshot, now time.Duration) {
	found := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: first}
	e.machine = replica.NewNode(e.settings.Self.ID, e.settings.Name, e.settings.Timing, found, e.settings.Seed, now-e.settings.Timing.MinElectionTimeout)
}

// IsBootstrapped tells whether the group was ever formed, as far as this replica knows.
func (e *Engine) IsBootstrapped() bool { return len(e.machine.Membership().Voters) > 0 }

// Membership returns the membership.
func (e *Engine) Membership() replica.Membership { return e.machine.Membership() }

// NextTick returns when Tick has something to do.
func (e *Engine) NextTick() time.Duration {
	const never = 1 << 62
	if e.halted != nil {
		return never
	}
	return e.machine.NextTick()
}

// Propose asks for a command to be committed. done is called once, in a later Flush or at
// once, with the result of its application or with an error.
func (e *Engine) Propose(now time.Duration, command []byte, done func(result any, err error)) {
	if e.halted != nil {
		done(nil, ErrNotLeader)
		return
	}
	if len(e.waiting) >= maxWaiting {
		done(nil, ErrBusy)
		return
	}
	index, term, ok := e.machine.Propose(now, command)
	if !ok {
		done(nil, ErrNotLeader)
		return
	}
	e.waiting[index] = waiter{term: term, done: done}
}

// Receive takes a message of another replica in.
func (e *Engine) Receive(now time.Duration, message replica.Message) {
	if e.halted != nil || message.To != e.settings.Self.ID {
		return
	}
	for _, member := range message.Addresses {
		e.known[member.ID] = member
	}
	switch message.Kind {
	case replica.SnapshotChunk:
		e.takePart(now, message)
	case replica.SnapshotChunkResponse:
		e.partAnswered(now, message)
	case replica.AppendRequest:
		if e.unsynced < maxUnsynced || len(message.Entries) == 0 {
			e.machine.Step(now, message)
		}
	default:
		e.machine.Step(now, message)
	}
}

// TransferLeadership gives the lead to another replica, where this one has it.
func (e *Engine) TransferLeadership(now time.Duration) { e.machine.TransferLeadership(now) }

// Tick lets time pass.
func (e *Engine) Tick(now time.Duration) {
	if e.halted != nil {
		return
	}
	e.machine.Tick(now)
	e.tickTransfers(now)
	e.manage(now)
}

// Persisted tells that writes are synced, and whether the log has grown so much that a snapshot
// is due.
func (e *Engine) Persisted(now time.Duration, writes []DiskWrite, crowded bool) {
	e.crowded = crowded
	for _, w := range writes {
		e.unsynced -= w.size
		if w.install != nil {
			e.machine.Persisted(now, w.install.Index, w.install.Term)
		}
		if len(w.entries) > 0 {
			last := w.entries[len(w.entries)-1]
			e.machine.Persisted(now, last.Index, last.Term)
		}
		if w.snapshot != nil {
			e.snapshotting = false
			keep := e.settings.LogRetention
			keep.AfterIndex = e.transferring()
			e.machine.Compact(*w.snapshot, keep)
		}
		if e.halted != nil {
			continue
		}
		for _, message := range w.afterSync {
			e.send(now, message)
		}
	}
}

// TakeEffects returns what the inputs since the last one ask for. Results of proposals are told on
// the way, and the state machine hears of committed commands and of the lead.
func (e *Engine) TakeEffects(now time.Duration) Effects {
	effects := Effects{}
	out := e.machine.Ready()
	if e.halted != nil {
		return effects
	}
	if out.Snapshot != nil && !e.install(*out.Snapshot) {
		return effects
	}
	for _, entry := range out.CommittedEntries {
		if !e.apply(entry) {
			return effects
		}
	}
	for _, message := range out.Messages { // a snapshot is taken of what is applied
		e.send(now, message)
	}
	if out.HardState != nil || len(out.Entries) > 0 || out.Snapshot != nil || len(out.MessagesAfterSync) > 0 {
		effects.Writes = append(effects.Writes, e.write(&out))
	}
	if snapshot, due := e.snapshotIfDue(); due {
		effects.Writes = append(effects.Writes, DiskWrite{snapshot: &snapshot})
	}
	e.followLead(now)
	effects.Lease, effects.Leader = e.currentLease(), e.currentLeader()
	effects.Messages, e.sends = e.sends, nil
	return effects
}

func (e *Engine) write(out *replica.Ready) DiskWrite {
	w := DiskWrite{state: out.HardState, entries: out.Entries, install: out.Snapshot, afterSync: out.MessagesAfterSync}
	for at := range w.entries {
		w.size += len(w.entries[at].Data)
	}
	if w.install != nil {
		w.size += len(w.install.Data)
	}
	e.unsynced += w.size
	return w
}

// halt ends this replica's part: it would differ from the others, or already does. What is
// on its disk stays as it is.
func (e *Engine) halt(err error) {
	e.halted = errors.Wrap(ErrHalted, err.Error())
	e.log.Error("the replica halts", "error", e.halted)
	if e.leads {
		e.leads = false
		e.states.LostLeadership()
	}
	e.failWaiting(func(waiter) bool { return true })
}

func (e *Engine) apply(entry replica.Entry) bool {
	var result any
	if entry.Kind == replica.EntryCommand {
		var err error
		if result, err = e.states.Apply(entry.Index, entry.Data); err != nil {
			e.halt(errors.Wrapf(err, "entry %d", entry.Index))
			return false
		}
	}
	who, ok := e.waiting[entry.Index]
	if !ok {
		return true
	}
	delete(e.waiting, entry.Index)
	if who.term != entry.Term {
		who.done(nil, ErrOutcomeUnknown)
		return true
	}
	who.done(result, nil)
	return true
}

// install replaces the state by a snapshot's before it goes to disk. One that can't be read
// is not taken: an older state at a newer index could be led with.
func (e *Engine) install(snapshot replica.Snapshot) bool {
	if err := e.states.Restore(snapshot.Data); err != nil {
		e.halt(errors.Wrapf(err, "snapshot at %d", snapshot.Index))
		return false
	}
	return true
}

// followLead tells the state machine of the lead's beginning and end, and proposers of its
// loss.
func (e *Engine) followLead(now time.Duration) {
	leading := e.machine.Role() == replica.Leader
	if leading && !e.leads && e.machine.LeaseUntil() > now {
		e.leads = true
		e.log.Info("leads", "epoch", e.machine.Term())
		e.states.BecameLeader(e.machine.Term())
	}
	if e.leads && !leading {
		e.leads = false
		e.log.Info("leads no more", "term", e.machine.Term())
		e.states.LostLeadership()
	}
	if !leading {
		clear(e.outgoing)
	}
	if len(e.waiting) > 0 {
		e.failWaiting(func(who waiter) bool { return !leading || who.term != e.machine.Term() })
	}
}

func (e *Engine) currentLease() Lease {
	if !e.leads {
		return Lease{Epoch: e.machine.Term()}
	}
	return Lease{Epoch: e.machine.Term(), Until: e.machine.LeaseUntil()}
}

func (e *Engine) currentLeader() replica.Member {
	member, _ := e.machine.Membership().Find(e.machine.LeaderID())
	return member
}

// failWaiting tells proposers whose lead is lost, in the order of their proposals.
func (e *Engine) failWaiting(lost func(waiter) bool) {
	for _, index := range sortedIndexes(e.waiting) {
		if who := e.waiting[index]; lost(who) {
			delete(e.waiting, index)
			who.done(nil, ErrOutcomeUnknown)
		}
	}
}

// send passes a message on; for a snapshot a transfer begins.
func (e *Engine) send(now time.Duration, message replica.Message) {
	if message.Kind == replica.InstallSnapshot {
		e.beginTransfer(now, message)
		return
	}
	to, ok := e.machine.Membership().Find(message.To)
	if !ok {
		to, ok = e.known[message.To]
	}
	if ok {
		e.sends = append(e.sends, Envelope{Address: to.Address, Message: message})
	}
}

func (e *Engine) wholeSnapshot() (replica.Snapshot, error) {
	data, err := e.states.Snapshot()
	if err != nil {
		e.log.Error("no snapshot can be taken", "error", err)
		return replica.Snapshot{}, err
	}
	snapshot := e.machine.AppliedSnapshot()
	snapshot.Data = data
	return snapshot, nil
}

func (e *Engine) snapshotIfDue() (snapshot replica.Snapshot, due bool) {
	if e.snapshotting || !e.crowded || e.machine.Applied() <= e.machine.SnapshotIndex() {
		return snapshot, false
	}
	snapshot, err := e.wholeSnapshot()
	e.snapshotting = err == nil
	return snapshot, err == nil
}
