package simworld_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/simdisk"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// twoServices are two services in shards of their own; queues move between them.
var twoServices = findTwoServices()

func findTwoServices() []string {
	first := "desk-0"
	for n := 1; ; n++ {
		name := fmt.Sprint("desk-", n)
		if protocol.ShardOf(name) != protocol.ShardOf(first) {
			return []string{first, name}
		}
	}
}

const (
	segmentBytes      = 8 << 10 // small, so that snapshots and rings that wrap are part of each play
	snapshotThreshold = 16 << 10
	chunkBytes        = 700 // of a snapshot in one message: many parts
	joinRetry         = 400 * time.Millisecond
	joinCheck         = 2 * time.Second
	forwardTimeout    = 2800 * time.Millisecond
	commitTimeout     = 2500 * time.Millisecond
	cycleInterval     = 50 * time.Millisecond
	listInterval      = time.Second
	watchPoll         = 30 * time.Millisecond // how soon a waiting feed sees a change
)

// controlNode is a machine of the core: a disk, and the process on it.
type controlNode struct {
	*process
	disk             *simdisk.Disk
	diskSlowdown     float64       // its syncs take so many times longer
	diskStalledUntil time.Duration // until then its disk answers nothing
	identity         struct {      // what the disk says of it; no ID: nothing is there yet
		id       string
		founding *replica.Membership
	}
	bootstrap bool

	groups         map[string]*replicaGroup
	names          []string
	config         *leader.Configuration
	shards         map[int]*leader.Shard
	cycleScheduled map[int]bool
}

// replicaGroup drives one engine: it stands where group.Group stands in service.
type replicaGroup struct {
	node          *controlNode
	name          string
	engine        *group.Engine
	ring          *ringlog.Ring
	stateMachine  group.StateMachine
	lease         group.Lease
	leader        replica.Member
	pendingWrites []group.DiskWrite
	writing       bool // a write is under way
	wakeAt        time.Duration
}

func (w *world) addNode(name string) *controlNode {
	c := &controlNode{process: w.addProcess(name), disk: simdisk.New(w.seed*131 + uint64(len(w.nodes))), diskSlowdown: 1, bootstrap: true}
	c.start = c.startProcess
	w.nodesMade++
	w.nodes = append(w.nodes, c)
	return c
}

// seeds lists the first machines of the core: that is what all are given on the first start.
// Later starts get what is there then.
func (w *world) seeds() []string {
	var seeds []string
	for _, c := range w.nodes[:w.deployment.seeds] {
		seeds = append(seeds, c.name)
	}
	return seeds
}

// terminate ends the process as a SIGTERM does: its leads are handed over, and its votes
// where a learner waits for them.
func (c *controlNode) terminate(ended func()) {
	c.w.tracef("%s is told to end", c.name)
	c.after(0, func() {
		for _, name := range c.names {
			c.groups[name].step(c.groups[name].engine.TransferLeadership)
		}
		c.awaitHandover(c.clock()+handoverTimeout, ended)
	})
}

const (
	handoverTimeout = 1500 * time.Millisecond
	handoverPoll    = 50 * time.Millisecond
)

func (c *controlNode) awaitHandover(end time.Duration, ended func()) {
	waits := false
	for _, name := range c.names {
		g := c.groups[name]
		waits = waits || g.leader.ID == c.identity.id
		for _, address := range leader.LeaveTargets(g.engine.Membership(), c.identity.id, c.w.seeds()) {
			waits = true
			c.w.recorder.leave(c, address, name)
			c.w.deliver(c.name, address, func() {
				if to := c.w.nodeNamed(address); to != nil && to.groups[name] != nil {
					at := to.groups[name]
					at.step(func(now time.Duration) { at.engine.RequestLeave(now, c.identity.id) })
				}
			})
		}
	}
	if !waits || c.clock() > end {
		c.stop()
		c.w.schedule(0, ended)
		return
	}
	c.after(handoverPoll, func() { c.awaitHandover(end, ended) })
}

// startProcess is what a core process does when it starts: its identity is on disk before
// anything else. Nothing of its last life is in memory: what comes before the groups are opened
// finds none.
func (c *controlNode) startProcess() {
	c.groups, c.names, c.shards = nil, nil, nil
	c.disk.IgnoreSync = c.w.planted == acknowledgeUnsynced
	if c.identity.id != "" {
		c.openGroups()
		return
	}
	c.w.serial++
	id, founding := leader.FoundingMembership(c.bootstrap, c.w.seeds(), c.name, fmt.Sprintf("%s#%d", c.name, c.w.serial))
	c.after(c.syncTime(), func() {
		c.identity.id, c.identity.founding = id, founding
		c.openGroups()
	})
}

