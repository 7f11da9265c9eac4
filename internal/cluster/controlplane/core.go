// Package controlplane assembles a process of the core: its replicas of the configuration's
// group and of the jobs' shards, the schedulers of the shards that it owns, the reader of the
// platform's list, and the operator's interface.
package controlplane

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/cluster/settings"
)

// timing of all groups. A follower's promise outlasts the leader's lease by more than any
// drift of the clocks.
var timing = replica.Timing{
	HeartbeatInterval:  100 * time.Millisecond,
	LeaseDuration:      420 * time.Millisecond,
	MinElectionTimeout: 520 * time.Millisecond,
	ElectionJitter:     260 * time.Millisecond,
}

// Sizes of the groups' logs.
const (
	segmentBytes  = 1 << 20
	segments      = 4
	snapshotAfter = 2 << 20 // bytes of log
)

// commandsByCalls is the one way of telling runners what to do that is described.
const commandsByCalls = "rpc"

// Node is one process of the core.
type Node struct {
	settings settings.Settings
	log      *slog.Logger
	started  time.Time
	identity identity
	self     replica.Member
	peers    *peers
	rpc      *rpc.Server
	config   *leader.Configuration
	operator *operators
	shards   []*shardLoop
	groups   map[string]*group.Group
	reader   *reader
	stop     chan struct{}
	running  atomic.Bool

	configGroup *group.Group
	damaged     error      // why the state on disk can't be used; nil: it can
	mu          sync.Mutex // guards settings.Seeds
}

// New opens a process's state. It does not serve yet.
func New(settings settings.Settings, log *slog.Logger) (*Node, error) {
	if settings.DataDir == "" {
		return nil, errors.New("data_dir is empty: run the core on machines with a disk")
	}
	c := &Node{settings: settings, log: log, started: time.Now(), groups: map[string]*group.Group{}, stop: make(chan struct{})}
	c.self.Address = settings.InternalAddress(settings.IP)
	if settings.Commands != "" && settings.Commands != commandsByCalls {
		log.Warn("commands names a way that is not known: runners are told by calls", "commands", settings.Commands)
	}
	c.peers = newPeers(c.self.Address)
	c.peers.own = c.receive
	err := c.open()
	if errors.Is(err, ringlog.ErrDamaged) || errors.Is(err, errIdentity) {
		c.damaged = err
		return c, nil
	}
	return c, err
}

func (c *Node) now() time.Duration { return time.Since(c.started) + time.Hour }

func (c *Node) open() error {
	found, err := loadIdentity(c.settings.DataDir, c.freshIdentity)
	if err != nil {
		return err
	}
	c.identity = found
	c.self.ID = found.ID
	c.rpc = rpc.NewServer(c)
	c.reader = newReader(c)
	c.config = leader.NewConfiguration(c.tellShards, c.reader.lead, c.log)
	c.operator = &operators{core: c, config: c.config}
	runners := newRunnerClient()
	states := map[string]group.StateMachine{protocol.ConfigGroup: c.config}
	var shards []*shardLoop
	for number := range protocol.ShardCount {
		loop := c.newShard(number, runners)
		states[protocol.ShardGroup(number)] = loop
		shards = append(shards, loop)
	}
	if err := c.openGroups(states); err != nil {
		return err
	}
	c.configGroup = c.groups[protocol.ConfigGroup]
	c.config.SetGroup(c.configGroup)
	for number, loop := range shards {
		loop.SetGroup(c.groups[protocol.ShardGroup(number)])
		loop.UpdateConfig(c.config.Current())
	}
	c.shards = shards
	return nil
}

func (c *Node) newShard(number int, runners *runnerClient) *shardLoop {
	loop := &shardLoop{runner: runners, wake: make(chan struct{}, 1), stop: c.stop}
	nudge := func() {
		select {
		case loop.wake <- struct{}{}:
		default:
		}
	}
	clocks := leader.Clocks{Monotonic: c.now, UnixMs: func() int64 { return time.Now().UnixMilli() }}
	loop.Shard = leader.NewShard(number, c.schedulerBounds(), clocks, nudge, c.log)
	return loop
}

