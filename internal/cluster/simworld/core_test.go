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

// services are two services in shards of their own; queues move between them.
var services = twoServices()

func twoServices() []string {
	first := "desk-0"
	for n := 1; ; n++ {
		name := fmt.Sprint("desk-", n)
		if protocol.ShardOf(name) != protocol.ShardOf(first) {
			return []string{first, name}
		}
	}
}

const (
	segmentBytes  = 8 << 10 // small, so that snapshots and rings that wrap are part of each play
	snapshotAfter = 16 << 10
	partBytes     = 700 // of a snapshot in one message: many parts
	joinEvery     = 400 * time.Millisecond
	joinSlowly    = 2 * time.Second
	passOnWithin  = 2800 * time.Millisecond
	commitWithin  = 2500 * time.Millisecond
	idleTick      = 50 * time.Millisecond
	listEvery     = time.Second
	feedTick      = 30 * time.Millisecond // how soon a waiting feed sees a change
)

// core is a machine of the core: a disk, and the process on it.
type core struct {
	*process
	disk     *simdisk.Disk
	diskSlow float64       // its syncs take so many times longer
	stalled  time.Duration // until then its disk answers nothing
	identity struct {      // what the disk says of it; no ID: nothing is there yet
		id       string
		founding *replica.Membership
	}
	bootstrap bool

	groups map[string]*replicaGroup
	names  []string
	config *leader.Configuration
	shards map[int]*leader.Shard
	driven map[int]bool
}

// replicaGroup drives one engine: it stands where group.Group stands in service.
type replicaGroup struct {
	core   *core
	name   string
	engine *group.Engine
	ring   *ringlog.Ring
	states group.StateMachine
	lease  group.Lease
	leader replica.Member
	writes []group.DiskWrite
	busy   bool // a write is under way
	wakeAt time.Duration
}

func (w *world) addCore(name string) *core {
	c := &core{process: w.addProcess(name), disk: simdisk.New(w.seed*131 + uint64(len(w.cores))), diskSlow: 1, bootstrap: true}
	c.start = c.startProcess
	w.made++
	w.cores = append(w.cores, c)
	return c
}

// seeds lists the first machines of the core: that is what all are given on the first start.
// Later starts get what is there then.
func (w *world) seeds() []string {
	var seeds []string
	for _, c := range w.cores[:w.bounds.seeds] {
		seeds = append(seeds, c.name)
	}
	return seeds
}

// terminate ends the process as a SIGTERM does: its leads are handed over, and its votes
// where a learner waits for them.
func (c *core) terminate(ended func()) {
	c.w.note("%s is told to end", c.name)
	c.after(0, func() {
		for _, name := range c.names {
			c.groups[name].step(c.groups[name].engine.TransferLeadership)
		}
		c.leave(c.clock()+handOverWithin, ended)
	})
}

const (
	handOverWithin = 1500 * time.Millisecond
	handOverTick   = 50 * time.Millisecond
)

func (c *core) leave(end time.Duration, ended func()) {
	waits := false
	for _, name := range c.names {
		g := c.groups[name]
		waits = waits || g.leader.ID == c.identity.id
		for _, address := range leader.LeaveTargets(g.engine.Membership(), c.identity.id, c.w.seeds()) {
			waits = true
			c.w.record.leave(c, address, name)
			c.w.carry(c.name, address, func() {
				if to := c.w.coreNamed(address); to != nil && to.groups[name] != nil {
					at := to.groups[name]
					at.step(func(now time.Duration) { at.engine.RequestLeave(now, c.identity.id) })
				}
			})
		}
	}
	if !waits || c.clock() > end {
		c.end()
		c.w.later(0, ended)
		return
	}
	c.after(handOverTick, func() { c.leave(end, ended) })
}

// startProcess is what a core process does when it starts: its identity is on disk before
// anything else. Nothing of its last life is in memory: what comes before the groups are opened
// finds none.
func (c *core) startProcess() {
	c.groups, c.names, c.shards = nil, nil, nil
	c.disk.IgnoreSync = c.w.mistake == acknowledgeUnsynced
	if c.identity.id != "" {
		c.open()
		return
	}
	c.w.serial++
	id, founding := leader.FoundingMembership(c.bootstrap, c.w.seeds(), c.name, fmt.Sprintf("%s#%d", c.name, c.w.serial))
	c.after(c.syncTime(), func() {
		c.identity.id, c.identity.founding = id, founding
		c.open()
	})
}