func (c *controlNode) openGroups() {
	c.groups, c.names = map[string]*replicaGroup{}, nil
	c.shards, c.cycleScheduled = map[int]*leader.Shard{}, map[int]bool{}
	c.config = leader.NewConfiguration(c.distributeConfig, func(uint64) {}, c.w.log)
	c.config.SetGroup(c.openGroup(protocol.ConfigGroup, c.w.withPlantedFault(c.config)))
	clocks := leader.Clocks{Monotonic: c.readClock, UnixMs: c.wallMs}
	limits := scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	for _, service := range twoServices {
		number := protocol.ShardOf(service)
		shard := leader.NewShard(number, limits, clocks, func() { c.scheduleCycle(number) }, c.w.log)
		shard.SetGroup(c.openGroup(protocol.ShardGroup(number), shard))
		shard.UpdateConfig(c.config.Current())
		c.shards[number] = shard
	}
	for _, name := range c.names {
		c.groups[name].bootstrapIfFounder()
		c.groups[name].step(func(time.Duration) {})
	}
	for _, service := range twoServices {
		c.tickShard(protocol.ShardOf(service))
	}
	c.joinGroups()
	c.listRunners()
}

func (c *controlNode) distributeConfig(config *opconfig.Config) {
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateConfig(config)
	}
}

func (c *controlNode) openGroup(name string, states group.StateMachine) *replicaGroup {
	g := &replicaGroup{node: c, name: name, stateMachine: states}
	ring, found, err := ringlog.Open(c.disk, c.name+"/"+name, ringlog.Sizes{SegmentBytes: segmentBytes, Segments: 3})
	if err != nil {
		c.stopAndRestart(err)
	}
	g.ring = ring
	settings := group.Settings{
		Name: name, Self: replica.Member{ID: c.identity.id, Address: c.name}, Timing: timing, VoterCount: 2*c.w.deployment.toleratedLosses + 1,
		Seed: c.w.random.Uint64(), SnapshotThresholdBytes: snapshotThreshold, SnapshotChunkBytes: chunkBytes, LogRetention: replica.LogRetention{Entries: 12, Bytes: 4 << 10},
	}
	if g.engine, err = group.NewEngine(settings, found, c.w.recorder.recordCommits(g), c.clock(), c.w.log); err != nil {
		c.w.fail("%s can't restore %s: %v", c.name, name, err)
	}
	c.groups[name] = g
	c.names = append(c.names, name)
	return g
}

// restartDelay is when the platform starts a process again that has ended by itself.
const restartDelay = 300 * time.Millisecond

// stopAndRestart ends a process whose disk refuses; one that is damaged has no cause here.
func (c *controlNode) stopAndRestart(err error) {
	if errors.Is(err, ringlog.ErrDamaged) {
		c.w.fail("%s finds its disk damaged: %v", c.name, err)
	}
	c.w.tracef("%s ends: %v", c.name, err)
	c.stop()
	life := c.incarnation
	c.w.schedule(restartDelay, func() {
		if c.incarnation == life {
			c.boot()
		}
	})
	panic(processKilled{})
}

func (g *replicaGroup) bootstrapIfFounder() {
	founding := g.node.identity.founding
	if founding == nil || g.engine.IsBootstrapped() {
		return
	}
	first, err := group.InitialSnapshot(*founding, g.stateMachine)
	if err != nil {
		g.node.w.fail("first snapshot: %v", err)
	}
	if g.ring.Reset(first) == nil {
		g.engine.Bootstrap(first, g.node.clock())
	}
}

// step gives the engine an input and does what it asks for.
func (g *replicaGroup) step(input func(now time.Duration)) {
	input(g.node.readClock())
	now := g.node.readClock()
	g.engine.Tick(now)
	effects := g.engine.TakeEffects(now)
	g.node.w.executeEffects(g, effects)
	g.wake()
}

// wake lets the engine look at the time when it wants to.
func (g *replicaGroup) wake() {
	at := g.engine.NextTick()
	if g.wakeAt != 0 && g.wakeAt <= at && g.wakeAt > g.node.clock() {
		return
	}
	g.wakeAt = at
	const least, most = 2 * time.Millisecond, time.Second
	g.node.after(min(most, max(least, g.node.delayUntil(at))), func() {
		if g.wakeAt != at {
			return
		}
		g.wakeAt = 0
		g.step(func(time.Duration) {})
	})
}

func (g *replicaGroup) publishLease(lease group.Lease, leader replica.Member) {
	g.lease, g.leader = lease, leader
	g.node.w.checkLease(g)
}

