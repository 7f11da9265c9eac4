// Package group drives one replica of a replicated state machine: it feeds the machine of
// package replica with messages, proposals and time, writes its log through package ringlog,
// and applies what is committed.
//
// One goroutine owns the machine; another writes to the disk, so that a disk that hangs
// holds up neither heartbeats nor elections.
package group

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// StateMachine is what is replicated. Its methods are called by the group's goroutine, one
// at a time, except as noted.
type StateMachine interface {
	// Apply carries out a committed command and returns its result, the same on each replica.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
	// Leading tells that this replica leads from now on, all that was committed before being
	// applied. The epoch is above that of any earlier leader.
	Leading(epoch uint64)
	// Following tells that this replica does not lead any more.
	Following()
}

// Transport carries messages to other replicas; they may be lost.
type Transport interface {
	Send(address string, message replica.Message)
}

// Errors of proposals.
var (
	ErrNotLeader = errors.New("this replica does not lead its group: ask the leader")
	ErrBusy      = errors.New("too much is waiting to be committed: try again later")
	ErrUnknown   = errors.New("the lead was lost before the commit was seen: the command may or may not take effect")
)

// maxWaiting bounds the proposals that wait for their commitment.
const maxWaiting = 4096

// keepEntries are kept in memory behind a snapshot, so that a replica that was away for a
// moment catches up from the log.
const keepEntries = 2000

// Settings of a group.
type Settings struct {
	Name     string
	Self     replica.Member
	Timing   replica.Timing
	Size     int    // voters wanted
	Seed     uint64 // drawn anew at each start
	Snapshot int    // bytes of log after which a snapshot is due
}

// Group is one replica and its driver.
type Group struct {
	settings  Settings
	machine   *replica.Machine
	states    StateMachine
	transport Transport
	ring      *ringlog.Ring
	clock     func() time.Duration
	log       *slog.Logger

	mu      sync.Mutex
	inbox   []func(now time.Duration)
	wake    chan struct{}
	writes  chan struct{}
	pending []write
	stop    chan struct{}
	stopped sync.WaitGroup

	lease  atomic.Int64  // end of this replica's lease by clock; 0: it has none
	epoch  atomic.Uint64 // of that lease
	leader atomic.Pointer[replica.Member]

	// Owned by the group's goroutine.
	waiting      map[uint64]waiter
	leads        bool
	snapshotting bool
	crowded      atomic.Bool
	newcomers    map[string]newcomer // by address
	manageAt     time.Duration
	known        map[string]replica.Member // named by messages, for a newcomer's answers
}

// waiter is who proposed an entry.
type waiter struct {
	term uint64
	done func(result any, err error)
}

// Open reads a group's replica from its folder. It does not run yet.
func Open(settings Settings, folder string, sizes ringlog.Sizes, files ringlog.Files, states StateMachine, transport Transport, clock func() time.Duration, log *slog.Logger) (*Group, error) {
	ring, found, err := ringlog.Open(files, folder, sizes)
	if err != nil {
		return nil, err
	}
	if len(found.Snapshot.Data) > 0 {
		if err := states.Restore(found.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "restore group %s", settings.Name)
		}
	}
	return &Group{
		settings: settings, states: states, transport: transport, ring: ring, clock: clock, log: log.With("group", settings.Name),
		machine: replica.New(settings.Self.ID, settings.Name, settings.Timing, found, settings.Seed, clock()),
		wake:    make(chan struct{}, 1), writes: make(chan struct{}, 1), stop: make(chan struct{}),
		waiting: map[uint64]waiter{}, newcomers: map[string]newcomer{}, known: map[string]replica.Member{},
	}, nil
}

// Formed tells whether the group was ever formed, as far as this replica knows. It must be
// called before Run.
func (g *Group) Formed() bool { return len(g.machine.Members().Voters) > 0 }

// Form makes this replica one of a new group's. It must be called before Run, once in a
// group's life and with the same members at each of them.
func (g *Group) Form(members replica.Membership) error {
	data, err := g.states.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take the first snapshot")
	}
	first := replica.Snapshot{Index: 1, Term: 1, Membership: members, Data: data}
	if err := g.ring.Reset(first); err != nil {
		return err
	}
	found := replica.Restored{State: replica.HardState{Term: 1}, Snapshot: first}
	g.machine = replica.New(g.settings.Self.ID, g.settings.Name, g.settings.Timing, found, g.settings.Seed, g.clock()-g.settings.Timing.Promise)
	return nil
}

// Run starts the replica.
func (g *Group) Run() {
	g.stopped.Add(2)
	go g.loop()
	go g.writeLoop()
}

// Close ends the replica at once, as a kill would.
func (g *Group) Close() {
	close(g.stop)
	g.stopped.Wait()
	g.ring.Close()
}

// Lease returns the epoch of this replica's lead and when it ends, by the group's clock;
// false: it does not lead now.
func (g *Group) Lease() (epoch uint64, until time.Duration, ok bool) {
	until = time.Duration(g.lease.Load())
	return g.epoch.Load(), until, g.clock() < until
}

// Leads tells whether this replica holds the lease at this moment.
func (g *Group) Leads() bool {
	_, _, ok := g.Lease()
	return ok
}

// Leader returns the member that leads as far as this replica knows; the zero value: none.
func (g *Group) Leader() replica.Member {
	if leader := g.leader.Load(); leader != nil {
		return *leader
	}
	return replica.Member{}
}