func (c *core) open() {
	c.groups, c.names = map[string]*replicaGroup{}, nil
	c.shards, c.driven = map[int]*leader.Shard{}, map[int]bool{}
	c.config = leader.NewConfiguration(c.tellShards, func(uint64) {}, c.w.log)
	c.config.SetGroup(c.openGroup(protocol.ConfigGroup, c.w.mistaken(c.config)))
	clocks := leader.Clocks{Monotonic: c.steady, UnixMs: c.wallMs}
	limits := scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	for _, service := range services {
		number := protocol.ShardOf(service)
		shard := leader.NewShard(number, limits, clocks, func() { c.nudge(number) }, c.w.log)
		shard.SetGroup(c.openGroup(protocol.ShardGroup(number), shard))
		shard.UpdateConfig(c.config.Current())
		c.shards[number] = shard
	}
	for _, name := range c.names {
		c.groups[name].formIfFounder()
		c.groups[name].step(func(time.Duration) {})
	}
	for _, service := range services {
		c.tickShard(protocol.ShardOf(service))
	}
	c.join()
	c.list()
}

func (c *core) tellShards(config *opconfig.Config) {
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateConfig(config)
	}
}

func (c *core) openGroup(name string, states group.StateMachine) *replicaGroup {
	g := &replicaGroup{core: c, name: name, states: states}
	ring, found, err := ringlog.Open(c.disk, c.name+"/"+name, ringlog.Sizes{SegmentBytes: segmentBytes, Segments: 3})
	if err != nil {
		c.endAndRestart(err)
	}
	g.ring = ring
	settings := group.Settings{
		Name: name, Self: replica.Member{ID: c.identity.id, Address: c.name}, Timing: timing, VoterCount: 2*c.w.bounds.tolerated + 1,
		Seed: c.w.random.Uint64(), SnapshotThresholdBytes: snapshotAfter, SnapshotChunkBytes: partBytes, LogRetention: replica.LogRetention{Entries: 12, Bytes: 4 << 10},
	}
	if g.engine, err = group.NewEngine(settings, found, c.w.record.committed(g), c.clock(), c.w.log); err != nil {
		c.w.fail("%s can't restore %s: %v", c.name, name, err)
	}
	c.groups[name] = g
	c.names = append(c.names, name)
	return g
}

// restartAfter is when the platform starts a process again that has ended by itself.
const restartAfter = 300 * time.Millisecond

// endAndRestart ends a process whose disk refuses; one that is damaged has no cause here.
func (c *core) endAndRestart(err error) {
	if errors.Is(err, ringlog.ErrDamaged) {
		c.w.fail("%s finds its disk damaged: %v", c.name, err)
	}
	c.w.note("%s ends: %v", c.name, err)
	c.end()
	life := c.life
	c.w.later(restartAfter, func() {
		if c.life == life {
			c.boot()
		}
	})
	panic(deadProcess{})
}

func (g *replicaGroup) formIfFounder() {
	founding := g.core.identity.founding
	if founding == nil || g.engine.IsBootstrapped() {
		return
	}
	first, err := group.InitialSnapshot(*founding, g.states)
	if err != nil {
		g.core.w.fail("first snapshot: %v", err)
	}
	if g.ring.Reset(first) == nil {
		g.engine.Bootstrap(first, g.core.clock())
	}
}

// step gives the engine an input and does what it asks for.
func (g *replicaGroup) step(input func(now time.Duration)) {
	input(g.core.steady())
	now := g.core.steady()
	g.engine.Tick(now)
	effects := g.engine.TakeEffects(now)
	g.core.w.carryOut(g, effects)
	g.wake()
}