// tellShards tells the shards of a configuration that is in force.
func (c *Node) tellShards(config *opconfig.Config) {
	for _, loop := range c.shards {
		loop.UpdateConfig(config)
	}
}

func (c *Node) schedulerBounds() scheduler.Config {
	b := c.settings.Bounds
	return scheduler.Config{
		MaxLease: b.MaxLease(), RemoteSlowdown: b.RemoteSlowdown,
		RestoreTime:     time.Duration(b.RestoreMs) * time.Millisecond,
		StatusRetention: time.Duration(b.StatusRetentionS * float64(time.Second)),
	}
}

// openGroups opens the groups' replicas side by side: each waits for the disk several times.
// Those that could be opened are kept, also where another could not.
func (c *Node) openGroups(states map[string]group.StateMachine) error {
	type opening struct {
		group *group.Group
		err   error
	}
	openings := make([]opening, len(states))
	names := slices.Sorted(maps.Keys(states))
	var opened sync.WaitGroup
	for at, name := range names {
		opened.Go(func() { openings[at].group, openings[at].err = c.openGroup(name, states[name]) })
	}
	opened.Wait()
	var failed error
	for at, name := range names {
		if openings[at].err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(openings[at].err, "open group %s", name))
			continue
		}
		c.groups[name] = openings[at].group
	}
	return failed
}

func (c *Node) openGroup(name string, states group.StateMachine) (*group.Group, error) {
	return group.Open(group.Settings{
		Name: name, Self: c.self, Timing: timing, VoterCount: 2*c.settings.FaultTolerance.Machines + 1,
		Seed: rand.Uint64(), SnapshotThresholdBytes: snapshotAfter,
	}, filepath.Join(c.settings.DataDir, name), ringlog.Sizes{SegmentBytes: segmentBytes, Segments: segments}, ringlog.OSFileSystem{}, states, c.peers, c.now, c.log)
}

// Run serves until the context ends, and then hands over what this process leads.
func (c *Node) Run(ctx context.Context) error {
	if err := c.recoverDisk(ctx); err != nil {
		return err
	}
	if c.damaged != nil {
		return nil // it was told to end before the disk could be used
	}
	internal, operators := c.servers()
	failed := make(chan error, 2)
	for _, server := range []*http.Server{internal, operators} {
		go func() { failed <- server.ListenAndServe() }()
	}
	go c.join()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	c.handOver()
	close(c.stop)
	operators.Close()
	internal.Close()
	c.rpc.Close()
	c.peers.close()
	c.close()
	return nil
}

// closeWithin bounds how long the end of a process waits for its disk.
const closeWithin = 300 * time.Millisecond

// close ends the replicas. What they promised is on disk; a disk that hangs is not waited for.
func (c *Node) close() {
	if !c.running.Load() {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for _, g := range c.groups {
			g.Close()
		}
	}()
	select {
	case <-closed:
	case <-time.After(closeWithin):
	}
}

func (c *Node) servers() (internal, operators *http.Server) {
	private := http.NewServeMux()
	private.Handle(rpc.Path, c.rpc)
	public := http.NewServeMux()
	public.HandleFunc("POST /-/config/replace", c.operator.serveReplace)
	public.HandleFunc("GET /-/config/get", c.operator.serveGet)
	const headerWithin = 5 * time.Second
	internal = &http.Server{Addr: c.self.Address, Handler: private, ReadHeaderTimeout: headerWithin}
	operators = &http.Server{Addr: c.settings.Listen.Control, Handler: public, ReadHeaderTimeout: headerWithin}
	return internal, operators
}

// handOverWithin bounds how long a process that ends waits for others to take its leads.
const handOverWithin = 1500 * time.Millisecond

