// Package group drives one replica of a replicated state machine. Engine decides: it feeds
// the machine of package replica with messages, proposals and time, applies what is
// committed, manages the membership, takes and sends snapshots, all without I/O. Group is
// its driver: one goroutine owns the engine; another writes to the disk through package
// ringlog, so that a disk that hangs holds up neither heartbeats nor elections.
package group

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// Transport carries messages to other replicas; they may be lost.
type Transport interface {
	Send(address string, message replica.Message)
}

// Group is one replica and its driver.
type Group struct {
	engine    *Engine
	transport Transport
	ring      *ringlog.Ring
	clock     func() time.Duration
	log       *slog.Logger
	threshold int // bytes of log after which a snapshot is due
	states    StateMachine

	mu      sync.Mutex
	inbox   []func(now time.Duration)
	pending []DiskWrite
	wake    chan struct{}
	writes  chan struct{}
	stop    chan struct{}
	stopped sync.WaitGroup

	lease  atomic.Pointer[Lease]
	leader atomic.Pointer[replica.Member]
}

// Open reads a group's replica from its folder. It does not run yet.
func Open(settings Settings, folder string, sizes ringlog.Sizes, files ringlog.FileSystem, states StateMachine, transport Transport, clock func() time.Duration, log *slog.Logger) (*Group, error) {
	ring, found, err := ringlog.Open(files, folder, sizes)
	if err != nil {
		return nil, err
	}
	engine, err := NewEngine(settings, found, states, clock(), log)
	if err != nil {
		return nil, err
	}
	g := &Group{
		engine: engine, transport: transport, ring: ring, clock: clock, log: log.With("group", settings.Name), threshold: settings.SnapshotThresholdBytes, states: states,
		wake: make(chan struct{}, 1), writes: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	g.lease.Store(&Lease{})
	g.leader.Store(&replica.Member{})
	return g, nil
}

// IsBootstrapped tells whether the group was ever formed, as far as this replica knows. It must be
// called before Run.
func (g *Group) IsBootstrapped() bool { return g.engine.IsBootstrapped() }

// Bootstrap makes this replica one of a new group's. It must be called before Run, once in a
// group's life and with the same members at each of them.
func (g *Group) Bootstrap(members replica.Membership) error {
	first, err := InitialSnapshot(members, g.states)
	if err != nil {
		return err
	}
	if err := g.ring.Reset(first); err != nil {
		return err
	}
	g.engine.Bootstrap(first, g.clock())
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
	lease := g.lease.Load()
	return lease.Epoch, lease.Until, g.clock() < lease.Until
}

// IsLeader tells whether this replica holds the lease at this moment.
func (g *Group) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

// Leader returns the member that leads as far as this replica knows; the zero value: none.
func (g *Group) Leader() replica.Member { return *g.leader.Load() }

// Propose asks for a command to be committed. done is called once, by the group's
// goroutine, with the result of its application or with an error.
func (g *Group) Propose(command []byte, done func(result any, err error)) {
	g.post(func(now time.Duration) { g.engine.Propose(now, command, done) })
}

// Receive takes a message of another replica in.
func (g *Group) Receive(message replica.Message) {
	g.post(func(now time.Duration) { g.engine.Receive(now, message) })
}

// TransferLeadership gives the lead to another replica, where this one has it.
func (g *Group) TransferLeadership() {
	g.post(func(now time.Duration) { g.engine.TransferLeadership(now) })
}

// RequestJoin notes that a replica wants to be a member. Only the leader acts on it.
func (g *Group) RequestJoin(member replica.Member) {
	g.post(func(now time.Duration) { g.engine.RequestJoin(now, member) })
}

// RequestLeave notes that a member ends for now. Only the leader acts on it.
func (g *Group) RequestLeave(id string) {
	g.post(func(now time.Duration) { g.engine.RequestLeave(now, id) })
}

// Membership returns the membership, by a question to the group's goroutine.
func (g *Group) Membership() replica.Membership {
	return ask(g, func(time.Duration) replica.Membership { return g.engine.Membership() })
}

// Status tells how the replica stands, by a question to the group's goroutine.
func (g *Group) Status() Status {
	return ask(g, func(now time.Duration) Status { return g.engine.Status(now) })
}

// ask runs a question in the group's goroutine; the zero value: the group has ended.
func ask[T any](g *Group, question func(now time.Duration) T) T {
	answer := make(chan T, 1)
	g.post(func(now time.Duration) { answer <- question(now) })
	select {
	case got := <-answer:
		return got
	case <-g.stop:
		var none T
		return none
	}
}

func (g *Group) post(input func(now time.Duration)) {
	g.mu.Lock()
	g.inbox = append(g.inbox, input)
	g.mu.Unlock()
	nudge(g.wake)
}

func nudge(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
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
		g.engine.Tick(now)
		effects := g.engine.TakeEffects(now)
		effects.Execute(g.publish, g.queueWrites, g.send)
		timer.Reset(max(leastSleep, g.engine.NextTick()-g.clock()))
	}
}

// publish makes the lease and the leader known to other goroutines.
func (g *Group) publish(lease Lease, leader replica.Member) {
	g.lease.Store(&lease)
	g.leader.Store(&leader)
}

func (g *Group) queueWrites(writes []DiskWrite) {
	g.mu.Lock()
	g.pending = append(g.pending, writes...)
	g.mu.Unlock()
	nudge(g.writes)
}

func (g *Group) send(message Envelope) { g.transport.Send(message.Address, message.Message) }

// retryDisk is the pause before a refused write is tried again.
const retryDisk = 300 * time.Millisecond

func (g *Group) takenWrites() []DiskWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	writes := g.pending
	g.pending = nil
	return writes
}

// writeLoop writes what waits. All appends that wait together share one sync.
func (g *Group) writeLoop() {
	defer g.stopped.Done()
	for {
		select {
		case <-g.stop:
			return
		case <-g.writes:
		}
		for writes := g.takenWrites(); len(writes) > 0; {
			n := SyncBatchSize(writes)
			if !g.retry(func() error { return PersistWrites(g.ring, writes[:n]) }) {
				return
			}
			done, crowded := writes[:n], g.ring.NearlyFull() || g.ring.BytesSinceSnapshot() > g.threshold
			g.post(func(now time.Duration) { g.engine.Persisted(now, done, crowded) })
			writes = writes[n:]
		}
	}
}

// retry repeats a write until it succeeds; false: the replica ends. A disk that refuses
// makes this replica fall silent, and the others go on without it.
func (g *Group) retry(do func() error) bool {
	for {
		err := do()
		if err == nil {
			return true
		}
		g.log.Warn("the disk refuses: make room, or replace the machine", "error", err)
		select {
		case <-g.stop:
			return false
		case <-time.After(retryDisk):
		}
	}
}

func sortedIndexes[T any](of map[uint64]T) []uint64 { return slices.Sorted(maps.Keys(of)) }
