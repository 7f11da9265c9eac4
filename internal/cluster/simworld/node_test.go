package simworld_test

import (
	"fmt"
	"maps"
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

// twoServices are two services of different shards; queues move between them.
var twoServices = findTwoServices()

// findTwoServices returns the first services whose shards differ.
func findTwoServices() []string {
	first := "desk-0"
	for n := 1; ; n++ {
		name := fmt.Sprint("desk-", n)
		if protocol.ShardOf(name) != protocol.ShardOf(first) {
			return []string{first, name}
		}
	}
}

// Sizes and times of control-plane nodes. The sizes are small, so that each run has snapshots in many
// chunks and logs that wrap around.
const (
	segmentBytes      = 8 << 10
	snapshotThreshold = 16 << 10
	chunkBytes        = 700
	joinRetry         = 400 * time.Millisecond
	joinCheck         = 2 * time.Second
	forwardTimeout    = 2800 * time.Millisecond
	commitTimeout     = 2500 * time.Millisecond
	cycleInterval     = 50 * time.Millisecond
	listInterval      = time.Second
	watchPoll         = 30 * time.Millisecond // at which a waiting watch request looks for a change
)

// controlNode is a control-plane node: a machine with a disk, and the process on it.
type controlNode struct {
	*process
	disk             *simdisk.Disk
	diskSlowdown     float64       // factor for the time of its syncs
	diskStalledUntil time.Duration // no sync ends before
	identity         struct {      // as stored on disk; without an ID, nothing is stored yet
		id       string
		founding *replica.Membership
	}
	bootstrap    bool
	foundedAlone bool // because the fault foundsAlone is planted

	groups         map[string]*replicaGroup
	names          []string
	config         *leader.Configuration
	lists          *leader.RunnerLists
	listLag        time.Duration // how much older than the present the list is that this node reads
	shards         map[int]*leader.Shard
	cycleScheduled map[int]bool
}

// addNode adds a control-plane node, which is not started yet.
func (w *world) addNode(name string) *controlNode {
	c := &controlNode{process: w.addProcess(name), disk: simdisk.New(w.seed*131 + uint64(len(w.nodes))), diskSlowdown: 1, bootstrap: true}
	c.start = c.startProcess
	w.nodesMade++
	w.nodes = append(w.nodes, c)
	return c
}

// seeds returns the names of the first present control-plane nodes, which a process gets as seeds when it
// starts.
func (w *world) seeds() []string {
	var seeds []string
	for _, c := range w.nodes[:w.deployment.seeds] {
		seeds = append(seeds, c.name)
	}
	return seeds
}

// terminate stops the process as a SIGTERM does: it transfers its leaderships, and where there is a
// learner it has itself replaced as a voter. stopped is called once it has stopped.
func (c *controlNode) terminate(stopped func()) {
	c.w.tracef("%s is told to stop", c.name)
	c.after(0, func() {
		for _, name := range c.names {
			c.groups[name].step(c.groups[name].engine.TransferLeadership)
		}
		c.awaitHandover(c.clock()+handoverTimeout, stopped)
	})
}

const (
	handoverTimeout = 1500 * time.Millisecond
	handoverPoll    = 50 * time.Millisecond
)

// awaitHandover stops the process once its leaderships are transferred and it need not leave any group, or at
// the deadline.
func (c *controlNode) awaitHandover(deadline time.Duration, stopped func()) {
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
	if !waits || c.clock() > deadline {
		c.stop()
		c.w.schedule(0, stopped)
		return
	}
	c.after(handoverPoll, func() { c.awaitHandover(deadline, stopped) })
}

// startProcess starts the process. It stores the identity on disk before anything else. Memory has
// nothing of the last incarnation, so a message that arrives before the groups are open finds no group.
func (c *controlNode) startProcess() {
	c.groups, c.names, c.shards, c.lists = nil, nil, nil, nil
	c.disk.IgnoreSync = c.w.planted == acknowledgeUnsynced
	if c.identity.id != "" {
		c.openGroups()
		return
	}
	c.w.serial++
	id, founding := leader.FoundingMembership(c.mayFound(), c.w.seeds(), c.name, fmt.Sprintf("%s#%d", c.name, c.w.serial))
	c.after(c.syncTime(), func() {
		c.identity.id, c.identity.founding = id, founding
		c.openGroups()
	})
}

// mayFound reports whether the node, which is empty, forms the groups together with the other seeds.
func (c *controlNode) mayFound() bool {
	if c.bootstrap || c.w.planted != foundsAlone {
		return c.bootstrap
	}
	c.foundedAlone = !slices.ContainsFunc(c.w.nodes, func(other *controlNode) bool {
		return other != c && other.up && other.groups != nil && !other.foundedAlone
	})
	return c.foundedAlone
}

// openGroups opens all replica groups and begins to serve.
func (c *controlNode) openGroups() {
	c.groups, c.names = map[string]*replicaGroup{}, nil
	c.shards, c.cycleScheduled = map[int]*leader.Shard{}, map[int]bool{}
	c.lists = &leader.RunnerLists{}
	c.config = leader.NewConfiguration(c.distributeConfig, c.listAsLeader(), c.w.log)
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
	if c.w.platform == nil {
		c.listRunners()
		return
	}
	c.readListAtIntervals()
}

// distributeConfig passes a new configuration to the shards.
func (c *controlNode) distributeConfig(config *opconfig.Config) {
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateConfig(config)
	}
}

