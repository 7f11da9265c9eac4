package group

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
)

// Storage is where a replica keeps its log and snapshots.
type Storage struct {
	Files  ringlog.FileSystem
	Folder string // of this replica alone; Open creates it where it does not exist
	Sizes  ringlog.Sizes
}

// Environment is what a replica needs of its process.
type Environment struct {
	StateMachine StateMachine
	Transport    Transport
	// Clock is monotonic and always above zero by more than the durations of Settings.Timing: zero
	// stands for "never".
	Clock  func() time.Duration
	Logger *slog.Logger
}

// Transport carries messages to other replicas. It must not block, and may lose messages.
type Transport interface {
	// Send sends a message to the process at an address, as host:port.
	Send(address string, message replica.Message)
}

// Group is one replica and its driver. Its methods may be called concurrently, except where their
// comments say otherwise.
type Group struct {
	engine            *Engine // owned by run once the group runs
	stateMachine      StateMachine
	transport         Transport
	ring              *ringlog.Ring // owned by runDisk once the group runs
	clock             func() time.Duration
	logger            *slog.Logger
	snapshotThreshold int // bytes of log

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

// Open opens a group's replica as its storage has it. The replica does not run yet. The error is
// ringlog.ErrDamaged where the replica must join anew, one of the file system, or one of
// StateMachine.Restore.
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

// IsBootstrapped reports whether the group exists, as far as this replica knows. It must be called
// before Run.
func (g *Group) IsBootstrapped() bool { return g.engine.IsBootstrapped() }

// Bootstrap makes this replica a founding member of a new group. It must be called before Run, once
// in a group's life at each founding member and with the same members at each.
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

// Run starts the replica's goroutines and returns. It is called once.
func (g *Group) Run() {
	g.stopped.Add(2)
	go g.run()
	go g.runDisk()
}

// Close stops the replica at once, as a kill of the process would, and waits for its goroutines. It
// is called once.
func (g *Group) Close() {
	close(g.stop)
	g.stopped.Wait()
	g.ring.Close()
}

// Lease returns this replica's epoch and when its lease expires by the group's clock; false: it
// holds no lease now.
func (g *Group) Lease() (epoch uint64, until time.Duration, ok bool) {
	lease := g.lease.Load()
	return lease.Epoch, lease.Until, g.clock() < lease.Until
}

// IsLeader reports whether this replica holds the lease at this moment.
func (g *Group) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

// Leader returns the leader as far as this replica knows; the zero value: none is known.
func (g *Group) Leader() replica.Member { return *g.leader.Load() }

// Propose proposes a command. done is called once, by the group's goroutine, with the result of its
// application or with one of the errors of proposals; it must not block. It is not called where the
// group is closed first.
func (g *Group) Propose(command []byte, done func(result any, err error)) {
	g.post(func(now time.Duration) { g.engine.Propose(now, command, done) })
}

// Receive queues a message of another replica for the engine.
func (g *Group) Receive(message replica.Message) {
	g.post(func(now time.Duration) { g.engine.Receive(now, message) })
}

// TransferLeadership lets another replica take over the leadership, where this one has it.
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

// Membership returns the newest membership; the zero value where the group is closed. It waits for
// the group's goroutine, which must run.
func (g *Group) Membership() replica.Membership {
	return query(g, func(time.Duration) replica.Membership { return g.engine.Membership() })
}

// Status returns the state of the replica; the zero value where the group is closed. It waits for
// the group's goroutine, which must run.
func (g *Group) Status() Status {
	return query(g, func(now time.Duration) Status { return g.engine.Status(now) })
}

// query reads from the engine in the group's goroutine.
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

// post queues an input for the engine.
func (g *Group) post(input func(now time.Duration)) {
	g.mu.Lock()
	g.inputs = append(g.inputs, input)
	g.mu.Unlock()
	wake(g.inputReady)
}

// wake wakes the reader of a channel with room for one signal.
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

// minTickInterval keeps the loop from spinning where the engine wants a tick at once.
const minTickInterval = 2 * time.Millisecond

// run feeds the engine and carries its effects out, until the group is closed.
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

// publish makes the lease and the leader known to other goroutines.
func (g *Group) publish(lease Lease, leader replica.Member) {
	g.lease.Store(&lease)
	g.leader.Store(&leader)
}

func (g *Group) send(message Envelope) { g.transport.Send(message.Address, message.Message) }