// wake lets the engine look at the time when it wants to.
func (g *replicaGroup) wake() {
	at := g.engine.NextTick()
	if g.wakeAt != 0 && g.wakeAt <= at && g.wakeAt > g.core.clock() {
		return
	}
	g.wakeAt = at
	const least, most = 2 * time.Millisecond, time.Second
	g.core.after(min(most, max(least, g.core.until(at))), func() {
		if g.wakeAt != at {
			return
		}
		g.wakeAt = 0
		g.step(func(time.Duration) {})
	})
}

func (g *replicaGroup) publish(lease group.Lease, leader replica.Member) {
	g.lease, g.leader = lease, leader
	g.core.w.checkLease(g)
}

func (g *replicaGroup) send(message group.Envelope) {
	w := g.core.w
	w.record.message(w, g, message)
	copies := 1
	if w.chance(w.late / 4) {
		copies = 2
	}
	for range copies {
		w.carry(g.core.name, message.Address, func() {
			to := w.coreNamed(message.Address)
			if to == nil || to.groups == nil || to.groups[g.name] == nil {
				return
			}
			at := to.groups[g.name]
			at.step(func(now time.Duration) { at.engine.Receive(now, message.Message) })
		})
	}
}

func (w *world) coreNamed(name string) *core {
	for _, c := range w.cores {
		if c.name == name {
			return c
		}
	}
	return nil
}

// queue lets the disk do writes, one after the other.
func (g *replicaGroup) queue(writes []group.DiskWrite) {
	g.writes = append(g.writes, writes...)
	g.writeNext()
}

func (c *core) syncTime() time.Duration {
	span := time.Duration(float64(c.w.bounds.syncTime) * c.diskSlow * (0.7 + 0.6*c.w.random.Float64()))
	return max(span, c.stalled-c.w.now)
}

const retryDisk = 300 * time.Millisecond

func (g *replicaGroup) writeNext() {
	if g.busy || len(g.writes) == 0 {
		return
	}
	g.busy = true
	n := group.SyncBatchSize(g.writes)
	g.core.after(g.core.syncTime(), func() { g.written(n) })
}

func (g *replicaGroup) written(n int) {
	done := g.writes[:n:n]
	if group.PersistWrites(g.ring, done) != nil {
		g.core.after(retryDisk, func() { g.written(n) })
		return
	}
	g.writes, g.busy = g.writes[n:], false
	crowded := g.ring.NearlyFull() || g.ring.BytesSinceSnapshot() > snapshotAfter
	g.step(func(now time.Duration) { g.engine.Persisted(now, done, crowded) })
	g.writeNext()
}

// Lease, Leads, Leader and Propose implement owner.Group.
func (g *replicaGroup) Lease() (epoch uint64, until time.Duration, ok bool) {
	return g.lease.Epoch, g.lease.Until, g.core.steady() < g.core.w.stretched(g.lease.Until)
}

func (g *replicaGroup) IsLeader() bool {
	_, _, ok := g.Lease()
	return ok
}

func (g *replicaGroup) Leader() replica.Member { return g.leader }

func (g *replicaGroup) Propose(command []byte, done func(result any, err error)) {
	g.core.after(0, func() {
		g.step(func(now time.Duration) { g.engine.Propose(now, command, done) })
	})
}

// join asks for a place in the groups, now and again.
func (c *core) join() {
	pause := joinSlowly
	for _, name := range c.names {
		g := c.groups[name]
		for _, address := range leader.JoinTargets(g.engine.Membership(), g.leader, c.identity.id, c.w.seeds()) {
			pause = joinEvery
			c.castJoin(address, protocol.JoinRequest{Group: name, Member: replica.Member{ID: c.identity.id, Address: c.name}})
		}
	}
	c.after(pause, c.join)
}

func (c *core) castJoin(address string, ask protocol.JoinRequest) {
	if address == "" || address == c.name {
		return
	}
	c.w.record.join(c, address, ask)
	c.w.carry(c.name, address, func() {
		to := c.w.coreNamed(address)
		if to == nil || to.groups[ask.Group] == nil {
			return
		}
		g := to.groups[ask.Group]
		g.step(func(now time.Duration) { g.engine.RequestJoin(now, ask.Member) })
		relayed := ask
		relayed.Relayed = true
		to.castJoin(leader.JoinRelayAddress(ask, g.leader, to.identity.id), relayed)
	})
}