// restartDelay is how long after its exit the platform restarts a process that has exited by itself.
const restartDelay = 300 * time.Millisecond

// stopAndRestart stops a process that could not open its log, and restarts it later. It fails the test
// if the log is damaged, since no fault injected here damages a log.
func (c *controlNode) stopAndRestart(err error) {
	if errors.Is(err, ringlog.ErrDamaged) {
		c.w.fail("%s finds its log damaged: %v", c.name, err)
	}
	c.w.tracef("%s exits: %v", c.name, err)
	c.stop()
	incarnation := c.incarnation
	c.w.schedule(restartDelay, func() {
		if c.incarnation == incarnation {
			c.boot()
		}
	})
	panic(processKilled{})
}

// nodeNamed returns the control-plane node with a name, or nil if there is none.
func (w *world) nodeNamed(name string) *controlNode {
	for _, c := range w.nodes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// syncTime returns a random duration for the next sync of the disk.
func (c *controlNode) syncTime() time.Duration {
	span := time.Duration(float64(c.w.deployment.syncTime) * c.diskSlowdown * (0.7 + float64(0.6*c.w.random.Float64())))
	return max(span, c.diskStalledUntil-c.w.now)
}

// joinGroups periodically asks to join the groups of which this node is no member.
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

// sendJoin sends a join request, which the receiver relays to the leader once.
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

// scheduleCycle schedules a shard's scheduling cycle for a millisecond later; calls in between have no
// further effect.
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

// tickShard runs a shard's scheduling cycle at each interval.
func (c *controlNode) tickShard(number int) {
	c.runCycle(number)
	c.after(cycleInterval, func() { c.tickShard(number) })
}

// runCycle runs a shard's scheduling cycle and sends its orders.
func (c *controlNode) runCycle(number int) {
	shard := c.shards[number]
	orders := shard.RunCycle()
	for _, order := range orders.Orders {
		c.sendOrder(shard, orders.Scheduler, order)
	}
	if orders.CyclePending {
		c.scheduleCycle(number)
	}
}

// listRunners passes the present runners to the shards at each interval.
func (c *controlNode) listRunners() {
	var list []protocol.Runner
	for _, r := range c.w.runners {
		list = append(list, r.entry())
	}
	c.updateShardRunners(list)
	c.after(listInterval, c.listRunners)
}

// kill stops the process. With power, the machine loses power too, possibly in the middle of a write.
func (c *controlNode) kill(power bool) {
	c.w.tracef("%s is killed, power %v", c.name, power)
	if power {
		for _, name := range c.names {
			g := c.groups[name]
			if g != nil && c.up && g.writing && len(g.pendingWrites) > 0 && c.w.random.IntN(2) == 0 {
				c.disk.CrashAtOperation = c.disk.OperationCount + 1 + c.w.random.IntN(4) // how far the present write gets
				_ = group.PersistWrites(g.ring, g.pendingWrites[:group.SyncBatchSize(g.pendingWrites)])
			}
		}
		c.disk.LoseUnsynced = c.w.random.IntN(4) == 0
		c.disk.LosePower()
	}
	c.stop()
	c.diskStalledUntil, c.diskSlowdown = 0, 1
}

// wipeDisk kills the process and wipes the machine's disk.
func (c *controlNode) wipeDisk() {
	c.kill(true)
	c.w.tracef("%s has lost its disk", c.name)
	c.disk.Wipe()
	if c.w.planted == oldIDKept {
		return
	}
	c.identity.id, c.identity.founding, c.bootstrap = "", nil, false
}