// handOver gives away what this process leads, so that a planned end costs no election, and
// its votes, where a learner waits for them: the group bears the next loss at once.
func (c *Node) handOver() {
	if !c.running.Load() {
		return
	}
	c.handOverAll()
	for end := time.Now().Add(handOverWithin); time.Now().Before(end) && (c.tellLeave() || c.leadsAny()); {
		time.Sleep(handOverTick)
	}
}

// handOverTick is how often a process that ends looks whether others have taken its part.
const handOverTick = 50 * time.Millisecond

func (c *Node) handOverAll() {
	for _, g := range c.groups {
		g.TransferLeadership()
	}
}

func (c *Node) leadsAny() bool {
	for _, g := range c.groups {
		if g.Leader().ID == c.self.ID {
			return true
		}
	}
	return false
}

// start runs all replicas, once their first membership is known or they wait to be taken in.
func (c *Node) start() {
	if c.running.Swap(true) {
		return
	}
	for _, g := range c.groups {
		g.Run()
	}
	for _, s := range c.shards {
		go s.run()
	}
	go c.reader.run()
}

// receive hands a replica's message to its group.
func (c *Node) receive(message replica.Message) {
	if g := c.groups[message.Group]; g != nil && c.running.Load() {
		g.Receive(message)
	}
}

// HandleOneWay implements rpc.Handler.
func (c *Node) HandleOneWay(body any) {
	switch message := body.(type) {
	case replica.Message:
		c.receive(message)
	case protocol.JoinRequest:
		c.takeJoin(message)
	case protocol.LeaveNotice:
		c.takeLeave(message)
	case protocol.RunnerList:
		c.reader.take(message)
	}
}

// HandleCall implements rpc.Handler.
func (c *Node) HandleCall(body any) any {
	if !c.running.Load() {
		return protocol.JobResponse{}
	}
	switch request := body.(type) {
	case protocol.SubmitRequest:
		return c.shard(request.Shard, func(s *shardLoop, reply func(protocol.JobResponse)) { s.Submit(request, reply) })
	case protocol.JobRequest:
		return c.shard(request.Shard, func(s *shardLoop, reply func(protocol.JobResponse)) { s.HandleJobRequest(request, reply) })
	case protocol.WatchRequest:
		return c.operator.feed(request)
	case protocol.OperatorRequest:
		return c.operator.operate(request)
	case protocol.StatusRequest:
		return c.status()
	}
	return protocol.JobResponse{Status: http.StatusBadRequest, Reason: "this message is not known here: run the same version everywhere"}
}

func (c *Node) shard(number int, do func(*shardLoop, func(protocol.JobResponse))) protocol.JobResponse {
	if number < 0 || number >= len(c.shards) {
		return protocol.JobResponse{}
	}
	loop := c.shards[number]
	return loop.wait(func(reply func(protocol.JobResponse)) { do(loop, reply) })
}

// status tells what this process holds, by the groups' names.
func (c *Node) status() protocol.StatusResponse {
	answer := protocol.StatusResponse{Node: c.settings.NodeName, Member: c.self}
	if config := c.config.Current(); config != nil {
		answer.Version = config.Version
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		g := c.groups[name]
		answer.Groups = append(answer.Groups, protocol.GroupStatus{Name: name, Leader: g.Leader().Address, Status: g.Status()})
	}
	return answer
}

// owners lists who leads each shard as far as is known here.
func (c *Node) owners() []string {
	var addresses []string
	for number := range c.shards {
		addresses = append(addresses, c.groups[protocol.ShardGroup(number)].Leader().Address)
	}
	return addresses
}

// cores lists where the members of the configuration's group hear other processes.
func (c *Node) cores() []string {
	var addresses []string
	for _, member := range c.configGroup.Membership().AllMembers() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// Reload takes in settings that have changed: the seeds.
func (c *Node) Reload(settings settings.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings.Seeds = settings.Seeds
}
