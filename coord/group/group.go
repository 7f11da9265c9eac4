package group

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// Storage describes where a replica stores its log and snapshots.
type Storage struct {
	Files  ringlog.FileSystem
	Folder string // used by this replica only; Open creates it if it does not exist
	Sizes  ringlog.Sizes
}

// Environment holds what a replica needs from its process.
type Environment struct {
	StateMachine StateMachine
	Transport    Transport
	// Clock returns a monotonic time that always exceeds each duration in Settings.Timing, because zero
	// stands for "never".
	Clock  func() time.Duration
	Logger *slog.Logger
}

// Transport sends messages to other replicas. It must not block, and may lose messages.
type Transport interface {
	// Send sends a message to the process at the given address (host:port).
	Send(address string, message replica.Message)
}

// Group is one replica and the goroutines that drive it. Its methods may be called concurrently unless
// their comments state otherwise.
type Group struct {
	engine            *Engine // owned by run once the group runs
	stateMachine      StateMachine
	transport         Transport
	ring              *ringlog.Ring // owned by runDisk once the group runs
	clock             func() time.Duration
	logger            *slog.Logger
	snapshotThreshold int // bytes of log written since the last snapshot

	mu          sync.Mutex
	inputs      []func(now time.Duration) // for the engine, in order
	writes      []DiskWrite               // for the disk, in order
	inputReady  chan struct{}             // wakes run
	writesReady chan struct{}             // wakes runDisk

	stop    chan struct{} // closed by Close
	stopped sync.WaitGroup

	lease  atomic.Pointer[Lease]
	leader atomic.Pointer[replica.Member]
}

// Open loads a replica from its storage; Run starts it. Open returns ringlog.ErrDamaged if the stored
// state is damaged, so that the replica must rejoin as a new member. Other errors come from the file
// system or from StateMachine.Restore.
func Open(settings Settings, storage Storage, environment Environment) (*Group, error) {
	ring, persisted, err := ringlog.Open(storage.Files, storage.Folder, storage.Sizes)
	if err != nil {
		return nil, err
	}
	engine, err := NewEngine(settings, persisted, environment.StateMachine, environment.Clock(), environment.Logger)
	if err != nil {
		return nil, err
	}
	g := &Group{
		engine:            engine,
		stateMachine:      environment.StateMachine,
		transport:         environment.Transport,
		ring:              ring,
		clock:             environment.Clock,
		logger:            environment.Logger.With("group", settings.Name),
		snapshotThreshold: settings.SnapshotThresholdBytes,
		inputReady:        make(chan struct{}, 1),
		writesReady:       make(chan struct{}, 1),
		stop:              make(chan struct{}),
	}
	g.lease.Store(&Lease{})
	g.leader.Store(&replica.Member{})
	return g, nil
}

// IsBootstrapped reports whether this replica's stored state contains the group's voters: it was
// bootstrapped, or has joined the group. It must be called before Run.
func (g *Group) IsBootstrapped() bool { return g.engine.IsBootstrapped() }

// Bootstrap initializes this replica as an initial member of a new group. It must be called before
// Run, once in the group's lifetime on each initial member, and with the same members on each.
func (g *Group) Bootstrap(members replica.Membership) error {
	initial, err := InitialSnapshot(members, g.stateMachine)
	if err != nil {
		return err
	}
	if err := g.ring.Reset(initial); err != nil {
		return err
	}
	g.engine.Bootstrap(initial, g.clock())
	return nil
}

// Run starts the replica's goroutines and returns. It must be called only once.
func (g *Group) Run() {
	g.stopped.Add(2)
	go g.run()
	go g.runDisk()
}

// Close stops the replica immediately, as killing the process would, and waits for its goroutines. It
// must be called only once.
func (g *Group) Close() {
	close(g.stop)
	g.stopped.Wait()
	g.ring.Close()
}