func (g *replicaGroup) send(message group.Envelope) {
	w := g.node.w
	w.recorder.message(w, g, message)
	copies := 1
	if w.chance(w.lateShare / 4) {
		copies = 2
	}
	for range copies {
		w.deliver(g.node.name, message.Address, func() {
			to := w.nodeNamed(message.Address)
			if to == nil || to.groups == nil || to.groups[g.name] == nil {
				return
			}
			at := to.groups[g.name]
			at.step(func(now time.Duration) { at.engine.Receive(now, message.Message) })
		})
	}
}

func (w *world) nodeNamed(name string) *controlNode {
	for _, c := range w.nodes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// queueWrites lets the disk do writes, one after the other.
func (g *replicaGroup) queueWrites(writes []group.DiskWrite) {
	g.pendingWrites = append(g.pendingWrites, writes...)
	g.writeNext()
}

func (c *controlNode) syncTime() time.Duration {
	span := time.Duration(float64(c.w.deployment.syncTime) * c.diskSlowdown * (0.7 + 0.6*c.w.random.Float64()))
	return max(span, c.diskStalledUntil-c.w.now)
}

const diskRetryDelay = 300 * time.Millisecond

func (g *replicaGroup) writeNext() {
	if g.writing || len(g.pendingWrites) == 0 {
		return
	}
	g.writing = true
	n := group.SyncBatchSize(g.pendingWrites)
	g.node.after(g.node.syncTime(), func() { g.writesDone(n) })
}

func (g *replicaGroup) writesDone(n int) {
	done := g.pendingWrites[:n:n]
	if group.PersistWrites(g.ring, done) != nil {
		g.node.after(diskRetryDelay, func() { g.writesDone(n) })
		return
	}
	g.pendingWrites, g.writing = g.pendingWrites[n:], false
	crowded := g.ring.NearlyFull() || g.ring.BytesSinceSnapshot() > snapshotThreshold
	g.step(func(now time.Duration) { g.engine.Persisted(now, done, crowded) })
	g.writeNext()
}

// Lease, Leads, Leader and Propose implement owner.Group.
func (g *replicaGroup) Lease() (epoch uint64, until time.Duration, ok bool) {
	return g.lease.Epoch, g.lease.Until, g.node.readClock() < g.node.w.leaseEnd(g.lease.Until)
}

func (g *replicaGroup) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

func (g *replicaGroup) Leader() replica.Member { return g.leader }

func (g *replicaGroup) Propose(command []byte, done func(result any, err error)) {
	g.node.after(0, func() {
		g.step(func(now time.Duration) { g.engine.Propose(now, command, done) })
	})
}

// joinGroups asks for a place in the groups, now and again.
func (c *controlNode) joinGroups() {
	pause := joinCheck
	for _, name := range c.names {
		g := c.groups[name]
		for _, address := range leader.JoinTargets(g.engine.Membership(), g.leader, c.identity.id, c.w.seeds()) {
			pause = joinRetry
			c.sendJoin(address, protocol.JoinRequest{Group: name, Member: replica.Member{ID: c.identity.id, Address: c.name}})
		}
	}
	c.after(pause, c.joinGroups)
}

func (c *controlNode) sendJoin(address string, ask protocol.JoinRequest) {
	if address == "" || address == c.name {
		return
	}
	c.w.recorder.join(c, address, ask)
	c.w.deliver(c.name, address, func() {
		to := c.w.nodeNamed(address)
		if to == nil || to.groups[ask.Group] == nil {
			return
		}
		g := to.groups[ask.Group]
		g.step(func(now time.Duration) { g.engine.RequestJoin(now, ask.Member) })
		relayed := ask
		relayed.Relayed = true
		to.sendJoin(leader.JoinRelayAddress(ask, g.leader, to.identity.id), relayed)
	})
}

// scheduleCycle lets a shard's scheduler run soon.
func (c *controlNode) scheduleCycle(number int) {
	if c.cycleScheduled[number] {
		return
	}
	c.cycleScheduled[number] = true
	c.after(time.Millisecond, func() {
		c.cycleScheduled[number] = false
		c.runCycle(number)
	})
}

func (c *controlNode) tickShard(number int) {
	c.runCycle(number)
	c.after(cycleInterval, func() { c.tickShard(number) })
}

func (c *controlNode) runCycle(number int) {
	shard := c.shards[number]
	orders := shard.RunCycle()
	c.w.recorder.sortStops(orders.List)
	for _, order := range orders.List {
		c.sendOrder(shard, orders.Scheduler, order)
	}
	if orders.CyclePending {
		c.scheduleCycle(number)
	}
}

// listRunners gives the shards the platform's list.
func (c *controlNode) listRunners() {
	var list []protocol.Runner
	for _, r := range c.w.runners {
		list = append(list, protocol.Runner{ID: r.name, Service: r.service, Address: r.name, Capacity: r.capacity})
	}
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateRunners(list)
	}
	c.after(listInterval, c.listRunners)
}