// Propose asks for a command to be committed. done is called once, by the group's
// goroutine, with the result of its application or with an error.
func (g *Group) Propose(command []byte, done func(result any, err error)) {
	g.post(func(now time.Duration) {
		if len(g.waiting) >= maxWaiting {
			done(nil, ErrBusy)
			return
		}
		index, term, ok := g.machine.Propose(now, command)
		if !ok {
			done(nil, ErrNotLeader)
			return
		}
		g.waiting[index] = waiter{term: term, done: done}
	})
}

// Receive takes a message of another replica in.
func (g *Group) Receive(message replica.Message) {
	if message.To != g.settings.Self.ID {
		return
	}
	g.post(func(now time.Duration) {
		for _, member := range message.Addresses {
			g.known[member.ID] = member
		}
		g.machine.Step(now, message)
	})
}

// HandOver gives the lead to another replica, where this one has it.
func (g *Group) HandOver() {
	g.post(func(now time.Duration) { g.machine.HandOver(now) })
}

// Members returns the membership, by a question to the group's goroutine.
func (g *Group) Members() replica.Membership {
	answer := make(chan replica.Membership, 1)
	g.post(func(time.Duration) { answer <- g.machine.Members() })
	select {
	case members := <-answer:
		return members
	case <-g.stop:
		return replica.Membership{}
	}
}

func (g *Group) post(input func(now time.Duration)) {
	g.mu.Lock()
	g.inbox = append(g.inbox, input)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Group) taken() []func(time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inputs := g.inbox
	g.inbox = nil
	return inputs
}

// leastSleep keeps the loop from spinning where the machine wants a tick at once.
const leastSleep = 2 * time.Millisecond

func (g *Group) loop() {
	defer g.stopped.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.wake:
		case <-timer.C:
		}
		for _, input := range g.taken() {
			input(g.clock())
		}
		now := g.clock()
		g.machine.Tick(now)
		g.manage(now)
		g.carryOut(now)
		timer.Reset(max(leastSleep, g.machine.NextTick()-g.clock()))
	}
}

// carryOut does what the machine asked for.
func (g *Group) carryOut(now time.Duration) {
	out := g.machine.Take()
	if out.Install != nil {
		g.install(*out.Install)
	}
	for _, message := range out.Send {
		if message.Kind != replica.InstallSnapshot {
			g.send(message)
		}
	}
	if out.State != nil || len(out.Entries) > 0 || out.Install != nil || len(out.AfterSync) > 0 {
		g.queueWrite(write{state: out.State, entries: out.Entries, install: out.Install, afterSync: out.AfterSync})
	}
	for _, entry := range out.Apply {
		g.apply(entry)
	}
	for _, message := range out.Send { // a snapshot is taken of what is applied
		if message.Kind == replica.InstallSnapshot {
			g.send(message)
		}
	}
	g.publish(now)
	g.snapshotIfDue()
}

func (g *Group) apply(entry replica.Entry) {
	var result any
	if entry.Kind == replica.EntryCommand {
		result = g.states.Apply(entry.Index, entry.Data)
	}
	who, ok := g.waiting[entry.Index]
	if !ok {
		return
	}
	delete(g.waiting, entry.Index)
	if who.term != entry.Term {
		who.done(nil, ErrUnknown)
		return
	}
	who.done(result, nil)
}

func (g *Group) install(snapshot replica.Snapshot) {
	if err := g.states.Restore(snapshot.Data); err != nil {
		g.log.Error("a snapshot can't be read: this replica's program is older than the leader's", "error", err)
	}
}

// publish tells others of the lease, and the state machine of its beginning and end.
func (g *Group) publish(now time.Duration) {
	lease := g.machine.LeaseUntil()
	leads := lease > now && g.machine.Role() == replica.Leader
	if leads && !g.leads {
		g.leads = true
		g.epoch.Store(g.machine.Term())
		g.log.Info("leads", "epoch", g.machine.Term())
		g.states.Leading(g.machine.Term())
	}
	if g.leads && g.machine.Role() != replica.Leader {
		g.leads = false
		g.lease.Store(0)
		g.log.Info("leads no more", "term", g.machine.Term())
		g.states.Following()
		g.failWaiting()
	}
	if g.leads {
		g.lease.Store(int64(lease))
	}
	if member, ok := g.machine.Members().Find(g.machine.LeaderID()); ok {
		g.leader.Store(&member)
		return
	}
	g.leader.Store(nil)
}

func (g *Group) failWaiting() {
	for index, who := range g.waiting {
		delete(g.waiting, index)
		who.done(nil, ErrUnknown)
	}
}

// send passes a message on. A snapshot is filled in here, where the state is.
func (g *Group) send(message replica.Message) {
	to, ok := g.machine.Members().Find(message.To)
	if !ok {
		to, ok = g.known[message.To]
	}
	if !ok {
		return
	}
	if message.Kind == replica.InstallSnapshot {
		snapshot, err := g.wholeSnapshot()
		if err != nil {
			return
		}
		message.Snapshot = &snapshot
	}
	g.transport.Send(to.Address, message)
}

func (g *Group) wholeSnapshot() (replica.Snapshot, error) {
	data, err := g.states.Snapshot()
	if err != nil {
		g.log.Error("no snapshot can be taken", "error", err)
		return replica.Snapshot{}, err
	}
	snapshot := g.machine.SnapshotAt()
	snapshot.Data = data
	return snapshot, nil
}

func (g *Group) snapshotIfDue() {
	if g.snapshotting || !g.crowded.Load() {
		return
	}
	snapshot, err := g.wholeSnapshot()
	if err != nil {
		return
	}
	g.snapshotting = true
	g.queueWrite(write{snapshot: &snapshot})
}