// Lease returns this replica's epoch and the time, by the group's clock, at which its lease expires.
// ok is false if the replica holds no lease now.
func (g *Group) Lease() (epoch uint64, until time.Duration, ok bool) {
	lease := g.lease.Load()
	return lease.Epoch, lease.Until, g.clock() < lease.Until
}

// IsLeader reports whether this replica holds the lease now.
func (g *Group) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

// Leader returns the leader known to this replica, or the zero value if none is known.
func (g *Group) Leader() replica.Member { return *g.leader.Load() }

// Propose proposes a command. done is called once, on the group's goroutine, with the result of
// applying the command or with ErrNotLeader, ErrBusy or ErrOutcomeUnknown; it must not block. It is
// not called if the group is closed first.
func (g *Group) Propose(command []byte, done func(result any, err error)) {
	g.post(func(now time.Duration) { g.engine.Propose(now, command, done) })
}

// Receive queues a message from another replica for the engine.
func (g *Group) Receive(message replica.Message) {
	g.post(func(now time.Duration) { g.engine.Receive(now, message) })
}

// TransferLeadership starts a transfer of the leadership to another replica if this one is the leader.
func (g *Group) TransferLeadership() {
	g.post(func(now time.Duration) { g.engine.TransferLeadership(now) })
}

// RequestJoin records that a replica wants to become a member. Only the leader acts on it.
func (g *Group) RequestJoin(member replica.Member) {
	g.post(func(now time.Duration) { g.engine.RequestJoin(now, member) })
}

// RequestLeave records that a member is about to stop. Only the leader acts on it.
func (g *Group) RequestLeave(id string) {
	g.post(func(now time.Duration) { g.engine.RequestLeave(now, id) })
}

// Membership returns the newest membership, committed or not, or the zero value if the group is
// closed. It waits for the group's goroutine, so Run must have been called.
func (g *Group) Membership() replica.Membership {
	return query(g, func(time.Duration) replica.Membership { return g.engine.Membership() })
}

// Status returns the state of the replica, or the zero value if the group is closed. It waits for the
// group's goroutine, so Run must have been called.
func (g *Group) Status() Status {
	return query(g, func(now time.Duration) Status { return g.engine.Status(now) })
}

// query calls read on the group's goroutine and returns its result, or the zero value if the group is
// closed.
func query[T any](g *Group, read func(now time.Duration) T) T {
	result := make(chan T, 1)
	g.post(func(now time.Duration) { result <- read(now) })
	select {
	case got := <-result:
		return got
	case <-g.stop:
		var zero T
		return zero
	}
}

// post queues an input for the engine, which run calls with the current time.
func (g *Group) post(input func(now time.Duration)) {
	g.mu.Lock()
	g.inputs = append(g.inputs, input)
	g.mu.Unlock()
	wake(g.inputReady)
}

// wake wakes the reader of a channel of capacity 1. It does not block if a signal is pending already.
func wake(ready chan struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}

// takeInputs returns the queued inputs and empties the queue.
func (g *Group) takeInputs() []func(time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inputs := g.inputs
	g.inputs = nil
	return inputs
}

// minTickInterval is the minimum wait of run before the next tick. It prevents a busy loop when a tick
// is due already.
const minTickInterval = 2 * time.Millisecond

// run passes the inputs to the engine and executes its effects until the group is closed.
func (g *Group) run() {
	defer g.stopped.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.inputReady:
		case <-timer.C:
		}
		for _, input := range g.takeInputs() {
			input(g.clock())
		}
		now := g.clock()
		g.engine.Tick(now)
		effects := g.engine.TakeEffects(now)
		effects.Execute(g.publish, g.queueWrites, g.send)
		timer.Reset(max(minTickInterval, g.engine.NextTick()-g.clock()))
	}
}

// publish stores the lease and the leader for other goroutines to read.
func (g *Group) publish(lease Lease, leader replica.Member) {
	g.lease.Store(&lease)
	g.leader.Store(&leader)
}

func (g *Group) send(message Envelope) { g.transport.Send(message.Address, message.Message) }