// nudge lets a shard's scheduler run soon.
func (c *core) nudge(number int) {
	if c.driven[number] {
		return
	}
	c.driven[number] = true
	c.after(time.Millisecond, func() {
		c.driven[number] = false
		c.drive(number)
	})
}

func (c *core) tickShard(number int) {
	c.drive(number)
	c.after(idleTick, func() { c.tickShard(number) })
}

func (c *core) drive(number int) {
	shard := c.shards[number]
	orders := shard.RunCycle()
	c.w.record.settle(orders.List)
	for _, order := range orders.List {
		c.sendOrder(shard, orders.Scheduler, order)
	}
	if orders.CyclePending {
		c.nudge(number)
	}
}

// list gives the shards the platform's list.
func (c *core) list() {
	var list []protocol.Runner
	for _, r := range c.w.runners {
		list = append(list, protocol.Runner{ID: r.name, Service: r.service, Address: r.name, Capacity: r.capacity})
	}
	for _, number := range slices.Sorted(maps.Keys(c.shards)) {
		c.shards[number].UpdateRunners(list)
	}
	c.after(listEvery, c.list)
}

// serve answers a call of another process.
func (c *core) serve(message any, reply func(any)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	reply = c.w.record.served(c, message, reply)
	switch request := message.(type) {
	case protocol.SubmitRequest:
		if shard := c.shards[request.Shard]; shard != nil {
			shard.Submit(request, func(a protocol.JobResponse) { reply(a) })
		}
	case protocol.JobRequest:
		c.askShard(request, func(a protocol.JobResponse) { reply(a) })
	case protocol.WatchRequest:
		c.feed(request, reply)
	case protocol.OperatorRequest:
		c.operate(request, func(a protocol.OperatorResponse) { reply(a) })
	}
}

// feed waits a while for a newer configuration, as the driver does.
func (c *core) feed(request protocol.WatchRequest, reply func(any)) {
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
		if c.w.mistake == heldTooLong {
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
				c.after(feedTick, look)
				return
			}
		}
		answer()
	}
	look()
}

// operate carries an operator's call out here, and gives it up after a while.
func (c *core) operate(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	over := false
	finish := func(answer protocol.OperatorResponse) {
		if !over {
			over = true
			reply(answer)
		}
	}
	c.after(commitWithin, func() { finish(protocol.OperatorResponse{Status: http.StatusGatewayTimeout}) })
	c.config.HandleOperatorRequest(request, finish)
}

// operators takes an operator's call and passes it to the owner, once.
func (c *core) operators(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	c.operate(request, func(got protocol.OperatorResponse) {
		if got.Status != 0 || got.Leader == "" || got.Leader == c.name {
			if got.Status == 0 {
				got.Status = http.StatusServiceUnavailable
			}
			reply(got)
			return
		}
		c.call(got.Leader, passOnWithin, func(answer func(any)) { c.w.coreNamed(got.Leader).serve(request, answer) }, func(answer any, ok bool) {
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
func (c *core) kill(power bool) {
	c.w.note("%s is killed, power %v", c.name, power)
	if power {
		for _, name := range c.names {
			g := c.groups[name]
			if g != nil && c.up && g.busy && len(g.writes) > 0 && c.w.random.IntN(2) == 0 {
				c.disk.CrashAtOperation = c.disk.OperationCount + 1 + c.w.random.IntN(4) // the write that is under way gets so far
				_ = group.PersistWrites(g.ring, g.writes[:group.SyncBatchSize(g.writes)])
			}
		}
		c.disk.LosePower()
	}
	c.end()
	c.stalled, c.diskSlow = 0, 1
}

// wipe lets the machine lose its disk.
func (c *core) wipe() {
	c.kill(true)
	c.w.note("%s has lost its disk", c.name)
	c.disk.Wipe()
	if c.w.mistake == diskForgets {
		return
	}
	c.identity.id, c.identity.founding, c.bootstrap = "", nil, false
}