// serve answers a call of another process.
func (c *controlNode) serve(message any, reply func(any)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	reply = c.w.recorder.served(c, message, reply)
	switch request := message.(type) {
	case protocol.SubmitRequest:
		if shard := c.shards[request.Shard]; shard != nil {
			shard.Submit(request, func(a protocol.JobResponse) { reply(a) })
		}
	case protocol.JobRequest:
		c.handleJobRequest(request, func(a protocol.JobResponse) { reply(a) })
	case protocol.WatchRequest:
		c.watch(request, reply)
	case protocol.OperatorRequest:
		c.handleOperator(request, func(a protocol.OperatorResponse) { reply(a) })
	}
}

// watch waits a while for a newer configuration, as the driver does.
func (c *controlNode) watch(request protocol.WatchRequest, reply func(any)) {
	came := c.clock()
	answer := func() {
		owners := make([]string, protocol.ShardCount)
		for number := range c.shards {
			owners[number] = c.groups[protocol.ShardGroup(number)].leader.Address
		}
		cores := []string{}
		for _, member := range c.groups[protocol.ConfigGroup].engine.Membership().AllMembers() {
			cores = append(cores, member.Address)
		}
		held := c.clock() - came
		got := c.config.Watch(request.Have)
		got.Owners, got.Cores, got.HeldMs = owners, cores, held.Milliseconds()
		if c.w.planted == heldTooLong {
			got.HeldMs += 3 * request.WaitMs
		}
		reply(got)
	}
	changed, version := c.config.Changed()
	if version > request.Have || !c.groups[protocol.ConfigGroup].IsLeader() {
		answer()
		return
	}
	end := c.clock() + time.Duration(request.WaitMs)*time.Millisecond
	var look func()
	look = func() {
		select {
		case <-changed:
		default:
			if c.clock() < end {
				c.after(watchPoll, look)
				return
			}
		}
		answer()
	}
	look()
}

// handleOperator carries an operator's call out here, and gives it up after a while.
func (c *controlNode) handleOperator(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	over := false
	finish := func(answer protocol.OperatorResponse) {
		if !over {
			over = true
			reply(answer)
		}
	}
	c.after(commitTimeout, func() { finish(protocol.OperatorResponse{Status: http.StatusGatewayTimeout}) })
	c.config.HandleOperatorRequest(request, finish)
}

// serveOperator takes an operator's call and passes it to the owner, once.
func (c *controlNode) serveOperator(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	c.handleOperator(request, func(got protocol.OperatorResponse) {
		if got.Status != 0 || got.Leader == "" || got.Leader == c.name {
			if got.Status == 0 {
				got.Status = http.StatusServiceUnavailable
			}
			reply(got)
			return
		}
		c.call(got.Leader, forwardTimeout, func(answer func(any)) { c.w.nodeNamed(got.Leader).serve(request, answer) }, func(answer any, ok bool) {
			passed, _ := answer.(protocol.OperatorResponse)
			switch {
			case !ok:
				passed.Status = http.StatusGatewayTimeout
			case passed.Status == 0:
				passed.Status = http.StatusServiceUnavailable
			}
			reply(passed)
		})
	})
}

// kill ends the process; power: the machine loses power too.
func (c *controlNode) kill(power bool) {
	c.w.tracef("%s is killed, power %v", c.name, power)
	if power {
		for _, name := range c.names {
			g := c.groups[name]
			if g != nil && c.up && g.writing && len(g.pendingWrites) > 0 && c.w.random.IntN(2) == 0 {
				c.disk.CrashAtOperation = c.disk.OperationCount + 1 + c.w.random.IntN(4) // the write that is under way gets so far
				_ = group.PersistWrites(g.ring, g.pendingWrites[:group.SyncBatchSize(g.pendingWrites)])
			}
		}
		c.disk.LosePower()
	}
	c.stop()
	c.diskStalledUntil, c.diskSlowdown = 0, 1
}

// wipeDisk lets the machine lose its disk.
func (c *controlNode) wipeDisk() {
	c.kill(true)
	c.w.tracef("%s has lost its disk", c.name)
	c.disk.Wipe()
	if c.w.planted == diskForgets {
		return
	}
	c.identity.id, c.identity.founding, c.bootstrap = "", nil, false
}
